package scheduler_test

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const self = ownership.Incarnation("entry-a")

var settings = scheduler.Settings{
	Self: self, GrantDuration: 6 * clock.Second, BestEffortGrantDuration: 1100, JobLeaseDuration: 1100, StoreContactTimeout: 8 * clock.Second, OfferDuration: 8, OutsideSubsetReportInterval: 900, EndedRetention: clock.Minute, Seed: 1,
}

// testbed drives a Scheduler and simulates the store and the sidecars.
type testbed struct {
	t        *testing.T
	s        *scheduler.Scheduler
	now      clock.Millis
	commands []scheduler.Command
	request  scheduler.Request
	received map[scheduler.Address]int64
	workers  map[scheduler.Address]int64
	// sent holds the orders that each sidecar received since the last call of
	// starts.
	sent map[scheduler.Address][]*wire.TaskOrders
	// gone holds the requests whose callers have closed their connections, which
	// the scheduler learns by CheckCaller only.
	gone map[scheduler.Request]bool
	// witnesses grant the job leases of this entry; without them, the sidecars are of a
	// version that knows none.
	witnesses *witnesses
	entry     ownership.Incarnation
}

func newTestbed(t *testing.T, workers int) *testbed {
	t.Helper()
	return newTestbedOf(t, self, workers)
}

// newTestbedOf returns a testbed of an entry with another incarnation.
func newTestbedOf(t *testing.T, entry ownership.Incarnation, workers int) *testbed {
	t.Helper()
	own := settings
	own.Self = entry
	b := &testbed{
		t: t, s: scheduler.New(own), now: 1_000_000,
		received: make(map[scheduler.Address]int64), workers: make(map[scheduler.Address]int64), sent: make(map[scheduler.Address][]*wire.TaskOrders),
		gone: make(map[scheduler.Request]bool),
	}
	b.s.RecordStoreContact(b.now)
	b.s.SetEntries([]ownership.Incarnation{entry})
	for i := range workers {
		b.connect(address(i), 20_000)
	}
	return b
}

func address(i int) scheduler.Address { return scheduler.Address("w" + strconv.Itoa(i)) }

func sidecar(a scheduler.Address) ownership.Incarnation { return ownership.Incarnation("sidecar-" + a) }

func (b *testbed) connect(a scheduler.Address, cpu int64) {
	b.workers[a] = cpu
	b.received[a] = 0
	b.s.SidecarConnected(a, "", sidecar(a))
	b.inventory(a)
}

// inventory sends a report that lists all runs of a sidecar.
func (b *testbed) inventory(a scheduler.Address, events ...*wire.TaskEvent) {
	b.send(a, &wire.TaskReport{Inventory: true, Events: events})
}

func (b *testbed) report(a scheduler.Address, events ...*wire.TaskEvent) {
	b.send(a, &wire.TaskReport{Events: events})
}

func (b *testbed) send(a scheduler.Address, r *wire.TaskReport) {
	r.SentAt = int64(b.now)
	r.Received = b.received[a]
	r.GrantsJobLeases = b.witnesses != nil
	if r.GetLoad() == nil {
		cpu := b.workers[a]
		r.Load = &wire.WorkerLoad{Cpu: cpu, FreeCpu: cpu, MemoryMb: 1000, FreeMemoryMb: 1000, Ready: true, Service: "s"}
	}
	b.s.HandleReport(b.now, sidecar(a), r)
	b.tick()
}

func (b *testbed) tick() {
	for _, c := range b.s.Tick(b.now) {
		if l, ok := c.(scheduler.SendJobLeases); ok && b.witnesses != nil {
			a := scheduler.Address(string(l.Sidecar)[len("sidecar-"):])
			if answers := b.witnesses.handle(b.now, b.entry, a, l.Requests); answers != nil {
				b.s.HandleJobLeaseAnswers(b.now, l.Sidecar, answers)
				defer b.tick()
			}
		}
		if o, ok := c.(scheduler.SendOrders); ok {
			a := scheduler.Address(string(o.Sidecar)[len("sidecar-"):])
			b.received[a] = o.Orders.GetSequence()
			b.sent[a] = append(b.sent[a], o.Orders)
		}
		if o, ok := c.(scheduler.CheckCaller); ok {
			if b.gone[o.Request] {
				b.s.CallerDisconnected(b.now, o.Request, o.Job)
			} else {
				b.s.CallerConnected(b.now, o.Request, o.Job)
			}
		}
		b.commands = append(b.commands, c)
	}
}

