package dispatch

import (
	"slices"
	"strings"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// recordRetryDelay is the time between attempts to write the ownership
	// record.
	recordRetryDelay clock.Millis = 200
	// recordStagger delays the writes of entries that are neither owner nor
	// successor, so that they do not compete with those that are.
	recordStagger clock.Millis = 1000
	// listRetryDelay is the time between requests for the list of
	// registrations.
	listRetryDelay clock.Millis = 500
	// minTakeoverInterval is the minimum time between takeovers of a partition
	// by the same successor without the store. Two entries that only lose
	// their session with each other would otherwise depose each other
	// indefinitely.
	minTakeoverInterval clock.Millis = 10_000
)

// membership is the known ownership record and the state of its updates.
type membership struct {
	record ownership.Record
	// recordReadAt is when the record was adopted.
	recordReadAt clock.Millis
	leaseHolders []ownership.Member
	// listedRecordRevision is the highest record revision that was known
	// before the last list of registrations was read.
	listedRecordRevision int64
	nextListAt           clock.Millis
	// listRevision is the store revision of that list.
	listRevision int64

	writeInFlight bool
	nextWriteAt   clock.Millis
	// staleSince is when the record was first found to need a change, 0 if it
	// needs none.
	staleSince clock.Millis
}

// peer is another entry.
type peer struct {
	id        ownership.Incarnation
	domain    ownership.Domain
	connected bool
	leaving   bool
	// lostAt is when the session ended.
	lostAt clock.Millis
}

func (c *Core) peerConnected(e PeerConnected) {
	p := c.peers.Get(e.Entry)
	if p == nil {
		p = &peer{id: e.Entry}
		c.peers.Put(e.Entry, p)
	}
	c.isolation.evaluate = true
	p.connected = true
	p.domain = ownership.Domain(e.Hello.GetDomain())
	c.sendPeer(e.Entry, c.ownedMessage())
	if c.draining {
		c.sendPeer(e.Entry, &wire.Leaving{})
	}
}

func (c *Core) peerDisconnected(id ownership.Incarnation) {
	p := c.peers.Get(id)
	if p == nil || !p.connected {
		return
	}
	c.isolation.evaluate = true
	p.connected = false
	p.lostAt = c.now
	c.dropAnnouncements(id)
	c.unrouteRequests(id)
}

// dropAnnouncements drops what a peer announced, which a new announcement or
// the end of the session makes obsolete.
func (c *Core) dropAnnouncements(id ownership.Incarnation) {
	for i := range c.partitions {
		if c.partitions[i].announced.owner == id {
			c.partitions[i].announced = announcement{}
		}
	}
}

// peerOwned records the partitions that a peer serves, possibly without a
// record, and steps down from those that it serves at a higher epoch.
func (c *Core) peerOwned(id ownership.Incarnation, m *wire.Owned) {
	c.dropAnnouncements(id)
	for _, pe := range m.GetPartitions() {
		if pe.GetPartition() >= ownership.Partitions {
			continue
		}
		p := &c.partitions[pe.GetPartition()]
		epoch := ownership.Epoch(pe.GetEpoch())
		if epoch > p.announced.epoch {
			p.announced = announcement{owner: id, epoch: epoch}
		}
		if p.mode != idle && epoch > p.epoch {
			c.stepDown(p)
		}
	}
}

// ownedMessage lists the partitions that this entry serves or is fencing.
func (c *Core) ownedMessage() *wire.Owned {
	m := &wire.Owned{RecordRevision: c.membership.record.Revision}
	for i := range c.partitions {
		p := &c.partitions[i]
		if p.mode != idle {
			m.Partitions = append(m.Partitions, &wire.PartitionEpoch{Partition: uint32(p.id), Epoch: uint64(p.epoch)})
		}
	}
	return m
}

// ownedMessageWithSeen adds the highest epoch known for each partition. A new
// sidecar needs it from a successor that took over and stepped down again: the
// partitions it serves now do not show that the owner in an older record was
// superseded.
func (c *Core) ownedMessageWithSeen() *wire.Owned {
	m := c.ownedMessage()
	for i := range c.partitions {
		p := &c.partitions[i]
		if epoch := max(p.epoch, p.assigned.Epoch, p.announced.epoch); epoch > 0 {
			m.Seen = append(m.Seen, &wire.PartitionEpoch{Partition: uint32(p.id), Epoch: uint64(epoch)})
		}
	}
	return m
}

// announceOwned announces the partitions of this entry on all sessions.
func (c *Core) announceOwned() {
	m := c.ownedMessage()
	for id, p := range c.peers.All() {
		if p.connected {
			c.sendPeer(id, m)
		}
	}
	m = c.ownedMessageWithSeen()
	for id, s := range c.sidecars.All() {
		if s.connected {
			c.sendSidecar(id, m)
		}
	}
}

