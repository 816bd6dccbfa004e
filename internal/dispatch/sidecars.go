package dispatch

import (
	"fmt"
	"strings"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/placement"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// lostAfter is how long a sidecar may be without a session before the
	// tasks started there count as lost. A silent session is detected after
	// 1.5 s and dialled again within 1 s.
	lostAfter clock.Millis = 3000
	// notReadyBackoff is how long no task or claim is sent to a sidecar that
	// rejected a message as not ready, because it waits for a successor.
	notReadyBackoff clock.Millis = 500
	// leaveCheckInterval is the time between checks whether a leaving sidecar
	// has tasks or claims left.
	leaveCheckInterval clock.Millis = 200
	// claimAckTimeout is how long a sidecar may leave a Claim unacknowledged
	// before its claims are reassigned. An acknowledgement takes a few
	// milliseconds. Every job with a caller's key waits for the two holders,
	// so a silent one would stop the service for the 1.5 s until its session
	// ends.
	claimAckTimeout clock.Millis = 200
	// deleteRetryDelay is the time between attempts to delete the registration
	// of a superseded sidecar.
	deleteRetryDelay clock.Millis = 60_000
)

// sidecar is a sidecar that is registered or has a session.
type sidecar struct {
	id ownership.Incarnation
	// shortID identifies the sidecar in answered jobs; it is not reused.
	shortID    uint32
	domain     ownership.Domain
	registered bool
	connected  bool
	// session counts the sessions with this sidecar.
	session int
	// inPlacement is true while placement may bind tasks to the worker.
	inPlacement bool
	state       *wire.SidecarState
	// fencedEpochs holds the epoch of each partition at which this session has
	// acknowledged a fence.
	fencedEpochs map[ownership.Partition]ownership.Epoch
	// lastSeen is when the session ended, or when the registration was first
	// listed.
	lastSeen clock.Millis
	lost     bool
	// bound counts the tasks bound to this sidecar.
	bound        int
	blockedUntil clock.Millis
	// claimSentAt is when the first Claim was sent after the last message from
	// the sidecar, 0 if there was none. claimsOverdue is true once
	// claimAckTimeout has passed since then.
	claimSentAt   clock.Millis
	claimsOverdue bool
	// refenceAt is when partitions without an acknowledgement are fenced
	// again, 0 for never.
	refenceAt      clock.Millis
	nextLeaveCheck clock.Millis
	// leaveAckedVersion is the servedVersion covered by the last LeaveAck, 0
	// if there was none.
	leaveAckedVersion int64
	nextDeleteAt      clock.Millis
	// address is the ip:port that entries dial.
	address string
	// supersededAt is when a later incarnation was first reached at this
	// address, 0 if none was.
	supersededAt clock.Millis
}

func (c *Core) ensureSidecar(id ownership.Incarnation) *sidecar {
	s := c.sidecars.Get(id)
	if s == nil {
		c.lastShortID++
		s = &sidecar{id: id, shortID: c.lastShortID, lastSeen: c.now, state: &wire.SidecarState{}}
		s.fencedEpochs = make(map[ownership.Partition]ownership.Epoch)
		c.sidecars.Put(id, s)
	}
	return s
}

func (c *Core) sidecarConnected(e SidecarConnected) {
	s := c.ensureSidecar(e.Sidecar)
	c.isolation.evaluate = true
	s.connected = true
	s.session++
	s.lost = false
	s.messageReceived()
	s.fencedEpochs = make(map[ownership.Partition]ownership.Epoch)
	s.domain = ownership.Domain(e.Hello.GetDomain())
	if state := e.Hello.GetSidecar(); state != nil {
		s.state = state
	}
	c.loseFormerIncarnations(s)
	c.markSuperseded(s)
	c.updateWorker(s)
	c.sendSidecar(s.id, c.ownedMessageWithSeen())
	for i := range c.partitions {
		if c.partitions[i].mode != idle {
			c.addFence(s.id, &c.partitions[i])
		}
	}
}

// loseFormerIncarnations marks disconnected former incarnations for the same
// backend server as lost.
func (c *Core) loseFormerIncarnations(s *sidecar) {
	for _, other := range c.sidecars.All() {
		sameWorker := other.state.GetWorker() != "" && other.state.GetWorker() == s.state.GetWorker()
		if other.id != s.id && sameWorker && !other.connected {
			c.markLost(other)
		}
	}
}

func (c *Core) sidecarDisconnected(id ownership.Incarnation) {
	s := c.sidecars.Get(id)
	if s == nil || !s.connected {
		return
	}
	c.isolation.evaluate = true
	s.connected = false
	s.lastSeen = c.now
	s.fencedEpochs = make(map[ownership.Partition]ownership.Epoch)
	c.updateWorker(s)
	c.requeueUnsent(s)
	c.reassignUnconfirmed(s)
}

