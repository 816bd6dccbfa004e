package executor_test

import (
	"maps"
	"slices"
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
	maxLease   = clock.Second
	entryA     = ownership.Incarnation("entry-a")
	entryB     = ownership.Incarnation("entry-b")
)

// harness drives an Executor and simulates its worker and its entries.
type harness struct {
	t        *testing.T
	x        *executor.Executor
	now      clock.Millis
	commands []executor.Command
	sequence int64
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{t: t, x: executor.New(firstToken, maxLease), now: 1_000_000}
	h.x.FencesLoaded(h.now, nil)
	h.report(1, 20_000)
	h.list(firstToken, 1, nil, nil)
	h.x.EntryConnected(entryA)
	h.tick()
	return h
}

// report delivers a report of the worker about itself.
func (h *harness) report(born, cpu int64) {
	h.sequence++
	h.x.WorkerReported(h.now, executor.Worker{
		ID: "w", Incarnation: born, Sequence: h.sequence, Service: "s", Capacity: batch.Resources{CPU: cpu, MemoryMB: 1000},
	})
}

// list delivers a listing that is requested now.
func (h *harness) list(token, born int64, running []executor.ListedRun, ended []executor.ListedEnd) {
	h.x.RunsListed(h.now, executor.Listing{Token: token, RequestedAt: h.now, Incarnation: born, Running: running, Ended: ended})
}

func (h *harness) tick() {
	h.commands = append(h.commands, h.x.Tick(h.now)...)
}

func (h *harness) advance(d clock.Millis) {
	h.now += d
	h.tick()
}

// take returns the commands since the last call.
func (h *harness) take() []executor.Command {
	c := h.commands
	h.commands = nil
	return c
}

func (h *harness) starts() []executor.StartRun {
	var out []executor.StartRun
	for _, c := range h.take() {
		if s, ok := c.(executor.StartRun); ok {
			out = append(out, s)
		}
	}
	return out
}

