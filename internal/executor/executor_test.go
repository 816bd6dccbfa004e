package executor_test

import (
	"maps"
	"strconv"
	"testing"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/executor"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	firstToken = 100
	maxHold    = clock.Second
	entryA     = ownership.Incarnation("entry-a")
	entryB     = ownership.Incarnation("entry-b")
)

// bed drives an Executor and plays its worker and its entries.
type bed struct {
	t        *testing.T
	x        *executor.Executor
	now      clock.Millis
	commands []executor.Command
	sequence int64
}

func newBed(t *testing.T) *bed {
	t.Helper()
	b := &bed{t: t, x: executor.New(firstToken, maxHold), now: 1_000_000}
	b.x.Fences(b.now, nil)
	b.report(1, 20_000)
	b.list(firstToken, 1, nil, nil)
	b.x.Connected(entryA)
	b.tick()
	return b
}

// report lets the worker tell its capacity.
func (b *bed) report(born, cpu int64) {
	b.sequence++
	b.x.WorkerReported(b.now, executor.Worker{
		ID: "w", Born: born, Sequence: b.sequence, Service: "s", Capacity: batch.Resources{CPU: cpu, MemoryMB: 1000},
	})
}

func (b *bed) list(token, born int64, running []executor.ListedRun, ended []executor.ListedEnd) {
	b.x.Listed(b.now, executor.Listing{Token: token, AskedAt: b.now, Born: born, Running: running, Ended: ended})
}

func (b *bed) tick() {
	b.commands = append(b.commands, b.x.Tick(b.now)...)
}

func (b *bed) advance(d clock.Millis) {
	b.now += d
	b.tick()
}

// take returns the commands since the last call.
func (b *bed) take() []executor.Command {
	c := b.commands
	b.commands = nil
	return c
}

func (b *bed) starts() []executor.StartRun {
	var out []executor.StartRun
	for _, c := range b.take() {
		if s, ok := c.(executor.StartRun); ok {
			out = append(out, s)
		}
	}
	return out
}

// states returns the last state that was reported of each run to an entry.
func (b *bed) states(entry ownership.Incarnation) map[batch.RunID]wire.TaskEvent_State {
	out := make(map[batch.RunID]wire.TaskEvent_State)
	for _, c := range b.take() {
		if r, ok := c.(executor.Report); ok && r.Entry == entry {
			for _, e := range r.Report.GetEvents() {
				out[batch.RunIDFromWire(e.GetRun())] = e.GetState()
			}
		}
	}
	return out
}

func runID(job string) batch.RunID {
	return batch.RunID{TaskID: batch.TaskID{Job: batch.JobID(job)}, Attempt: 1}
}

// orders returns orders with a grant from now.
func (b *bed) orders(starts ...*wire.TaskStart) *wire.TaskOrders {
	return &wire.TaskOrders{GrantedFrom: int64(b.now), Starts: starts}
}

func start(id batch.RunID, cpu int64, bestEffort bool) *wire.TaskStart {
	return &wire.TaskStart{Run: id.Wire(), Cpu: cpu, MemoryMb: 10, BestEffort: bestEffort}
}