// advance moves the time forward; the sidecars in silent send no reports.
func (b *testbed) advance(d clock.Millis, silent ...scheduler.Address) {
	const step = 100
	for end := b.now + d; b.now < end; {
		b.now = min(b.now+step, end)
		b.s.RecordStoreContact(b.now)
		for a := range b.workers {
			isSilent := false
			for _, s := range silent {
				isSilent = isSilent || s == a
			}
			if !isSilent {
				b.report(a)
			}
		}
		b.tick()
	}
}

func (b *testbed) takeCommands() []scheduler.Command {
	c := b.commands
	b.commands = nil
	return c
}

// startedRun is a start that a sidecar received.
type startedRun struct {
	at  scheduler.Address
	run batch.RunID
}

// starts returns the starts since the last call.
func (b *testbed) starts() []startedRun {
	var out []startedRun
	for a, all := range b.sent {
		for _, o := range all {
			for _, s := range o.GetStarts() {
				out = append(out, startedRun{a, batch.RunIDFromWire(s.GetRun())})
			}
		}
	}
	b.sent = make(map[scheduler.Address][]*wire.TaskOrders)
	return out
}

// replies returns the replies since the last call of takeCommands, by request.
func (b *testbed) replies() map[scheduler.Request]scheduler.Reply {
	out := make(map[scheduler.Request]scheduler.Reply)
	for _, c := range b.takeCommands() {
		if r, ok := c.(scheduler.Reply); ok {
			out[r.Request] = r
		}
	}
	return out
}

func job(id string, tasks int, bestEffort bool) batch.Job {
	return batch.Job{
		ID: batch.JobID(id), Service: "s", MaxFailures: 4, Objective: 220, BestEffort: bestEffort,
		Steps: []batch.Step{{Count: tasks, Required: batch.Resources{CPU: 6000, MemoryMB: 10}, EstimatedRunTime: 100}},
	}
}

// submit submits a job and returns its request.
func (b *testbed) submit(j batch.Job) scheduler.Request {
	b.request++
	if j.BestEffort && j.Deadline == 0 {
		j.Deadline = b.now + 3000
	}
	b.s.Submit(b.now, b.request, j)
	b.tick()
	return b.request
}

func event(id batch.RunID, state wire.TaskEvent_State) *wire.TaskEvent {
	return &wire.TaskEvent{Run: id.Wire(), State: state, RunMs: 100, BestEffort: true}
}

// The caller of a best-effort job is answered after its last task has ended, and
// not before.
func TestBestEffortJobEndsWithItsLastTask(t *testing.T) {
	b := newTestbed(t, 2)
	r := b.submit(job("j", 3, true))
	starts := b.starts()
	if got, want := len(starts), 3; got != want {
		t.Fatalf("starts: got %d, want %d", got, want)
	}
	for i, s := range starts {
		if got := len(b.replies()); got != 0 {
			t.Fatalf("replies after %d of 3 ends: got %d, want 0", i, got)
		}
		b.report(s.at, event(s.run, wire.TaskEvent_STATE_DONE))
	}
	reply := b.replies()[r]
	if reply.Result != scheduler.Ended || reply.State != batch.Complete {
		t.Errorf("reply: got %v %v, want ended complete", reply.Result, reply.State)
	}
}