// states returns the last state of each run that was reported to an entry since the
// last call of take.
func (h *harness) states(entry ownership.Incarnation) map[batch.RunID]wire.TaskEvent_State {
	out := make(map[batch.RunID]wire.TaskEvent_State)
	for _, c := range h.take() {
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

// orders returns orders that are based on a report sent now.
func (h *harness) orders(starts ...*wire.TaskStart) *wire.TaskOrders {
	return &wire.TaskOrders{GrantedFrom: int64(h.now), Starts: starts}
}

func start(id batch.RunID, cpu int64, bestEffort bool) *wire.TaskStart {
	return &wire.TaskStart{Run: id.Wire(), Cpu: cpu, MemoryMb: 10, BestEffort: bestEffort}
}

// The worker doesn't check its capacity, so the sidecar must not exceed it, counting
// unanswered starts and runs that are being stopped.
func TestCapacityIsNotExceeded(t *testing.T) {
	h := newHarness(t)
	var orders []*wire.TaskStart
	for i := range 5 {
		orders = append(orders, start(runID("j"+strconv.Itoa(i)), 6000, true))
	}
	h.x.OrdersReceived(h.now, entryA, h.orders(orders...))
	h.tick()
	started := h.starts()
	if got, want := len(started), 3; got != want {
		t.Fatalf("starts: got %d, want %d", got, want)
	}
	again := func(number batch.Attempt) {
		for i := range 5 {
			id := runID("j" + strconv.Itoa(i))
			id.Attempt = number
			h.x.OrdersReceived(h.now, entryA, h.orders(start(id, 6000, true)))
		}
	}
	h.x.StartAnswered(h.now, started[0].Run, started[0].Token, executor.StartAccepted)
	h.x.StartAnswered(h.now, started[1].Run, started[1].Token, executor.StartUnknown)
	h.x.OrdersReceived(h.now, entryA, &wire.TaskOrders{GrantedFrom: int64(h.now), Stops: []*wire.TaskRun{started[0].Run.Wire()}})
	again(2)
	h.advance(20)
	if got := len(h.starts()); got != 0 {
		t.Errorf("starts during an unanswered start and a stop: got %d, want 0", got)
	}
	h.list(firstToken+1, 1, nil, []executor.ListedEnd{{Sequence: 1, Run: started[0].Run, End: batch.OutcomeStopped}})
	again(3)
	h.tick()
	if got, want := len(h.starts()), 2; got != want {
		t.Errorf("starts after the end and the listing under a higher token: got %d, want %d", got, want)
	}
}

// An unanswered start may take effect seconds later. Only a listing under a higher
// token resolves it, because it makes the start ineffective.
func TestUnansweredStartIsSettledByAHigherToken(t *testing.T) {
	h := newHarness(t)
	id := runID("j")
	h.x.OrdersReceived(h.now, entryA, h.orders(start(id, 6000, true)))
	h.tick()
	h.x.StartAnswered(h.now, id, firstToken, executor.StartUnknown)
	h.list(firstToken, 1, nil, nil)
	h.advance(20)
	if _, ok := h.states(entryA)[id]; ok {
		t.Error("a listing under the start's own token resolved it")
	}
	if got, want := h.x.ListRequest(h.now).Token, int64(firstToken+1); got != want {
		t.Errorf("token of the next listing: got %d, want %d", got, want)
	}
	h.list(firstToken+1, 1, nil, nil)
	h.advance(20)
	if got, want := h.states(entryA)[id], wire.TaskEvent_STATE_NOT_STARTED; got != want {
		t.Errorf("state: got %v, want %v", got, want)
	}
}

// Guards against starting a task twice: a worker was replaced under the same ID and
// a task started on the new incarnation before its first report, upon which the
// sidecar considered the run lost.
func TestRunOfANewIncarnationIsNotLost(t *testing.T) {
	h := newHarness(t)
	id := runID("j")
	h.x.OrdersReceived(h.now, entryA, h.orders(start(id, 6000, true)))
	h.tick()
	h.x.StartAnswered(h.now, id, firstToken, executor.StartAccepted)
	h.take()
	h.sequence = 0
	h.advance(10)
	h.report(2, 20_000)
	h.advance(10)
	h.list(firstToken, 2, []executor.ListedRun{{Run: id, Percent: 10}}, nil)
	h.advance(20)
	if got := h.states(entryA)[id]; got == wire.TaskEvent_STATE_LOST {
		t.Errorf("state: got %v for a run that the new incarnation lists", got)
	}
}

// A new incarnation of a worker may have less capacity, so nothing is started on it
// before its report. It restarts the numbers of its ends, so the cursor of the
// previous incarnation would acknowledge ends that no sidecar has seen.
func TestNewIncarnationWaitsForItsReport(t *testing.T) {
	h := newHarness(t)
	first := runID("a")
	h.x.OrdersReceived(h.now, entryA, h.orders(start(first, 6000, true)))
	h.tick()
	h.x.StartAnswered(h.now, first, firstToken, executor.StartAccepted)
	h.list(firstToken, 1, nil, []executor.ListedEnd{{Sequence: 57, Run: first, End: batch.OutcomeDone}})
	h.x.OrdersReceived(h.now, entryA, &wire.TaskOrders{GrantedFrom: int64(h.now), Stored: []*wire.TaskRun{first.Wire()}})
	h.tick()
	if got, want := h.x.ListRequest(h.now).Cursor, int64(57); got != want {
		t.Fatalf("cursor: got %d, want %d", got, want)
	}
	h.x.WorkerUnreachable(h.now)
	if got := h.x.ListRequest(h.now).Cursor; got != 0 {
		t.Errorf("cursor after a listing without an answer: got %d, want 0", got)
	}
	h.advance(20)
	h.list(firstToken, 2, nil, nil)
	h.list(h.x.ListRequest(h.now).Token, 2, nil, nil)
	h.take()
	h.x.OrdersReceived(h.now, entryA, h.orders(start(runID("b"), 6000, true)))
	h.tick()
	if got := len(h.starts()); got != 0 {
		t.Errorf("starts before the report of the new incarnation: got %d, want 0", got)
	}
	h.sequence = 0
	h.report(2, 5000)
	h.advance(20)
	h.x.OrdersReceived(h.now, entryA, h.orders(start(runID("c"), 6000, true), start(runID("d"), 4000, true)))
	h.tick()
	if got, want := len(h.starts()), 1; got != want {
		t.Errorf("starts on the smaller incarnation: got %d, want %d", got, want)
	}
}

// Guards against two runs of a task at once: a start that was sent to a worker
// before its restart may be executed after it, and the new incarnation has seen no
// token that rejects it. Nothing starts before a listing under a higher token.
func TestLateCallsToAnEarlierIncarnationAreFenced(t *testing.T) {
	for name, replace := range map[string]func(h *harness){
		"report":  func(h *harness) { h.sequence = 0; h.report(2, 20_000) },
		"listing": func(h *harness) { h.list(firstToken, 2, nil, nil); h.sequence = 0; h.report(2, 20_000) },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.x.OrdersReceived(h.now, entryA, h.orders(start(runID("a"), 100, true)))
			h.tick()
			sent := h.starts()
			if len(sent) != 1 || sent[0].Worker != "w" {
				t.Fatalf("starts: got %v, want one for the worker", sent)
			}
			h.advance(10)
			replace(h)
			h.list(firstToken, 2, nil, nil)
			h.advance(10)
			h.x.OrdersReceived(h.now, entryA, h.orders(start(runID("b"), 100, true)))
			h.tick()
			if got := len(h.starts()); got != 0 {
				t.Errorf("starts before a listing under a higher token: got %d, want 0", got)
			}
			r := h.x.ListRequest(h.now)
			if r.Token <= sent[0].Token {
				t.Errorf("token of the next listing: got %d, want more than %d", r.Token, sent[0].Token)
			}
			h.list(r.Token, 2, nil, nil)
			// Calls before the listing may have renewed the lease for maxLease.
			h.advance(200)
			h.take()
			early := h.orders(start(runID("early"), 100, true))
			early.GrantedFrom -= 201
			h.x.OrdersReceived(h.now, entryB, early)
			h.tick()
			if got := len(h.starts()); got != 0 {
				t.Errorf("starts on a report before the listing: got %d, want 0", got)
			}
			h.x.OrdersReceived(h.now, entryA, h.orders(start(runID("c"), 100, true)))
			h.tick()
			if got := len(h.starts()); got != 1 {
				t.Errorf("starts after it: got %d, want 1", got)
			}
		})
	}
}