// A worker without guards runs whatever it is told, so the sidecar has to keep
// its capacity, also for starts without an answer and runs that are being
// stopped.
func TestCapacityIsKept(t *testing.T) {
	b := newBed(t)
	var orders []*wire.TaskStart
	for i := range 5 {
		orders = append(orders, start(runID("j"+strconv.Itoa(i)), 6000, true))
	}
	b.x.Orders(b.now, entryA, b.orders(orders...))
	b.tick()
	started := b.starts()
	if got, want := len(started), 3; got != want {
		t.Fatalf("starts: got %d, want %d", got, want)
	}
	again := func(number batch.Attempt) {
		for i := range 5 {
			id := runID("j" + strconv.Itoa(i))
			id.Attempt = number
			b.x.Orders(b.now, entryA, b.orders(start(id, 6000, true)))
		}
	}
	b.x.Started(b.now, started[0].Run, started[0].Token, executor.StartAccepted)
	b.x.Started(b.now, started[1].Run, started[1].Token, executor.StartUnknown)
	b.x.Orders(b.now, entryA, &wire.TaskOrders{GrantedFrom: int64(b.now), Stops: []*wire.TaskRun{started[0].Run.Wire()}})
	again(2)
	b.advance(20)
	if got := len(b.starts()); got != 0 {
		t.Errorf("starts beside an unanswered start and a stop: got %d, want 0", got)
	}
	b.list(firstToken+1, 1, nil, []executor.ListedEnd{{Sequence: 1, Run: started[0].Run, End: batch.OutcomeStopped}})
	again(3)
	b.tick()
	if got, want := len(b.starts()), 2; got != want {
		t.Errorf("starts after the end and the listing under a higher token: got %d, want %d", got, want)
	}
}

// A start without an answer may be carried out seconds later. It is settled only
// by a listing under a higher token, which voids it.
func TestUnansweredStartIsSettledByAHigherToken(t *testing.T) {
	b := newBed(t)
	id := runID("j")
	b.x.Orders(b.now, entryA, b.orders(start(id, 6000, true)))
	b.tick()
	b.x.Started(b.now, id, firstToken, executor.StartUnknown)
	b.list(firstToken, 1, nil, nil)
	b.advance(20)
	if _, ok := b.states(entryA)[id]; ok {
		t.Error("a listing under the start's own token settled it")
	}
	if got, want := b.x.HoldRequest(b.now).Token, int64(firstToken+1); got != want {
		t.Errorf("token of the next listing: got %d, want %d", got, want)
	}
	b.list(firstToken+1, 1, nil, nil)
	b.advance(20)
	if got, want := b.states(entryA)[id], wire.TaskEvent_STATE_NOT_STARTED; got != want {
		t.Errorf("state: got %v, want %v", got, want)
	}
}

// Found on kee-quotes scale-1: a worker came back under its id, a task was
// started on its new life, and only then its report told of the new life. The
// sidecar took the run for lost and the entry started the task twice.
func TestRunOfANewLifeIsNotLost(t *testing.T) {
	b := newBed(t)
	id := runID("j")
	b.x.Orders(b.now, entryA, b.orders(start(id, 6000, true)))
	b.tick()
	b.x.Started(b.now, id, firstToken, executor.StartAccepted)
	b.take()
	b.sequence = 0
	b.advance(10)
	b.report(2, 20_000)
	b.advance(10)
	b.list(firstToken, 2, []executor.ListedRun{{Run: id, Percent: 10}}, nil)
	b.advance(20)
	if got := b.states(entryA)[id]; got == wire.TaskEvent_STATE_LOST {
		t.Errorf("state: got %v for a run that the new life lists", got)
	}
}

// A new life of a worker may have less room, so nothing is started on it before
// its report. Its ends are numbered anew: the cursor of the former life would
// acknowledge ends that nobody has seen.
func TestNewLifeWaitsForItsReport(t *testing.T) {
	b := newBed(t)
	first := runID("a")
	b.x.Orders(b.now, entryA, b.orders(start(first, 6000, true)))
	b.tick()
	b.x.Started(b.now, first, firstToken, executor.StartAccepted)
	b.list(firstToken, 1, nil, []executor.ListedEnd{{Sequence: 57, Run: first, End: batch.OutcomeDone}})
	b.x.Orders(b.now, entryA, &wire.TaskOrders{GrantedFrom: int64(b.now), Stored: []*wire.TaskRun{first.Wire()}})
	b.tick()
	if got, want := b.x.HoldRequest(b.now).Cursor, int64(57); got != want {
		t.Fatalf("cursor: got %d, want %d", got, want)
	}
	b.x.Unreachable(b.now)
	if got := b.x.HoldRequest(b.now).Cursor; got != 0 {
		t.Errorf("cursor after a listing without an answer: got %d, want 0", got)
	}
	b.advance(20)
	b.list(firstToken, 2, nil, nil)
	b.take()
	b.x.Orders(b.now, entryA, b.orders(start(runID("b"), 6000, true)))
	b.tick()
	if got := len(b.starts()); got != 0 {
		t.Errorf("starts before the report of the new life: got %d, want 0", got)
	}
	b.sequence = 0
	b.report(2, 5000)
	b.advance(20)
	b.x.Orders(b.now, entryA, b.orders(start(runID("c"), 6000, true), start(runID("d"), 4000, true)))
	b.tick()
	if got, want := len(b.starts()), 1; got != want {
		t.Errorf("starts on the smaller life: got %d, want %d", got, want)
	}
}

