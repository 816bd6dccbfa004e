// Package executor decides what a sidecar does with its worker: which ordered
// tasks it starts and when, how long the worker may keep them, and which ends
// it acknowledges. It does no I/O and takes the time as an argument.
//
// The worker remembers what runs and the ends that are not acknowledged, so a
// sidecar that starts anew learns both from the worker's lists. An end is
// acknowledged after the entry that owns the job has stored it.
package executor

import (
	"cmp"
	"slices"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// GrantTime is how long a sidecar keeps the runs of an entry after it sent
	// the report that the entry's newest orders name. It is longer than the
	// takeover of a dead entry, so that a takeover stops no run.
	GrantTime = 4 * clock.Second
	// BestEffortGrant is the same for best-effort jobs. Their callers submit them
	// again 1.3 s after an entry was lost, and the runs must be over by then. It
	// holds several reports, so that one lost packet stops no run.
	BestEffortGrant = 700 * clock.Millis(1)
	// ClaimTime is how long a run that was found on the worker goes on before an
	// entry claims it: the sessions with all entries are up by then. The
	// worker's lease is not renewed meanwhile.
	ClaimTime = 300 * clock.Millis(1)
	// orderTime is how old the report may be that a start was decided on. A start
	// that was held up for longer, in a frozen process or on the way, may have
	// been decided again elsewhere.
	orderTime = 500 * clock.Millis(1)
	// stopTime is how much longer the worker's lease lasts than the grant of a
	// best-effort run, which is stopped by then.
	stopTime = 150 * clock.Millis(1)
	// reportInterval is the longest time between two reports to an entry; a
	// grant survives several lost ones.
	reportInterval = 150 * clock.Millis(1)
	// loadInterval is the shortest time between two reports that only tell of a
	// changed load. Entries that wait for room get offers besides, and every
	// entry hears of every worker.
	loadInterval = 100 * clock.Millis(1)
	// LooseInterval is the longest time between two reports to an entry that
	// follows the worker loosely.
	LooseInterval = 900 * clock.Millis(1)
	// fewEntries is the number of entries up to which each hears of each change of
	// load; of more, the reports would cost more than they tell.
	fewEntries = 16
	// minStall is how long a run may make no progress before it is stopped: two
	// listings of a worker on which nothing ends. A long run gets stallShare of
	// its declared time, in which it makes some percent of progress also on a
	// worker ten times too slow.
	minStall   = 400 * clock.Millis(1)
	stallShare = 0.2
	// unclaimedAfter is how long a run that no entry has claimed waits before an
	// entry is asked whether its job is still open.
	unclaimedAfter = 1 * clock.Second
	// attemptsKept is how long the highest attempt of a task is remembered after
	// its last order, longer than an order can be on its way.
	attemptsKept = 60 * clock.Second
)

// phase is the state of a run at this sidecar.
type phase int

const (
	// queued means that the task starts or goes back at the next tick.
	queued phase = iota
	// ordered means that a start was sent to the worker and not answered.
	ordered
	// unsure means that the start got no answer and may still be carried out;
	// a listing under a higher token settles it.
	unsure
	running
	// ended means that the worker has listed the end.
	ended
)

// run is one run of a task.
type run struct {
	id    batch.RunID
	owner ownership.Incarnation
	need  batch.Resources
	// sized is false for a run that was found on the worker until an entry tells
	// what it needs.
	sized        bool
	spec         string
	priority     int
	maxPerWorker int
	estimated    clock.Millis
	phase        phase
	stopping     bool
	// token is the fencing token of the start, for an unsure one.
	token     int64
	orderedAt clock.Millis
	startedAt clock.Millis
	// acceptedAt is when the worker's answer to the start was handled.
	acceptedAt clock.Millis
	end        batch.Outcome
	// stalled is true if this sidecar stopped the run for making no progress.
	stalled bool
	// sequence is the number of the end at the worker.
	sequence   int64
	runTime    clock.Millis
	percent    int
	progressAt clock.Millis
	// stored is true if the end may be acknowledged.
	stored bool
	// void is true for an end that does not count, because the worker's lease
	// lapsed before it was acknowledged.
	void bool
	// foundAt is when a run without a known entry was found on the worker.
	foundAt    clock.Millis
	bestEffort bool
	// askedAt is when an entry was last asked about it.
	askedAt clock.Millis
}

// Worker is what the worker says of itself. The JSON form is that of the record
// that a sidecar leaves in the store for its successor.
type Worker struct {
	ID string `json:"id"`
	// Born tells one life of a worker from another with the same id.
	Born int64 `json:"born"`
	// Sequence grows with each report of one life.
	Sequence int64           `json:"-"`
	Service  string          `json:"service"`
	Capacity batch.Resources `json:"capacity"`
	Labels   []string        `json:"labels"`
	Draining bool            `json:"draining"`
}

