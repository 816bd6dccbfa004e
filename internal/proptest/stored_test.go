package proptest

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/executor"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	storedMaxFailures = 4
	// storedLease is how long a registration outlives its last renewal.
	storedLease         = 1500 * clock.Millis(1)
	storedRenewInterval = 500 * clock.Millis(1)
	storedListInterval  = 10 * clock.Second
	storedCallTimeout   = clock.Second
	// storedSettleTime is how long jobs may take after the last fault.
	storedSettleTime = 20 * clock.Second
	// storedCancelTime is how long after the acknowledgement of a cancellation a task may
	// still start: 3 s, and the longest pause of a process.
	storedCancelTime = 5500 * clock.Millis(1)
)

// storedCores adds a store, and callers of stored jobs, to the cores of a schedule.
type storedCores struct {
	w        *cores
	revision int64
	open     map[batch.JobID]openRecord
	ended    map[batch.JobID]*wire.StoredEnd
	marks    map[ownership.Incarnation]ownership.Incarnation
	leases   map[ownership.Incarnation]clock.Millis
	jobs     map[batch.JobID]*storedJob
	// seen is the state that each entry's watches delivered last.
	seen      map[ownership.Incarnation]string
	slowUntil clock.Millis
}

type openRecord struct {
	revision int64
	record   *wire.StoredJob
}

// storedJob is a stored job with what its callers know and what its workers did.
type storedJob struct {
	batch.Job
	accepted, notRun, unknown bool
	// fitsNowhere is true if no worker can hold a task of the job any more.
	fitsNowhere     bool
	requests        int
	cancelRequested bool
	cancelledAt     clock.Millis
	// plannedFailures is the number of each task's first runs that fail.
	plannedFailures map[batch.TaskID]int
	// runs is the number of each task's starts, failing that of the ones that fail.
	runs, failing map[batch.TaskID]int
	// startedAt is the time of each task's last start.
	startedAt    map[batch.TaskID]clock.Millis
	acknowledged map[batch.TaskID]ackedEnds
	// started holds the runs that have started. An attempt names one run.
	started map[batch.RunID]bool
}

// ackedEnds counts the ends of a task's runs that were acknowledged to workers.
type ackedEnds struct{ done, failed int }

func newStoredCores(seed uint64, listLimit, tasksPerStep int, fleet unevenFleet) *cores {
	w := &cores{
		fleet: fleet,
		rng:   rand.New(rand.NewPCG(seed, 3)), now: 1_000_000,
		sessions: make(map[[2]int]*coreSession), jobs: make(map[batch.JobID]*coreJob),
		listLimit: listLimit, tasksPerStep: tasksPerStep,
	}
	s := &storedCores{
		w: w, revision: 100, open: make(map[batch.JobID]openRecord), ended: make(map[batch.JobID]*wire.StoredEnd),
		marks: make(map[ownership.Incarnation]ownership.Incarnation), leases: make(map[ownership.Incarnation]clock.Millis),
		jobs: make(map[batch.JobID]*storedJob), seen: make(map[ownership.Incarnation]string),
	}
	w.stored = s
	for i := range w.workers {
		w.startWorker(i)
		w.startSidecar(i)
	}
	for i := range w.entries {
		w.startEntry(i)
	}
	w.dial()
	s.watch()
	return w
}

// startEntry registers an entry and begins its periodic calls.
func (s *storedCores) startEntry(e *coreEntry) {
	w := s.w
	e.core.RecordStoreContact(w.now)
	s.leases[e.id] = w.now + storedLease
	var renew, list func()
	renew = func() {
		if e.alive {
			e.do(func() { s.renew(e) })
			w.after(storedRenewInterval, renew)
		}
	}
	list = func() {
		if e.alive {
			e.do(func() { s.list(e) })
			w.after(storedListInterval, list)
		}
	}
	w.after(storedRenewInterval, renew)
	w.after(5, list)
}

// request sends a request to an entry and passes on its reply. lost is called if there
// is none, because the entry ended or the caller's patience did.
func (s *storedCores) request(send func(e *coreEntry, r scheduler.Request), handle func(*coreEntry, scheduler.Reply), lost func()) {
	w := s.w
	e := w.entries[w.rng.IntN(coreEntries)]
	if !e.alive {
		w.after(100, lost)
		return
	}
	w.request++
	r := w.request
	open := true
	end := func(f func()) {
		if open {
			open = false
			f()
		}
	}
	e.requests[r] = func(a scheduler.Reply) { end(func() { handle(e, a) }) }
	e.do(func() {
		send(e, r)
		e.tick()
	})
	var watch func()
	watch = func() {
		if !e.alive {
			end(lost)
		} else if open {
			w.after(10, watch)
		}
	}
	watch()
	w.after(6*clock.Second, func() { end(lost) })
}