// A report that was delayed by a partition must not bring a former life back.
func TestLateReportOfAFormerLifeIsIgnored(t *testing.T) {
	b := newBed(t)
	b.report(5, 8000)
	b.list(firstToken, 5, nil, nil)
	b.report(4, 90_000)
	b.advance(20)
	b.x.Orders(b.now, entryA, b.orders(start(runID("a"), 9000, true)))
	b.tick()
	if got := len(b.starts()); got != 0 {
		t.Errorf("starts beyond the capacity of the present life: got %d, want 0", got)
	}
}

// The caller of a best-effort job submits it again 1.3 s after its entry was
// lost; the former runs must be over by then, also if the stop is not answered.
func TestBestEffortRunsEndWithTheirEntry(t *testing.T) {
	b := newBed(t)
	id := runID("j")
	b.x.Orders(b.now, entryA, b.orders(start(id, 6000, true)))
	granted := b.now
	b.tick()
	b.x.Started(b.now, id, firstToken, executor.StartAccepted)
	b.x.Disconnected(entryA)
	var stoppedAt, heldUntil clock.Millis
	for b.now < granted+1300 {
		b.advance(20)
		b.list(firstToken, 1, []executor.ListedRun{{Run: id, Percent: int(b.now-granted) / 100}}, nil)
		heldUntil = max(heldUntil, b.x.HoldRequest(b.now).Until)
		for _, c := range b.take() {
			if _, ok := c.(executor.StopRun); ok && stoppedAt == 0 {
				stoppedAt = b.now
			}
		}
	}
	if stoppedAt == 0 || stoppedAt > granted+1000 {
		t.Errorf("stop after the last grant: got %d ms, want at most 1000", stoppedAt-granted)
	}
	if heldUntil > granted+1200 {
		t.Errorf("lease of the worker after the last grant: got %d ms, want at most 1200", heldUntil-granted)
	}
}

// A start that was held up in a frozen process or on the way may have been
// decided again elsewhere.
func TestOldOrderIsNotStarted(t *testing.T) {
	b := newBed(t)
	o := b.orders(start(runID("j"), 6000, true))
	b.advance(4000)
	b.take()
	b.x.Orders(b.now, entryA, o)
	b.advance(20)
	if got := len(b.starts()); got != 0 {
		t.Errorf("starts on an order 4 s old: got %d, want 0", got)
	}
}

// A task that finds no room goes back to its entry at once, because another
// worker may have room while this one is full; a draining worker and one whose
// sidecar leaves start nothing.
func TestTasksWithoutRoomGoBack(t *testing.T) {
	for name, cause := range map[string]func(b *bed){
		"no room": func(b *bed) { b.x.Orders(b.now, entryA, b.orders(start(runID("a"), 18_000, true))) },
		"draining": func(b *bed) {
			b.sequence++
			b.x.WorkerReported(b.now, executor.Worker{
				ID: "w", Born: 1, Sequence: b.sequence, Service: "s", Capacity: batch.Resources{CPU: 90_000, MemoryMB: 1000}, Draining: true,
			})
		},
		"leaving": func(b *bed) { b.x.Leave() },
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t)
			waiting := runID("b")
			cause(b)
			b.x.Orders(b.now, entryA, b.orders(start(waiting, 18_000, true)))
			b.tick()
			if got, want := b.states(entryA)[waiting], wire.TaskEvent_STATE_NOT_STARTED; got != want {
				t.Errorf("state: got %v, want %v", got, want)
			}
		})
	}
}