// A failed task is retried on another worker with a higher attempt until its
// limit. A job that fails by its own fault must not get workers ejected.
func TestFailedTaskRunsElsewhereUpToItsLimit(t *testing.T) {
	b := newTestbed(t, 5)
	r := b.submit(job("j", 1, true))
	used := make(map[scheduler.Address]bool)
	// distance is that between two attempts of one entry.
	const distance = 1 << 20
	var last batch.Attempt
	for attempt := 1; attempt <= 4; attempt++ {
		starts := b.starts()
		if len(starts) != 1 {
			t.Fatalf("starts of attempt %d: got %d, want 1", attempt, len(starts))
		}
		s := starts[0]
		if used[s.at] {
			t.Errorf("attempt %d was sent to %s again", attempt, s.at)
		}
		used[s.at] = true
		if got, want := s.run.Attempt, last+distance; attempt > 1 && got != want {
			t.Errorf("attempt: got %d, want %d", got, want)
		}
		last = s.run.Attempt
		b.report(s.at, event(s.run, wire.TaskEvent_STATE_FAILED))
	}
	if got := len(b.starts()); got != 0 {
		t.Errorf("starts after the limit: got %d, want 0", got)
	}
	if reply := b.replies()[r]; reply.Result != scheduler.Ended || reply.State != batch.Failed {
		t.Errorf("reply: got %v %v, want ended failed", reply.Result, reply.State)
	}
	if got := b.s.Counters().Ejections; got != 0 {
		t.Errorf("ejections by a job that fails everywhere: got %d, want 0", got)
	}
}

// A job whose caller has disconnected is stopped. If it is resubmitted before the
// stops are acknowledged, it starts only afterwards: two concurrent runs of a
// task would produce two results.
func TestResubmissionWaitsForPreviousRuns(t *testing.T) {
	b := newTestbed(t, 3)
	r := b.submit(job("j", 1, true))
	first := b.starts()[0]
	b.report(first.at, event(first.run, wire.TaskEvent_STATE_RUNNING))
	b.s.CallerDisconnected(b.now, r, "j")
	b.tick()
	stopped := false
	for _, o := range b.sent[first.at] {
		stopped = stopped || len(o.GetStops()) == 1
	}
	if !stopped {
		t.Error("the run of a job without a caller was not stopped")
	}
	b.starts()
	again := b.submit(job("j", 1, true))
	if got := len(b.starts()); got != 0 {
		t.Fatalf("starts while a run is being stopped: got %d, want 0", got)
	}
	b.report(first.at, event(first.run, wire.TaskEvent_STATE_STOPPED))
	b.tick()
	starts := b.starts()
	if len(starts) != 1 || starts[0].run.Attempt <= first.run.Attempt {
		t.Fatalf("starts after the stop: got %v, want one with a higher attempt", starts)
	}
	b.report(starts[0].at, event(starts[0].run, wire.TaskEvent_STATE_DONE))
	if reply := b.replies()[again]; reply.Result != scheduler.Ended {
		t.Errorf("reply: got %v, want ended", reply.Result)
	}
}

// A refused job is reported as not run only if it had no start; otherwise its
// result is unknown.
func TestRefusalReportsWhetherJobMayHaveRun(t *testing.T) {
	for _, running := range []bool{false, true} {
		t.Run(fmt.Sprint("running ", running), func(t *testing.T) {
			b := newTestbed(t, 1)
			if !running {
				blocker := job("blocker", 3, true)
				blocker.Priority = -1
				b.submit(blocker)
				b.starts()
			}
			j := job("j", 1, true)
			j.Deadline = b.now + 400
			r := b.submit(j)
			if got, want := len(b.starts()) > 0, running; got != want {
				t.Fatalf("started: got %v, want %v", got, want)
			}
			b.advanceBusy(500)
			want := scheduler.NotStored
			if running {
				want = scheduler.Unknown
			}
			if got := b.replies()[r].Result; got != want {
				t.Errorf("result: got %v, want %v", got, want)
			}
			if got := len(b.starts()); got != 0 {
				t.Errorf("starts after the reply: got %d, want 0", got)
			}
		})
	}
}

// advanceBusy moves the time forward while the workers stay full.
func (b *testbed) advanceBusy(d clock.Millis) {
	for end := b.now + d; b.now < end; {
		b.now += 20
		for a, cpu := range b.workers {
			b.send(a, &wire.TaskReport{Load: &wire.WorkerLoad{Cpu: cpu, MemoryMb: 1000, Ready: true, Service: "s"}})
		}
	}
}