// entry is the state of a session with an entry.
type entry struct {
	connected bool
	// grantedFrom is the time of the report that the entry's newest orders name.
	grantedFrom clock.Millis
	// storedFrom is the same for the runs of stored jobs.
	storedFrom clock.Millis
	// inventory is true if the next report has to list all runs.
	inventory bool
	events    []*wire.TaskEvent
	// urgent is true if an event must not wait for the next report.
	urgent  bool
	fenced  []string
	deposed bool
	sentAt  clock.Millis
	// received is the sequence of the last orders of the session.
	received int64
	demand
	// sentLoad is the version of the load that was last sent, sentReady whether
	// the worker took tasks by it.
	sentLoad  int64
	sentReady bool
	// loose is true if the entry follows this worker loosely.
	loose bool
	// runs is the number of runs of the entry here, as of the last report.
	runs int
}

// Executor is the decision core of a sidecar.
type Executor struct {
	worker Worker
	// remembered is what an earlier sidecar heard from the worker.
	remembered Worker
	// listed is true after the worker has listed its runs under this sidecar's
	// token; nothing is started before.
	listed bool
	// fencesRead is true after the deposed entries were read from the store.
	fencesRead bool
	token      int64
	// askedAt is when the newest listing that was handled was decided on.
	askedAt clock.Millis
	cursor  int64
	runs    map[batch.TaskID]*run
	// attempts holds the highest attempt of each task that was ordered here.
	attempts map[batch.TaskID]attempt
	entries  map[ownership.Incarnation]*entry
	// successors names for each deposed entry the one that took over.
	successors ownership.Successors
	used       batch.Resources
	unsized    int
	loadSerial int64
	offer      offer
	// lapseUntil is when the worker's lease has certainly lapsed, while it is
	// left to lapse; 0 otherwise.
	lapseUntil clock.Millis
	// maxHold is the longest lease of the worker.
	maxHold  clock.Millis
	heldTill clock.Millis
	leaving  bool
	out      []Command
	sweepAt  clock.Millis
}

type attempt struct {
	number batch.Attempt
	at     clock.Millis
}

// New returns an Executor. token must be higher than that of an earlier sidecar
// of the worker; if the worker refuses it, Fenced raises it. maxHold is the
// longest lease that the worker grants.
func New(token int64, maxHold clock.Millis) *Executor {
	return &Executor{
		token:      token,
		maxHold:    maxHold,
		runs:       make(map[batch.TaskID]*run),
		attempts:   make(map[batch.TaskID]attempt),
		entries:    make(map[ownership.Incarnation]*entry),
		successors: make(ownership.Successors),
	}
}

// Tick returns what is to be done now.
func (x *Executor) Tick(now clock.Millis) []Command {
	x.checkGrants(now)
	x.checkProgress(now)
	x.startQueued(now)
	x.returnQueued()
	x.offerRoom(now)
	x.advanceCursor()
	x.report(now)
	if now >= x.sweepAt {
		x.sweepAt = now + clock.Second
		for id, a := range x.attempts {
			if now-a.at > attemptsKept && x.runs[id] == nil {
				delete(x.attempts, id)
			}
		}
	}
	out := x.out
	x.out = nil
	return out
}

// Idle reports whether nothing is left that a restart would lose time for.
func (x *Executor) Idle() bool {
	return len(x.runs) == 0
}

// Runs returns the number of runs that the worker may be working on.
func (x *Executor) Runs() int {
	n := 0
	for _, r := range x.runs {
		if r.phase == ordered || r.phase == unsure || r.phase == running {
			n++
		}
	}
	return n
}

// ready reports whether tasks may be started.
func (x *Executor) ready() bool {
	return x.listed && x.fencesRead && x.unsized == 0 && x.lapseUntil == 0 && !x.worker.Draining && !x.leaving && x.worker.ID != ""
}

// free returns what is left of the worker.
func (x *Executor) free() batch.Resources {
	return x.worker.Capacity.Sub(x.used)
}

// occupy and release account for a run that counts against the capacity.
func (x *Executor) occupy(r *run) {
	x.used = x.used.Add(r.need)
	x.loadSerial++
}

func (x *Executor) release(r *run) {
	x.used = x.used.Sub(r.need)
	x.loadSerial++
}

// startQueued starts waiting tasks, the most urgent ones first.
func (x *Executor) startQueued(now clock.Millis) {
	if !x.ready() {
		return
	}
	waiting := x.waiting()
	for _, r := range waiting {
		if !x.free().Covers(r.need) {
			continue
		}
		if r.maxPerWorker > 0 && x.active(r.id) >= r.maxPerWorker {
			continue
		}
		r.phase = ordered
		r.orderedAt = now
		r.startedAt = now
		r.progressAt = now
		r.token = x.token
		x.occupy(r)
		x.out = append(x.out, StartRun{Run: r.id, Spec: r.spec, Token: x.token, Until: x.hold(now)})
	}
}

