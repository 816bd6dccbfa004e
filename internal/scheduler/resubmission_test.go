package scheduler_test

import (
	"testing"

	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Pattern: after an answer was lost, the caller was told that work had not run
// that had. A job that ran here and was given up comes again; "not run" must not
// be said of it, whether it is refused on arrival or given up again.
func TestRefusalOfAJobThatRanBefore(t *testing.T) {
	for name, test := range map[string]struct {
		ran  bool
		want scheduler.Result
	}{
		"ran":     {true, scheduler.Unknown},
		"had not": {false, scheduler.NotStored},
	} {
		t.Run(name+", refused on arrival", func(t *testing.T) {
			b := newBed(t, 1)
			b.giveUpOnce(test.ran)
			b.s.Drain(b.now)
			again := b.submit(job("j", 1, true))
			if got := b.replies()[again].Result; got != test.want {
				t.Errorf("result: got %v, want %v", got, test.want)
			}
		})
		t.Run(name+", given up again", func(t *testing.T) {
			b := newBed(t, 1)
			b.giveUpOnce(test.ran)
			b.advanceBusy(20)
			j := job("j", 1, true)
			j.Deadline = b.now + 100
			again := b.submit(j)
			b.advanceBusy(200)
			if got := b.replies()[again].Result; got != test.want {
				t.Errorf("result: got %v, want %v", got, test.want)
			}
		})
	}
}

// A job is given up while its order is on the way, and the order comes back
// without a start. Nothing is left of it then: a resubmission is served, and an
// entry that stops does not wait for it.
func TestJobGivenUpBeforeItsStartIsForgotten(t *testing.T) {
	b := newBed(t, 1)
	b.giveUpOnce(false)
	if got := b.s.Open(); got != 0 {
		t.Errorf("open jobs: got %d, want 0", got)
	}
	again := b.submit(job("j", 1, true))
	starts := b.starts()
	if len(starts) != 1 {
		t.Fatalf("starts of the resubmission: got %d, want 1", len(starts))
	}
	b.report(starts[0].at, event(starts[0].run, wire.TaskEvent_STATE_DONE))
	if got, want := b.replies()[again].Result, scheduler.Ended; got != want {
		t.Errorf("result: got %v, want %v", got, want)
	}
}

// giveUpOnce submits the job j, whose caller leaves before its end. Its only task
// has started or has come back without a start.
func (b *bed) giveUpOnce(ran bool) {
	b.t.Helper()
	r := b.submit(job("j", 1, true))
	starts := b.starts()
	if len(starts) != 1 {
		b.t.Fatalf("starts: got %d, want 1", len(starts))
	}
	state := wire.TaskEvent_STATE_NOT_STARTED
	if ran {
		state = wire.TaskEvent_STATE_STOPPED
		b.report(starts[0].at, event(starts[0].run, wire.TaskEvent_STATE_RUNNING))
	}
	b.s.CallerLeft(b.now, r, "j")
	b.tick()
	b.report(starts[0].at, event(starts[0].run, state))
	b.now += 1300 * clock.Millis(1)
	b.report(starts[0].at)
	b.take()
}