// In a burst above the capacity, jobs that cannot be served in a useful time are
// refused at once with a Retry-After, and accepted ones are served in order of
// arrival.
func TestBurstIsRefusedAtOnce(t *testing.T) {
	b := newTestbed(t, 2)
	refused := 0
	for i := range 200 {
		r := b.submit(job("j"+strconv.Itoa(i), 2, true))
		if reply, ok := b.replies()[r]; ok {
			refused++
			if reply.Result != scheduler.NotStored || reply.RetryAfter < clock.Second {
				t.Fatalf("reply: got %v after %d ms, want not stored after at least 1 s", reply.Result, reply.RetryAfter)
			}
		}
	}
	// 6 tasks run at a time for 100 ms; about 40 tasks end within three objectives
	// of 220 ms.
	if refused < 150 || refused > 190 {
		t.Errorf("refused of 200 jobs with two tasks: got %d, want 150 to 190", refused)
	}
}

// A worker whose sidecar stopped reporting gets no more tasks, and its tasks run
// elsewhere once they have certainly ended there.
func TestSilentSidecar(t *testing.T) {
	b := newTestbed(t, 2)
	b.submit(job("j", 1, true))
	first := b.starts()[0]
	silentSince := b.now
	b.advance(500, first.at)
	b.submit(job("k", 1, true))
	for _, s := range b.starts() {
		if s.at == first.at {
			t.Error("a start was sent to a sidecar that has been silent for 500 ms")
		}
	}
	for b.now < silentSince+3000 {
		b.advance(100, first.at)
		for _, s := range b.starts() {
			if s.run.Job != "j" {
				continue
			}
			if waited := b.now - silentSince; waited < settings.BestEffortGrantDuration {
				t.Errorf("started again after %d ms, before the grant of %d ms had expired", waited, settings.BestEffortGrantDuration)
			}
			return
		}
	}
	t.Error("the task of a silent sidecar did not run elsewhere")
}

// A worker that reports good health but fails every run looks idle and would
// attract more tasks.
func TestFailingWorkerGetsOnlyProbes(t *testing.T) {
	b := newTestbed(t, 6)
	faulty := address(0)
	onFailing, total := 0, 0
	for i := range 300 {
		b.submit(job("j"+strconv.Itoa(i), 1, true))
		for range 3 {
			for _, s := range b.starts() {
				total++
				state := wire.TaskEvent_STATE_DONE
				if s.at == faulty {
					onFailing++
					state = wire.TaskEvent_STATE_FAILED
				}
				b.report(s.at, event(s.run, state))
			}
		}
		b.now += 10
	}
	if onFailing > 10 {
		t.Errorf("starts on the failing worker: got %d of %d, want at most 10", onFailing, total)
	}
	if onFailing == 0 {
		t.Error("the failing worker got no task, so the test is void")
	}
}

// With workers of different speeds, short jobs go to the worker with the lower
// learned slowness.
func TestFastWorkersAreUsedFirst(t *testing.T) {
	b := newTestbed(t, 2)
	fast := 0
	for i := range 110 {
		b.submit(job("j"+strconv.Itoa(i), 1, true))
		for _, s := range b.starts() {
			e := event(s.run, wire.TaskEvent_STATE_DONE)
			e.RunMs = 150
			if s.at == address(1) {
				e.RunMs = 60
				if i >= 60 {
					fast++
				}
			}
			b.report(s.at, e)
		}
	}
	if fast < 45 {
		t.Errorf("starts on the fast worker: got %d of 50, want at least 45", fast)
	}
}

// A worker that was slow for some seconds gets no tasks, so that its recovery is not
// observed. Guards against one that then stays unused while jobs wait for others.
func TestRecoveredWorkerIsUsedAgain(t *testing.T) {
	b := newTestbed(t, 2)
	for i := range 40 {
		b.submit(job("j"+strconv.Itoa(i), 4, true))
		for _, s := range b.starts() {
			e := event(s.run, wire.TaskEvent_STATE_DONE)
			if s.at == address(1) && i >= 20 {
				e.RunMs = 600
			}
			b.report(s.at, e)
		}
	}
	perWorker := func(id string) map[scheduler.Address]int {
		b.submit(job(id, 4, true))
		count := make(map[scheduler.Address]int)
		for _, s := range b.starts() {
			count[s.at]++
			b.report(s.at, event(s.run, wire.TaskEvent_STATE_DONE))
		}
		return count
	}
	if got := perWorker("slow")[address(1)]; got != 0 {
		t.Fatalf("got %d starts on the slow worker, want none", got)
	}
	b.advance(10 * clock.Second)
	if got := perWorker("recovered")[address(1)]; got != 1 {
		t.Errorf("got %d starts on the worker after 10 s, want 1: the other one is full", got)
	}
}