func (c *Core) sidecarMessage(id ownership.Incarnation, e *wire.Envelope) {
	s := c.sidecars.Get(id)
	if s == nil || !s.connected {
		return
	}
	s.messageReceived()
	switch b := e.GetBody().(type) {
	case *wire.Envelope_FenceAck:
		c.fenceAck(s, b.FenceAck)
	case *wire.Envelope_ClaimAck:
		c.claimAck(s, b.ClaimAck)
	case *wire.Envelope_Results:
		c.applyResults(s, b.Results)
	case *wire.Envelope_Rejected:
		c.rejectionReceived(s, b.Rejected)
	case *wire.Envelope_SidecarState:
		s.state = b.SidecarState
		c.updateWorker(s)
		if s.state.GetLeaving() {
			c.markDepartures(s)
			c.reassignClaims(s)
		}
	}
}

// messageReceived records that the session is alive.
func (s *sidecar) messageReceived() {
	s.claimSentAt = 0
	s.claimsOverdue = false
}

// claimSent records that the sidecar owes the acknowledgement of a Claim.
func (c *Core) claimSent(id ownership.Incarnation) {
	if s := c.sidecars.Get(id); s != nil && s.claimSentAt == 0 {
		s.claimSentAt = c.now
	}
}

// checkClaimTimeout reassigns the claims that a sidecar does not acknowledge
// in time.
func (c *Core) checkClaimTimeout(s *sidecar) {
	if s.claimsOverdue || s.claimSentAt == 0 || c.now < s.claimSentAt+claimAckTimeout {
		return
	}
	s.claimsOverdue = true
	c.reassignUnconfirmed(s)
}

// updateWorker adds the worker to placement, updates it or removes it.
func (c *Core) updateWorker(s *sidecar) {
	usable := s.connected && s.state.GetReady() && !s.state.GetLeaving() && c.now >= s.blockedUntil
	if !usable {
		if s.inPlacement {
			c.placement.RemoveWorker(s.id)
		}
		s.inPlacement = false
		return
	}
	c.placement.SetWorker(c.now, s.worker())
	if !s.inPlacement {
		s.inPlacement = true
		c.restoreBound(s)
	}
}

// AwaitsReply reports whether a reply of a sidecar is due: for tasks bound
// there, for a claim or for a fence.
func (c *Core) AwaitsReply(id ownership.Incarnation) bool {
	s := c.sidecars.Get(id)
	if s == nil || !s.connected {
		return false
	}
	if s.bound > 0 || s.claimSentAt > 0 {
		return true
	}
	for i := range c.partitions {
		if p := &c.partitions[i]; p.mode != idle && s.fencedEpochs[p.id] != p.epoch {
			return true
		}
	}
	return false
}

func (s *sidecar) worker() placement.Worker {
	name := s.state.GetWorker()
	if name == "" {
		name = string(s.id)
	}
	return placement.Worker{
		ID:       s.id,
		Name:     name,
		Domain:   s.domain,
		Rack:     s.state.GetRack(),
		Services: s.state.GetServices(),
		Slots:    int(s.state.GetSlots()),
		Capacity: placement.Resources{
			MemoryMiB:    s.state.GetMemoryMib(),
			CPUs:         int(s.state.GetCpus()),
			Accelerators: int(s.state.GetAccelerators()),
		},
	}
}

// restoreBound reports the bound tasks of a worker to placement after the
// worker was added (again).
func (c *Core) restoreBound(s *sidecar) {
	if s.bound == 0 {
		return
	}
	for i := range c.partitions {
		for id, j := range c.partitions[i].jobs.All() {
			for k := range j.tasks {
				if t := &j.tasks[k]; t.state == taskBound && t.sidecar == s.id {
					c.placement.RecordBound(c.now, id, s.id, indexOf(uint32(k)))
				}
			}
		}
	}
}

func (c *Core) registrationsListed(e RegistrationsListed) {
	if e.Revision < c.membership.listRevision {
		return
	}
	c.membership.listRevision = e.Revision
	c.membership.listedRecordRevision = max(c.membership.listedRecordRevision, e.RecordRevision)
	listed := make(map[ownership.Incarnation]struct{}, len(e.Registrations))
	for _, r := range e.Registrations {
		listed[r.Sidecar] = struct{}{}
		s := c.ensureSidecar(r.Sidecar)
		s.registered = true
		if r.Address != "" {
			s.domain = r.Domain
			s.address = r.Address
		}
		if s.connected {
			c.markSuperseded(s)
		}
	}
	for id, s := range c.sidecars.All() {
		if _, ok := listed[id]; !ok {
			c.registrationDeleted(s)
		}
	}
}

// registrationDeleted removes a sidecar whose registration was deleted. One
// that has not been listed yet is kept: it may have registered after the list
// was read.
func (c *Core) registrationDeleted(s *sidecar) {
	if !s.registered || s.connected {
		return
	}
	c.markDepartures(s)
	c.markLost(s)
	c.sidecars.Delete(s.id)
}