// submit submits a job; a caller without an answer comes again.
func (s *storedCores) submit(j *storedJob) {
	w := s.w
	j.requests++
	s.request(func(e *coreEntry, r scheduler.Request) {
		w.logf("job %s submitted at %s", j.ID, e.id)
		e.core.Submit(w.now, r, j.Job)
	}, func(e *coreEntry, a scheduler.Reply) {
		if a.Result == scheduler.NotStored {
			s.confirmRefusal(e, j)
			return
		}
		s.handleReply(j, a.Result)
	}, func() {
		j.requests--
		j.unknown = true
		if !j.accepted {
			w.after(coreResubmitTime, func() { s.submit(j) })
		}
	})
}

// confirmRefusal looks up a job that an entry refuses, as Process.confirmRefusal.
func (s *storedCores) confirmRefusal(e *coreEntry, j *storedJob) {
	s.call(e, func() func() {
		result := scheduler.NotStored
		if _, isOpen := s.open[j.ID]; isOpen || s.ended[j.ID] != nil {
			result = scheduler.Stored
		}
		return func() { s.handleReply(j, result) }
	}, func() { s.handleReply(j, scheduler.Unknown) })
}

func (s *storedCores) handleReply(j *storedJob, result scheduler.Result) {
	w := s.w
	j.requests--
	switch {
	case result == scheduler.Stored && !j.accepted:
		j.accepted = true
		w.logf("job %s accepted", j.ID)
		s.follow(j)
	case result == scheduler.NotStored && j.accepted:
		w.violate("refused: %s after it was accepted", j.ID)
	case result == scheduler.NotStored && !j.unknown && j.requests == 0:
		j.notRun = true
	case result != scheduler.Stored && !j.accepted:
		w.after(coreResubmitTime, func() { s.submit(j) })
	}
}

// follow repeats or cancels some accepted jobs.
func (s *storedCores) follow(j *storedJob) {
	w := s.w
	for range w.rng.IntN(3) {
		w.after(clock.Millis(w.rng.IntN(4000)), func() { s.submit(j) })
	}
	if w.rng.IntN(3) == 0 {
		j.cancelRequested = true
		w.after(clock.Millis(w.rng.IntN(3000)), func() { s.cancel(j) })
	}
}

func (s *storedCores) cancel(j *storedJob) {
	w := s.w
	again := func() { w.after(coreResubmitTime, func() { s.cancel(j) }) }
	s.request(func(e *coreEntry, r scheduler.Request) { e.core.Cancel(w.now, r, j.ID) }, func(e *coreEntry, a scheduler.Reply) {
		switch a.Result {
		case scheduler.CancelStored:
			s.acknowledgeCancellation(j)
		case scheduler.NotHeld:
			s.cancelElsewhere(e, j, 3, again)
		default:
			again()
		}
	}, again)
}

func (s *storedCores) acknowledgeCancellation(j *storedJob) {
	if j.cancelledAt == 0 {
		j.cancelledAt = s.w.now
		s.w.logf("job %s cancellation acknowledged", j.ID)
	}
	if _, ok := s.open[j.ID]; ok {
		s.w.violate("cancellation: %s is acknowledged and open", j.ID)
	}
}

// cancelElsewhere cancels a job that an entry does not hold, as Process.cancelElsewhere.
func (s *storedCores) cancelElsewhere(e *coreEntry, j *storedJob, attempts int, again func()) {
	if attempts == 0 {
		again()
		return
	}
	retry := func() { s.cancelElsewhere(e, j, attempts-1, again) }
	s.call(e, func() func() {
		open, isOpen := s.open[j.ID]
		ended := s.ended[j.ID]
		return func() {
			if !isOpen {
				if ended.GetState() == wire.StoredEnd_STATE_CANCELLED {
					e.core.RecordCancelledElsewhere(s.w.now, j.ID, "", true)
				}
				s.acknowledgeCancellation(j)
				return
			}
			s.call(e, func() func() {
				if s.open[j.ID].revision != open.revision {
					return retry
				}
				s.revision++
				delete(s.open, j.ID)
				s.ended[j.ID] = &wire.StoredEnd{State: wire.StoredEnd_STATE_CANCELLED, Nonce: string(e.id)}
				s.w.logf("job %s cancelled in the store by %s", j.ID, e.id)
				return func() {
					e.core.RecordCancelledElsewhere(s.w.now, j.ID, "", true)
					s.acknowledgeCancellation(j)
				}
			}, retry)
		}
	}, again)
	s.w.after(6*clock.Second, func() {
		if !e.alive && j.cancelledAt == 0 {
			again()
		}
	})
}

