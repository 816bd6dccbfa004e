package proptest

import (
	"testing"

	"github.com/teaseltide/teaseltide/internal/dispatch"
	"github.com/teaseltide/teaseltide/internal/wire"
)

// Guards against a second start after a planned departure: the report of the departed
// sidecar on the task reached the new owner only after that had answered the job as
// unknown. A later owner must not start the task again.
func TestLateReplyBeforeDeparture(t *testing.T) {
	s := newTakeoverScenario(t, "s1", "s2")
	s.submit("eb", 2, true)
	s.settle(4000)
	if got, want := s.answers[2].GetRan(), wire.Ran_RAN_UNKNOWN; got != want {
		t.Fatalf("got answer %s, want %s", got, want)
	}
	s.connect("eb", "s0")
	s.settle(exchangeTime)
	s.leaveAfterTask()
	s.kill("eb")
	s.resubmitTo("ec", newRecord(3, "ec", "", 6), "s1", "s2")
	s.wantStarts("after the resubmission", "s0")
}

// Guards against a second start after a planned departure of a sidecar that ran a task
// of a job which was cancelled before the new owner had its body.
func TestCancelledBeforeDeparture(t *testing.T) {
	s := newTakeoverScenario(t, "s0", "s1", "s2")
	s.entries["eb"].Handle(s.now, dispatch.CancelRequest{Request: 2, Service: scenarioService, Team: scenarioTask.Team, Key: scenarioTask.Key})
	s.settle(exchangeTime)
	s.submit("eb", 3, true)
	s.settle(exchangeTime)
	s.leaveAfterTask()
	s.kill("eb")
	s.resubmitTo("ec", newRecord(3, "ec", "", 6), "s1", "s2")
	s.wantStarts("after the resubmission", "s0")
}

// Guards against a claim in a single failure domain while the sidecars of the other
// domains aren't registered yet. The job must wait for them, and must not start a
// second time after the loss of the first domain and the owner.
func TestClaimInOneDomain(t *testing.T) {
	s := newScenario(t)
	r := newRecord(1, "ea", "", 2)
	s.addSidecars(r, "s0")
	s.setServices("s0", scenarioService)
	s.addEntry("ea", r, "s0")
	s.connect("ea", "s0")
	s.settle(exchangeTime)
	s.submit("ea", 1, true)
	s.settle(exchangeTime)
	s.wantStarts("with sidecars in one domain")
	s.addSidecars(r, "s1", "s2")
	s.listRegistrations("ea", 0, "s0", "s1", "s2")
	s.connect("ea", "s1", "s2")
	s.settle(1000)
	s.wantStarts("with sidecars in three domains", "s0")
	s.kill("ea")
	s.kill("s0")
	s.resubmitTo("eb", newRecord(2, "eb", "", 4), "s0", "s1", "s2")
	s.wantStarts("after the resubmission", "s0")
}

// Guards against a second start of a job without a caller's key that is resubmitted to
// a superseded owner. Every sidecar had answered the fence of that owner before the
// successor took over, ran the job and died.
func TestResubmissionToFormerOwner(t *testing.T) {
	s := newScenario(t)
	r := newRecord(1, "ea", "eb", 2)
	s.addSidecars(r, "s0", "s1")
	s.setServices("s1", scenarioService)
	s.addEntry("ea", r, "s0", "s1")
	s.addEntry("eb", r, "s0", "s1")
	s.addEntry("ec", r, "s0", "s1")
	s.connect("ea", "s0", "s1", "ec")
	s.connect("eb", "s0", "s1", "ec")
	s.settle(exchangeTime)
	// The successor can't reach the owner and takes over. It serves before its fence
	// has arrived at "s0".
	s.holdLink("eb", "s0")
	s.settle(2000)
	s.submit("ec", 1, false)
	s.settle(exchangeTime)
	s.wantStarts("at the successor", "s1")
	s.kill("eb")
	s.setServices("s1")
	s.setServices("s0", scenarioService)
	s.settle(2000)
	s.wantStarts("after the resubmission", "s1")
}