// checkSidecars marks sidecars without a session as lost, acknowledges leaving
// ones and deletes the registrations of superseded ones.
func (c *Core) checkSidecars() {
	for _, s := range c.sidecars.All() {
		if s.connected {
			c.checkConnected(s)
			continue
		}
		if !s.lost && c.now >= s.lastSeen+lostAfter {
			c.markLost(s)
		}
		c.deleteSuperseded(s)
	}
}

// deleteSuperseded deletes the registration of a sidecar that is known to be
// dead once its state is no longer needed. That this entry cannot reach it
// proves nothing: another entry may still start tasks there. A later
// incarnation listening on the same address proves it.
func (c *Core) deleteSuperseded(s *sidecar) {
	if !s.registered || s.supersededAt == 0 || c.now < s.nextDeleteAt {
		return
	}
	if c.now >= max(s.lastSeen, s.supersededAt)+c.cfg.Retention+c.cfg.ClockSkew {
		s.nextDeleteAt = c.now + deleteRetryDelay
		c.emit(DeleteRegistration{Sidecar: s.id})
	}
}

// markSuperseded marks the sidecars whose address a connected one has taken
// over.
func (c *Core) markSuperseded(s *sidecar) {
	for _, other := range c.sidecars.All() {
		if other.id != s.id && other.address != "" && other.address == s.address && other.supersededAt == 0 && !other.connected {
			other.supersededAt = c.now
		}
	}
}

func (c *Core) checkConnected(s *sidecar) {
	c.checkClaimTimeout(s)
	if s.refenceAt > 0 && c.now >= s.refenceAt {
		s.refenceAt = 0
		for i := range c.partitions {
			if p := &c.partitions[i]; p.mode != idle && s.fencedEpochs[p.id] != p.epoch {
				c.addFence(s.id, p)
			}
		}
	}
	if s.blockedUntil > 0 && c.now >= s.blockedUntil {
		s.blockedUntil = 0
		c.updateWorker(s)
	}
	if !s.state.GetLeaving() || s.leaveAckedVersion == c.servedVersion || c.now < s.nextLeaveCheck {
		return
	}
	s.nextLeaveCheck = c.now + leaveCheckInterval
	if s.bound > 0 || c.claimsDependOn(s.id) {
		return
	}
	s.leaveAckedVersion = c.servedVersion
	ack := &wire.LeaveAck{}
	for i := range c.partitions {
		if p := &c.partitions[i]; p.mode == serving && s.fencedEpochs[p.id] == p.epoch {
			ack.Partitions = append(ack.Partitions, &wire.PartitionEpoch{Partition: uint32(p.id), Epoch: uint64(p.epoch)})
		}
	}
	if len(ack.Partitions) > 0 {
		c.sendSidecar(s.id, ack)
	}
}

// markLost fails the jobs with a task whose outcome only this sidecar knows
// and reassigns its claims.
func (c *Core) markLost(s *sidecar) {
	if s.lost {
		return
	}
	s.lost = true
	if s.bound > 0 {
		for i := range c.partitions {
			for _, j := range c.partitions[i].jobs.All() {
				c.failLostTasks(j, s)
			}
		}
	}
	c.reassignClaims(s)
}

// failLostTasks ends the tasks of a job that are bound to a lost sidecar.
// Whether a task started is unknown, since its dispatch may still have been in
// flight when the sidecar died, so the job's outcome is unknown.
func (c *Core) failLostTasks(j *job, s *sidecar) {
	var lost []string
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state == taskBound && t.sidecar == s.id {
			lost = append(lost, describeLost(i, t))
			c.unbind(j, i, t, outcomeFailed, 0)
			t.state = taskEnded
		}
	}
	if len(lost) == 0 {
		return
	}
	if j.answer != nil {
		c.compactAnswered(j)
		return
	}
	j.recordDecision(c.now, "tasks-lost", lostDetail(s, lost))
	c.fail(j, wire.Ran_RAN_UNKNOWN, CodeWorkerLost, fmt.Sprintf("the worker %s was lost; %d of the tasks of this job may have run there", s.state.GetWorker(), len(lost)))
}

// maxLostTasksListed bounds the lost tasks listed in a decision.
const maxLostTasksListed = 16

func lostDetail(s *sidecar, lost []string) string {
	named := lost[:min(len(lost), maxLostTasksListed)]
	detail := fmt.Sprintf("%d at %s: %s", len(lost), s.state.GetWorker(), strings.Join(named, ", "))
	if len(named) < len(lost) {
		detail += ", ..."
	}
	return detail
}

func describeLost(index int, t *task) string {
	if t.adopted {
		return fmt.Sprintf("task %d sent by a former owner", index)
	}
	return fmt.Sprintf("task %d sent at %d", index, t.sentAt)
}

// requeueUnsent requeues the tasks that are bound to a sidecar but were never
// sent.
func (c *Core) requeueUnsent(s *sidecar) {
	if s.bound == 0 {
		return
	}
	for i := range c.partitions {
		for _, j := range c.partitions[i].jobs.All() {
			c.requeueWhere(j, func(t *task) bool {
				return t.state == taskBound && t.sidecar == s.id && !t.sent
			})
		}
	}
}
