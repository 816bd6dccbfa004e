package dispatch

import (
	"testing"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
)

// Guards against an owner that was paused or isolated and answers unknown to
// requests that its successor can serve. Its sessions have ended, so it
// refuses jobs for lack of workers until it learns that it was superseded.
func TestRefusedRequestsGoToNextOwner(t *testing.T) {
	b := newHarness(3)
	p := b.core.partitionOf(benchService)
	b.handle(PeerConnected{Entry: "entry-2", Hello: &wire.Hello{Domain: "d1"}})
	for i := range 3 {
		b.handle(SidecarDisconnected{Sidecar: sidecarName(i)})
	}
	b.handle(Submit{Request: 1, Job: testJob(1, 1)})
	b.handle(PeerMessage{Entry: "entry-2", Envelope: wire.Wrap(&wire.Forward{Request: 7, Job: testJob(2, 1)})})
	if b.answerCount != 0 || len(p.confirmations.unsent) != 2 {
		t.Fatalf("got %d answers and %d pending refusals, want 0 and 2", b.answerCount, len(p.confirmations.unsent))
	}

	record := b.core.membership.record
	record.Revision++
	record.Partitions[p.id] = ownership.Assignment{Owner: "entry-2", Epoch: p.epoch + 2}
	b.core.Handle(b.now, RecordRead{Record: record})
	var forwarded *wire.Forward
	var returned *wire.Answer
	for range 2 {
		for _, c := range b.core.Tick(b.now) {
			switch c := c.(type) {
			case Reply:
				t.Errorf("got %s (%s) for request %d, want no answer of this entry", c.Answer.GetRan(), c.Answer.GetCode(), c.Request)
			case SendPeer:
				if f := c.Envelope.GetForward(); f != nil {
					forwarded = f
				}
				if a := c.Envelope.GetAnswer(); a != nil {
					returned = a
				}
			}
		}
		b.now += requestScanInterval
	}
	if forwarded.GetRequest() != 1 || !forwarded.GetResubmission() {
		t.Errorf("got %v forwarded to the successor, want request 1 as a resubmission", forwarded)
	}
	if returned.GetRequest() != 7 || returned.GetCode() != CodeNotOwner || returned.GetRan() != wire.Ran_RAN_UNKNOWN {
		t.Errorf("got %v for the forwarded request, want it returned as one that another owner may have run", returned)
	}
}
