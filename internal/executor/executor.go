// Package executor makes the decisions of a sidecar about its worker: which
// ordered tasks to start and when, how far to renew the worker's lease, and which
// ends to acknowledge. It does no I/O and takes the time as an argument.
//
// The worker keeps its active runs and its unacknowledged ends, so a restarted
// sidecar recovers both from the worker's listings. An end is acknowledged after
// the entry that owns the job has stored it.
package executor

import (
	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/evacuation"
	"github.com/teaseltide/teaseltide/internal/interference"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// GrantDuration is how long a sidecar keeps the runs of an entry after sending
	// the report on which the entry's latest orders are based. It is longer than
	// the takeover of a dead entry, so that a takeover stops no run.
	GrantDuration = 4 * clock.Second
	// BestEffortGrantDuration is the same for best-effort jobs. Their callers
	// resubmit them 1.3 s after the loss of an entry, by when the runs must have
	// ended. It spans several reports, so that one lost packet stops no run.
	BestEffortGrantDuration = 700 * clock.Millis(1)
	// ClaimTimeout is how long a run that was discovered on the worker continues
	// unless an entry claims it. Sessions with all entries are established by
	// then. The worker's lease is not renewed in the meantime.
	ClaimTimeout = 300 * clock.Millis(1)
	// maxOrderAge is the greatest age of the report on which a start is based. A
	// start that was delayed for longer, in a frozen process or in the network,
	// may since have been ordered from another worker.
	maxOrderAge = 500 * clock.Millis(1)
	// bestEffortStopMargin is how long the worker's lease outlasts the grant of a
	// best-effort run: the time allowed for stopping the run.
	bestEffortStopMargin = 150 * clock.Millis(1)
	// leaseAhead is how far ahead of the present the worker's lease is renewed. It
	// outlasts four listings without an answer. It isn't longer because the lease
	// never shortens, and a run on an older report must not inherit a longer one.
	leaseAhead = 600 * clock.Millis(1)
	// maxLeaseAfterReport is how long after the report on which a best-effort run
	// is based the worker's lease may last when the run starts. The entry places
	// the task elsewhere 1.1 s after the report; the rest is for the drift of the
	// worker's clock, 2% of the lease, and for the end of the run.
	maxLeaseAfterReport = 1 * clock.Second
	// maxStartDelay is the longest time between the decision to start a run and the
	// call to the worker. It allows for a busy processor; after a longer pause of
	// the process the task may run elsewhere.
	maxStartDelay = 100 * clock.Millis(1)
	// stopRetryInterval is the time after which a stop is repeated if the end of the
	// run is not listed. The worker ends a run within 50 ms of a stop, and the next
	// listing follows within 106 ms. A call that gets no answer ends before the
	// next one.
	stopRetryInterval = 150 * clock.Millis(1)
	// stoppedGrantDuration is how long a best-effort run continues, if no stop has
	// an effect, after its entry ordered the stop; the lease ends
	// bestEffortStopMargin later. It spans three stops. The caller may submit the
	// job again 1.3 s after the entry gave it up.
	stoppedGrantDuration = 450 * clock.Millis(1)
	// reportInterval is the longest time between two reports to an entry, except
	// where LooseReportInterval applies. A grant outlasts several lost reports.
	reportInterval = 150 * clock.Millis(1)
	// loadReportInterval is the shortest time between two reports that are sent
	// only because the load changed. It isn't shorter because entries that wait
	// for capacity also get offers, and every worker reports to every entry.
	loadReportInterval = 100 * clock.Millis(1)
	// LooseReportInterval is the longest time between two reports to an entry that
	// follows the worker loosely.
	LooseReportInterval = 900 * clock.Millis(1)
	// maxLoadReportEntries is the greatest number of entries that get reports of
	// changed load; with more, the reports would cost more than they are worth.
	maxLoadReportEntries = 16
	// minStallTime is the shortest time without progress after which a run is
	// stopped: two listings of a worker on which nothing ends. A long run gets
	// stallFraction of its declared time instead, in which it progresses by some
	// percent even on a worker that is ten times too slow.
	minStallTime  = 400 * clock.Millis(1)
	stallFraction = 0.2
	// unclaimedDelay is the time before an entry is asked, or asked again, whether
	// the job of an unclaimed run is still open.
	unclaimedDelay = 1 * clock.Second
	// maxSilence is how long listings without an answer renew the lease. A worker that
	// loses answers answers some of them; the runs of one that answers none for longer
	// are lost once the lease is over.
	maxSilence = 3 * clock.Second
	// lateStartTimeout is how long after an unanswered start a worker may still
	// execute it. Workers execute late calls within 12 s.
	lateStartTimeout = 15 * clock.Second
	// attemptRetention is how long the highest attempt of a task is kept after its
	// last order; no order is in flight for as long.
	attemptRetention = 60 * clock.Second
	// crashRetention is how long the report of a crash waits for its confirmation. An
	// entry confirms it after a write to the store, whose outages last for seconds.
	crashRetention = 60 * clock.Second
)