// checkStart checks a start at a worker against what is known of its job.
func (s *storedCores) checkStart(id batch.RunID) {
	j, w := s.jobs[id.Job], s.w
	acked := j.acknowledged[id.TaskID]
	switch {
	case j.notRun:
		w.violate("refused: %v starts after an answer of not run", id)
	case j.started[id]:
		w.violate("attempt: %v starts a second time; %s", id, w.history(id.TaskID))
	case acked.done > 0:
		w.violate("twice: %v starts after a run of it is acknowledged as done; %s", id, w.history(id.TaskID))
	case acked.failed >= storedMaxFailures:
		w.violate("budget: %v starts after %d failed runs; %s", id, acked.failed, w.history(id.TaskID))
	case j.cancelledAt != 0 && w.now > j.cancelledAt+storedCancelTime:
		w.violate("unasked: %v starts %d ms after the cancellation was acknowledged; %s", id, w.now-j.cancelledAt, w.history(id.TaskID))
	}
}

// fails reports whether a run that starts will fail.
func (s *storedCores) fails(id batch.RunID) bool {
	j := s.jobs[id.Job]
	j.started[id] = true
	j.runs[id.TaskID]++
	j.startedAt[id.TaskID] = s.w.now
	if j.runs[id.TaskID] > j.plannedFailures[id.TaskID] {
		return false
	}
	j.failing[id.TaskID]++
	return true
}

// acknowledgeEnd records an end that was acknowledged to a worker whose lease had not
// expired since. Other ends do not count.
func (s *storedCores) acknowledgeEnd(e executor.ListedEnd, endedAt clock.Millis) {
	j := s.jobs[e.Run.Job]
	if j == nil {
		return // added by fillEnds
	}
	if e.End == batch.OutcomeDone && j.startedAt[e.Run.TaskID] > endedAt {
		s.w.violate("twice: %v is acknowledged as done, and the task started later; %s", e.Run, s.w.history(e.Run.TaskID))
	}
	s.w.logf("acknowledged %v %d %s", e.Run.TaskID, e.Run.Attempt, e.End)
	a := j.acknowledged[e.Run.TaskID]
	switch e.End {
	case batch.OutcomeDone:
		a.done++
	case batch.OutcomeFailed:
		a.failed++
	}
	j.acknowledged[e.Run.TaskID] = a
}

// finish checks the state of all jobs after the schedule has settled.
func (s *storedCores) finish() {
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		j := s.jobs[id]
		_, isOpen := s.open[id]
		end := s.ended[id]
		history := s.w.history(batch.TaskID{Job: id})
		switch {
		case j.fitsNowhere:
		case j.accepted && isOpen:
			s.w.violate("lost: %s is open; %s", id, history)
		case j.accepted && end == nil:
			s.w.violate("lost: %s is unknown; %s", id, history)
		case end.GetState() == wire.StoredEnd_STATE_CANCELLED && !j.cancelRequested:
			s.w.violate("lost: %s is cancelled without cause; %s", id, history)
		case end.GetState() == wire.StoredEnd_STATE_FAILED && !j.mayFail():
			s.w.violate("lost: %s is failed after %v failed runs; %s", id, j.failing, history)
		}
	}
}

// mayFail reports whether as many runs of a task may have failed as its job permits.
func (j *storedJob) mayFail() bool {
	for _, n := range j.failing {
		if n >= storedMaxFailures {
			return true
		}
	}
	return false
}

