package processtest

import (
	"testing"
	"time"

	"github.com/teaseltide/teaseltide/internal/standin/backend"
)

// stopLimit is the timeout for a planned stop under a load of short jobs.
const stopLimit = 30 * time.Second

// Guards against a planned stop that interrupts a request, fails a job or exits
// with an error.
func TestPlannedStop(t *testing.T) {
	for _, c := range []struct {
		name string
		stop func(r *run)
	}{
		{"owner", func(r *run) {
			r.wantExit(r.Entries[r.busyOwner()])
		}},
		{"sidecar with its backend server", func(r *run) {
			victim := r.Shape.Workers - 1
			r.waitBusy(victim)
			r.must(r.SetMode(r.ctx, victim, backend.Leave))
			r.wantExit(r.Sidecars[victim])
			r.wantExit(r.Backends[victim])
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := start(t, smallShape())
			r.load()
			c.stop(r)
			time.Sleep(2 * time.Second)
			r.wantComplete(r.finish(), nil)
			r.wantNoneInterrupted()
		})
	}
}
