package scheduler_test

import (
	"testing"

	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Guards against a task that is never placed again and a job that never ends: a sidecar
// restarted beside a worker that is away has no inventory, and the entry went on
// granting the runs that it had there.
func TestRunsAtASidecarWithoutInventoryAreGivenUp(t *testing.T) {
	for name, tt := range map[string]struct{ bestEffort, abandoned bool }{
		"best-effort":           {bestEffort: true},
		"abandoned best-effort": {bestEffort: true, abandoned: true},
		"stored":                {},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 2)
			j := job("j", 1, tt.bestEffort)
			j.Deadline = b.now + 2*clock.Minute
			r := b.submit(j)
			if !tt.bestEffort {
				b.save(scheduler.SaveDone)
				b.tick()
			}
			at := b.onlyStart().at
			b.s.SidecarDisconnected(sidecar(at))
			b.s.SidecarConnected(at, "", sidecar(at))
			b.received[at] = 0
			if tt.abandoned {
				b.s.CallerDisconnected(b.now, r, "j")
				b.submit(j)
			}
			b.advance(10 * clock.Second)
			if got := len(b.starts()); got != 1 {
				t.Errorf("starts elsewhere in 10 s: got %d, want 1", got)
			}
		})
	}
}
