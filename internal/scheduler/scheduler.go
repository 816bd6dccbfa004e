// Package scheduler is the decision core of an entry for batch jobs: which jobs
// it accepts, when their records are written, where and when their tasks run, and
// how the jobs of a dead entry are taken over. It does no I/O and takes the time
// as an argument.
//
// A job is owned by the entry that accepted it. A best-effort job is held in that
// entry's memory only. A stored job is in the store until its end, and each
// worker lists the runs whose ends are not in the store, so a successor recovers
// all state from these two.
package scheduler

import (
	"maps"
	"math"
	"math/rand/v2"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/evacuation"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Request identifies a caller's request that awaits a reply.
type Request uint64

// Settings of a Scheduler.
type Settings struct {
	Self ownership.Incarnation
	// Domain is the failure domain of the entry.
	Domain ownership.Domain
	// GrantDuration is how long a sidecar keeps an entry's runs after the entry's
	// last grant, plus the longest lease of a worker and its clock drift.
	GrantDuration clock.Millis
	// BestEffortGrantDuration is the same for best-effort jobs.
	BestEffortGrantDuration clock.Millis
	// StoreContactTimeout is how long an entry without contact to the store
	// continues to give orders for stored jobs.
	StoreContactTimeout clock.Millis
	// JobLeaseDuration is how long a witness keeps the lease of a best-effort job for an
	// entry.
	JobLeaseDuration clock.Millis
	// OfferDuration is how long a sidecar reserves free capacity for the entry that
	// it was offered to.
	OfferDuration clock.Millis
	// OutsideSubsetReportInterval is the time between two reports of a sidecar whose
	// worker is outside the entry's subset.
	OutsideSubsetReportInterval clock.Millis
	// EndedRetention is how long the end of a stored job is remembered.
	EndedRetention clock.Millis
	// RemoteFactor is the factor by which a task takes longer outside the rack of its
	// data; defaultRemoteFactor applies if it is not above 0.
	RemoteFactor float64
	// Seed of the random numbers that spread load over similar workers.
	Seed uint64
	// LogsJob reports whether the Decisions of a job without trouble are written to
	// the log. If nil, those of all jobs are.
	LogsJob func(batch.JobID) bool
}

// Scheduler is the decision core of an entry for stored and best-effort jobs.
type Scheduler struct {
	settings Settings
	rand     *rand.Rand
	// attemptResidue is that of the attempts of this entry's best-effort jobs.
	attemptResidue batch.Attempt
	jobs           map[batch.JobID]*job
	// queue holds the jobs with pending tasks, most urgent first.
	queue []*job
	pass  placementPass
	ended map[batch.JobID]endedJob
	// endedOrder holds the ended jobs, oldest first.
	endedOrder []batch.JobID
	// abandonedAfterStart holds best-effort jobs that were removed and had run but not
	// ended.
	abandonedAfterStart map[batch.JobID]abandonedJob
	nodes               map[Address]*node
	// nodeList holds the nodes in the order in which they first connected, so that
	// the same events lead to the same decisions.
	nodeList []*node
	sessions map[ownership.Incarnation]*node
	// successors maps each deposed entry to its successor.
	successors ownership.Successors
	takeovers  []*takeover
	// startedAt is the time of the entry's first tick.
	startedAt clock.Millis
	// disruptedAt is when callers last lost their submissions, as far as this entry
	// knows: at its own start or the loss of another entry.
	disruptedAt clock.Millis
	// patience is how long the callers of each route wait.
	patience map[batch.Route]patience
	// contactAt is when the entry was last known not to be deposed.
	contactAt clock.Millis
	// storeFailing is true while the store refuses this entry's calls.
	storeFailing bool
	suspects     suspects
	// stored is the number of stored jobs in jobs.
	stored       int
	subsetUpdate subsetRefresh
	// demandJobs are the queued jobs that may start as soon as a worker has room, as of
	// this tick.
	demandJobs []*job
	// demandSample holds the workers outside the subset that are sent demand until
	// demandSampleUntil.
	demandSample      [demandSampleSize]*node
	demandSampleUntil clock.Millis
	// entryCount is the number of entries that share the workers.
	entryCount  int
	peerPending map[ownership.Incarnation]peerPending
	// notedCancellations holds the recent cancellations of other entries' jobs, oldest
	// first.
	notedCancellations []notedCancellation
	// drainBy is when a draining entry ends, 0 for one that is not draining.
	drainBy clock.Millis
	membership
	// evacuations is the newest set of evacuated failure domains, nil if none is known.
	evacuations *evacuation.Set
	witnesses   witnessSet
	listings    listings
	nonce       uint64
	// leaseRounds is the number of the last round of lease requests.
	leaseRounds int64
	// leaseQueue holds the sidecars that are to be sent lease requests or releases.
	leaseQueue []*node
	// notedPending is true if the last note to the other entries had pending jobs.
	notedPending bool
	queuedWork   queuedWork
	// pools holds the aggregate of each service's workers.
	pools map[string]*pool
	// placedAt is the time of the last placement pass.
	placedAt      clock.Millis
	slownessDueAt clock.Millis
	sweepDueAt    clock.Millis
	expiryDueAt   clock.Millis
	// lastExpectedWait is the wait that was estimated last, for log lines.
	lastExpectedWait clock.Millis
	// now is the time of the tick or event that is being handled.
	now clock.Millis
	// highestPriority is the highest priority of the jobs that were placed, the lowest number.
	highestPriority int
	counters        Counters
	pendingCommands []Command
}

// Counters count events since the start of the entry.
type Counters struct {
	Accepted, Refused, Completed, FailedJobs, CancelledJobs int64
	Starts, Failures, Lost, NotStarted, Stalled, Crashes    int64
	// StartsEvacuated counts the starts that came back from evacuated workers.
	StartsEvacuated      int64
	Takeovers, Ejections int64
}

// abandonedJob is a best-effort job that was removed at a time. Its runs had attempts
// up to attempt.
type abandonedJob struct {
	at      clock.Millis
	attempt batch.Attempt
	// crashedAttempts holds the attempts of each task under which a worker crashed.
	crashedAttempts map[batch.TaskID][]batch.Attempt
}

type endedJob struct {
	state      batch.State
	at         clock.Millis
	bestEffort bool
}

// New returns a Scheduler without jobs and workers.
func New(s Settings) *Scheduler {
	if s.RemoteFactor <= 0 {
		s.RemoteFactor = defaultRemoteFactor
	}
	return &Scheduler{
		settings:            s,
		attemptResidue:      attemptResidue(s.Self),
		rand:                rand.New(rand.NewPCG(s.Seed, s.Seed)), //nolint:gosec // spreads load, nothing secret
		jobs:                make(map[batch.JobID]*job),
		ended:               make(map[batch.JobID]endedJob),
		abandonedAfterStart: make(map[batch.JobID]abandonedJob),
		nodes:               make(map[Address]*node),
		sessions:            make(map[ownership.Incarnation]*node),
		successors:          make(ownership.Successors),
		peerPending:         make(map[ownership.Incarnation]peerPending),
		pools:               make(map[string]*pool),
		patience:            make(map[batch.Route]patience),
		queuedWork:          queuedWork{peers: make(map[ownership.Incarnation]peerWork)},
		suspects:            suspects{nodes: make(map[Address]bool), room: make(map[string]int)},
		entryCount:          1,
		pass:                placementPass{classes: make(map[classKey]*placementClass)},
		highestPriority:     math.MaxInt,
	}
}

// Counters returns the counters.
func (s *Scheduler) Counters() Counters { return s.counters }

// OpenJobs returns the number of jobs that have not ended.
func (s *Scheduler) OpenJobs() int { return len(s.jobs) }

// RecordStoreContact records that the entry was not deposed at a time.
func (s *Scheduler) RecordStoreContact(at clock.Millis) { s.contactAt = max(s.contactAt, at) }

// SetStoreFailing sets whether the store fails the entry's calls.
func (s *Scheduler) SetStoreFailing(now clock.Millis, failing bool) {
	if s.storeFailing && !failing {
		s.storeRecoveredAt = now
	}
	s.storeFailing = failing
}

// Drain makes the entry refuse new jobs that may not have ended by a time.
func (s *Scheduler) Drain(by clock.Millis) { s.drainBy = by }

// mayOrderStored reports whether the entry may give orders for stored jobs:
// without recent contact to the store it may have been deposed.
func (s *Scheduler) mayOrderStored(now clock.Millis) bool {
	return now-s.contactAt < s.settings.StoreContactTimeout
}

// Tick makes the decisions that are due and returns the commands since the last
// tick.
func (s *Scheduler) Tick(now clock.Millis) []Command {
	s.now = now
	if s.startedAt == 0 {
		s.startedAt = now
		s.disruptedAt = now
	}
	s.updateSubsets(now)
	s.updatePools(now)
	s.updateWitnesses(now)
	s.expireGrants(now)
	s.expireBestEffort(now)
	s.completeTakeovers(now)
	s.deposeMissing(now)
	s.listIfDue(now)
	s.placeTasks(now)
	s.noteQueuedWork(now)
	s.flushOrders(now)
	s.flushJobLeases(now)
	if now >= s.sweepDueAt {
		s.sweepDueAt = now + sweepInterval
		s.sweep(now)
	}
	out := s.pendingCommands
	s.pendingCommands = nil
	return out
}

// keepBestEffort is how long the end of a best-effort job, or that it ran before
// it was abandoned, is remembered for a caller that lost the reply and submits it
// again.
const keepBestEffort = 10 * clock.Second

// sweepInterval is the interval of cleanup, progress writes and notes.
const sweepInterval = 500 * clock.Millis(1)

func (s *Scheduler) sweep(now clock.Millis) {
	for _, j := range s.jobs {
		s.saveProgress(now, j)
		if j.needsConfirmation(now) {
			s.requestListing()
		}
	}
	if s.hasUnresolvedRuns() && now-s.listings.requestedAt >= confirmationInterval {
		s.requestListing()
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
	for id, a := range s.abandonedAfterStart {
		if now-a.at >= keepBestEffort {
			delete(s.abandonedAfterStart, id)
		}
	}
	if own := s.ownPendingJobs(); len(own) > 0 || s.notedPending {
		s.notedPending = len(own) > 0
		s.pendingCommands = append(s.pendingCommands, BroadcastNote{Note: &wire.EntryNote{Pending: own}})
	}
	s.pass.forgetClasses(now)
	s.repeatCancellations(now)
	s.queuedWork.sumOthers(now)
	maps.DeleteFunc(s.peerPending, func(_ ownership.Incarnation, p peerPending) bool { return p.dropAt != 0 && now >= p.dropAt })
}

// Command is an action that the process carries out for the scheduler.
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
	// RetryAfter is the time after which a refused caller may retry.
	RetryAfter clock.Millis
	// State of an ended best-effort job.
	State batch.State
}

// Result is the result of a request.
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
	// NotHeld means that this entry does not hold the job; another entry or the
	// store may.
	NotHeld Result = "not-here"
)

// SaveKind is the purpose of a write to the store.
type SaveKind string

// Kinds of writes.
const (
	SaveNew      SaveKind = "new"
	SaveProgress SaveKind = "progress"
	SaveEnd      SaveKind = "end"
)

// Save writes the record of a job; its result is passed to HandleSaveResult.
type Save struct {
	Kind SaveKind
	ID   batch.JobID
	// Revision of the open record, 0 for a new job.
	Revision int64
	// Nonce is that of the open record. The response to a transaction with several
	// writes may not tell the revision of each, so the nonce shows whether the
	// record is the expected one.
	Nonce string
	// Job is the open record, End the one that replaces it.
	Job *wire.StoredJob
	End *wire.StoredEnd
}

// Lookup asks the store whether the jobs of runs are open; the runs of those that
// are not are passed to ReleaseRuns, the others to RecordUnresolvedRuns.
type Lookup struct {
	Sidecar ownership.Incarnation
	Runs    []batch.RunID
}

// BroadcastNote sends a note to all other entries.
type BroadcastNote struct {
	Note *wire.EntryNote
}

func (SendOrders) command()    {}
func (Reply) command()         {}
func (Save) command()          {}
func (Lookup) command()        {}
func (BroadcastNote) command() {}