// Guards against telling a caller that its job has not run although a task started:
// the answer to the start was lost, and the worker restarted before a listing could
// show the run.
func TestUnansweredStartBeforeARestartMayHaveRun(t *testing.T) {
	h := newHarness(t)
	id := runID("j")
	h.x.OrdersReceived(h.now, entryA, h.orders(start(id, 6000, true)))
	h.tick()
	h.x.StartAnswered(h.now, id, firstToken, executor.StartUnknown)
	h.advance(20)
	h.sequence = 0
	h.report(2, 20_000)
	h.list(h.x.ListRequest(h.now).Token, 2, nil, nil)
	h.advance(20)
	if got, want := h.states(entryA)[id], wire.TaskEvent_STATE_LOST; got != want {
		t.Errorf("state: got %v, want %v", got, want)
	}
}

// Guards against two runs of a task at once: the lease of a silent worker was over,
// so an unanswered start was reported as lost and its task placed elsewhere. The
// worker started again under its ID, executed the start late and had seen no token
// that rejects it.
func TestUnansweredStartIsNotLostWhileItMayTakeEffect(t *testing.T) {
	ends := map[string]struct {
		resolve func(h *harness, id batch.RunID)
		want    wire.TaskEvent_State
	}{
		"executed by the next incarnation": {func(h *harness, id batch.RunID) {
			h.list(h.x.ListRequest(h.now).Token, 2, []executor.ListedRun{{Run: id}}, nil)
		}, wire.TaskEvent_STATE_RUNNING},
		"rejected by the next incarnation": {func(h *harness, _ batch.RunID) {
			h.list(h.x.ListRequest(h.now).Token, 2, nil, nil)
			h.list(h.x.ListRequest(h.now).Token, 2, nil, nil)
		}, wire.TaskEvent_STATE_LOST},
		"rejected by another worker": {func(h *harness, _ batch.RunID) {
			h.x.WorkerReported(h.now, executor.Worker{ID: "other", Incarnation: 2, Sequence: 1, Service: "s"})
			h.list(h.x.ListRequest(h.now).Token, 2, nil, nil)
		}, wire.TaskEvent_STATE_LOST},
		"no worker again": {func(h *harness, _ batch.RunID) {
			h.advance(15 * clock.Second)
			h.x.WorkerUnreachable(h.now)
		}, wire.TaskEvent_STATE_LOST},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			id := runID("j")
			h.x.OrdersReceived(h.now, entryA, h.orders(start(id, 6000, true)))
			h.tick()
			h.x.StartAnswered(h.now, id, firstToken, executor.StartUnknown)
			for range 20 {
				h.advance(100)
				h.x.OrdersReceived(h.now, entryA, h.orders())
				h.x.WorkerUnreachable(h.now)
			}
			h.advance(20)
			if got, ok := h.states(entryA)[id]; ok {
				t.Errorf("state before the worker is back: got %v, want none", got)
			}
			end.resolve(h, id)
			h.advance(150)
			if got := h.states(entryA)[id]; got != end.want {
				t.Errorf("state: got %v, want %v", got, end.want)
			}
		})
	}
}

// Guards against a record that cannot tell whether a start without an answer had an
// effect, and whether its worker started again in between.
func TestResolutionOfAnUnansweredStartIsReported(t *testing.T) {
	id := runID("j")
	for name, tt := range map[string]struct {
		born int64
		runs []executor.ListedRun
		want executor.StartResolved
	}{
		"executed":   {1, []executor.ListedRun{{Run: id}}, executor.StartResolved{Effect: executor.StartExecuted}},
		"rejected":   {1, nil, executor.StartResolved{Effect: executor.StartRejected}},
		"unresolved": {2, nil, executor.StartResolved{Effect: executor.StartUnresolved, Replaced: true}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.x.OrdersReceived(h.now, entryA, h.orders(start(id, 6000, true)))
			h.tick()
			h.x.StartAnswered(h.now, id, firstToken, executor.StartUnknown)
			h.advance(20)
			h.list(firstToken+1, tt.born, tt.runs, nil)
			h.list(h.x.ListRequest(h.now).Token, tt.born, tt.runs, nil)
			h.tick()
			want := tt.want
			want.Run, want.Entry, want.Age = id, entryA, 20
			var got []executor.StartResolved
			for _, c := range h.take() {
				if r, ok := c.(executor.StartResolved); ok {
					got = append(got, r)
				}
			}
			if len(got) != 1 || got[0] != want {
				t.Errorf("resolutions: got %+v, want %+v", got, want)
			}
		})
	}
}

// Guards against two runs of a task at once: a start that a listing under a higher
// token had resolved as not started is executed by the next incarnation of the worker,
// which has not seen that token, while the task runs elsewhere.
func TestResolvedStartDoesNotRunOnTheNextIncarnation(t *testing.T) {
	h := newHarness(t)
	id := runID("j")
	h.x.OrdersReceived(h.now, entryA, h.orders(start(id, 6000, true)))
	h.tick()
	h.x.StartAnswered(h.now, id, firstToken, executor.StartUnknown)
	h.advance(20)
	h.list(h.x.ListRequest(h.now).Token, 1, nil, nil)
	h.advance(20)
	before := h.states(entryA)[id]
	h.advance(2 * clock.Second)
	h.sequence = 0
	h.report(2, 20_000)
	h.list(h.x.ListRequest(h.now).Token, 2, []executor.ListedRun{{Run: id}}, nil)
	h.advance(150)
	if after := h.states(entryA)[id]; before == wire.TaskEvent_STATE_NOT_STARTED && after == wire.TaskEvent_STATE_RUNNING {
		t.Errorf("states: got %v, then %v", before, after)
	}
}

