package dispatch

import (
	"github.com/teaseltide/teaseltide/internal/admission"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/placement"
	"github.com/teaseltide/teaseltide/internal/table"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
	"github.com/teaseltide/teaseltide/pkg/operator"
)

// JobID identifies a job by service, team and idempotency key.
type JobID = placement.JobID

// Core makes the decisions of one entry. It is not safe for concurrent use;
// the control thread of the process owns it.
type Core struct {
	cfg       Config
	placement placement.Policy
	admission admission.Policy
	now       clock.Millis
	commands  []Command

	text         *operator.Text
	textRevision int64
	storeUp      bool
	draining     bool
	drained      bool

	membership membership
	isolation  isolation
	partitions [ownership.Partitions]partition
	sidecars   *table.Table[ownership.Incarnation, sidecar]
	peers      *table.Table[ownership.Incarnation, peer]
	requests   *table.Table[RequestID, request]
	timers     jobTimers
	// knownTimers orders the known jobs by expiry.
	knownTimers expiryQueue[JobID]

	fences   *table.Table[ownership.Incarnation, wire.Fence]
	claims   *table.Table[claimTarget, wire.Claim]
	fetches  *table.Table[fetchTarget, wire.Fetch]
	counters Counters
	retained retainedResults
	// lastShortID is the last short ID assigned to a sidecar.
	lastShortID     uint32
	nextRequestScan clock.Millis
	// servedVersion counts how often a partition entered the serving mode.
	servedVersion int64
	// ownedChanged requests a new Owned message to every session.
	ownedChanged bool
}

// Counters counts the core's decisions since it was created.
type Counters struct {
	// Takeovers counts partitions fenced at a new epoch.
	Takeovers int64
	// StepDowns counts partitions relinquished because of a higher epoch.
	StepDowns int64
	// Starts counts tasks sent to sidecars, resends not included.
	Starts int64
	// Resends counts tasks sent again after a session ended.
	Resends int64
	// Requeued counts tasks requeued because they provably did not start.
	Requeued int64
	// Claims counts claims sent.
	Claims int64
}

// New returns a core without partitions, workers or services.
func New(cfg Config, place placement.Policy, admit admission.Policy) *Core {
	c := &Core{
		cfg:       cfg,
		placement: place,
		admission: admit,
		sidecars:  table.New[ownership.Incarnation, sidecar](),
		peers:     table.New[ownership.Incarnation, peer](),
		requests:  table.New[RequestID, request](),
		fences:    table.New[ownership.Incarnation, wire.Fence](),
		claims:    table.New[claimTarget, wire.Claim](),
		fetches:   table.New[fetchTarget, wire.Fetch](),
	}
	for p := range c.partitions {
		c.partitions[p].init(ownership.Partition(p))
	}
	return c
}

// Handle applies one event to the state.
func (c *Core) Handle(now clock.Millis, e Event) {
	c.now = now
	switch e := e.(type) {
	case Submit:
		c.submit(e)
	case CancelRequest:
		c.requestCancel(e)
	case FetchRequest:
		c.requestFetch(e)
	case CallerDisconnected:
		c.callerDisconnected(e)
	case PeerConnected:
		c.peerConnected(e)
	case PeerDisconnected:
		c.peerDisconnected(e.Entry)
	case PeerMessage:
		c.peerMessage(e.Entry, e.Envelope)
	case SidecarConnected:
		c.sidecarConnected(e)
	case SidecarDisconnected:
		c.sidecarDisconnected(e.Sidecar)
	case SidecarMessage:
		c.sidecarMessage(e.Sidecar, e.Envelope)
	default:
		c.handleControlEvent(e)
	}
}

// handleControlEvent applies events from the store or from operators.
func (c *Core) handleControlEvent(e Event) {
	switch e := e.(type) {
	case RecordRead:
		c.recordRead(e.Record)
	case RecordWriteFailed:
		c.membership.writeInFlight = false
		c.membership.nextWriteAt = c.now + recordRetryDelay
	case RegistrationsListed:
		c.registrationsListed(e)
	case MembersChanged:
		c.membership.leaseHolders = e.Members
		c.isolation.evaluate = true
	case TextAdopted:
		c.adoptText(e)
	case StoreState:
		c.storeUp = e.Up
		c.isolation.evaluate = true
	case Drain:
		c.drain()
	}
}

// Tick runs the periodic steps at time now and returns the commands emitted
// since the last call.
func (c *Core) Tick(now clock.Millis) []Command {
	c.now = now
	c.fenceAssigned()
	c.takeOverSuspected()
	c.completeFences()
	c.checkSidecars()
	c.checkIsolation()
	c.fireTimers()
	c.routeRequests()
	c.sendClaims()
	c.requestConfirmations()
	c.placeTasks()
	c.writeRecord()
	c.flush()
	c.finishDrain()
	out := c.commands
	c.commands = nil
	return out
}

// Counters returns the counts so far.
func (c *Core) Counters() Counters {
	return c.counters
}

func (c *Core) adoptText(e TextAdopted) {
	if e.Revision <= c.textRevision {
		return
	}
	c.text = e.Text
	c.textRevision = e.Revision
	c.admission.SetText(e.Text)
	shares := make(map[string]int, len(e.Text.Teams))
	for _, t := range e.Text.Teams {
		shares[t.Name] = t.Share
	}
	c.placement.SetShares(shares)
	prefetch := make(map[string]int, len(e.Text.Services))
	for _, s := range e.Text.Services {
		prefetch[s.Name] = s.Prefetch
	}
	c.placement.SetPrefetch(prefetch)
}

func (c *Core) emit(cmd Command) {
	c.commands = append(c.commands, cmd)
}

func (c *Core) sendPeer(to ownership.Incarnation, body wire.Body) {
	c.emit(SendPeer{Entry: to, Envelope: wire.Wrap(body)})
}

func (c *Core) sendSidecar(to ownership.Incarnation, body wire.Body) {
	c.emit(SendSidecar{Sidecar: to, Envelope: wire.Wrap(body)})
}

// flush sends the messages that this tick has batched by receiver.
func (c *Core) flush() {
	if c.ownedChanged {
		c.ownedChanged = false
		c.announceOwned()
	}
	if c.fences.Len() > 0 {
		for id, fence := range c.fences.All() {
			c.sendSidecar(id, fence)
		}
		c.fences = table.New[ownership.Incarnation, wire.Fence]()
	}
	// A fence started in this tick precedes the claims and fetches on the
	// session, so they must carry its epoch. Claims wait for the fence to
	// complete, which sends them again.
	if c.claims.Len() > 0 {
		for target, claim := range c.claims.All() {
			if c.partitions[target.partition].mode == serving {
				c.claimSent(target.sidecar)
				c.sendSidecar(target.sidecar, claim)
			}
		}
		c.claims = table.New[claimTarget, wire.Claim]()
	}
	if c.fetches.Len() > 0 {
		for target, fetch := range c.fetches.All() {
			if p := &c.partitions[fetch.GetPartition()]; p.mode != idle {
				fetch.Epoch = uint64(p.epoch)
				c.sendSidecar(target.sidecar, fetch)
			}
		}
		c.fetches = table.New[fetchTarget, wire.Fetch]()
	}
}

func (c *Core) partitionOf(service string) *partition {
	return &c.partitions[ownership.PartitionOf(service)]
}