// A sidecar that starts anew finds runs whose entry may be gone. Until they are
// claimed the worker's lease is not renewed and nothing is started, because
// their size is not known; then they are stopped.
func TestFoundRuns(t *testing.T) {
	x := executor.New(firstToken, maxHold)
	b := &bed{t: t, x: x, now: 1_000_000}
	x.Fences(b.now, nil)
	b.report(1, 20_000)
	claimed, unclaimed := runID("a"), runID("b")
	listed := []executor.ListedRun{{Run: claimed}, {Run: unclaimed}}
	b.list(firstToken, 1, listed, nil)
	x.Connected(entryA)
	b.tick()
	if got := b.states(entryA); len(got) != 2 {
		t.Fatalf("inventory: got %d runs, want 2", len(got))
	}
	if got := x.HoldRequest(b.now).Until; got != 0 {
		t.Errorf("lease renewed until %d beside unclaimed runs", got)
	}
	x.Orders(b.now, entryA, &wire.TaskOrders{GrantedFrom: int64(b.now), Adopts: []*wire.TaskStart{start(claimed, 6000, true)}})
	b.advance(executor.ClaimTime + 20)
	var stopped []batch.RunID
	for _, c := range b.take() {
		if s, ok := c.(executor.StopRun); ok {
			stopped = append(stopped, s.Run)
		}
	}
	if len(stopped) != 1 || stopped[0] != unclaimed {
		t.Errorf("stopped: got %v, want only the unclaimed run", stopped)
	}
}

// An end of a stored job that is acknowledged before the store has it is lost
// with the entry, and the task would be started again.
func TestEndIsAcknowledgedAfterTheStoreHasIt(t *testing.T) {
	b := newBed(t)
	id := runID("j")
	b.x.Orders(b.now, entryA, b.orders(start(id, 6000, false)))
	b.tick()
	b.x.Started(b.now, id, firstToken, executor.StartAccepted)
	b.list(firstToken, 1, nil, []executor.ListedEnd{{Sequence: 1, Run: id, End: batch.OutcomeDone}})
	b.advance(20)
	if got := b.x.HoldRequest(b.now).Cursor; got != 0 {
		t.Fatalf("cursor before the store has the end: got %d, want 0", got)
	}
	b.x.Orders(b.now, entryA, &wire.TaskOrders{GrantedFrom: int64(b.now), Stored: []*wire.TaskRun{id.Wire()}})
	b.advance(20)
	if got, want := b.x.HoldRequest(b.now).Cursor, int64(1); got != want {
		t.Errorf("cursor: got %d, want %d", got, want)
	}
}

// An entry that was silent for its grant may have started a stored task
// elsewhere. The worker's lease lapses before the end is acknowledged, and the
// end is reported to nobody.
func TestLeaseLapsesForASilentEntry(t *testing.T) {
	b := newBed(t)
	id := runID("j")
	b.x.Orders(b.now, entryA, b.orders(start(id, 6000, false)))
	b.tick()
	b.x.Started(b.now, id, firstToken, executor.StartAccepted)
	b.list(firstToken, 1, nil, []executor.ListedEnd{{Sequence: 1, Run: id, End: batch.OutcomeDone}})
	b.x.Disconnected(entryA)
	b.advance(executor.GrantTime + 20)
	if got := b.x.HoldRequest(b.now).Until; got != 0 {
		t.Errorf("lease renewed until %d for a silent entry", got)
	}
	b.list(firstToken, 1, nil, []executor.ListedEnd{{Sequence: 1, Run: id, End: batch.OutcomeDone}})
	if got := b.x.HoldRequest(b.now).Cursor; got != 0 {
		t.Errorf("cursor before the lease has lapsed: got %d, want 0", got)
	}
	b.advance(maxHold + 200)
	b.list(firstToken, 1, nil, []executor.ListedEnd{{Sequence: 1, Run: id, End: batch.OutcomeDone}})
	b.x.Connected(entryA)
	b.take()
	b.advance(20)
	if got := b.states(entryA); len(got) != 0 {
		t.Errorf("reported after the lease has lapsed: got %v, want nothing", got)
	}
	if got, want := b.x.HoldRequest(b.now).Cursor, int64(1); got != want {
		t.Errorf("cursor: got %d, want %d", got, want)
	}
}