// Guards against a longer overlap of two runs than the time until the first listing of the
// worker's next incarnation: a start that was resolved as not started ran on for as long as
// its entry needed to have it stopped. The entry learns that it ended, and the capacity of
// the worker counts it until then.
func TestLateStartIsStoppedAtTheFirstListing(t *testing.T) {
	h := newHarness(t)
	id := runID("j")
	h.x.OrdersReceived(h.now, entryA, h.orders(start(id, 15_000, false)))
	h.tick()
	h.x.StartAnswered(h.now, id, firstToken, executor.StartUnknown)
	h.advance(20)
	h.list(h.x.ListRequest(h.now).Token, 1, nil, nil)
	h.advance(2 * clock.Second)
	h.x.OrdersReceived(h.now, entryA, h.orders())
	h.take()
	h.sequence = 0
	h.report(2, 20_000)
	h.list(h.x.ListRequest(h.now).Token, 2, []executor.ListedRun{{Run: id}}, nil)
	h.x.OrdersReceived(h.now, entryA, h.orders(start(runID("k"), 15_000, false)))
	h.tick()
	var stops []executor.StopRun
	for _, c := range h.take() {
		switch c := c.(type) {
		case executor.StopRun:
			stops = append(stops, c)
		case executor.StartRun:
			t.Errorf("start beside the late run: got %v, want none", c.Run)
		}
	}
	if len(stops) != 1 || stops[0].Run != id || stops[0].Reason != executor.StopLateStart {
		t.Fatalf("stops at the first listing: got %v, want one of the late start", stops)
	}
	h.now += 10
	h.list(h.x.ListRequest(h.now).Token, 2, nil, []executor.ListedEnd{{Sequence: 1, Run: id, End: batch.OutcomeStopped}})
	h.tick()
	if got, want := h.states(entryA)[id], wire.TaskEvent_STATE_STOPPED; got != want {
		t.Errorf("state: got %v, want %v", got, want)
	}
}

// Guards against a worker whose lease is left to lapse, with all of its runs, because a late
// start counted as a run of the entry that had ordered it and was deposed since.
func TestLateStartBelongsToTheSuccessorOfItsEntry(t *testing.T) {
	h := newHarness(t)
	h.x.EntryConnected(entryB)
	id := runID("j")
	h.x.OrdersReceived(h.now, entryA, h.orders(start(id, 5000, false)))
	h.tick()
	h.x.StartAnswered(h.now, id, firstToken, executor.StartUnknown)
	h.advance(20)
	h.list(h.x.ListRequest(h.now).Token, 1, nil, nil)
	h.x.EntryDisconnected(entryA)
	fences := h.orders()
	fences.Fences = []*wire.FenceEntry{{Deposed: string(entryA), Successor: string(entryB)}}
	h.x.OrdersReceived(h.now, entryB, fences)
	for range 50 {
		h.advance(100)
		h.x.OrdersReceived(h.now, entryB, h.orders())
		h.list(h.x.ListRequest(h.now).Token, 1, nil, nil)
	}
	h.sequence = 0
	h.report(2, 20_000)
	h.list(h.x.ListRequest(h.now).Token, 2, []executor.ListedRun{{Run: id}}, nil)
	h.take()
	h.advance(10)
	for _, c := range h.take() {
		if e, ok := c.(executor.LeaseExpiring); ok {
			t.Errorf("lease: got left to lapse for %v of %s, want it renewed", e.Run, e.Entry)
		}
	}
	h.list(h.x.ListRequest(h.now).Token, 2, nil, []executor.ListedEnd{{Sequence: 1, Run: id, End: batch.OutcomeStopped}})
	h.tick()
	if got, want := h.states(entryB)[id], wire.TaskEvent_STATE_STOPPED; got != want {
		t.Errorf("state at the successor: got %v, want %v", got, want)
	}
}

// Guards against a caller that is told that its job has not run: a listing that is
// full may omit the end of a run whose start got no answer.
func TestFullListingResolvesNoUnansweredStart(t *testing.T) {
	h := newHarness(t)
	id := runID("j")
	h.x.OrdersReceived(h.now, entryA, h.orders(start(id, 6000, true)))
	h.tick()
	h.x.StartAnswered(h.now, id, firstToken, executor.StartUnknown)
	h.advance(20)
	var ends []executor.ListedEnd
	for i := range 500 {
		ends = append(ends, executor.ListedEnd{Sequence: int64(i + 1), Run: runID("o" + strconv.Itoa(i)), End: batch.OutcomeDone})
	}
	h.list(h.x.ListRequest(h.now).Token, 1, nil, ends)
	h.advance(20)
	if got, ok := h.states(entryA)[id]; ok {
		t.Errorf("state after a full listing: got %v, want none", got)
	}
}

