// Package scheduler decides what an entry does with jobs of tasks that workers
// list: which it accepts, when their records are written, where and when their
// tasks run, and what becomes of the jobs of a dead entry. It does no I/O and
// takes the time as an argument.
//
// A job belongs to the entry that accepted it. A best-effort job is in its memory
// only. The store holds a stored job until its end, and each worker the runs
// whose ends the store does not have, so an entry that takes over learns all it
// needs from those two.
package scheduler

import (
	"math/rand/v2"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Request names a caller's request that waits for an answer.
type Request uint64

// Settings of a Scheduler.
type Settings struct {
	Self ownership.Incarnation
	// Domain is the failure domain of the entry.
	Domain ownership.Domain
	// GrantDuration is how long a sidecar keeps the runs of an entry after the
	// entry's last grant, with the longest lease of a worker and the drift of
	// its clock.
	GrantDuration clock.Millis
	// BestEffortGrantDuration is the same for best-effort jobs.
	BestEffortGrantDuration clock.Millis
	// StoreContactTimeout is how long an entry that has lost the store goes on giving
	// orders.
	StoreContactTimeout clock.Millis
	// OfferDuration is how long a sidecar holds free room for the entry that it was
	// offered to.
	OfferDuration clock.Millis
	// OutsideSubsetReportInterval is the time between two reports of a sidecar whose worker is
	// followed loosely.
	OutsideSubsetReportInterval clock.Millis
	// EndedRetention is how long the end of a job is remembered.
	EndedRetention clock.Millis
	// Seed of the random choice among equally good workers.
	Seed uint64
}

// Scheduler is the decision core of an entry for stored and best-effort jobs.
type Scheduler struct {
	settings Settings
	rand     *rand.Rand
	jobs     map[batch.JobID]*job
	// queue holds the jobs with tasks that wait for a worker, most urgent first.
	queue []*job
	ended map[batch.JobID]endedJob
	// endedOrder holds the ended jobs from the oldest on.
	endedOrder []batch.JobID
	// abandonedAfterStart holds when best-effort jobs were given up of which tasks had started.
	abandonedAfterStart map[batch.JobID]clock.Millis
	nodes               map[Address]*node
	// nodeList holds the nodes in the order in which they were first seen, so that
	// the same events lead to the same choices.
	nodeList []*node
	sessions map[ownership.Incarnation]*node
	// successors names for each deposed entry the one that took over.
	successors ownership.Successors
	takeovers  []*takeover
	// startedAt is when the entry began, the time of its first tick.
	startedAt clock.Millis
	// disruptedAt is when callers last lost their submissions, as far as this entry
	// knows: its own start or the loss of another entry.
	disruptedAt clock.Millis
	// patience is how long the callers of each route usually wait.
	patience map[batch.Route]patience
	// contactAt is when the entry was last known not to be deposed.
	contactAt clock.Millis
	// storeFailing is true while the store refuses this entry's calls.
	storeFailing bool
	// stored is the number of stored jobs in jobs.
	stored       int
	subsetUpdate subsetRefresh
	// demandSample holds the loosely followed workers that are demandSample for room until
	// askedTill.
	demandSample      [demandSampleSize]*node
	demandSampleUntil clock.Millis
	// entryCount is the number of entries that share the workers.
	entryCount  int
	peerPending map[ownership.Incarnation]map[batch.Route]int64
	// drainBy is when an entry that drains ends, 0 for one that does not.
	drainBy clock.Millis
	membership
	nonce uint64
	// notedPending is true if the last note to the other entries had pending jobs.
	notedPending bool
	// pools holds what is known of the workers of each service.
	pools         map[string]*pool
	slownessDueAt clock.Millis
	sweepDueAt    clock.Millis
	expiryDueAt   clock.Millis
	// now is the time of the tick or event that is being handled.
	now      clock.Millis
	counters Counters
	out      []Command
}

// Counters count what happened since the start.
type Counters struct {
	Accepted, Refused, Completed, FailedJobs, CancelledJobs int64
	Starts, Failures, Lost, NotStarted, Stalled             int64
	Takeovers, Ejections                                    int64
}

type endedJob struct {
	state      batch.State
	at         clock.Millis
	bestEffort bool
}

// New returns a Scheduler without jobs and workers.
func New(s Settings) *Scheduler {
	return &Scheduler{
		settings:            s,
		rand:                rand.New(rand.NewPCG(s.Seed, s.Seed)), //nolint:gosec // spreads load, nothing secret
		jobs:                make(map[batch.JobID]*job),
		ended:               make(map[batch.JobID]endedJob),
		abandonedAfterStart: make(map[batch.JobID]clock.Millis),
		nodes:               make(map[Address]*node),
		sessions:            make(map[ownership.Incarnation]*node),
		successors:          make(ownership.Successors),
		peerPending:         make(map[ownership.Incarnation]map[batch.Route]int64),
		pools:               make(map[string]*pool),
		patience:            make(map[batch.Route]patience),
		entryCount:          1,
	}
}

// Counters returns the counters.
func (s *Scheduler) Counters() Counters { return s.counters }

// OpenJobs returns the number of jobs that have not ended.
func (s *Scheduler) OpenJobs() int { return len(s.jobs) }

// RecordStoreContact takes that the entry was not deposed at a time.
func (s *Scheduler) RecordStoreContact(at clock.Millis) { s.contactAt = max(s.contactAt, at) }

// SetStoreFailing takes whether the store refuses the entry's calls.
func (s *Scheduler) SetStoreFailing(now clock.Millis, failing bool) {
	if s.storeFailing && !failing {
		s.storeRecoveredAt = now
	}
	s.storeFailing = failing
}

// Drain makes the entry refuse new jobs that may not have ended at a time.
func (s *Scheduler) Drain(by clock.Millis) { s.drainBy = by }

// mayOrderStored reports whether the entry may give orders for stored jobs: one that
// has not heard from the store for long may have been deposed.
func (s *Scheduler) mayOrderStored(now clock.Millis) bool {
	return now-s.contactAt < s.settings.StoreContactTimeout
}

// Tick returns what is to be done now.
func (s *Scheduler) Tick(now clock.Millis) []Command {
	s.now = now
	if s.startedAt == 0 {
		s.startedAt = now
		s.disruptedAt = now
	}
	s.updateSubsets(now)
	s.updatePools(now)
	s.expireGrants(now)
	s.expireBestEffort(now)
	s.completeTakeovers(now)
	s.deposeMissing(now)
	s.placeTasks(now)
	s.flushOrders(now)
	if now >= s.sweepDueAt {
		s.sweepDueAt = now + sweepInterval
		s.sweep(now)
	}
	out := s.out
	s.out = nil
	return out
}

// keepBestEffort is how long the end of a best-effort job, or that it ran and was
// given up, is remembered for a caller that lost the answer and submits it again.
const keepBestEffort = 10 * clock.Second

// sweepInterval is the resolution of what is not urgent.
const sweepInterval = 500 * clock.Millis(1)

func (s *Scheduler) sweep(now clock.Millis) {
	for _, j := range s.jobs {
		s.saveProgress(now, j)
	}
	for len(s.endedOrder) > 0 {
		id := s.endedOrder[0]
		keep := s.settings.EndedRetention
		if s.ended[id].bestEffort {
			keep = keepBestEffort
		}
		if now-s.ended[id].at < keep {
			break
		}
		delete(s.ended, id)
		s.endedOrder = s.endedOrder[1:]
	}
	for id, at := range s.abandonedAfterStart {
		if now-at >= keepBestEffort {
			delete(s.abandonedAfterStart, id)
		}
	}
	if own := s.ownPendingJobs(); len(own) > 0 || s.notedPending {
		s.notedPending = len(own) > 0
		s.out = append(s.out, BroadcastNote{Note: &wire.EntryNote{Pending: own}})
	}
}

// Command is something that the process has to do.
type Command interface{ command() }

// SendOrders sends orders to a sidecar.
type SendOrders struct {
	Sidecar ownership.Incarnation
	Orders  *wire.TaskOrders
}

// Reply answers a request of a caller.
type Reply struct {
	Request Request
	Result  Result
	// RetryAfter is when a refused caller may come again, in ms from now.
	RetryAfter clock.Millis
	// State of an ended best-effort job.
	State batch.State
}

// Result is the answer to a request.
type Result string

// Results of requests.
const (
	// Stored means that the job is in the store.
	Stored Result = "stored"
	// NotStored means that the job is not in the store and never runs.
	NotStored Result = "not-stored"
	// Unknown means that the job may be in the store.
	Unknown Result = "unknown"
	// CancelStored means that the job is cancelled or has ended.
	CancelStored Result = "cancelled"
	// Ended means that a best-effort job has ended; the reply has its state.
	Ended Result = "ended"
	// NotHeld means that another entry or the store has to be asked.
	NotHeld Result = "not-here"
)

// SaveKind is what a write to the store is for.
type SaveKind string

// Kinds of writes.
const (
	SaveNew      SaveKind = "new"
	SaveProgress SaveKind = "progress"
	SaveEnd      SaveKind = "end"
)

// Save writes the record of a job; the result is given to Saved.
type Save struct {
	Kind SaveKind
	ID   batch.JobID
	// Revision of the open record, 0 for a new job.
	Revision int64
	// Nonce is that of the open record: the writes of one transaction may get
	// revisions that its answer does not tell, and the nonce shows that the
	// record is the expected one.
	Nonce string
	// Job is the open record, End the one that replaces it.
	Job *wire.StoredJob
	End *wire.StoredEnd
}

// Lookup asks the store whether the jobs of runs are open; the runs of those
// that are not are given to Release.
type Lookup struct {
	Sidecar ownership.Incarnation
	Runs    []batch.RunID
}

// BroadcastNote goes to all other entries.
type BroadcastNote struct {
	Note *wire.EntryNote
}

// JobEnded is the Decision about the end of a job: its reason is the state, its
// value the time since acceptance in ms.
const JobEnded = "job ended"

// Decision is a line for the log: what was decided for a request or a process
// and from what.
type Decision struct {
	Summary string
	Job     batch.JobID
	Run     batch.RunID
	Sidecar Address
	Reason  string
	Value   int64
}

func (SendOrders) command()    {}
func (Reply) command()         {}
func (Save) command()          {}
func (Lookup) command()        {}
func (BroadcastNote) command() {}
func (Decision) command()      {}
