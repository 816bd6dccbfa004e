package gate

import (
	"slices"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/runtimes"
	"github.com/teaseltide/teaseltide/internal/table"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// tickInterval is the time between ticks while tasks are queued or the
	// sidecar is leaving.
	tickInterval = 10 * clock.Millis(1)
	// sweepInterval is the time between searches for expired jobs. Jobs are
	// kept for minutes, so one second more does not matter.
	sweepInterval = clock.Second
	// defaultRetention applies to a job without expires-at and to the
	// cancellation of an unknown job. It is the longest expires-at that
	// entries accept.
	defaultRetention = 10 * clock.Minute
)

// Gate is the state machine of a sidecar. It is not safe for concurrent use.
type Gate struct {
	cfg        Config
	startup    startup
	partitions [ownership.Partitions]partition
	entries    *table.Table[ownership.Incarnation, entry]
	jobs       *jobTable
	// interned holds one copy of each service and team name.
	interned map[string]string
	// runSummaries holds the run times of each service.
	runSummaries *table.Table[string, runtimes.Summary]
	backend      backend
	queue        []TaskID
	running      int
	// dirty lists the jobs with outcomes to report in the next tick.
	dirty []JobID
	// retained lists the finished tasks in the order in which they ended.
	retained      []retainedTask
	retainedBytes int64
	pendingFences []pendingFence
	leave         leave
	sweepAt       clock.Millis
	// sentState is the last state sent to the connected entries.
	sentState *wire.SidecarState
	// stateChanged is true if the state may differ from sentState.
	stateChanged bool
	epochChanges uint64
	commands     []Command
	// replies follow the commands of the same tick, among them results and
	// fence acknowledgements.
	replies []Command
}

// entry is an entry with a session whose Hello has arrived.
type entry struct {
	// recordRevision is the revision of the ownership record in the last Owned
	// message of this session, 0 before the first one.
	recordRevision int64
	// seenEpochs holds the highest epoch of each partition that the entry has
	// used or seen, from its Owned messages.
	seenEpochs map[ownership.Partition]ownership.Epoch
}

// New returns the core of a sidecar that has just started.
func New(cfg Config) *Gate {
	g := &Gate{
		cfg:          cfg,
		entries:      table.New[ownership.Incarnation, entry](),
		jobs:         newJobTable(),
		interned:     make(map[string]string),
		runSummaries: table.New[string, runtimes.Summary](),
	}
	g.leave.acks = make(map[ownership.Partition]ownership.Epoch)
	g.sentState = g.State()
	return g
}

// Handle applies one event.
func (g *Gate) Handle(now clock.Millis, e Event) {
	switch e := e.(type) {
	case EntryConnected:
		g.entryConnected(now, e)
	case EntryDisconnected:
		g.entryDisconnected(now, e.Entry)
	case EntryMessage:
		g.entryMessage(now, e.Entry, e.Envelope)
	case Registered:
		g.registered(now)
	case RecordRead:
		g.recordRead(&e.Record)
	case BackendState:
		g.backendState(e)
	case TaskFinished:
		g.taskFinished(e)
	case Leave:
		g.startLeaving()
	case Deregistered:
		g.leave.deregistered = true
	}
}

// Tick applies the effects of the events and of the time since the last tick
// and returns the resulting commands in order.
func (g *Gate) Tick(now clock.Millis) []Command {
	if g.leave.exited {
		return nil
	}
	g.requestRecord(now)
	g.failQueued(now)
	g.startQueued()
	g.flushState()
	g.unmarkTakenOver()
	g.flushResults(now)
	g.flushFences()
	g.dropExcessResults()
	g.sweep(now)
	g.advanceLeave(now)
	out := slices.Concat(g.commands, g.replies)
	g.commands = nil
	g.replies = nil
	return out
}

