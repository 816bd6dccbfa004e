package executor_test

import (
	"testing"

	"github.com/teaseltide/teaseltide/internal/executor"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// leaseAhead is the longest time for which a listing renews the lease, lostDelay the
// time after a lease at which the runs of an unreachable worker are lost, lostLimit
// the time after which a run counts as not lost.
const (
	leaseAhead = 600 * clock.Millis(1)
	lostDelay  = 150 * clock.Millis(1)
	lostLimit  = 3 * clock.Second
)

// lostAfter lists with unanswered every 50 ms, while the entry goes on granting, and
// returns the time until the run of startedRun is reported as lost, at most
// lostLimit.
func lostAfter(t *testing.T, h *harness, unanswered func()) clock.Millis {
	t.Helper()
	since := h.now
	for h.now-since < lostLimit {
		h.x.OrdersReceived(h.now, entryA, h.orders())
		unanswered()
		h.advance(50)
		if h.states(entryA)[runID("j")] == wire.TaskEvent_STATE_LOST {
			break
		}
	}
	return h.now - since
}

// Guards against the runs of a crashed worker that are kept until it is back: each
// listing counted as a renewal of the lease, also if its connection was refused.
func TestRefusedListingsDoNotRenewTheLease(t *testing.T) {
	h := startedRun(t, runID("j"))
	h.x.ListRequest(h.now)
	got := lostAfter(t, h, func() {
		// Two listings at once, whose refusals arrive in the other order.
		first, second := h.x.ListRequest(h.now), h.x.ListRequest(h.now)
		for _, r := range []executor.ListRequest{second, first} {
			h.x.ListingNotSent(r)
			h.x.WorkerUnreachable(h.now)
		}
	})
	if earliest, want := leaseAhead+lostDelay, leaseAhead+lostDelay+100; got < earliest || got > want {
		t.Errorf("loss of a run after the last listing that was sent: got %d ms, want %d to %d", got, earliest, want)
	}
}

// Guards against two runs of a task at once: a listing without an answer may have
// renewed the lease, so the run may be active until the end of that lease, whatever
// becomes of the listings beside it and after it.
func TestUnansweredListingsMayRenewTheLease(t *testing.T) {
	for name, answer := range map[string]func(h *harness){
		"beside refused listings": func(h *harness) {
			h.x.ListRequest(h.now)
			h.x.ListingNotSent(h.x.ListRequest(h.now))
			h.x.WorkerUnreachable(h.now)
		},
		"before refused listings": func(h *harness) {
			if h.now%200 == 0 {
				h.x.ListRequest(h.now)
			}
			h.x.ListingNotSent(h.x.ListRequest(h.now))
			h.x.WorkerUnreachable(h.now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := startedRun(t, runID("j"))
			if got := lostAfter(t, h, func() { answer(h) }); got < lostLimit {
				t.Errorf("loss of a run whose lease may be renewed: got after %d ms, want none", got)
			}
			if got, want := lostAfter(t, h, func() {
				h.x.ListingNotSent(h.x.ListRequest(h.now))
				h.x.WorkerUnreachable(h.now)
			}), leaseAhead+lostDelay; got < want-200 || got > want+50 {
				t.Errorf("loss of the run after the last listing that may have been executed: got %d ms, want %d to %d", got, want-200, want+50)
			}
		})
	}
}

// Guards against a run that an earlier sidecar started and that is reported as lost
// while a lease of that sidecar may last, and against one that is never lost: this
// sidecar has sent no renewal that may have been executed.
func TestRunOfAnEarlierSidecarIsLostAfterRefusedListings(t *testing.T) {
	h := newHarness(t)
	id := runID("j")
	h.list(firstToken, 1, []executor.ListedRun{{Run: id}}, nil)
	h.x.OrdersReceived(h.now, entryA, &wire.TaskOrders{GrantedFrom: int64(h.now), Adopts: []*wire.TaskStart{start(id, 6000, true)}})
	h.advance(20)
	got := lostAfter(t, h, func() {
		h.x.ListingNotSent(h.x.ListRequest(h.now))
		h.x.WorkerUnreachable(h.now)
	})
	if earliest, want := leaseAhead+lostDelay, leaseAhead+lostDelay+100; got < earliest || got > want {
		t.Errorf("loss of a run of an earlier sidecar: got after %d ms, want %d to %d", got, earliest, want)
	}
}

// Guards against the runs of a worker that never comes back and answers no call, which
// were kept for ever: each listing without an answer counted as a renewal of the lease.
func TestRunsOfASilentWorkerAreLost(t *testing.T) {
	for name, tt := range map[string]struct {
		bestEffort bool
		result     executor.StartResult
		want       clock.Millis
	}{
		"stored":           {false, executor.StartAccepted, 4 * clock.Second},
		"best-effort":      {true, executor.StartAccepted, 4 * clock.Second},
		"unanswered start": {true, executor.StartUnknown, 16 * clock.Second},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			id := runID("j")
			h.x.OrdersReceived(h.now, entryA, h.orders(start(id, 6000, tt.bestEffort)))
			h.tick()
			h.x.StartAnswered(h.now, id, firstToken, tt.result)
			since := h.now
			for h.now-since < 20*clock.Second {
				h.x.ListRequest(h.now)
				h.x.OrdersReceived(h.now, entryA, h.orders())
				h.advance(100)
				h.x.WorkerTimedOut(h.now)
				if h.states(entryA)[id] == wire.TaskEvent_STATE_LOST {
					break
				}
			}
			if got := h.now - since; got > tt.want {
				t.Errorf("loss of the run: got after %d ms, want within %d", got, tt.want)
			}
		})
	}
}