// A run declared as 1 ms took 8 ms with the calls around it, so that the worker
// counted as many times too slow and a job with a wait of 300 ms was refused as
// overload.
func TestShortRunsDoNotMakeAWorkerSlow(t *testing.T) {
	b := newTestbed(t, 1)
	short := job("short", 1, true)
	short.Steps[0].EstimatedRunTime = 1
	b.submit(short)
	s := b.starts()[0]
	e := event(s.run, wire.TaskEvent_STATE_DONE)
	e.RunMs = 8
	b.report(s.at, e)
	b.submit(job("a", 3, true))
	b.submit(job("b", 6, true))
	r := b.submit(job("c", 1, true))
	if reply, ok := b.replies()[r]; ok {
		t.Errorf("reply to a job with 200 ms of queued work ahead: got %v, want none yet", reply.Result)
	}
}

// save answers the pending write of a job and returns it.
func (b *testbed) save(result scheduler.SaveResult) scheduler.Save {
	b.t.Helper()
	for _, c := range b.takeCommands() {
		if s, ok := c.(scheduler.Save); ok {
			b.s.HandleSaveResult(b.now, s.ID, s.Kind, result, 7)
			b.tick()
			return s
		}
	}
	b.t.Fatal("no pending write")
	return scheduler.Save{}
}

// A stored job that the store refused never runs, and none of its tasks starts
// before its record is in the store.
func TestStoredJobStartsAfterItsRecord(t *testing.T) {
	for result, want := range map[scheduler.SaveResult]scheduler.Result{
		scheduler.SaveDone: scheduler.Stored, scheduler.SaveRefused: scheduler.NotStored, scheduler.SaveConflict: scheduler.Stored,
	} {
		b := newTestbed(t, 1)
		r := b.submit(job("j", 1, false))
		if got := len(b.starts()); got != 0 {
			t.Fatalf("starts before the record: got %d, want 0", got)
		}
		b.save(result)
		if got := b.replies()[r].Result; got != want {
			t.Errorf("result after write result %d: got %v, want %v", result, got, want)
		}
		if got, wanted := len(b.starts()) > 0, result == scheduler.SaveDone; got != wanted {
			t.Errorf("started after write result %d: got %v, want %v", result, got, wanted)
		}
	}
}

// A stored job is complete for its caller, and the ends of its runs are
// acknowledged, only once its end is in the store.
func TestStoredJobEndsWithItsRecord(t *testing.T) {
	b := newTestbed(t, 1)
	b.submit(job("j", 1, false))
	b.save(scheduler.SaveDone)
	s := b.starts()[0]
	b.report(s.at, event(s.run, wire.TaskEvent_STATE_DONE))
	if state, _ := b.s.Status("j"); state == batch.Complete {
		t.Error("complete before the store has the end")
	}
	if got := b.stored(); got != 0 {
		t.Errorf("acknowledged ends before the store has them: got %d, want 0", got)
	}
	if got, want := b.save(scheduler.SaveDone).Kind, scheduler.SaveEnd; got != want {
		t.Fatalf("write: got %v, want %v", got, want)
	}
	if state, _ := b.s.Status("j"); state != batch.Complete {
		t.Errorf("state: got %v, want complete", state)
	}
	if got, want := b.stored(), 1; got != want {
		t.Errorf("acknowledged ends: got %d, want %d", got, want)
	}
}

func (b *testbed) stored() int {
	n := 0
	for _, all := range b.sent {
		for _, o := range all {
			n += len(o.GetStored())
		}
	}
	return n
}