// Guards against a run that is never reported as lost, and against one that nothing
// stops: a late start of an earlier attempt hid the loss of the later one.
func TestLateEarlierAttemptDoesNotHideTheLossOfTheLaterOne(t *testing.T) {
	h := newHarness(t)
	first, second := runID("j"), runID("j")
	second.Attempt = 2
	h.x.OrdersReceived(h.now, entryA, h.orders(start(first, 6000, true)))
	h.tick()
	h.x.StartAnswered(h.now, first, firstToken, executor.StartUnknown)
	h.advance(20)
	h.list(h.x.ListRequest(h.now).Token, 1, nil, nil)
	h.advance(20)
	h.x.OrdersReceived(h.now, entryA, h.orders(start(second, 6000, true)))
	h.tick()
	for _, s := range h.starts() {
		h.x.StartAnswered(h.now, s.Run, s.Token, executor.StartAccepted)
	}
	h.advance(100)
	h.sequence = 0
	h.report(2, 20_000)
	h.list(h.x.ListRequest(h.now).Token, 2, []executor.ListedRun{{Run: first}}, nil)
	h.tick()
	commands := h.take()
	stopped := slices.ContainsFunc(commands, func(c executor.Command) bool {
		s, ok := c.(executor.StopRun)
		return ok && s.Run == first
	})
	if !stopped {
		t.Errorf("commands: got %v, want a stop of the first attempt", commands)
	}
	h.commands = commands
	h.advance(20)
	if got, want := h.states(entryA)[second], wire.TaskEvent_STATE_LOST; got != want {
		t.Errorf("state of the second attempt: got %v, want %v", got, want)
	}
}

// A report that was delayed by a network partition must not restore an earlier
// incarnation.
func TestStaleReportOfAnEarlierIncarnationIsIgnored(t *testing.T) {
	h := newHarness(t)
	h.report(5, 8000)
	h.list(firstToken, 5, nil, nil)
	h.report(4, 90_000)
	h.advance(20)
	h.x.OrdersReceived(h.now, entryA, h.orders(start(runID("a"), 9000, true)))
	h.tick()
	if got := len(h.starts()); got != 0 {
		t.Errorf("starts beyond the capacity of the current incarnation: got %d, want 0", got)
	}
}