// Orders of a deposed entry that come late must not start a task beside its
// successor's.
func TestDeposedEntryIsFencedOff(t *testing.T) {
	b := newBed(t)
	id := runID("j")
	b.x.Orders(b.now, entryA, b.orders(start(id, 6000, false)))
	b.tick()
	b.x.Started(b.now, id, firstToken, executor.StartAccepted)
	b.x.Connected(entryB)
	b.take()
	b.x.Orders(b.now, entryB, &wire.TaskOrders{
		GrantedFrom: int64(b.now), Fences: []*wire.FenceEntry{{Deposed: string(entryA), Successor: string(entryB)}},
	})
	b.x.Orders(b.now, entryA, b.orders(start(runID("k"), 100, false)))
	b.tick()
	deposed := false
	fenced := false
	for _, c := range b.take() {
		switch c := c.(type) {
		case executor.StartRun:
			t.Errorf("started %v of a deposed entry", c.Run)
		case executor.Report:
			deposed = deposed || c.Entry == entryA && c.Report.GetDeposed()
			if c.Entry == entryB && len(c.Report.GetFenced()) > 0 {
				fenced = c.Report.GetInventory() && len(c.Report.GetEvents()) == 1
			}
		}
	}
	if !fenced {
		t.Error("the successor got no inventory with its fence")
	}
	b.x.Orders(b.now, entryA, b.orders())
	b.advance(200)
	for _, c := range b.take() {
		if r, ok := c.(executor.Report); ok && r.Entry == entryA {
			deposed = deposed || r.Report.GetDeposed()
		}
	}
	if !deposed {
		t.Error("the deposed entry was not told")
	}
}

// Some workers let their tasks stand still while their health is good.
func TestStalledRunIsStopped(t *testing.T) {
	b := newBed(t)
	id := runID("j")
	b.x.Orders(b.now, entryA, b.orders(start(id, 6000, true)))
	b.tick()
	b.x.Started(b.now, id, firstToken, executor.StartAccepted)
	stopped := false
	for range 100 {
		b.x.Orders(b.now, entryA, b.orders())
		b.list(firstToken, 1, []executor.ListedRun{{Run: id, Percent: 7}}, nil)
		b.advance(20)
		for _, c := range b.take() {
			if _, ok := c.(executor.StopRun); ok {
				stopped = true
			}
		}
	}
	if !stopped {
		t.Fatal("a run without progress for 2 s was not stopped")
	}
	b.list(firstToken, 1, nil, []executor.ListedEnd{{Sequence: 1, Run: id, End: batch.OutcomeStopped}})
	b.tick()
	if got, want := b.states(entryA)[id], wire.TaskEvent_STATE_STALLED; got != want {
		t.Errorf("state: got %v, want %v", got, want)
	}
}

