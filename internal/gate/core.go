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
	// tickInterval is the time between two ticks while something is pending.
	tickInterval = 10 * clock.Millis(1)
	// sweepInterval is the time between two searches for jobs whose retention
	// is over. Jobs live for minutes, so a second more does not matter.
	sweepInterval = clock.Second
	// defaultRetention applies to a job without expires-at and to the record
	// of a cancellation whose job is not known here. No expires-at is further
	// ahead than this.
	defaultRetention = 10 * clock.Minute
)

// Gate is the state of a sidecar. It is not safe for concurrent use.
type Gate struct {
	cfg        Config
	start      startup
	partitions [ownership.Partitions]partition
	entries    *table.Table[ownership.Incarnation, entry]
	jobs       *jobTable
	// names holds one copy of each name of a service or team.
	names map[string]string
	// runs summarizes the run times of each service.
	runs    *table.Table[string, runtimes.Summary]
	backend backend
	queue   []TaskID
	running int
	// dirty lists the jobs with tasks to report in the next tick.
	dirty []JobID
	// held lists finished tasks with their results, oldest first.
	held      []heldTask
	heldBytes int64
	fences    []fenced
	leave     leave
	sweepAt   clock.Millis
	// announced is the state that the connected entries were told last.
	announced *wire.SidecarState
	// stateChanged is true if the state may differ from announced.
	stateChanged bool
	epochs       uint64
	commands     []Command
	// replies are sent after the results and fence replies of the same tick.
	replies []Command
}

// entry is an entry with a session whose Hello has arrived.
type entry struct {
	// revision of the record in the last Owned message of this session; 0
	// before the first one.
	revision int64
	// seen holds the highest epochs that the entry has used, read or heard of.
	seen map[ownership.Partition]ownership.Epoch
}

// New returns the core of a sidecar that has just started and knows nothing.
func New(cfg Config) *Gate {
	g := &Gate{
		cfg:     cfg,
		entries: table.New[ownership.Incarnation, entry](),
		jobs:    newJobTable(),
		names:   make(map[string]string),
		runs:    table.New[string, runtimes.Summary](),
	}
	g.leave.acks = make(map[ownership.Partition]ownership.Epoch)
	g.announced = g.State()
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

// Tick runs the systems and returns the commands since the last tick.
func (g *Gate) Tick(now clock.Millis) []Command {
	if g.leave.exited {
		return nil
	}
	g.retryRecord(now)
	g.failQueued(now)
	g.startQueued()
	g.flushState()
	g.skipFetched()
	g.flushResults(now)
	g.flushFences()
	g.boundResults()
	g.sweep(now)
	g.proceedLeaving(now)
	out := slices.Concat(g.commands, g.replies)
	g.commands = nil
	g.replies = nil
	return out
}

// Next returns the time of the next tick that is needed without a further
// event, and false if there is none.
func (g *Gate) Next(now clock.Millis) (clock.Millis, bool) {
	if g.leave.exited {
		return 0, false
	}
	if len(g.queue) > 0 || g.leave.active {
		return now + tickInterval, true
	}
	at := clock.Millis(0)
	if g.start.pending() {
		at = g.start.readAt
	}
	if g.jobs.Len() > 0 && (at == 0 || g.sweepAt < at) {
		at = g.sweepAt
	}
	return max(at, now), at != 0
}

func (g *Gate) entryConnected(now clock.Millis, e EntryConnected) {
	g.entryDisconnected(now, e.Entry)
	g.entries.Put(e.Entry, &entry{seen: make(map[ownership.Partition]ownership.Epoch)})
	// The state may have changed after the Hello of this sidecar was written.
	g.sendState(e.Entry)
}

func (g *Gate) entryDisconnected(now clock.Millis, e ownership.Incarnation) {
	if g.entries.Get(e) == nil {
		return
	}
	g.entries.Delete(e)
	for p := range g.partitions {
		if g.partitions[p].holder == e {
			g.partitions[p].live = false
		}
	}
	g.keepUndelivered(now, e)
}

// entryOwned notes which partitions an entry serves or takes over. Only this
// message counts for the start steps and not the Hello: the entry's control
// thread sends it after it has entered this sidecar in its tables, so that a
// later takeover by the entry fences this sidecar.
func (g *Gate) entryOwned(from ownership.Incarnation, m *wire.Owned) {
	row := g.entries.Get(from)
	if row == nil {
		return
	}
	row.revision = m.GetRecordRevision()
	for _, o := range slices.Concat(m.GetPartitions(), m.GetSeen()) {
		p := ownership.Partition(o.GetPartition())
		row.seen[p] = max(row.seen[p], ownership.Epoch(o.GetEpoch()))
	}
	g.resolveReady()
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
		g.entryOwned(from, body.Owned)
	case *wire.Envelope_LeaveAck:
		g.leaveAck(from, body.LeaveAck)
	}
}

// reply queues a frame that is sent after the results of this tick.
func (g *Gate) reply(to ownership.Incarnation, env *wire.Envelope) {
	g.replies = append(g.replies, Send{Entry: to, Envelope: env})
}

func (g *Gate) send(to ownership.Incarnation, env *wire.Envelope) {
	g.commands = append(g.commands, Send{Entry: to, Envelope: env})
}

// Stats are the figures of a sidecar for its metrics.
type Stats struct {
	Slots, Running, Queued int
	// Jobs counts the remembered jobs, including claims and cancellations.
	Jobs        int
	ResultBytes int64
	// EpochChanges counts the changes of partition epochs since start.
	EpochChanges uint64
	// ReadyPartitions is the number of partitions that accept work.
	ReadyPartitions int
	Leaving         bool
}

// Stats returns the current figures.
func (g *Gate) Stats() Stats {
	return Stats{
		Slots:           g.backend.limit(),
		Running:         g.running,
		Queued:          len(g.queue),
		Jobs:            g.jobs.Len(),
		ResultBytes:     g.heldBytes,
		EpochChanges:    g.epochs,
		ReadyPartitions: g.start.ready,
		Leaving:         g.leave.active,
	}
}