// waiting returns the queued tasks in the order in which they start.
func (x *Executor) waiting() []*run {
	var waiting []*run
	for _, r := range x.runs {
		if r.phase == queued {
			waiting = append(waiting, r)
		}
	}
	slices.SortFunc(waiting, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.orderedAt, b.orderedAt),
			cmp.Compare(a.id.Job, b.id.Job), cmp.Compare(a.id.Index, b.id.Index))
	})
	return waiting
}

// active counts the runs of a step that may be at work.
func (x *Executor) active(id batch.RunID) int {
	n := 0
	for _, r := range x.runs {
		if r.id.Job == id.Job && r.id.Step == id.Step && r.id.Occurrence == id.Occurrence &&
			(r.phase == ordered || r.phase == unsure || r.phase == running) {
			n++
		}
	}
	return n
}

// returnQueued returns the tasks that did not start to their entries, which may
// know of room elsewhere. A task that waited here would be late while another
// worker has room.
func (x *Executor) returnQueued() {
	for _, r := range x.runs {
		if r.phase == queued {
			x.notStarted(r)
		}
	}
}

// notStarted forgets a run that never began and tells its entry.
func (x *Executor) notStarted(r *run) {
	delete(x.runs, r.id.TaskID)
	x.loadSerial++
	x.tell(r, wire.TaskEvent_STATE_NOT_STARTED)
}

// checkProgress stops runs that make no progress.
func (x *Executor) checkProgress(now clock.Millis) {
	for _, r := range x.runs {
		if r.phase == running && !r.stopping && now-r.progressAt >= max(minStall, clock.Millis(stallShare*float64(r.estimated))) {
			r.stalled = true
			x.stop(r)
		}
	}
}

func (x *Executor) stop(r *run) {
	if r.stopping {
		return
	}
	r.stopping = true
	x.out = append(x.out, StopRun{Run: r.id, Token: x.token})
}

// checkGrants gives up the runs of entries that have been silent for too long:
// they may have placed the tasks elsewhere. A best-effort run is stopped. For a
// stored job the worker's lease is left to lapse, because an end that comes
// later must not count.
func (x *Executor) checkGrants(now clock.Millis) {
	if x.lapseUntil != 0 {
		return
	}
	for _, r := range x.runs {
		if r.phase == queued || r.stored {
			continue
		}
		until := x.keptUntil(r)
		if now < until {
			continue
		}
		if r.bestEffort || r.owner == "" {
			x.giveUp(r)
			continue
		}
		x.lapseUntil = max(now, x.heldTill) + lapseMargin
		x.out = append(x.out, Lapsing{Entry: r.owner, Run: r.id, Since: until})
		return
	}
}

// keptUntil is how long a run may go on without another grant.
func (x *Executor) keptUntil(r *run) clock.Millis {
	e := x.entries[r.owner]
	switch {
	case r.owner == "" || e == nil:
		return r.foundAt + ClaimTime
	case r.bestEffort:
		return e.grantedFrom + BestEffortGrant
	}
	return e.storedFrom + GrantTime
}

// giveUp stops a run that nobody waits for, or that was found on the worker and
// not claimed. An end that was found may be that of a stored job, so an entry
// has to look it up.
func (x *Executor) giveUp(r *run) {
	if r.phase != ended {
		x.stop(r)
		return
	}
	r.stored = r.bestEffort
}

// lapseMargin covers a worker whose clock is 2% slow over the longest lease,
// and the call that is on its way.
const lapseMargin = 150 * clock.Millis(1)

// hold returns until when the worker may keep its runs, 0 to leave its lease as
// it is.
func (x *Executor) hold(now clock.Millis) clock.Millis {
	if x.lapseUntil != 0 {
		return 0
	}
	until := now + x.maxHold
	for _, r := range x.runs {
		if r.phase == queued || r.stored || r.phase == ended && (r.bestEffort || r.owner == "") {
			continue
		}
		if r.owner == "" {
			return 0
		}
		kept := x.keptUntil(r)
		if r.bestEffort {
			kept += stopTime
		}
		until = min(until, kept)
	}
	if until <= now {
		return 0
	}
	x.heldTill = max(x.heldTill, until)
	return until
}

// advanceCursor moves the cursor over the ends that are stored.
func (x *Executor) advanceCursor() {
	var ends []*run
	for _, r := range x.runs {
		if r.phase == ended {
			ends = append(ends, r)
		}
	}
	slices.SortFunc(ends, func(a, b *run) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, r := range ends {
		if !r.stored {
			return
		}
		x.cursor = max(x.cursor, r.sequence)
		delete(x.runs, r.id.TaskID)
	}
}