// Worker is the worker's description of itself. Its JSON form is the record in the
// store that a sidecar writes for its next incarnation.
type Worker struct {
	ID string `json:"id"`
	// Incarnation distinguishes the successive incarnations of a worker with the
	// same ID; it increases with each.
	Incarnation int64 `json:"born"`
	// Sequence increases with each report of one incarnation.
	Sequence int64           `json:"-"`
	Service  string          `json:"service"`
	Capacity batch.Resources `json:"capacity"`
	Labels   []string        `json:"labels"`
	Draining bool            `json:"draining"`
	// WarmupLeft is how much longer the worker stays slow after its start, 0 for a warm one.
	WarmupLeft clock.Millis `json:"-"`
	// Remaining is the shortest time after which a draining worker ends, 0 if unknown.
	Remaining clock.Millis `json:"-"`
}

// entry is the state of an entry and of the session with it.
type entry struct {
	connected bool
	// grantedFrom is the time of the report on which the entry's latest orders are
	// based.
	grantedFrom clock.Millis
	// storedGrantedFrom is the same for the runs of stored jobs, whose grant an
	// entry can withhold.
	storedGrantedFrom clock.Millis
	// inventoryDue is true if the next report must list all runs of the entry.
	inventoryDue bool
	// partialInventory is true if the last inventory was partial.
	partialInventory bool
	events           []*wire.TaskEvent
	// urgent is true if an event must be reported without delay.
	urgent bool
	// appliedFences lists the entries that were deposed by orders of this entry
	// and aren't yet reported back to it.
	appliedFences []string
	deposed       bool
	sentAt        clock.Millis
	// received is the sequence of the last orders received in the session.
	received int64
	demand
	// sentLoadVersion is the loadVersion of the last report, sentReady whether it
	// reported the worker as ready.
	sentLoadVersion int64
	sentReady       bool
	// loose is true if the entry follows this worker loosely, with fewer reports.
	loose bool
	// runCount is the number of the entry's runs here, as of the last tick.
	runCount int
	// evacuations tracks which set of evacuated failure domains the entry has.
	evacuations evacuation.Peer
}

// Executor makes the decisions of a sidecar. It is not safe for concurrent use.
type Executor struct {
	worker Worker
	// restoredWorker is the description that an earlier sidecar stored.
	restoredWorker Worker
	// displacedWorker is the worker before the last report of another incarnation.
	displacedWorker Worker
	// workerSince is when the incarnation of worker became known. A listing that was
	// requested later comes from the present worker, whatever its incarnation.
	workerSince clock.Millis
	// reportedAt is when the last report was used.
	reportedAt clock.Millis
	// disprovedIncarnation was reported, but a later listing showed a lower one;
	// further reports of it are ignored.
	disprovedIncarnation int64
	// runsListed is true after the worker has listed its runs under this sidecar's
	// token; nothing is started before then.
	runsListed bool
	// hasListed is true once the worker has listed its runs and all ends under this
	// sidecar's token. Before, it may have runs of an earlier sidecar that are not known
	// here.
	hasListed bool
	backlog   backlog
	// replaced is true from the replacement of the worker until the first listing of
	// the new incarnation under a higher token.
	replaced bool
	// timedOut is true if calls to the worker have timed out since its last answer, so
	// that it may have been cut off.
	timedOut bool
	// refusedSince is when the worker refused the first connection since its last answer,
	// 0 if it has refused none.
	refusedSince clock.Millis
	// silentSince is since when the worker has been unreachable, 0 if it is not.
	silentSince clock.Millis
	// leaseLapsed is true if the worker's lease lapsed because a grant expired.
	leaseLapsed bool
	// lostRuns are the runs that were reported as lost since the worker's last answer,
	// without a crash.
	lostRuns []*run
	// crashedRuns are the runs under which the worker crashed, until their entry has
	// confirmed the report.
	crashedRuns map[batch.RunID]*run
	// fencesLoaded is true after the deposed entries have been read from the store.
	fencesLoaded bool
	token        int64
	// lastListRequestedAt is the RequestedAt of the latest listing handled.
	lastListRequestedAt clock.Millis
	// cursor is the sequence up to which ends are acknowledged.
	cursor int64
	runs   map[batch.TaskID]*run
	// rejected holds the starts of the last lateStartTimeout that were resolved as not
	// started.
	rejected map[batch.RunID]*run
	// superseded holds the ends of superseded runs by their sequence.
	superseded map[int64]supersededEnd
	// supersededActive is true if the last listing has an active run of which a later attempt
	// is known here. It takes room that used does not include, so nothing starts beside it.
	supersededActive bool
	// attempts holds the highest attempt of each task that was ordered here.
	attempts map[batch.TaskID]attempt
	entries  map[ownership.Incarnation]*entry
	// jobLeases holds the leases of the jobs of which this sidecar is a witness.
	jobLeases map[batch.JobID]jobLease
	// successors maps each deposed entry to the one that took over.
	successors ownership.Successors
	used       batch.Resources
	// unsizedRuns is the number of active runs whose resources are unknown.
	unsizedRuns int
	// loadVersion increases with each change of the load, as far as reports show
	// it.
	loadVersion int64
	offer       offer
	evacuations evacuations
	// leaseExpiredBy is when the worker's lease will certainly have expired, while
	// it is not renewed; 0 otherwise.
	leaseExpiredBy clock.Millis
	// lapseAwaited is awaitsLapse as of the last tick.
	lapseAwaited bool
	// maxLease is the longest lease that the worker grants.
	maxLease clock.Millis
	// leaseUntil is the latest end of the lease that was requested by a call that may
	// have been executed, apart from openRenewals.
	leaseUntil clock.Millis
	// inheritedLease is when a lease that an earlier sidecar or the start of the worker set
	// has ended, 0 before the first call.
	inheritedLease clock.Millis
	// openRenewals are the renewals of recent listings.
	openRenewals []renewal
	// lastListRequest is the number of the last ListRequest.
	lastListRequest int64
	draining        bool
	commands        []Command
	nextSweepAt     clock.Millis
	observations    observations
	lifecycle       lifecycle
}