func (s *storedCores) newJob(number int) *storedJob {
	rng := s.w.rng
	j := &storedJob{
		Job:             batch.Job{ID: batch.JobID(fmt.Sprint("j", number)), Service: "s", MaxFailures: storedMaxFailures, Objective: 600},
		plannedFailures: make(map[batch.TaskID]int), runs: make(map[batch.TaskID]int), failing: make(map[batch.TaskID]int),
		startedAt: make(map[batch.TaskID]clock.Millis), acknowledged: make(map[batch.TaskID]ackedEnds), started: make(map[batch.RunID]bool),
	}
	for step := range 1 + rng.IntN(2) {
		st := batch.Step{Count: 1 + rng.IntN(s.w.tasksPerStep), Required: batch.Resources{CPU: coreTaskCPU, MemoryMB: 1}, EstimatedRunTime: 500}
		if step > 0 {
			st.DependsOn = []int{0}
		}
		j.Steps = append(j.Steps, st)
	}
	if rng.IntN(3) == 0 {
		j.plannedFailures[batch.TaskID{Job: j.ID}] = 1 + rng.IntN(storedMaxFailures+1)
	}
	s.w.fleet.adjust(rng, j)
	s.jobs[j.ID] = j
	return j
}

// storedFaultKinds are the faults of schedules with stored jobs. Workers are not killed:
// a start that is late may run on the next incarnation, see
// TestResolvedStartDoesNotRunOnTheNextIncarnation.
var storedFaultKinds = []string{"kill-entry", "kill-entry", "pause-entry", "pause-sidecar", "kill-sidecar", "close", "slow-store", "slow-store"}

// runStoredCores runs stored jobs under faults and returns what was violated.
func runStoredCores(seed uint64, faults []fault) []string {
	return runUnevenCores(seed, unevenFleet{}, faults)
}

// runUnevenCores is runStoredCores with a fleet whose workers differ.
func runUnevenCores(seed uint64, fleet unevenFleet, faults []fault) []string {
	return runStored(newStoredCores(seed, fullListing, 2, fleet), faults)
}

// runStored runs stored jobs under faults and returns what was violated.
func runStored(w *cores, faults []fault) []string {
	fleet := w.fleet
	s := w.stored
	for i := range 10 {
		j := s.newJob(i)
		w.after(clock.Millis(800+w.rng.IntN(2500)), func() { s.submit(j) })
	}
	fleet.addJobs(s)
	for _, f := range faults {
		w.after(clock.Millis(f.At), func() {
			if f.Kind == "slow-store" {
				s.slowUntil = w.now + clock.Millis(f.Length)
			}
			w.inject(f)
		})
	}
	for end := 1_000_000 + coreFaultTime + fleet.settleTime(); len(w.events) > 0 && w.events[0].at <= end; {
		e := heap.Pop(&w.events).(scheduledEvent)
		w.now = e.at
		e.run()
	}
	s.finish()
	return w.violations
}

// TestStoredSchedules checks under generated schedules of faults, with lost and late
// calls to the store, that each accepted stored job ends, as complete, as failed after
// its failures or as cancelled on request; that no task runs twice, runs after its job
// was refused or cancelled, or starts after its last permitted failure.
func TestStoredSchedules(t *testing.T) {
	generator := rapid.Custom(func(t *rapid.T) fault {
		return fault{
			Kind:   rapid.SampledFrom(storedFaultKinds).Draw(t, "kind"),
			At:     rapid.IntRange(500, int(coreFaultTime)).Draw(t, "at"),
			Target: rapid.IntRange(0, 11).Draw(t, "target"),
			Length: rapid.IntRange(50, 2500).Draw(t, "length"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		faults := rapid.SliceOfN(generator, 0, 8).Draw(t, "faults")
		if v := runStoredCores(seed, faults); len(v) > 0 {
			t.Fatal(strings.Join(v, "\n"))
		}
	})
}

// storedSchedule returns the faults of a numbered schedule.
func storedSchedule(number uint64) []fault {
	return numberedSchedule(number, 8, storedFaultKinds, 500)
}

// Guards against faults that these schedules showed: ends of unclaimed runs that were
// taken for active ones, runs of jobs that nobody held, and starts before the fences of
// all owners of a takeover's jobs.
func TestStoredRegressions(t *testing.T) {
	for _, number := range []uint64{581, 594, 1053, 1538, 1580, 1647, 2122, 2178, 2345} {
		t.Run(fmt.Sprint(number), func(t *testing.T) {
			for _, v := range runStoredCores(number, storedSchedule(number)) {
				t.Error(v)
			}
		})
	}
}
