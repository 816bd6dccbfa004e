package executor_test

import (
	"testing"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/executor"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// reports counts the reports to an entry while the load of the worker changes all
// the time.
func (b *bed) reports(to ownership.Incarnation, d clock.Millis) int {
	b.take()
	for end := b.now + d; b.now < end; {
		b.report(1, 20_000+int64(b.now))
		b.advance(20)
	}
	count := 0
	for _, c := range b.take() {
		if r, ok := c.(executor.Report); ok && r.Entry == to {
			count++
		}
	}
	return count
}

// Pattern: 35 entries and 160 workers. Most entries have nothing at a worker, and
// reports of each change to each of them took most of the processor time. An
// entry that follows the worker loosely hears of it a few times a second, as
// long as it has no run there and waits for no room, and then as often as its
// grants need.
func TestLooselyFollowingEntryGetsFewReports(t *testing.T) {
	// In a second a loosely followed worker reports two or three times, and a
	// grant that lasts for 700 ms needs five reports or more.
	const few, enough = 3, 5
	for name, test := range map[string]struct {
		orders func(b *bed) *wire.TaskOrders
		want   int
	}{
		"nothing here":   {func(b *bed) *wire.TaskOrders { return b.orders() }, few},
		"a run here":     {func(b *bed) *wire.TaskOrders { return b.orders(start(runID("j"), 6000, true)) }, enough},
		"waits for room": {func(b *bed) *wire.TaskOrders { o := b.orders(); o.Demand, o.DemandCpu = 1, 1<<40; return o }, enough},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t)
			o := test.orders(b)
			o.Loose = true
			b.x.Orders(b.now, entryA, o)
			b.tick()
			b.x.Started(b.now, runID("j"), firstToken, executor.StartAccepted)
			got := b.reports(entryA, clock.Second)
			if test.want == few && got > few || test.want == enough && got < enough {
				t.Errorf("reports in a second: got %d, want at most %d for nothing and at least %d otherwise", got, few, enough)
			}
		})
	}
}

// A loosely following entry hears at once of what it must act on.
func TestLooselyFollowingEntryHearsOfEndsAtOnce(t *testing.T) {
	b := newBed(t)
	id := runID("j")
	o := b.orders(start(id, 6000, true))
	o.Loose = true
	b.x.Orders(b.now, entryA, o)
	b.tick()
	b.x.Started(b.now, id, firstToken, executor.StartAccepted)
	b.advance(20)
	b.take()
	b.list(firstToken, 1, nil, []executor.ListedEnd{{Sequence: 1, Run: id, End: batch.OutcomeDone}})
	b.tick()
	if got, want := b.states(entryA)[id], wire.TaskEvent_STATE_DONE; got != want {
		t.Errorf("state in the first report after the end: got %v, want %v", got, want)
	}
}

// An entry without runs at a worker sends no grants. When it takes over from
// another one, the runs that it inherits must go on until it has claimed them.
func TestInheritedRunsOutliveAnIdleHeir(t *testing.T) {
	b := newBed(t)
	b.x.Connected(entryB)
	b.x.Orders(b.now, entryB, b.orders())
	for range 50 {
		b.x.Orders(b.now, entryA, b.orders())
		b.advance(100)
	}
	id := runID("j")
	b.x.Orders(b.now, entryA, b.orders(start(id, 6000, false)))
	b.tick()
	b.x.Started(b.now, id, firstToken, executor.StartAccepted)
	b.take()
	b.x.Fences(b.now, map[ownership.Incarnation]ownership.Incarnation{entryA: entryB})
	b.advance(1000)
	for _, c := range b.take() {
		if l, ok := c.(executor.Lapsing); ok {
			t.Errorf("the lease was left to lapse for the run %v of the heir", l.Run)
		}
	}
}

// A start may arrive again after its run has ended and was acknowledged, for
// example when an entry repeats orders over a new session. The worker would
// refuse the attempt, and the entry must hear that nothing started.
func TestOrderOfAnEndedAttemptStartsNothing(t *testing.T) {
	b := newBed(t)
	id := runID("j")
	b.x.Orders(b.now, entryA, b.orders(start(id, 6000, true)))
	b.tick()
	b.x.Started(b.now, id, firstToken, executor.StartAccepted)
	b.list(firstToken, 1, nil, []executor.ListedEnd{{Sequence: 1, Run: id, End: batch.OutcomeDone}})
	b.x.Orders(b.now, entryA, &wire.TaskOrders{GrantedFrom: int64(b.now), Stored: []*wire.TaskRun{id.Wire()}})
	b.advance(20)
	if !b.x.Idle() {
		t.Fatal("the acknowledged run is still held")
	}
	b.take()
	b.x.Orders(b.now, entryA, b.orders(start(id, 6000, true)))
	b.advance(20)
	for _, c := range b.commands {
		if s, ok := c.(executor.StartRun); ok {
			t.Errorf("started %v again after its end", s.Run)
		}
	}
	if got, want := b.states(entryA)[id], wire.TaskEvent_STATE_NOT_STARTED; got != want {
		t.Errorf("state: got %v, want %v", got, want)
	}
}

// An end whose entry was silent until the lease had lapsed does not count: the
// entry may have placed the task elsewhere. It must not be reported either while
// an earlier end of another entry still waits for the store.
func TestVoidEndIsNotReported(t *testing.T) {
	b := newBed(t)
	b.x.Connected(entryB)
	waits, silent := runID("waits"), runID("silent")
	b.x.Orders(b.now, entryB, b.orders(start(waits, 6000, false)))
	b.x.Orders(b.now, entryA, b.orders(start(silent, 6000, false)))
	b.tick()
	for _, id := range []batch.RunID{waits, silent} {
		b.x.Started(b.now, id, firstToken, executor.StartAccepted)
	}
	ends := []executor.ListedEnd{{Sequence: 1, Run: waits, End: batch.OutcomeDone}, {Sequence: 2, Run: silent, End: batch.OutcomeDone}}
	b.list(firstToken, 1, nil, ends)
	b.x.Disconnected(entryA)
	for range 60 {
		b.x.Orders(b.now, entryB, b.orders())
		b.advance(100)
		b.list(firstToken, 1, nil, ends)
	}
	b.x.Connected(entryA)
	b.take()
	b.advance(20)
	if got := b.states(entryA); len(got) != 0 {
		t.Errorf("reported to the entry that was silent: got %v, want nothing", got)
	}
}