// New returns an Executor. token should be higher than those of earlier sidecars
// of the worker; if the worker refuses it, TokenRefused raises it. maxLease is the
// longest lease that the worker grants.
func New(token int64, maxLease clock.Millis) *Executor {
	return &Executor{
		token:       token,
		maxLease:    maxLease,
		backlog:     backlog{listLimit: maxListedEnds},
		runs:        make(map[batch.TaskID]*run),
		crashedRuns: make(map[batch.RunID]*run),
		rejected:    make(map[batch.RunID]*run),
		superseded:  make(map[int64]supersededEnd),
		attempts:    make(map[batch.TaskID]attempt),
		entries:     make(map[ownership.Incarnation]*entry),
		jobLeases:   make(map[batch.JobID]jobLease),
		successors:  make(ownership.Successors),

		observations: observations{learner: interference.New()},
	}
}

// Tick makes the decisions that are due at now and returns the commands since the
// last tick.
func (x *Executor) Tick(now clock.Millis) []Command {
	x.markLapsed(now)
	x.updateAwaitedLapse(now)
	x.dropUnclaimed(now)
	x.updateEvacuations(now)
	x.checkGrants(now)
	x.checkProgress(now)
	x.stopBeforeDeparture(now)
	x.repeatStops(now)
	x.startQueued(now)
	x.returnQueued(now)
	x.observeRuns(now)
	x.offerCapacity(now)
	x.advanceCursor()
	x.sendReports(now)
	if now >= x.nextSweepAt {
		x.nextSweepAt = now + clock.Second
		x.sweep(now)
	}
	commands := x.commands
	x.commands = nil
	return commands
}

// sweep forgets old attempts, crashes and job leases.
func (x *Executor) sweep(now clock.Millis) {
	x.sweepJobLeases(now)
	x.sweepRejected(now)
	for id, a := range x.attempts {
		if now-a.at > attemptRetention && x.runs[id] == nil {
			delete(x.attempts, id)
		}
	}
	for id, r := range x.crashedRuns {
		if now-r.crashedAt > crashRetention {
			delete(x.crashedRuns, id)
		}
	}
}

// Idle reports whether there are no runs, so that a restart causes no delay.
func (x *Executor) Idle() bool {
	return len(x.runs) == 0
}

// HoldsNothing reports whether the worker has listed its runs and ends and has none that a
// takeover must wait for.
func (x *Executor) HoldsNothing() bool {
	return x.hasListed && x.Idle() && !x.supersededActive
}

// ActiveRuns returns the number of runs that may be active on the worker.
func (x *Executor) ActiveRuns() int {
	n := 0
	for _, r := range x.runs {
		if r.phase == starting || r.phase == unanswered || r.phase == running {
			n++
		}
	}
	return n
}
