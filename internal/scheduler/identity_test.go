package scheduler_test

import (
	"testing"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/internal/wire"
)

// Guards against a second run beside an active one: the end of a run that another
// entry had ordered on another worker under the same attempt unbound the active run.
func TestEndOnAnotherWorkerKeepsTheActiveRun(t *testing.T) {
	for _, state := range []wire.TaskEvent_State{
		wire.TaskEvent_STATE_STOPPED, wire.TaskEvent_STATE_LOST, wire.TaskEvent_STATE_STALLED,
		wire.TaskEvent_STATE_FAILED, wire.TaskEvent_STATE_DONE,
	} {
		for name, send := range map[string]func(*testbed, scheduler.Address, ...*wire.TaskEvent){
			"event": (*testbed).report, "inventory": (*testbed).inventory,
		} {
			t.Run(state.String()+", "+name, func(t *testing.T) {
				b := newTestbed(t, 2)
				r := b.submit(job("j", 1, true))
				own := b.starts()[0]
				b.report(own.at, event(own.run, wire.TaskEvent_STATE_RUNNING))
				send(b, otherThan(own.at), event(own.run, state))
				b.advanceBusy(60)
				if got := len(b.starts()); got != 0 {
					t.Errorf("starts beside the active run: got %d, want 0", got)
				}
				if got := len(b.replies()); got != 0 {
					t.Errorf("replies before the end of the active run: got %d, want 0", got)
				}
				b.report(own.at, event(own.run, wire.TaskEvent_STATE_DONE))
				if got, want := b.replies()[r].Result, scheduler.Ended; got != want {
					t.Errorf("result after the end of the active run: got %q, want %q", got, want)
				}
			})
		}
	}
}

// Guards against orders under a wrong attempt: the end of another entry's run with a
// higher attempt changed the attempt of the active run, whose stop was then for a run
// that no worker has.
func TestEndOfAnotherRunKeepsTheAttempt(t *testing.T) {
	b := newTestbed(t, 2)
	r := b.submit(job("j", 1, true))
	own := b.starts()[0]
	b.report(own.at, event(own.run, wire.TaskEvent_STATE_RUNNING))
	other := own.run
	other.Attempt += 7
	b.report(otherThan(own.at), event(other, wire.TaskEvent_STATE_STOPPED))
	b.s.CallerDisconnected(b.now, r, "j")
	b.tick()
	var stops []batch.RunID
	for _, o := range b.sent[own.at] {
		for _, id := range o.GetStops() {
			stops = append(stops, batch.RunIDFromWire(id))
		}
	}
	if len(stops) != 1 || stops[0] != own.run {
		t.Errorf("stops: got %v, want %v", stops, own.run)
	}
}

func otherThan(a scheduler.Address) scheduler.Address {
	if a == address(0) {
		return address(1)
	}
	return address(0)
}