// The caller of a best-effort job resubmits it 1.3 s after the loss of its entry;
// the earlier runs must have ended by then, even if the stop gets no answer.
func TestBestEffortRunsEndWithTheirEntry(t *testing.T) {
	h := newHarness(t)
	id := runID("j")
	h.x.OrdersReceived(h.now, entryA, h.orders(start(id, 6000, true)))
	granted := h.now
	h.tick()
	h.x.StartAnswered(h.now, id, firstToken, executor.StartAccepted)
	h.x.EntryDisconnected(entryA)
	var stoppedAt, heldUntil clock.Millis
	for h.now < granted+1300 {
		h.advance(20)
		h.list(firstToken, 1, []executor.ListedRun{{Run: id, Percent: int(h.now-granted) / 100}}, nil)
		heldUntil = max(heldUntil, h.x.ListRequest(h.now).LeaseUntil)
		for _, c := range h.take() {
			if _, ok := c.(executor.StopRun); ok && stoppedAt == 0 {
				stoppedAt = h.now
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

// A start that was delayed in a frozen process or in the network may since have been
// ordered from another worker.
func TestStaleOrderIsNotStarted(t *testing.T) {
	h := newHarness(t)
	o := h.orders(start(runID("j"), 6000, true))
	h.advance(4000)
	h.take()
	h.x.OrdersReceived(h.now, entryA, o)
	h.advance(20)
	if got := len(h.starts()); got != 0 {
		t.Errorf("starts on an order 4 s old: got %d, want 0", got)
	}
}

// A task that doesn't fit is returned to its entry immediately, because another
// worker may have free capacity. A draining worker and one whose sidecar is
// stopping start nothing.
func TestTasksWithoutCapacityAreReturned(t *testing.T) {
	for name, cause := range map[string]func(h *harness){
		"no free capacity": func(h *harness) { h.x.OrdersReceived(h.now, entryA, h.orders(start(runID("a"), 18_000, true))) },
		"draining": func(h *harness) {
			h.sequence++
			h.x.WorkerReported(h.now, executor.Worker{
				ID: "w", Incarnation: 1, Sequence: h.sequence, Service: "s", Capacity: batch.Resources{CPU: 90_000, MemoryMB: 1000}, Draining: true,
			})
		},
		"leaving": func(h *harness) { h.x.Drain() },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			waiting := runID("b")
			cause(h)
			h.x.OrdersReceived(h.now, entryA, h.orders(start(waiting, 18_000, true)))
			h.tick()
			if got, want := h.states(entryA)[waiting], wire.TaskEvent_STATE_NOT_STARTED; got != want {
				t.Errorf("state: got %v, want %v", got, want)
			}
		})
	}
}

// A restarted sidecar discovers runs whose entry may be dead. While they are
// unclaimed the worker's lease is not renewed and nothing is started, because their
// resources are unknown; after ClaimTimeout they are stopped.
func TestDiscoveredRuns(t *testing.T) {
	x := executor.New(firstToken, maxLease)
	h := &harness{t: t, x: x, now: 1_000_000}
	x.FencesLoaded(h.now, nil)
	h.report(1, 20_000)
	claimed, unclaimed := runID("a"), runID("b")
	listed := []executor.ListedRun{{Run: claimed}, {Run: unclaimed}}
	h.list(firstToken, 1, listed, nil)
	x.EntryConnected(entryA)
	h.tick()
	if got := h.states(entryA); len(got) != 2 {
		t.Fatalf("inventory: got %d runs, want 2", len(got))
	}
	if got := x.ListRequest(h.now).LeaseUntil; got != 0 {
		t.Errorf("lease renewed until %d despite unclaimed runs", got)
	}
	x.OrdersReceived(h.now, entryA, &wire.TaskOrders{GrantedFrom: int64(h.now), Adopts: []*wire.TaskStart{start(claimed, 6000, true)}})
	h.advance(executor.ClaimTimeout + 20)
	var stopped []batch.RunID
	for _, c := range h.take() {
		if s, ok := c.(executor.StopRun); ok {
			stopped = append(stopped, s.Run)
		}
	}
	if len(stopped) != 1 || stopped[0] != unclaimed {
		t.Errorf("stopped: got %v, want only the unclaimed run", stopped)
	}
}

// If an end of a stored job were acknowledged before the store has it, the loss of
// the entry would lose the end, and the task would be started again.
func TestEndIsAcknowledgedAfterTheStoreHasIt(t *testing.T) {
	h := newHarness(t)
	id := runID("j")
	h.x.OrdersReceived(h.now, entryA, h.orders(start(id, 6000, false)))
	h.tick()
	h.x.StartAnswered(h.now, id, firstToken, executor.StartAccepted)
	h.list(firstToken, 1, nil, []executor.ListedEnd{{Sequence: 1, Run: id, End: batch.OutcomeDone}})
	h.advance(20)
	if got := h.x.ListRequest(h.now).Cursor; got != 0 {
		t.Fatalf("cursor before the store has the end: got %d, want 0", got)
	}
	h.x.OrdersReceived(h.now, entryA, &wire.TaskOrders{GrantedFrom: int64(h.now), Stored: []*wire.TaskRun{id.Wire()}})
	h.advance(20)
	if got, want := h.x.ListRequest(h.now).Cursor, int64(1); got != want {
		t.Errorf("cursor: got %d, want %d", got, want)
	}
}

// An entry whose grant has expired may have started a stored task on another worker.
// The worker's lease expires before the end is acknowledged, and the end is
// reported to no entry.
func TestLeaseExpiresForASilentEntry(t *testing.T) {
	h := newHarness(t)
	id := runID("j")
	h.x.OrdersReceived(h.now, entryA, h.orders(start(id, 6000, false)))
	h.tick()
	h.x.StartAnswered(h.now, id, firstToken, executor.StartAccepted)
	h.list(firstToken, 1, nil, []executor.ListedEnd{{Sequence: 1, Run: id, End: batch.OutcomeDone}})
	h.x.EntryDisconnected(entryA)
	h.advance(executor.GrantDuration + 20)
	if got := h.x.ListRequest(h.now).LeaseUntil; got != 0 {
		t.Errorf("lease renewed until %d for a silent entry", got)
	}
	h.list(firstToken, 1, nil, []executor.ListedEnd{{Sequence: 1, Run: id, End: batch.OutcomeDone}})
	if got := h.x.ListRequest(h.now).Cursor; got != 0 {
		t.Errorf("cursor before the lease has expired: got %d, want 0", got)
	}
	h.advance(maxLease + 200)
	h.list(firstToken, 1, nil, []executor.ListedEnd{{Sequence: 1, Run: id, End: batch.OutcomeDone}})
	h.x.EntryConnected(entryA)
	h.take()
	h.advance(20)
	if got := h.states(entryA); len(got) != 0 {
		t.Errorf("reported after the lease has expired: got %v, want nothing", got)
	}
	if got, want := h.x.ListRequest(h.now).Cursor, int64(1); got != want {
		t.Errorf("cursor: got %d, want %d", got, want)
	}
}

// Late orders of a deposed entry must not start a task that its successor may start
// too.
func TestDeposedEntryIsFencedOff(t *testing.T) {
	h := newHarness(t)
	id := runID("j")
	h.x.OrdersReceived(h.now, entryA, h.orders(start(id, 6000, false)))
	h.tick()
	h.x.StartAnswered(h.now, id, firstToken, executor.StartAccepted)
	h.x.EntryConnected(entryB)
	h.take()
	h.x.OrdersReceived(h.now, entryB, &wire.TaskOrders{
		GrantedFrom: int64(h.now), Fences: []*wire.FenceEntry{{Deposed: string(entryA), Successor: string(entryB)}},
	})
	h.x.OrdersReceived(h.now, entryA, h.orders(start(runID("k"), 100, false)))
	h.tick()
	deposed := false
	fenced := false
	for _, c := range h.take() {
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
	h.x.OrdersReceived(h.now, entryA, h.orders())
	h.advance(200)
	for _, c := range h.take() {
		if r, ok := c.(executor.Report); ok && r.Entry == entryA {
			deposed = deposed || r.Report.GetDeposed()
		}
	}
	if !deposed {
		t.Error("no report tells the deposed entry that it is deposed")
	}
}

// A worker can report itself as healthy while its tasks make no progress.
func TestStalledRunIsStopped(t *testing.T) {
	h := newHarness(t)
	id := runID("j")
	h.x.OrdersReceived(h.now, entryA, h.orders(start(id, 6000, true)))
	h.tick()
	h.x.StartAnswered(h.now, id, firstToken, executor.StartAccepted)
	stopped := false
	for range 100 {
		h.x.OrdersReceived(h.now, entryA, h.orders())
		h.list(firstToken, 1, []executor.ListedRun{{Run: id, Percent: 7}}, nil)
		h.advance(20)
		for _, c := range h.take() {
			if _, ok := c.(executor.StopRun); ok {
				stopped = true
			}
		}
	}
	if !stopped {
		t.Fatal("a run without progress for 2 s was not stopped")
	}
	h.list(firstToken, 1, nil, []executor.ListedEnd{{Sequence: 1, Run: id, End: batch.OutcomeStopped}})
	h.tick()
	if got, want := h.states(entryA)[id], wire.TaskEvent_STATE_STALLED; got != want {
		t.Errorf("state: got %v, want %v", got, want)
	}
}

// The worker refuses an attempt that is not higher than an earlier one. This must be
// reported to the entry, or it waits for the run until the job's deadline.
func TestStaleAttemptIsReported(t *testing.T) {
	h := newHarness(t)
	id := runID("j")
	h.x.OrdersReceived(h.now, entryA, h.orders(start(id, 6000, true)))
	h.tick()
	h.x.StartAnswered(h.now, id, firstToken, executor.StartAccepted)
	h.x.EntryConnected(entryB)
	h.tick()
	h.take()
	h.x.OrdersReceived(h.now, entryB, h.orders(start(id, 6000, true)))
	h.advance(20)
	if got, want := h.states(entryB)[id], wire.TaskEvent_STATE_NOT_STARTED; got != want {
		t.Errorf("state: got %v, want %v", got, want)
	}
}

// An earlier sidecar of the worker may have used a higher token, for example because
// the system clock was set back.
func TestTokenIsRaisedUntilTheWorkerAcceptsIt(t *testing.T) {
	x := executor.New(firstToken, maxLease)
	x.TokenRefused(firstToken)
	x.TokenRefused(firstToken)
	if got := x.ListRequest(1).Token; got <= firstToken {
		t.Errorf("token: got %d, want more than %d", got, firstToken)
	}
}

// Guards against a delay after a restart: without the stored description of the
// worker, a restarted sidecar starts no task until the worker's next report, up to
// 1.5 s later. The description is valid only for the same incarnation.
func TestRestoredWorker(t *testing.T) {
	restored := executor.Worker{ID: "w", Incarnation: 7, Service: "s", Capacity: batch.Resources{CPU: 8000, MemoryMB: 1000}}
	for _, tt := range []struct {
		name string
		born int64
		late bool
		want int
	}{
		{"same incarnation", 7, false, 1},
		{"same incarnation, read after the listing", 7, true, 1},
		{"another incarnation", 8, false, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := &harness{t: t, x: executor.New(firstToken, maxLease), now: 1_000_000}
			h.x.FencesLoaded(h.now, nil)
			if !tt.late {
				h.x.WorkerRestored(restored)
			}
			h.list(firstToken, tt.born, nil, nil)
			if tt.late {
				h.x.WorkerRestored(restored)
			}
			h.x.EntryConnected(entryA)
			h.tick()
			h.take()
			h.x.OrdersReceived(h.now, entryA, h.orders(start(runID("j"), 6000, true)))
			h.tick()
			if got := len(h.starts()); got != tt.want {
				t.Errorf("starts: got %d, want %d", got, tt.want)
			}
		})
	}
}

// Guards against entries that compete for the same free capacity with orders that
// are then returned: it is offered to the entry with the most urgent task, and the
// reports to the others mark it as held.
func TestFreeCapacityIsOfferedToTheMostUrgentEntry(t *testing.T) {
	h := newHarness(t)
	h.x.EntryConnected(entryB)
	h.tick()
	h.take()
	demand := func(from ownership.Incarnation, urgency int32, cpu int64) {
		h.x.OrdersReceived(h.now, from, &wire.TaskOrders{GrantedFrom: int64(h.now), Demand: urgency, DemandCpu: cpu})
	}
	demand(entryA, 2, 6000)
	demand(entryB, 1, 6000)
	h.tick()
	if got, want := h.offers(), (map[ownership.Incarnation]bool{entryB: true}); !maps.Equal(got, want) {
		t.Fatalf("offers: got %v, want %v", got, want)
	}
	h.advance(1)
	demand(entryB, 1, 6000)
	h.tick()
	if got, want := h.offers(), (map[ownership.Incarnation]bool{entryA: true}); !maps.Equal(got, want) {
		t.Errorf("offers after a declined one: got %v, want %v", got, want)
	}
	h.advance(1)
	demand(entryA, 2, 90_000)
	h.advance(40)
	if got, want := h.offers(), (map[ownership.Incarnation]bool{entryB: true}); !maps.Equal(got, want) {
		t.Errorf("offers while one entry needs more than the free capacity: got %v, want %v", got, want)
	}
}

// Guards against capacity for an entry whose task has more time left than that of another one,
// only because it is its turn. An entry of an earlier version tells no time: its task counts as
// due now.
func TestFreeCapacityIsOfferedToTheEarliestObjective(t *testing.T) {
	const entryC = ownership.Incarnation("entry-c")
	h := newHarness(t)
	h.x.EntryConnected(entryB)
	h.x.EntryConnected(entryC)
	h.tick()
	h.take()
	demand := func(from ownership.Incarnation, urgency int32, due int64) {
		h.x.OrdersReceived(h.now, from, &wire.TaskOrders{GrantedFrom: int64(h.now), Demand: urgency, DemandCpu: 6000, DemandDueMs: due})
	}
	expect := func(when string, want ownership.Incarnation) {
		t.Helper()
		h.tick()
		if got, want := h.offers(), (map[ownership.Incarnation]bool{want: true}); !maps.Equal(got, want) {
			t.Fatalf("offers %s: got %v, want %v", when, got, want)
		}
	}
	demand(entryA, 2, 10)
	demand(entryB, 1, 200)
	demand(entryC, 1, 120)
	expect("with the earliest objective at the third entry", entryC)
	h.advance(1)
	demand(entryC, 1, 119)
	expect("after the third entry declined", entryB)
	h.advance(30)
	h.take()
	demand(entryB, 0, 0)
	demand(entryC, 1, 100)
	demand(entryA, 1, 0)
	h.advance(30)
	if got := h.offers(); !got[entryA] || got[entryC] {
		t.Errorf("offers with an entry of an earlier version: got %v, want it first", got)
	}
}

// offers returns the entries that got an offer since the last call of take.
func (h *harness) offers() map[ownership.Incarnation]bool {
	out := make(map[ownership.Incarnation]bool)
	for _, c := range h.take() {
		if r, ok := c.(executor.Report); ok && r.Report.GetOffer() {
			out[r.Entry] = true
		}
	}
	return out
}

// Guards against an entry that repeats a refused start many times: the sidecar must tell
// the attempt that the next one has to exceed.
func TestRefusalTellsTheHighestAttempt(t *testing.T) {
	h := newHarness(t)
	h.x.EntryConnected(entryB)
	h.tick()
	high := runID("j")
	high.Attempt = 40
	h.x.OrdersReceived(h.now, entryA, h.orders(start(high, 6000, true)))
	h.tick()
	h.take()
	h.x.OrdersReceived(h.now, entryB, h.orders(start(runID("j"), 6000, true)))
	h.tick()
	var got []int64
	for _, c := range h.take() {
		if r, ok := c.(executor.Report); ok && r.Entry == entryB {
			for _, e := range r.Report.GetEvents() {
				if batch.RunIDFromWire(e.GetRun()) == runID("j") {
					got = append(got, e.GetHighestAttempt())
				}
			}
		}
	}
	if len(got) != 1 || got[0] != 40 {
		t.Errorf("highest attempt in the refusal: got %v, want [40]", got)
	}
}

// Guards against a hot loop of refused starts, and against a start elsewhere beside an
// active run: an entry whose start is refused because of another entry's run is told of
// that run and of its end.
func TestEntryIsToldOfTheRunThatItsStartMeets(t *testing.T) {
	h := newHarness(t)
	h.x.EntryConnected(entryB)
	h.tick()
	first := runID("j")
	h.x.OrdersReceived(h.now, entryA, h.orders(start(first, 6000, true)))
	h.tick()
	h.x.StartAnswered(h.now, first, firstToken, executor.StartAccepted)
	h.tick()
	h.take()
	second := runID("j")
	second.Attempt = 9
	h.x.OrdersReceived(h.now, entryB, h.orders(start(second, 6000, true)))
	h.tick()
	got := h.states(entryB)
	if got[first] != wire.TaskEvent_STATE_RUNNING || got[second] != wire.TaskEvent_STATE_NOT_STARTED {
		t.Errorf("states at the refused start: got %v, want the first run running, the second not started", got)
	}
	h.list(firstToken, 1, nil, []executor.ListedEnd{{Sequence: 1, Run: first, End: batch.OutcomeStopped}})
	h.tick()
	if got, want := h.states(entryB)[first], wire.TaskEvent_STATE_STOPPED; got != want {
		t.Errorf("state after the end: got %v, want %v", got, want)
	}
}

// Guards against an entry that waits forever for the end of a run which a sidecar no
// longer has, or whose end came before the adoption.
func TestAdoptionOfAnEndedRunReportsItsEnd(t *testing.T) {
	h := newHarness(t)
	id := runID("j")
	adopt := &wire.TaskOrders{GrantedFrom: int64(h.now), Adopts: []*wire.TaskStart{start(id, 6000, true)}}
	h.take()
	h.x.OrdersReceived(h.now, entryA, adopt)
	h.tick()
	if got, want := h.states(entryA)[id], wire.TaskEvent_STATE_LOST; got != want {
		t.Errorf("state of an unknown run: got %v, want %v", got, want)
	}
	h.list(firstToken, 1, nil, []executor.ListedEnd{{Sequence: 1, Run: id, End: batch.OutcomeDone}})
	h.tick()
	h.take()
	h.x.OrdersReceived(h.now, entryA, adopt)
	h.tick()
	if got, want := h.states(entryA)[id], wire.TaskEvent_STATE_DONE; got != want {
		t.Errorf("state of an ended run: got %v, want %v", got, want)
	}
}

// Guards against best-effort runs that outlive the entry that ordered them: the fence of
// a deposed entry renewed their grant, and their callers come again in a fixed time.
func TestFenceDoesNotProlongBestEffortRuns(t *testing.T) {
	h := newHarness(t)
	h.x.EntryConnected(entryB)
	id := runID("j")
	h.x.OrdersReceived(h.now, entryA, h.orders(start(id, 6000, true)))
	h.tick()
	granted := h.now
	h.x.StartAnswered(h.now, id, firstToken, executor.StartAccepted)
	h.advance(300)
	h.take()
	h.x.OrdersReceived(h.now, entryB, &wire.TaskOrders{GrantedFrom: int64(h.now), Fences: []*wire.FenceEntry{{Deposed: string(entryA), Successor: string(entryB)}}})
	h.tick()
	stopped := false
	for _, c := range h.take() {
		_, ok := c.(executor.StopRun)
		stopped = stopped || ok
	}
	if !stopped {
		t.Error("the run of the deposed entry was not stopped")
	}
	if got, limit := h.x.ListRequest(h.now).LeaseUntil, granted+executor.BestEffortGrantDuration+150; got > limit {
		t.Errorf("lease after the fence: got %d, want %d at most", got-granted, limit-granted)
	}
}
