package scheduler_test

import (
	"slices"
	"testing"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/scheduler"
)

// recoveries returns the entries whose jobs the scheduler has asked for since the last
// call.
func (b *testbed) recoveries() []ownership.Incarnation {
	b.tick()
	var entries []ownership.Incarnation
	for _, c := range b.takeCommands() {
		if r, ok := c.(scheduler.Recover); ok {
			entries = append(entries, r.Entry)
		}
	}
	return entries
}

// Guards against jobs that nobody owns: a successor that learns of its deposition of
// their entry only from the store did not read them.
func TestMarksBeginTakeovers(t *testing.T) {
	type marks = map[ownership.Incarnation]ownership.Incarnation
	for name, tt := range map[string]struct {
		marks []marks
		want  []ownership.Incarnation
	}{
		"own mark":                {[]marks{{"entry-y": self}, {"entry-y": self}}, []ownership.Incarnation{"entry-y"}},
		"mark of another":         {[]marks{{"entry-y": "entry-z"}}, nil},
		"successor deposed":       {[]marks{{"entry-y": "entry-z"}, {"entry-y": "entry-z", "entry-z": self}}, []ownership.Incarnation{"entry-z"}},
		"predecessor's mark late": {[]marks{{"entry-z": self}, {"entry-y": "entry-z"}}, []ownership.Incarnation{"entry-z", "entry-y"}},
		"both marks at once":      {[]marks{{"entry-y": "entry-z", "entry-z": self}}, []ownership.Incarnation{"entry-y", "entry-z"}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 1)
			for _, m := range tt.marks {
				b.s.ApplyFences(m)
			}
			if got := b.recoveries(); !slices.Equal(got, tt.want) {
				t.Errorf("takeovers: got %v, want %v", got, tt.want)
			}
		})
	}
}
