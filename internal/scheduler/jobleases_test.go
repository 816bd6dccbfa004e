package scheduler_test

import (
	"fmt"
	"testing"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/executor"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// witnesses are the sidecars that grant job leases to the entries of a test.
type witnesses struct {
	executors map[scheduler.Address]*executor.Executor
	// silent holds the sidecars that don't answer.
	silent map[scheduler.Address]bool
	// lost holds the sidecars whose answers are lost; their reports arrive.
	lost map[scheduler.Address]bool
}

func newWitnesses(count int) *witnesses {
	w := &witnesses{executors: make(map[scheduler.Address]*executor.Executor), silent: make(map[scheduler.Address]bool)}
	for i := range count {
		w.executors[address(i)] = executor.New(1, clock.Second)
	}
	return w
}

// handle passes requests to a sidecar and returns its answers, nil without any.
func (w *witnesses) handle(now clock.Millis, from ownership.Incarnation, a scheduler.Address, requests *wire.JobLeaseRequests) *wire.JobLeaseAnswers {
	if w.silent[a] || w.lost[a] {
		return nil
	}
	return w.executors[a].JobLeasesRequested(now, from, requests)
}

// all makes all sidecars silent or not.
func (w *witnesses) all(silent bool) {
	for a := range w.executors {
		w.silent[a] = silent
	}
}

// newLeaseTestbed returns an entry whose sidecars grant job leases, in touch with them for
// long enough to pass over silent ones.
func newLeaseTestbed(t *testing.T, entry ownership.Incarnation, w *witnesses) *testbed {
	t.Helper()
	b := newTestbedOf(t, entry, 0)
	b.witnesses, b.entry = w, entry
	var ids []ownership.Incarnation
	for i := range len(w.executors) {
		b.connect(address(i), 200_000)
		ids = append(ids, sidecar(address(i)))
	}
	b.s.SetSidecars(ids)
	b.advanceWith(w, 1500)
	return b
}

// advanceWith moves the time forward by steps of 10 ms, with reports every 100 ms of the
// sidecars that are not silent.
func (b *testbed) advanceWith(w *witnesses, d clock.Millis) {
	for end := b.now + d; b.now < end; {
		b.now += 10
		b.s.RecordStoreContact(b.now)
		for i := range len(w.executors) {
			if a := address(i); b.now%100 == 0 && !w.silent[a] {
				b.report(a)
			}
		}
		b.tick()
	}
}

// stops returns the number of stops since the last call of starts.
func (b *testbed) stops() int {
	n := 0
	for _, all := range b.sent {
		for _, o := range all {
			n += len(o.GetStops())
		}
	}
	return n
}

// Guards against two runs of a task at once: two entries hold requests for one job, and
// nothing tells them which of the two is the one whose caller waits.
func TestJobOfTwoEntriesRunsAtOne(t *testing.T) {
	w := newWitnesses(5)
	a, b := newLeaseTestbed(t, "entry-a", w), newLeaseTestbed(t, "entry-b", w)
	a.submit(job("j", 1, true))
	again := b.submit(job("j", 1, true))
	runs := a.starts()
	if len(runs) != 1 {
		t.Fatalf("starts at the first entry: got %d, want 1", len(runs))
	}
	a.report(runs[0].at, event(runs[0].run, wire.TaskEvent_STATE_RUNNING))
	for range 30 {
		a.advanceWith(w, 50)
		b.advanceWith(w, 50)
	}
	if got := len(b.starts()); got != 0 {
		t.Errorf("starts at the second entry while the first runs the job: got %d, want 0", got)
	}
	a.report(runs[0].at, event(runs[0].run, wire.TaskEvent_STATE_DONE))
	a.advanceWith(w, 100)
	b.advanceWith(w, 200)
	if got := len(b.starts()); got != 0 {
		t.Errorf("starts at the second entry after the end: got %d, want 0", got)
	}
	if got := b.replies()[again]; got.Result != scheduler.Ended || got.State != batch.Complete {
		t.Errorf("reply at the second entry: got %v %v, want ended complete", got.Result, got.State)
	}
}

// Guards against a job that no entry runs after the one that had it gave it up, and against
// an answer of not run for a job that another entry has run.
func TestJobThatAnotherEntryGaveUp(t *testing.T) {
	w := newWitnesses(3)
	a, b := newLeaseTestbed(t, "entry-a", w), newLeaseTestbed(t, "entry-b", w)
	r := a.submit(job("j", 1, true))
	run := a.starts()[0]
	b.submit(job("j", 1, true))
	short := job("j", 1, true)
	b.advanceWith(w, 100)
	if got := len(b.starts()); got != 0 {
		t.Fatalf("starts while another entry has the job: got %d, want 0", got)
	}
	a.s.CallerDisconnected(a.now, r, "j")
	a.report(run.at, event(run.run, wire.TaskEvent_STATE_STOPPED))
	a.advanceWith(w, 60)
	b.advanceWith(w, 100)
	if got := len(b.starts()); got != 1 {
		t.Errorf("starts after another entry gave the job up: got %d, want 1", got)
	}
	c := newLeaseTestbed(t, "entry-c", w)
	c.now = b.now
	short.Deadline = c.now + 300
	refused := c.submit(short)
	c.advanceWith(w, 400)
	if got := c.replies()[refused].Result; got != scheduler.Unknown {
		t.Errorf("reply to a caller whose job another entry has: got %v, want %v", got, scheduler.Unknown)
	}
}

// Guards against an entry that, after it was cut off, takes the few sidecars that it has
// found again for all there are: others have granted the job's lease to another entry.
func TestEntryThatWasCutOffAsksTheSameWitnesses(t *testing.T) {
	w := newWitnesses(9)
	a, b := newLeaseTestbed(t, "entry-a", w), newLeaseTestbed(t, "entry-b", w)
	for i := range 9 {
		a.s.SidecarDisconnected(sidecar(address(i)))
	}
	a.advanceWith(newWitnesses(0), 3000)
	b.advanceWith(w, 3000)
	for i := range 20 {
		b.submit(job(string(rune('a'+i)), 1, true))
	}
	if got := len(b.starts()); got != 20 {
		t.Fatalf("starts at the entry in touch: got %d, want 20", got)
	}
	for found := range 9 {
		a.connect(address(found), 200_000)
		for i := range 20 {
			a.submit(job(string(rune('a'+i)), 1, true))
		}
		a.advanceWith(w, 30)
		b.advanceWith(w, 30)
		if got := len(a.starts()); got != 0 {
			t.Fatalf("starts with %d of 9 sidecars found again: got %d, want 0", found+1, got)
		}
	}
}

// Guards against jobs that wait for witnesses that are gone: with one silent witness a job
// starts within milliseconds, with any number once the sidecars count as silent.
func TestSilentWitnessesDelayNoJobForLong(t *testing.T) {
	for silent := 1; silent <= 7; silent++ {
		w := newWitnesses(8)
		b := newLeaseTestbed(t, "entry-a", w)
		for i := range silent {
			w.silent[address(i)] = true
		}
		for i := range 10 {
			b.submit(job(string(rune('a'+i)), 1, true))
		}
		b.advanceWith(w, 40)
		early := len(b.starts())
		if silent == 1 && early < 10 {
			t.Errorf("starts within 40 ms with one silent witness: got %d, want 10", early)
		}
		b.advanceWith(w, 500)
		if got := early + len(b.starts()); got < 10 {
			t.Errorf("starts within 540 ms with %d of 8 sidecars silent: got %d, want 10", silent, got)
		}
	}
}

// Guards against runs that outlast the lease of their job: an entry that cannot renew it
// stops them while no other entry can have the lease.
func TestRunsEndBeforeTheJobLease(t *testing.T) {
	w := newWitnesses(3)
	b := newLeaseTestbed(t, "entry-a", w)
	b.submit(job("j", 1, true))
	run := b.starts()[0]
	b.report(run.at, event(run.run, wire.TaskEvent_STATE_RUNNING))
	b.advanceWith(w, 2000)
	if got := b.stops(); got != 0 {
		t.Errorf("stops while the lease is renewed: got %d, want 0", got)
	}
	w.all(true)
	b.starts()
	for since := clock.Millis(0); since < settings.JobLeaseDuration; since += 100 {
		b.now += 100
		// The sidecars' reports arrive, but none answers lease requests.
		b.report(run.at)
		if b.stops() > 0 {
			return
		}
	}
	t.Errorf("stops within %d ms without a renewal: got none", settings.JobLeaseDuration)
}

// Guards against a job that is given up after a pause of its entry, although no other entry
// has it, and against one that goes on although another has: right after the pause the
// entry has new reports of one sidecar only, which must not be the only witness.
func TestPausedEntryKeepsItsJobLeases(t *testing.T) {
	for name, taken := range map[string]bool{"free": false, "taken": true} {
		t.Run(name, func(t *testing.T) {
			w := newWitnesses(3)
			a, b := newLeaseTestbed(t, "entry-a", w), newLeaseTestbed(t, "entry-b", w)
			a.submit(job("j", 1, true))
			run := a.starts()[0]
			a.report(run.at, event(run.run, wire.TaskEvent_STATE_RUNNING))
			a.now += settings.JobLeaseDuration - 100
			if taken {
				// The witness that reports first has forgotten the lease.
				w.executors[address(0)] = executor.New(1, clock.Second)
				for i := range 3 {
					w.handle(a.now, "entry-a", address(i), &wire.JobLeaseRequests{Releases: []*wire.JobLeaseRelease{{Job: "j"}}})
				}
				b.now = a.now
				for i := range 3 {
					b.report(address(i))
				}
				b.advanceWith(w, 50)
				b.submit(job("j", 1, true))
				if got := len(b.starts()); got != 1 {
					t.Fatalf("starts at the entry that took the job: got %d, want 1", got)
				}
				w.executors[address(0)] = executor.New(1, clock.Second)
			}
			for i := range 3 {
				a.report(address(i))
			}
			a.advanceWith(w, 100)
			if got := a.stops() > 0; got != taken {
				t.Errorf("stopped after the pause: got %t, want %t", got, taken)
			}
		})
	}
}

// Guards against a lease that one witness alone grants: its answers to two submissions of a
// job, of which the first was given up before they arrived, counted for the second.
func TestAnswersToAnEarlierSubmissionGrantNothing(t *testing.T) {
	w := newWitnesses(3)
	b := newLeaseTestbed(t, "entry-a", w)
	w.all(true)
	var late []scheduler.SendJobLeases
	b.takeCommands()
	for range 2 {
		r := b.submit(job("j", 1, true))
		for _, c := range b.takeCommands() {
			if l, ok := c.(scheduler.SendJobLeases); ok {
				late = append(late, l)
			}
		}
		if len(late) == 2 {
			b.s.CallerDisconnected(b.now, r, "j")
			b.tick()
		}
	}
	first := late[0].Sidecar
	w.all(false)
	for _, l := range late {
		if a := scheduler.Address(string(l.Sidecar)[len("sidecar-"):]); l.Sidecar == first {
			b.s.HandleJobLeaseAnswers(b.now, l.Sidecar, w.handle(b.now, "entry-a", a, l.Requests))
		}
	}
	w.all(true)
	b.tick()
	if got := len(b.starts()); got != 0 {
		t.Errorf("starts with the answers of one of three witnesses: got %d, want 0", got)
	}
}

// Guards against a run that goes on until its lease would have ended, although the
// witnesses have forgotten it and granted the lease to another entry.
func TestRunIsStoppedWhenTheWitnessesHaveAnotherHolder(t *testing.T) {
	w := newWitnesses(3)
	a, b := newLeaseTestbed(t, "entry-a", w), newLeaseTestbed(t, "entry-b", w)
	a.submit(job("j", 1, true))
	run := a.starts()[0]
	a.report(run.at, event(run.run, wire.TaskEvent_STATE_RUNNING))
	for i := range 3 {
		w.executors[address(i)] = executor.New(1, clock.Second)
	}
	b.submit(job("j", 1, true))
	// The next renewal.
	a.advanceWith(w, 450)
	if got := a.stops(); got == 0 {
		t.Error("stops at the entry that lost the lease: got none")
	}
}

// Guards against callers who are refused for a load that is not there: a job that another
// entry has counted as queued work, asked workers for room and was given up as overload.
func TestJobsOfAnotherEntryAreNoLoad(t *testing.T) {
	w := newWitnesses(3)
	a, b := newLeaseTestbed(t, "entry-a", w), newLeaseTestbed(t, "entry-b", w)
	held := make(map[scheduler.Request]bool)
	for i := range 40 {
		j := job(fmt.Sprint("held", i), 6, true)
		a.submit(j)
		held[b.submit(j)] = true
	}
	b.starts()
	for range 30 {
		a.advanceWith(w, 50)
		for i := range 3 {
			b.workers[address(i)] = 0
		}
		b.advanceWith(w, 50)
	}
	for r := range b.replies() {
		if held[r] {
			t.Error("job that another entry has given up before its deadline")
			break
		}
	}
	for at, all := range b.sent {
		for _, o := range all {
			if o.GetDemand() != 0 {
				t.Fatalf("demand at %s for jobs that another entry has", at)
			}
		}
	}
	for i := range 3 {
		b.workers[address(i)] = 200_000
	}
	b.advanceWith(w, 200)
	late := b.submit(job("new", 1, true))
	if got, ok := b.replies()[late]; ok {
		t.Errorf("reply to a new job at an entry with free workers: got %v, want none yet", got.Result)
	}
}

// Guards against the end of a job that its witnesses learn only when the lease is over, by
// when another entry would run the job again, and against a message of its own for it while
// there are orders for the same sidecar.
func TestReleasesAreSentWithOrders(t *testing.T) {
	for name, ordersFollow := range map[string]bool{"orders": true, "no orders": false} {
		t.Run(name, func(t *testing.T) {
			w := newWitnesses(3)
			b := newLeaseTestbed(t, "entry-a", w)
			b.submit(job("j", 1, true))
			run := b.starts()[0]
			b.takeCommands()
			b.report(run.at, event(run.run, wire.TaskEvent_STATE_DONE))
			if ordersFollow {
				other := job("next", 6, true)
				other.Steps[0].Required.CPU = 100_000
				b.submit(other)
			}
			b.advanceWith(w, 120)
			withOrders, all := 0, 0
			for _, c := range b.takeCommands() {
				switch c := c.(type) {
				case scheduler.SendOrders:
					withOrders += len(c.Orders.GetJobLeaseReleases())
					all += len(c.Orders.GetJobLeaseReleases())
				case scheduler.SendJobLeases:
					all += len(c.Requests.GetReleases())
				}
			}
			if all != 2 {
				t.Errorf("releases: got %d, want 2", all)
			}
			if ordersFollow && withOrders == 0 {
				t.Error("releases with orders: got none")
			}
		})
	}
}