// An attempt that is not higher than a former one is refused by the worker. The
// entry must hear of it, or it waits for the run until the job's deadline.
func TestOldAttemptIsReported(t *testing.T) {
	b := newBed(t)
	id := runID("j")
	b.x.Orders(b.now, entryA, b.orders(start(id, 6000, true)))
	b.tick()
	b.x.Started(b.now, id, firstToken, executor.StartAccepted)
	b.x.Connected(entryB)
	b.tick()
	b.take()
	b.x.Orders(b.now, entryB, b.orders(start(id, 6000, true)))
	b.advance(20)
	if got, want := b.states(entryB)[id], wire.TaskEvent_STATE_NOT_STARTED; got != want {
		t.Errorf("state: got %v, want %v", got, want)
	}
}

// An earlier sidecar of the worker used a higher token, for example because the
// time of day has jumped back.
func TestTokenIsRaisedUntilTheWorkerTakesIt(t *testing.T) {
	x := executor.New(firstToken, maxHold)
	x.Fenced(firstToken)
	x.Fenced(firstToken)
	if got := x.HoldRequest(1).Token; got <= firstToken {
		t.Errorf("token: got %d, want more than %d", got, firstToken)
	}
}

// Found on days that end with all processes killed: a sidecar that starts anew
// took no task until the worker's next report, up to 1.5 s later. What an
// earlier sidecar heard holds for the same life of the worker, and only for it.
func TestRememberedWorker(t *testing.T) {
	remembered := executor.Worker{ID: "w", Born: 7, Service: "s", Capacity: batch.Resources{CPU: 8000, MemoryMB: 1000}}
	for _, tt := range []struct {
		name string
		born int64
		late bool
		want int
	}{
		{"same life", 7, false, 1},
		{"same life, read after the listing", 7, true, 1},
		{"another life", 8, false, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := &bed{t: t, x: executor.New(firstToken, maxHold), now: 1_000_000}
			b.x.Fences(b.now, nil)
			if !tt.late {
				b.x.Remembered(remembered)
			}
			b.list(firstToken, tt.born, nil, nil)
			if tt.late {
				b.x.Remembered(remembered)
			}
			b.x.Connected(entryA)
			b.tick()
			b.take()
			b.x.Orders(b.now, entryA, b.orders(start(runID("j"), 6000, true)))
			b.tick()
			if got := len(b.starts()); got != tt.want {
				t.Errorf("starts: got %d, want %d", got, tt.want)
			}
		})
	}
}

// Guards against entries that order tasks for the same free room in vain: it is
// offered to the one with the most urgent task, and the others are told that it
// is held.
func TestFreeRoomIsOfferedToTheMostUrgentEntry(t *testing.T) {
	b := newBed(t)
	b.x.Connected(entryB)
	b.tick()
	b.take()
	demand := func(from ownership.Incarnation, urgency int32, cpu int64) {
		b.x.Orders(b.now, from, &wire.TaskOrders{GrantedFrom: int64(b.now), Demand: urgency, DemandCpu: cpu})
	}
	demand(entryA, 2, 6000)
	demand(entryB, 1, 6000)
	b.tick()
	if got, want := b.offers(), (map[ownership.Incarnation]bool{entryB: true}); !maps.Equal(got, want) {
		t.Fatalf("offers: got %v, want %v", got, want)
	}
	b.advance(1)
	demand(entryB, 1, 6000)
	b.tick()
	if got, want := b.offers(), (map[ownership.Incarnation]bool{entryA: true}); !maps.Equal(got, want) {
		t.Errorf("offers after one without use: got %v, want %v", got, want)
	}
	b.advance(1)
	demand(entryA, 2, 90_000)
	b.advance(40)
	if got, want := b.offers(), (map[ownership.Incarnation]bool{entryB: true}); !maps.Equal(got, want) {
		t.Errorf("offers while one entry needs more than there is: got %v, want %v", got, want)
	}
}

// offers returns the entries that got an offer since the last call.
func (b *bed) offers() map[ownership.Incarnation]bool {
	out := make(map[ownership.Incarnation]bool)
	for _, c := range b.take() {
		if r, ok := c.(executor.Report); ok && r.Report.GetOffer() {
			out[r.Entry] = true
		}
	}
	return out
}