// Next returns the time at which Tick must run if no event arrives before, or
// false if it need not run.
func (g *Gate) Next(now clock.Millis) (clock.Millis, bool) {
	if g.leave.exited {
		return 0, false
	}
	if len(g.queue) > 0 || g.leave.active {
		return now + tickInterval, true
	}
	at := clock.Millis(0)
	if g.startup.needsRecord() {
		at = g.startup.nextReadAt
	}
	if g.jobs.Len() > 0 && (at == 0 || g.sweepAt < at) {
		at = g.sweepAt
	}
	return max(at, now), at != 0
}

func (g *Gate) entryConnected(now clock.Millis, e EntryConnected) {
	g.entryDisconnected(now, e.Entry)
	g.entries.Put(e.Entry, &entry{seenEpochs: make(map[ownership.Partition]ownership.Epoch)})
	// The state may have changed since this sidecar wrote its Hello.
	g.sendState(e.Entry)
}

func (g *Gate) entryDisconnected(now clock.Millis, e ownership.Incarnation) {
	if g.entries.Get(e) == nil {
		return
	}
	g.entries.Delete(e)
	for p := range g.partitions {
		if g.partitions[p].owner == e {
			g.partitions[p].ownerActive = false
		}
	}
	g.markUndelivered(now, e)
}

// owned records the epochs that an entry has used or seen. Readiness depends on
// this message and not on the Hello: the entry's control thread sends it after
// it has added this sidecar to its tables, so that a later takeover by the
// entry fences this sidecar.
func (g *Gate) owned(from ownership.Incarnation, m *wire.Owned) {
	e := g.entries.Get(from)
	if e == nil {
		return
	}
	e.recordRevision = m.GetRecordRevision()
	for _, o := range slices.Concat(m.GetPartitions(), m.GetSeen()) {
		p := ownership.Partition(o.GetPartition())
		e.seenEpochs[p] = max(e.seenEpochs[p], ownership.Epoch(o.GetEpoch()))
	}
	g.updateReady()
}

func (g *Gate) entryMessage(now clock.Millis, from ownership.Incarnation, env *wire.Envelope) {
	switch body := env.GetBody().(type) {
	case *wire.Envelope_Dispatch:
		g.dispatch(now, from, body.Dispatch)
	case *wire.Envelope_Cancel:
		g.cancel(now, from, body.Cancel)
	case *wire.Envelope_Claim:
		g.claim(now, from, body.Claim)
	case *wire.Envelope_Fence:
		g.fence(from, body.Fence)
	case *wire.Envelope_Fetch:
		g.fetch(from, body.Fetch)
	case *wire.Envelope_Owned:
		g.owned(from, body.Owned)
	case *wire.Envelope_LeaveAck:
		g.leaveAck(from, body.LeaveAck)
	}
}

// reply queues a frame to be sent after the results of this tick.
func (g *Gate) reply(to ownership.Incarnation, env *wire.Envelope) {
	g.replies = append(g.replies, Send{Entry: to, Envelope: env})
}

func (g *Gate) send(to ownership.Incarnation, env *wire.Envelope) {
	g.commands = append(g.commands, Send{Entry: to, Envelope: env})
}

// Stats holds the values of the sidecar's metrics.
type Stats struct {
	Slots, Running, Queued int
	// Jobs is the number of known jobs, including those known only from a
	// claim or a cancellation.
	Jobs        int
	ResultBytes int64
	// EpochChanges is the number of changes of partition epochs since start.
	EpochChanges uint64
	// ReadyPartitions is the number of partitions that accept work.
	ReadyPartitions int
	Leaving         bool
}

// Stats returns the current values.
func (g *Gate) Stats() Stats {
	return Stats{
		Slots:           g.backend.limit(),
		Running:         g.running,
		Queued:          len(g.queue),
		Jobs:            g.jobs.Len(),
		ResultBytes:     g.retainedBytes,
		EpochChanges:    g.epochChanges,
		ReadyPartitions: g.startup.readyPartitions,
		Leaving:         g.leave.active,
	}
}
