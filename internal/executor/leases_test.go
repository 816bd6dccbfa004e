package executor_test

import (
	"math/rand/v2"
	"strconv"
	"testing"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/executor"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// placedElsewhereAfter is how long after the newest report that it has named in
	// orders an entry places a best-effort task of a silent sidecar elsewhere, at
	// the earliest.
	placedElsewhereAfter = executor.BestEffortGrantDuration + 400
	// workerDrift is how much longer than asked for a lease lasts on a worker whose
	// clock is 2% slow.
	workerDrift = maxLease / 50
)

// leaseWorker is a worker that never shortens its lease, and the best-effort runs
// on it.
type leaseWorker struct {
	*harness

	// lease is the end of the lease in force.
	lease clock.Millis
	// active holds the end of each run, owners the entry that ordered it.
	active   map[batch.RunID]clock.Millis
	owners   map[batch.RunID]ownership.Incarnation
	granted  map[ownership.Incarnation]clock.Millis
	ended    []executor.ListedEnd
	sequence int64
}

func newLeaseWorker(t *testing.T) *leaseWorker {
	t.Helper()
	return &leaseWorker{
		harness: newHarness(t), active: make(map[batch.RunID]clock.Millis), owners: make(map[batch.RunID]ownership.Incarnation),
		granted: make(map[ownership.Incarnation]clock.Millis),
	}
}

// grant delivers orders without a start that are based on a report sent age ago.
func (w *leaseWorker) grant(from ownership.Incarnation, age clock.Millis) {
	w.granted[from] = max(w.granted[from], w.now-age)
	w.x.OrdersReceived(w.now, from, &wire.TaskOrders{GrantedFrom: int64(w.now - age)})
	w.step(0)
}

// order delivers an order that is based on a report sent age ago and that starts a
// run of the given duration.
func (w *leaseWorker) order(from ownership.Incarnation, age clock.Millis, id batch.RunID, took clock.Millis) bool {
	o := w.orders(start(id, 10, true))
	o.GrantedFrom = int64(w.now - age)
	w.granted[from] = max(w.granted[from], w.now-age)
	w.owners[id] = from
	w.x.OrdersReceived(w.now, from, o)
	return w.step(took)[id]
}

// step executes the commands that are due and returns the runs that started.
func (w *leaseWorker) step(took clock.Millis) map[batch.RunID]bool {
	w.tick()
	started := make(map[batch.RunID]bool)
	for _, c := range w.take() {
		switch c := c.(type) {
		case executor.StartRun:
			w.extend(c.LeaseUntil)
			w.active[c.Run] = w.now + took
			w.x.StartAnswered(w.now, c.Run, c.Token, executor.StartAccepted)
			started[c.Run] = true
		case executor.StopRun:
			w.end(c.Run, batch.OutcomeStopped)
		}
	}
	w.check()
	return started
}

func (w *leaseWorker) extend(until clock.Millis) {
	w.lease = max(w.lease, min(until, w.now+maxLease))
}

func (w *leaseWorker) end(id batch.RunID, outcome batch.Outcome) {
	if _, ok := w.active[id]; !ok {
		return
	}
	delete(w.active, id)
	w.sequence++
	w.ended = append(w.ended, executor.ListedEnd{Sequence: w.sequence, Run: id, End: outcome})
}

// renew sends the next listing to the worker.
func (w *leaseWorker) renew() {
	r := w.x.ListRequest(w.now)
	w.extend(r.LeaseUntil)
	for len(w.ended) > 0 && w.ended[0].Sequence <= r.Cursor {
		w.ended = w.ended[1:]
	}
	var running []executor.ListedRun
	for id, endsAt := range w.active {
		switch {
		case w.now >= w.lease:
			w.end(id, batch.OutcomeLost)
		case w.now >= endsAt:
			w.end(id, batch.OutcomeDone)
		default:
			running = append(running, executor.ListedRun{Run: id, Percent: int(w.now) / 10 % 100})
		}
	}
	w.list(r.Token, 1, running, w.ended)
	w.step(0)
}

// check verifies that the worker kills each run before its entry places the task
// elsewhere, should the sidecar be silent from now on.
func (w *leaseWorker) check() {
	w.t.Helper()
	for id := range w.active {
		from := w.granted[w.owners[id]]
		if got, want := w.lease+workerDrift-from, placedElsewhereAfter; got > want {
			w.t.Fatalf("end of a run of %s after the report of its newest order, if the sidecar dies: got %d ms, want at most %d", w.owners[id], got, want)
		}
	}
}

// Guards against two runs of a task at once: the lease of a worker without runs
// was renewed for a second, so a run that was ordered on an older report outlived
// its grant when the sidecar died, while its entry placed the task elsewhere.
func TestLeaseDoesNotOutliveAStartOnAnOldReport(t *testing.T) {
	for age := clock.Millis(0); age <= 500; age += 10 {
		w := newLeaseWorker(t)
		w.renew()
		if !w.order(entryA, age, runID("j"), clock.Second) {
			t.Errorf("order on a report %d ms old at an idle worker: got refused, want started", age)
		}
	}
}

// Guards against a run that inherits a longer lease from the runs of other
// entries, whose orders are based on newer reports. Orders as old as those at
// usual load must still start.
func TestLeaseDoesNotOutliveAnyRunOfSeveralEntries(t *testing.T) {
	const entries, usualAge, minStarts = 4, 390, 300
	for seed := range uint64(6) {
		random := rand.New(rand.NewPCG(seed, 0))
		w := newLeaseWorker(t)
		started, refused := 0, 0
		for step := range 2000 {
			w.now += 10
			if step%10 == 0 {
				w.renew()
			}
			for i := range entries {
				from := ownership.Incarnation("entry-" + strconv.Itoa(i))
				if step%15 == 0 {
					w.grant(from, clock.Millis(random.IntN(150)))
				}
				if random.IntN(20) != 0 {
					continue
				}
				age := clock.Millis(random.IntN(501))
				ok := w.order(from, age, runID(strconv.Itoa(step)+"-"+strconv.Itoa(i)), clock.Millis(random.IntN(1500)))
				switch {
				case ok:
					started++
				case age <= usualAge:
					refused++
				}
			}
		}
		if started < minStarts || refused > 0 {
			t.Errorf("seed %d: got %d starts, %d orders on reports up to %d ms old refused, want at least %d and none", seed, started, refused, usualAge, minStarts)
		}
	}
}

// Guards against a start that is sent after a pause of the sidecar, when the task
// may run elsewhere: a start tells until when it may be sent.
func TestStartTellsHowLongItIsValid(t *testing.T) {
	h := newHarness(t)
	h.x.OrdersReceived(h.now, entryA, h.orders(start(runID("j"), 6000, true)))
	h.tick()
	starts := h.starts()
	if len(starts) != 1 {
		t.Fatalf("starts: got %d, want 1", len(starts))
	}
	if got, want := starts[0].NotAfter-h.now, clock.Millis(100); got <= 0 || got > want {
		t.Errorf("validity of a start: got %d ms, want more than 0 and at most %d", got, want)
	}
}
