package gate

import (
	"fmt"
	"testing"

	"github.com/teaseltide/teaseltide/internal/wire"
)

// decidedRef returns the description of job "k" as decided by an owner at an
// epoch.
func decidedRef(epoch uint64, withdrawn bool) *wire.JobRef {
	r := newJobRef("k", "hash")
	r.CallerKey = true
	r.Withdrawn = withdrawn
	r.DecidedEpoch = epoch
	return r
}

func departedRef(r *wire.JobRef) *wire.JobRef {
	r.Departed = true
	return r
}

func (h *harness) claimRef(r *wire.JobRef) {
	h.message(owner, wire.Wrap(&wire.Claim{Partition: partitionID, Epoch: 2, Jobs: []*wire.JobRef{r}}))
}

// Guards against a start of a withdrawn job, whose caller may have received
// not-run: a claim or dispatch without the withdrawal must not remove it. Only an
// owner that accepted the job as a new one at a later epoch may start it: the
// withdrawal was then reported to no caller.
func TestWithdrawnJobDoesNotStart(t *testing.T) {
	for _, tt := range []struct {
		name      string
		claims    []*wire.JobRef
		start     uint64
		want      string
		withdrawn bool
	}{
		{"withdrawal", []*wire.JobRef{decidedRef(2, true)}, 2, "[entry-a rejected CANCELLED [0]]", true},
		{"claim after the withdrawal", []*wire.JobRef{decidedRef(2, true), decidedRef(2, false)}, 2, "[entry-a rejected CANCELLED [0]]", true},
		{"departure after the withdrawal", []*wire.JobRef{decidedRef(2, true), departedRef(decidedRef(2, false))}, 2, "[entry-a rejected CANCELLED [0]]", true},
		{"withdrawal after the claim", []*wire.JobRef{decidedRef(2, false), decidedRef(2, true)}, 2, "[entry-a rejected CANCELLED [0]]", true},
		{"claim of an earlier decision", []*wire.JobRef{decidedRef(2, true), decidedRef(1, false)}, 1, "[entry-a rejected CANCELLED [0]]", true},
		{"claim of a later decision", []*wire.JobRef{decidedRef(1, true), decidedRef(2, false)}, 2, "[run k/0]", false},
		{"withdrawal of an earlier decision", []*wire.JobRef{decidedRef(2, false), decidedRef(1, true)}, 2, "[run k/0]", false},
		{"dispatch of a later decision", []*wire.JobRef{decidedRef(1, true)}, 2, "[run k/0]", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := newReadyHarness()
			for _, r := range tt.claims {
				h.claimRef(r)
			}
			d := dispatchOf("k", 2, "hash", 0, 0)
			d.GetDispatch().Job = decidedRef(tt.start, false)
			h.message(owner, d)
			if got := fmt.Sprint(h.log); got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
			known := h.jobs.Get(JobID{Service: service, Team: "t", Key: "k"}).toKnownJob()
			if got := known.GetJob().GetWithdrawn(); got != tt.withdrawn {
				t.Errorf("got withdrawn %t in the reply to a fence, want %t", got, tt.withdrawn)
			}
			if got := known.GetJob().GetDecidedEpoch(); got != 2 {
				t.Errorf("got decided epoch %d, want 2", got)
			}
		})
	}
}
