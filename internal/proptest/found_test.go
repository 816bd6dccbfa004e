package proptest

import (
	"testing"

	"github.com/teaseltide/teaseltide/internal/dispatch"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
)

// releaseLink resumes the delivery of messages on a held link.
func (s *scenario) releaseLink(from, to ownership.Incarnation) { delete(s.held, link{from, to}) }

// Guards against a second start by a dispatch that is resent on a new session and
// crosses the report that its task did not start. The owner moves the task to another
// sidecar; the first one must recognize the resent dispatch by its attempt number and
// not start it again.
func TestResentDispatchCrossesNotStarted(t *testing.T) {
	s := newStartedScenario(t)
	// On the new session the owner learns that the task is running and resends it.
	s.disconnect("ea", "s0")
	s.connect("ea", "s0")
	s.tick("ea")
	s.deliver(link{"ea", "s0"})
	s.tick("s0")
	s.deliver(link{"s0", "ea"})
	s.tick("ea")
	// The sidecar sends the report before it receives the resent dispatch.
	s.finishTask("s0", wire.Outcome_OUTCOME_NOT_STARTED)
	s.tick("s0")
	s.holdLink("s0", "ea")
	s.deliver(link{"ea", "s0"})
	s.tick("s0")
	// The service moves from the first worker to another.
	s.setServices("s0")
	s.setServices("s1", scenarioService)
	s.tick("s0")
	s.tick("s1")
	s.deliver(link{"s1", "ea"})
	s.releaseLink("s0", "ea")
	s.settle(exchangeTime)
	s.wantStarts("after the report", "s1")
	s.finishTask("s1", wire.Outcome_OUTCOME_DONE)
	s.settle(exchangeTime)
	if got, want := s.answers[1].GetRan(), wire.Ran_RAN_COMPLETE; got != want {
		t.Errorf("got answer %s, want %s", got, want)
	}
}

// Guards against a second start after the planned departure of a sidecar that held the
// only record of a task it ran. The next owner must find the departed mark of the claim
// at the other sidecars.
func TestDepartedSidecarIsRemembered(t *testing.T) {
	s := newStartedScenario(t)
	s.leaveAfterTask()
	s.kill("ea")
	s.resubmitTo("eb", newRecord(2, "eb", "", 4), "s1", "s2")
	s.wantStarts("after the resubmission", "s0")
	if got, want := s.answers[9].GetRan(), wire.Ran_RAN_UNKNOWN; got != want {
		t.Errorf("got answer %s, want %s", got, want)
	}
}

// Guards against a start at a new sidecar for a superseded owner. The sidecar has read
// the old record, and the successor, which took over, has stepped down and owns nothing
// when it connects. The sidecar must learn of the takeover from the epochs that the
// successor has seen.
func TestNewSidecarLearnsOfFormerTakeover(t *testing.T) {
	for _, tt := range []struct {
		name  string
		taken bool
		want  []ownership.Incarnation
	}{
		{"no takeover", false, []ownership.Incarnation{"s2"}},
		{"takeover and step down", true, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newScenario(t)
			r := newRecord(1, "ea", "eb", 2)
			s.addSidecars(r, "s0", "s1")
			s.addEntry("ea", r, "s0", "s1")
			s.addEntry("eb", r, "s0", "s1")
			s.connect("eb", "s0", "s1")
			s.connect("ea", "s0", "s1")
			if tt.taken {
				s.settle(2000)
				s.entries["eb"].Handle(s.now, dispatch.RecordRead{Record: newRecord(2, "ec", "", 4)})
			}
			s.settle(exchangeTime)
			s.addSidecars(r, "s2")
			s.setServices("s2", scenarioService)
			s.connect("eb", "s2")
			s.connect("ea", "s2")
			s.settle(exchangeTime)
			s.submit("ea", 1, false)
			s.settle(exchangeTime)
			s.wantStarts("after the submission", tt.want...)
		})
	}
}
