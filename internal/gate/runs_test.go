package gate

import (
	"testing"

	"github.com/teaseltide/teaseltide/internal/runtimes"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Guards against a fence reply without the run times of successful tasks, or
// with those of failed ones: they are short and would make a failing worker
// look fast to the new owner.
func TestFenceReplyIncludesRunTimes(t *testing.T) {
	h := newReadyHarness()
	const declared, run = 100, 200
	for i, outcome := range []wire.Outcome{wire.Outcome_OUTCOME_DONE, wire.Outcome_OUTCOME_ERROR} {
		e := dispatchOf("k", 2, "hash", 0, uint32(i))
		e.GetDispatch().GetTasks()[0].DeclaredMs = declared
		h.message(owner, e)
		id := TaskID{Service: service, Team: "t", Key: "k", Index: uint32(i)}
		h.step(TaskFinished{Task: id, Outcome: outcome, RunTime: run})
	}
	h.Handle(h.now, EntryConnected{Entry: successor, Hello: &wire.Hello{}})
	h.Handle(h.now, EntryMessage{Entry: successor, Envelope: wire.Wrap(&wire.Fence{
		Partitions: []*wire.PartitionEpoch{{Partition: partitionID, Epoch: 3}, {Partition: partitionID ^ 1, Epoch: 3}},
	})})
	var want runtimes.Summary
	want.Observe(declared, clock.Millis(run))
	for _, c := range h.Tick(h.now) {
		s, ok := c.(Send)
		if !ok || s.Envelope.GetFenceAck() == nil {
			continue
		}
		got := s.Envelope.GetFenceAck().GetRunTimes()
		if s.Envelope.GetFenceAck().GetPartition() != partitionID {
			if len(got) > 0 {
				t.Errorf("got %v in the reply of another partition, want none", got)
			}
			continue
		}
		if len(got) != 1 || got[0].GetService() != service || got[0].GetRuns() != want.Runs ||
			got[0].GetMeanRun() != want.MeanRun || got[0].GetMeanDeclared() != want.MeanDeclared {
			t.Errorf("got %v, want %+v", got, want)
		}
	}
}
