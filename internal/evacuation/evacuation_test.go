package evacuation_test

import (
	"slices"
	"testing"

	"github.com/teaseltide/teaseltide/internal/evacuation"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// set returns the set of the evacuated domains before "?" and the undetermined ones after
// it, whose values were written at revision written.
func set(revision, written int64, names ...ownership.Domain) *evacuation.Set {
	at := slices.Index(names, "?")
	if at < 0 {
		return evacuation.New(revision, names...)
	}
	s := evacuation.New(revision, names[:at]...)
	for _, d := range names[at+1:] {
		s.Undetermined = append(s.Undetermined, evacuation.Undetermined{Domain: d, Revision: written})
	}
	return s
}

// Guards against an older state that wins because of the way or the order in which the
// sets arrive, and against an unreadable value that ends an evacuation, also at a process
// that has restarted.
func TestAdopt(t *testing.T) {
	for name, test := range map[string]struct {
		sets []*evacuation.Set
		want []ownership.Domain
	}{
		"two at once":                      {[]*evacuation.Set{set(10, 0, "b", "a")}, []ownership.Domain{"a", "b"}},
		"one after another":                {[]*evacuation.Set{set(10, 0, "a"), set(11, 0, "a", "b"), set(12, 0, "b")}, []ownership.Domain{"b"}},
		"removed and written again":        {[]*evacuation.Set{set(10, 0, "a"), set(12, 0), set(14, 0, "a")}, []ownership.Domain{"a"}},
		"older set arrives late":           {[]*evacuation.Set{set(12, 0), set(10, 0, "a")}, nil},
		"older set without one late":       {[]*evacuation.Set{set(12, 0, "a"), set(10, 0)}, []ownership.Domain{"a"}},
		"same revision":                    {[]*evacuation.Set{set(12, 0, "a"), set(12, 0)}, []ownership.Domain{"a"}},
		"no set":                           {[]*evacuation.Set{set(12, 0, "a"), nil}, []ownership.Domain{"a"}},
		"removal seen by nobody":           {[]*evacuation.Set{set(10, 0, "a"), set(90, 0)}, nil},
		"unreadable, evacuated before":     {[]*evacuation.Set{set(10, 0, "a"), set(20, 20, "b", "?", "a")}, []ownership.Domain{"a", "b"}},
		"unreadable, not evacuated before": {[]*evacuation.Set{set(10, 0), set(20, 20, "b", "?", "a")}, []ownership.Domain{"b"}},
		"unreadable, nothing before":       {[]*evacuation.Set{set(20, 20, "?", "a")}, nil},
		"unreadable, then readable":        {[]*evacuation.Set{set(10, 0, "a"), set(20, 20, "?", "a"), set(30, 0)}, nil},
		"unreadable after a restart":       {[]*evacuation.Set{set(30, 20, "?", "a"), set(20, 0, "a")}, []ownership.Domain{"a"}},
		"the same, still unreadable":       {[]*evacuation.Set{set(30, 20, "?", "a"), set(20, 0, "a"), set(40, 20, "b", "?", "a")}, []ownership.Domain{"a", "b"}},
		"the same, state before the value": {[]*evacuation.Set{set(30, 20, "?", "a"), set(15, 0, "a")}, nil},
		"unreadable everywhere":            {[]*evacuation.Set{set(30, 20, "?", "a"), set(25, 20, "?", "a")}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			h := evacuation.NewHolder(nil)
			var revision int64
			for _, s := range test.sets {
				h.Adopt(1, evacuation.FromWire(s.Wire()), "test")
				if s != nil {
					revision = max(revision, s.Revision)
				}
			}
			got := h.Current()
			if !slices.Equal(got.Domains, test.want) || got.Revision != revision {
				t.Errorf("set: got %v at %d, want %v at %d", got.Domains, got.Revision, test.want, revision)
			}
		})
	}
}

// Guards against announcements of sets that only have a higher revision, and against a time
// of evacuation that is that of the last set.
func TestAdoptReportsChangedDomains(t *testing.T) {
	var sources []string
	h := evacuation.NewHolder(func(_ *evacuation.Set, _ map[ownership.Domain]clock.Millis, source string) {
		sources = append(sources, source)
	})
	for i, step := range []struct {
		set  *evacuation.Set
		want bool
	}{
		{nil, false},
		{set(0, 0), false},
		{set(10, 0), true},
		{set(11, 0), false},
		{set(12, 0, "a"), true},
		{set(13, 0, "a"), false},
		{set(12, 0), false},
		{set(14, 0, "a", "b"), true},
		{set(15, 0, "b"), true},
	} {
		if got := h.Adopt(clock.Millis(100+i), evacuation.FromWire(step.set.Wire()), "step"); got != step.want {
			t.Errorf("step %d: got changed %v, want %v", i, got, step.want)
		}
	}
	if got, want := len(sources), 4; got != want {
		t.Errorf("changes: got %d, want %d", got, want)
	}
	if at, ok := h.Since("b"); !ok || at != 107 {
		t.Errorf("evacuated since: got %d %v, want 107", at, ok)
	}
	if _, ok := h.Since("a"); ok {
		t.Error("a domain that is no longer evacuated has a time")
	}
}

// Guards against a process that keeps an old set because nobody sends it the newer one, and
// against two processes that send each other sets for ever.
func TestPeersAgree(t *testing.T) {
	type side struct {
		holder *evacuation.Holder
		peer   evacuation.Peer
	}
	for name, test := range map[string]struct {
		left, right *evacuation.Set
		messages    int
	}{
		"one without a set":        {set(10, 0, "a"), nil, 1},
		"both without":             {nil, nil, 0},
		"one is older":             {set(10, 0, "a"), set(20, 0), 2},
		"same domains":             {set(10, 0, "a"), set(20, 0, "a"), 2},
		"one does not know":        {set(20, 0, "a"), set(30, 20, "?", "a"), 4},
		"neither knows":            {set(30, 20, "?", "a"), set(30, 20, "?", "a"), 2},
		"each knows a part":        {set(30, 20, "a", "?", "b"), set(30, 20, "b", "?", "a"), 4},
		"different, same revision": {set(30, 0, "a"), set(30, 0), 2},
	} {
		t.Run(name, func(t *testing.T) {
			sides := [2]*side{{holder: evacuation.NewHolder(nil)}, {holder: evacuation.NewHolder(nil)}}
			sides[0].holder.Adopt(1, test.left, "store")
			sides[1].holder.Adopt(1, test.right, "store")
			messages := 0
			for sent := true; sent && messages < 10; {
				sent = false
				var inFlight [2]*evacuation.Set
				for i, s := range sides {
					if own := s.holder.Current(); s.peer.Due(own) {
						s.peer.Note(own)
						inFlight[1-i], sent = evacuation.FromWire(own.Wire()), true
						messages++
					}
				}
				for i, s := range sides {
					s.holder.Adopt(2, inFlight[i], "peer")
					s.peer.Note(inFlight[i])
				}
			}
			if messages != test.messages {
				t.Errorf("messages: got %d, want %d", messages, test.messages)
			}
			left, right := sides[0].holder.Current(), sides[1].holder.Current()
			if name != "different, same revision" && left != nil && !left.HasSameDomains(right) {
				t.Errorf("domains: got %v and %v", left.Domains, right.Domains)
			}
		})
	}
}
