package scheduler

import (
	"slices"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Address is where a sidecar listens. It names the sidecar's VM over the lives
// of its process.
type Address string

const (
	// speedWeight is the weight of a new run in a worker's learned slowness:
	// about the last ten runs count.
	speedWeight = 0.1
	// slowest bounds the learned slowness, because a single run can be far from
	// its estimate.
	slowest = 20.0
	// minObserved is the declared run time from which a run tells how slow its
	// worker is: in shorter ones the calls around the run count too much.
	minObserved = 20 * clock.Millis(1)
	// remoteFactor is how much longer a task is expected to take away from the
	// rack of its data.
	remoteFactor = 1.5
)

// node is a sidecar with its worker.
type node struct {
	address     Address
	incarnation ownership.Incarnation
	connected   bool
	// reported is true after the sidecar has listed its runs in this session.
	reported bool
	// inInventory is true while the events of an inventory are handled.
	inInventory bool
	load        *wire.WorkerLoad
	capacity    batch.Resources
	// free is what is left of the worker, as far as this entry knows.
	free     batch.Resources
	runs     map[batch.TaskID]boundTask
	unseen   []unseenStart
	sequence int64
	// echo is the time of the newest report by the sidecar's clock, echoAt when
	// it arrived.
	echo   int64
	echoAt clock.Millis
	// echoSentAt is when the report arrived that the newest grant names: the
	// grant counts from an earlier moment.
	echoSentAt clock.Millis
	echoSent   int64
	// storedSentAt is echoSentAt of the newest grant for stored jobs.
	storedSentAt clock.Millis
	pending      *wire.TaskOrders
	// offered is true if room is held for this entry until its next orders.
	offered bool
	// heldTill is until when the free room is held for another entry.
	heldTill clock.Millis
	// demand is the urgency that the sidecar was last told, at demandAt.
	demand   int32
	demandAt clock.Millis
	lookups  []batch.RunID
	// served and servedCPU are the service and the size of the worker when it last
	// took tasks, at servedAt.
	served    string
	servedCPU int64
	servedAt  clock.Millis
	domain    ownership.Domain
	// rank orders the workers that the entry follows.
	rank uint64
	// loose is true if the worker is followed loosely, looseSent is what its sidecar
	// was last told.
	loose, looseSent bool
	// asked is true for a loosely followed worker that is asked for room.
	asked bool
	// slow is the learned run time relative to the estimates; 1 is as declared.
	slow float64
	seen int
	health
}

// unseenStart is a start that the sidecar's load does not include yet.
type unseenStart struct {
	sequence int64
	need     batch.Resources
}

func newNode(address Address) *node {
	return &node{address: address, runs: make(map[batch.TaskID]boundTask), slow: 1}
}

// orders returns the orders that the next flush sends.
func (n *node) orders() *wire.TaskOrders {
	if n.pending == nil {
		n.pending = &wire.TaskOrders{}
	}
	return n.pending
}

func (n *node) release(id batch.RunID) {
	n.orders().Releases = append(n.orders().Releases, id.Wire())
}

// observe learns from the time that a run took.
func (n *node) observe(estimated, took clock.Millis) {
	if estimated < minObserved || took <= 0 {
		return
	}
	ratio := min(float64(took)/float64(estimated), slowest)
	n.seen++
	weight := max(speedWeight, 1/float64(n.seen+1))
	n.slow += (ratio - n.slow) * weight
}

// SidecarConnected takes a new session with the sidecar at an address in a failure
// domain.
func (s *Scheduler) SidecarConnected(address Address, domain ownership.Domain, id ownership.Incarnation) {
	n := s.nodes[address]
	if n == nil {
		n = newNode(address)
		n.rank = rankOf(s.settings.Self, address)
		s.nodes[address] = n
		s.list = append(s.list, n)
	}
	if n.incarnation != id {
		delete(s.sessions, n.incarnation)
	}
	n.incarnation = id
	n.domain = domain
	n.looseSent = false
	n.connected = true
	s.refollow.due = true
	n.reported = false
	n.sequence = 0
	n.echo = 0
	n.unseen = nil
	n.load = nil
	n.pending = nil
	n.offered = false
	n.demand = 0
	for _, b := range n.runs {
		b.task.sequence = 0
	}
	s.sessions[id] = n
	for deposed, successor := range s.successors {
		n.orders().Fences = append(n.orders().Fences, &wire.FenceEntry{Deposed: string(deposed), Successor: string(successor)})
	}
}

// SidecarDisconnected takes the end of a session.
func (s *Scheduler) SidecarDisconnected(id ownership.Incarnation) {
	n := s.sessions[id]
	if n == nil {
		return
	}
	delete(s.sessions, id)
	s.refollow.due = true
	n.connected = false
	n.reported = false
	n.pending = nil
}

// HandleReport takes a report of a sidecar.
func (s *Scheduler) HandleReport(now clock.Millis, from ownership.Incarnation, r *wire.TaskReport) {
	s.now = now
	n := s.sessions[from]
	if n == nil {
		return
	}
	n.echo = r.GetSentAt()
	n.echoAt = now
	n.offered = n.offered || r.GetOffer()
	n.heldTill = 0
	if r.GetHeld() {
		n.heldTill = now + s.settings.OfferDuration
	}
	s.noteLoad(n, r)
	if r.GetInventory() {
		s.inventory(now, n, r)
	} else {
		for _, e := range r.GetEvents() {
			s.event(now, n, e)
		}
	}
	for _, id := range r.GetUnclaimed() {
		s.event(now, n, &wire.TaskEvent{Run: id, State: wire.TaskEvent_STATE_RUNNING})
	}
	s.noteFenced(now, n, r)
	if len(n.lookups) > 0 {
		s.out = append(s.out, Lookup{Sidecar: from, Runs: n.lookups})
		n.lookups = nil
	}
}

// noteLoad takes the load of a worker, less what is on its way to it.
func (s *Scheduler) noteLoad(n *node, r *wire.TaskReport) {
	n.load = r.GetLoad()
	n.capacity = batch.Resources{CPU: n.load.GetCpu(), MemoryMB: n.load.GetMemoryMb(), Accelerators: n.load.GetAccelerators()}
	n.free = batch.Resources{CPU: n.load.GetFreeCpu(), MemoryMB: n.load.GetFreeMemoryMb(), Accelerators: n.load.GetFreeAccelerators()}
	n.unseen = slices.DeleteFunc(n.unseen, func(u unseenStart) bool { return u.sequence <= r.GetReceived() })
	for _, u := range n.unseen {
		n.free = n.free.Sub(u.need)
	}
}

// inventory takes all that a sidecar knows of this entry's runs. What it does
// not list has not started there and will not, unless it is on its way.
func (s *Scheduler) inventory(now clock.Millis, n *node, r *wire.TaskReport) {
	listed := make(map[batch.RunID]bool, len(r.GetEvents()))
	n.inInventory = true
	for _, e := range r.GetEvents() {
		listed[batch.RunIDFromWire(e.GetRun())] = true
		s.event(now, n, e)
	}
	n.inInventory = false
	for _, b := range n.runs {
		if !listed[b.job.runID(b.task)] && b.task.sequence <= r.GetReceived() {
			s.giveUp(b, n, "not in the inventory")
		}
	}
	n.reported = true
}

// giveUp makes a bound task wait again whose run is known to be over.
func (s *Scheduler) giveUp(b boundTask, n *node, reason string) {
	s.counters.Lost++
	b.task.ran = true
	s.out = append(s.out, Decision{Summary: "run given up", Job: b.job.ID, Run: b.job.runID(b.task), Sidecar: n.address, Reason: reason})
	s.unbind(b.job, b.task)
	s.advance(s.now, b.job)
}

// checkNodes gives up the runs of sidecars that have had no grant for so long
// that their worker cannot run them any more.
func (s *Scheduler) checkNodes(now clock.Millis) {
	for _, n := range s.list {
		if len(n.runs) == 0 || now-n.storedSentAt < s.settings.BestEffortGrantDuration {
			continue
		}
		for _, b := range n.runs {
			from, grant := n.storedSentAt, s.settings.GrantDuration
			if b.job.BestEffort {
				from, grant = n.echoSentAt, s.settings.BestEffortGrantDuration
			}
			if now-max(from, b.task.boundAt) >= grant {
				s.giveUp(b, n, "sidecar silent")
			}
		}
	}
}

// grantInterval is the longest time that a report waits for its grant.
const grantInterval = 80 * clock.Millis(1)

// needsGrant reports whether a sidecar may hold something of this entry that ends
// without a grant: runs, and ends of stored jobs.
func (s *Scheduler) needsGrant(n *node) bool {
	return len(n.runs) > 0 || s.stored > 0
}

// flush sends what has been ordered, with a grant for the newest report.
func (s *Scheduler) flush(now clock.Millis) {
	withheld := !s.mayOrder(now)
	if len(s.queue) > 0 {
		s.chooseAsked(now)
	}
	for _, n := range s.list {
		if !n.connected {
			n.pending = nil
			continue
		}
		w := s.demandFor(now, n)
		due := n.loose != n.looseSent ||
			n.echo != n.echoSent && n.echo != 0 && (n.offered || s.needsGrant(n) && now-n.echoSentAt >= grantInterval)
		more := w.urgency != 0 && (n.demand == 0 || w.urgency < n.demand) && now-n.demandAt >= demandInterval
		if n.pending == nil && !due && !more {
			continue
		}
		orders := n.orders()
		n.pending = nil
		n.sequence++
		orders.Sequence = n.sequence
		orders.GrantedFrom = n.echo
		orders.StoredWithheld = withheld
		orders.Demand, orders.DemandCpu = w.urgency, w.cpu
		orders.Loose = n.loose
		n.looseSent = n.loose
		if n.demand != w.urgency {
			n.demand, n.demandAt = w.urgency, now
		}
		n.offered = false
		n.echoSent = n.echo
		n.echoSentAt = n.echoAt
		if !withheld {
			n.storedSentAt = n.echoAt
		}
		s.out = append(s.out, SendOrders{Sidecar: n.incarnation, Orders: orders})
	}
}