// A long job writes its progress after some of its runs have ended, so that its
// workers' lists of ends stay short.
func TestProgressIsStored(t *testing.T) {
	b := newTestbed(t, 1)
	b.submit(job("j", 2, false))
	b.save(scheduler.SaveDone)
	s := b.starts()[0]
	b.report(s.at, event(s.run, wire.TaskEvent_STATE_DONE))
	b.advance(2000)
	save := b.save(scheduler.SaveDone)
	if got, want := save.Kind, scheduler.SaveProgress; got != want {
		t.Fatalf("write: got %v, want %v", got, want)
	}
	done := 0
	for _, task := range save.Job.GetTasks() {
		if task.GetDone() {
			done++
		}
	}
	if done != 1 || b.stored() != 1 {
		t.Errorf("stored tasks and acknowledged ends: got %d and %d, want 1 and 1", done, b.stored())
	}
}

// Guards against tasks that are started after their job has ended: of two takeovers
// at one time, the second had read the job's record before the first ended the job.
func TestTakeoverIgnoresJobsThatHaveEnded(t *testing.T) {
	const dead = ownership.Incarnation("entry-z")
	open := []scheduler.OpenJob{{ID: "j", Revision: 3, PreviousOwners: 1, Record: &wire.StoredJob{
		Owner: string(dead), Service: "s", MaxFailures: 4, ObjectiveMs: 220, AcceptedAtMs: 1_000_000,
		Steps: []*wire.StoredStep{{Count: 1, Cpu: 6000, MemoryMb: 10, EstimatedMs: 100}},
	}}}
	b := newTestbed(t, 1)
	b.s.ApplyFences(map[ownership.Incarnation]ownership.Incarnation{dead: self})
	b.s.RecoverJobs(b.now, dead, open, []scheduler.Address{address(0)}, 0)
	b.tick()
	done := event(batch.RunID{TaskID: batch.TaskID{Job: "j"}, Attempt: 1}, wire.TaskEvent_STATE_DONE)
	b.send(address(0), &wire.TaskReport{Inventory: true, Fenced: []string{string(dead)}, Events: []*wire.TaskEvent{done}})
	b.save(scheduler.SaveDone)
	b.s.RecoverJobs(b.now, dead, open, []scheduler.Address{address(0)}, 0)
	b.tick()
	b.send(address(0), &wire.TaskReport{Inventory: true, Fenced: []string{string(dead)}})
	if got := b.starts(); len(got) != 0 {
		t.Errorf("starts of a job that has ended: got %v, want none", got)
	}
}

// A successor starts only tasks that no sidecar knows of, with higher attempts,
// and not before the sidecars have listed their runs.
func TestTakeover(t *testing.T) {
	const dead = ownership.Incarnation("entry-z")
	record := &wire.StoredJob{
		Owner: string(dead), Service: "s", MaxFailures: 4, ObjectiveMs: 220, AcceptedAtMs: 1_000_000,
		Steps: []*wire.StoredStep{{Count: 3, Cpu: 6000, MemoryMb: 10, EstimatedMs: 100}},
	}
	run := func(index uint32) batch.RunID {
		return batch.RunID{TaskID: batch.TaskID{Job: "j", Index: index}, Attempt: 1}
	}
	recover := func(t *testing.T) *testbed {
		b := newTestbed(t, 2)
		b.s.ApplyFences(map[ownership.Incarnation]ownership.Incarnation{dead: self})
		b.s.RecoverJobs(b.now, dead, []scheduler.OpenJob{{ID: "j", Revision: 3, Record: record, PreviousOwners: 1}}, []scheduler.Address{address(0), address(1)}, 0)
		b.tick()
		b.send(address(0), &wire.TaskReport{Inventory: true, Fenced: []string{string(dead)}, Events: []*wire.TaskEvent{
			event(run(0), wire.TaskEvent_STATE_DONE), event(run(1), wire.TaskEvent_STATE_RUNNING),
		}})
		if got := len(b.starts()); got != 0 {
			t.Fatalf("starts before all sidecars have listed their runs: got %d, want 0", got)
		}
		return b
	}
	t.Run("all sidecars answer", func(t *testing.T) {
		b := recover(t)
		b.send(address(1), &wire.TaskReport{Inventory: true, Fenced: []string{string(dead)}})
		starts := b.starts()
		if len(starts) != 1 || starts[0].run.Index != 2 || starts[0].run.Attempt <= 1000 {
			t.Errorf("starts: got %v, want task 2 with an attempt above 1000", starts)
		}
	})
	t.Run("one is silent", func(t *testing.T) {
		b := recover(t)
		from := b.now
		for b.now < from+settings.StoreContactTimeout+settings.GrantDuration+500 {
			b.now += 100
			b.s.RecordStoreContact(b.now)
			b.report(address(0), event(run(1), wire.TaskEvent_STATE_RUNNING))
			if starts := b.starts(); len(starts) > 0 {
				if waited := b.now - from; waited < settings.StoreContactTimeout+settings.GrantDuration {
					t.Errorf("started after %d ms, while the silent sidecar may run the task", waited)
				}
				return
			}
		}
		t.Error("the task never started")
	})
}