func (c *Core) recordRead(r ownership.Record) {
	m := &c.membership
	m.writeInFlight = false
	if r.Revision <= m.record.Revision {
		return
	}
	m.record = r
	m.recordReadAt = c.now
	m.staleSince = 0
	for i := range c.partitions {
		p := &c.partitions[i]
		a := r.Partitions[i]
		if a != p.assigned {
			p.assigned = a
			p.assignedRevision = r.Revision
		}
		if p.mode != idle && a.Owner != c.cfg.Self && a.Epoch > p.epoch {
			c.stepDown(p)
		}
	}
	c.announceOwned()
}

// liveEntries returns the entries that can own partitions: those with a lease
// or a session. A lease may have expired during a store outage, and a session
// may be missing between two entries only.
func (c *Core) liveEntries() []ownership.Member {
	var live []ownership.Member
	add := func(m ownership.Member) {
		if !slices.ContainsFunc(live, func(o ownership.Member) bool { return o.Incarnation == m.Incarnation }) {
			live = append(live, m)
		}
	}
	if !c.draining {
		add(ownership.Member{Incarnation: c.cfg.Self, Domain: c.cfg.Domain})
	}
	for _, m := range c.membership.leaseHolders {
		p := c.peers.Get(m.Incarnation)
		if m.Incarnation != c.cfg.Self && (p == nil || !p.leaving) {
			add(m)
		}
	}
	for id, p := range c.peers.All() {
		if p.connected && !p.leaving {
			add(ownership.Member{Incarnation: id, Domain: p.domain})
		}
	}
	slices.SortFunc(live, func(a, b ownership.Member) int {
		return strings.Compare(string(a.Incarnation), string(b.Incarnation))
	})
	return live
}

func (c *Core) hasLease(id ownership.Incarnation) bool {
	return slices.ContainsFunc(c.membership.leaseHolders, func(m ownership.Member) bool { return m.Incarnation == id })
}

// writeRecord requests a new record when a partition lacks a live owner or
// successor, or when this entry serves one without a record.
func (c *Core) writeRecord() {
	m := &c.membership
	if m.writeInFlight || c.now < m.nextWriteAt || !c.storeUp || !c.hasLease(c.cfg.Self) {
		return
	}
	m.nextWriteAt = c.now + recordRetryDelay/4
	live := c.liveEntries()
	next, changed := m.record.Next(c.cfg.Self, live, c.servedEpoch)
	if !changed {
		m.staleSince = 0
		return
	}
	if m.staleSince == 0 {
		m.staleSince = c.now
	}
	if c.now < m.staleSince+c.recordDelay(live) {
		return
	}
	m.writeInFlight = true
	c.emit(WriteRecord{Record: next})
}

func (c *Core) servedEpoch(p ownership.Partition) (ownership.Epoch, bool) {
	state := &c.partitions[p]
	return state.epoch, state.mode == serving
}

// recordDelay is how long this entry leaves the write to others. Owners and
// successors do not wait.
func (c *Core) recordDelay(live []ownership.Member) clock.Millis {
	if c.draining {
		return 0
	}
	rank := clock.Millis(0)
	for _, member := range live {
		if member.Incarnation < c.cfg.Self {
			rank++
		}
	}
	for _, a := range c.membership.record.Partitions {
		if a.Owner == c.cfg.Self || a.Successor == c.cfg.Self {
			return 0
		}
	}
	if c.membership.record.Revision == 0 {
		return rank * recordRetryDelay
	}
	return recordStagger + rank*recordRetryDelay
}

// suspected reports whether an owner should be replaced. While the store is up
// its lease decides, because a session may be lost between two entries only.
func (c *Core) suspected(owner ownership.Incarnation) bool {
	if owner == "" {
		return false
	}
	p := c.peers.Get(owner)
	if p != nil && p.connected {
		return p.leaving
	}
	if c.storeUp && c.hasLease(owner) {
		return false
	}
	lostAt := c.membership.recordReadAt
	if p != nil {
		lostAt = max(p.lostAt, lostAt)
	}
	return c.now >= lostAt+c.cfg.SuspectAfter
}

func (c *Core) drain() {
	if c.draining {
		return
	}
	c.draining = true
	for id, p := range c.peers.All() {
		if p.connected {
			c.sendPeer(id, &wire.Leaving{})
		}
	}
}

// finishDrain reports the end of a drain when no request is pending and every
// partition has another owner or can be left without one.
func (c *Core) finishDrain() {
	if !c.draining || c.drained || c.requests.Len() > 0 {
		return
	}
	for i := range c.partitions {
		if c.partitions[i].mode != idle && !c.canLeaveUnowned(&c.partitions[i]) {
			return
		}
	}
	c.drained = true
	c.emit(Drained{})
}

// canLeaveUnowned reports whether a partition can be left without a new owner:
// no other entry is alive to take it, and all of its jobs are answered.
func (c *Core) canLeaveUnowned(p *partition) bool {
	return len(c.liveEntries()) == 0 && p.openJobs == 0
}