// Guards against a takeover that overlooks a sidecar whose registration cannot be
// read, and against one that waits for it for ever.
func TestTakeoverAwaitsUnreadableSidecars(t *testing.T) {
	const dead = ownership.Incarnation("entry-z")
	record := &wire.StoredJob{
		Owner: string(dead), Service: "s", MaxFailures: 4, ObjectiveMs: 220, AcceptedAtMs: 1_000_000,
		Steps: []*wire.StoredStep{{Count: 1, Cpu: 6000, MemoryMb: 10, EstimatedMs: 100}},
	}
	b := newTestbed(t, 1)
	b.s.ApplyFences(map[ownership.Incarnation]ownership.Incarnation{dead: self})
	b.s.RecoverJobs(b.now, dead, []scheduler.OpenJob{{ID: "j", Revision: 3, Record: record, PreviousOwners: 1}}, []scheduler.Address{address(0)}, 1)
	b.tick()
	from, bound := b.now, settings.StoreContactTimeout+settings.GrantDuration
	b.send(address(0), &wire.TaskReport{Inventory: true, Fenced: []string{string(dead)}})
	for len(b.starts()) == 0 {
		if b.now > from+bound+500 {
			t.Fatalf("no start within %d ms", b.now-from)
		}
		b.now += 100
		b.s.RecordStoreContact(b.now)
		b.report(address(0))
	}
	if waited := b.now - from; waited < bound {
		t.Errorf("started after %d ms, while the sidecar that cannot be read may run the task, want %d ms", waited, bound)
	}
}

// Entries whose lease expired during a store outage register again within two
// seconds. Only an entry that is still missing afterwards and owns open jobs is
// deposed.
func TestOnlyMissingOwnersAreDeposed(t *testing.T) {
	const other = ownership.Incarnation("entry-b")
	deposed := func(b *testbed) bool {
		for _, c := range b.takeCommands() {
			if _, ok := c.(scheduler.Depose); ok {
				return true
			}
		}
		return false
	}
	b := newTestbed(t, 1)
	b.s.SetEntries([]ownership.Incarnation{self, other})
	b.s.SetEntries([]ownership.Incarnation{self})
	b.advance(2000)
	if deposed(b) {
		t.Error("an entry without open jobs was deposed")
	}
	b.s.SetStoreFailing(b.now, true)
	b.advance(3000)
	b.s.SetStoreFailing(b.now, false)
	b.s.Reconcile(b.now, scheduler.OpenJobs{Revision: 3, Jobs: []scheduler.OpenJob{{ID: "j", Revision: 3, Record: &wire.StoredJob{Owner: string(other)}}}})
	b.advance(2000)
	if deposed(b) {
		t.Error("an entry was deposed within 2 s after the store outage")
	}
	b.advance(2000)
	if !deposed(b) {
		t.Error("an owner that stayed missing was not deposed")
	}
}

// An entry without contact to the store may have been deposed: it starts no
// stored task, but serves best-effort jobs, which only it holds.
func TestEntryWithoutTheStoreServesBestEffortJobs(t *testing.T) {
	b := newTestbed(t, 1)
	b.submit(job("stored", 1, false))
	b.save(scheduler.SaveDone)
	b.now += settings.StoreContactTimeout + 1000
	b.starts()
	b.inventory(address(0))
	b.submit(job("held", 1, true))
	starts := b.starts()
	if len(starts) != 1 || starts[0].run.Job != "held" {
		t.Errorf("starts without contact to the store: got %v, want only the best-effort job", starts)
	}
}
