package proptest

import (
	"github.com/teaseltide/teaseltide/internal/dispatch"
	"github.com/teaseltide/teaseltide/internal/gate"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// storeModel models the key-value store as the processes see it.
type storeModel struct {
	w             *world
	down          bool
	answersToLose int
	extraLatency  clock.Millis
	revision      int64
	record        ownership.Record
	sidecars      []dispatch.Registration
	leases        map[ownership.Incarnation]clock.Millis
}

func newStore(w *world) *storeModel {
	return &storeModel{w: w, leases: make(map[ownership.Incarnation]clock.Millis)}
}

// call runs f in a process after the latency of a store call.
func (s *storeModel) call(p *process, f func()) {
	s.w.after(1+s.extraLatency+s.w.latency(), func() { p.runOrDefer(f) })
}

func (s *storeModel) setDown(down bool) {
	s.w.tracef("store down: %t", down)
	s.down = down
	for _, e := range s.w.entries {
		s.call(&e.process, func() { e.handle(dispatch.StoreState{Up: !s.down}) })
	}
}

// registerEntry writes an entry's key with a lease and delivers the stored record,
// members and registrations to it.
func (s *storeModel) registerEntry(e *entryNode) {
	s.leases[e.id] = s.w.now + leaseDuration
	s.call(&e.process, func() {
		e.handle(dispatch.StoreState{Up: !s.down})
		if s.down {
			return
		}
		if s.record.Revision > 0 {
			e.handle(dispatch.RecordRead{Record: s.record})
		}
		s.sendMembership(e)
	})
	s.announceMembers()
}

// sendMembership delivers the members and registrations to an entry, as a watch does.
func (s *storeModel) sendMembership(e *entryNode) {
	members := s.liveMembers()
	registrations, revision := append([]dispatch.Registration(nil), s.sidecars...), s.revision
	s.call(&e.process, func() {
		for _, r := range registrations {
			e.knownSidecars[r.Sidecar] = true
		}
		e.handle(dispatch.MembersChanged{Members: members})
		e.handle(dispatch.RegistrationsListed{Revision: revision, Registrations: registrations})
	})
}

func (s *storeModel) liveMembers() []ownership.Member {
	var members []ownership.Member
	for _, e := range s.w.entries {
		if until, ok := s.leases[e.id]; ok && until > s.w.now {
			members = append(members, ownership.Member{Incarnation: e.id, Domain: domainOf(e.slot)})
		}
	}
	return members
}

func (s *storeModel) announceMembers() {
	if s.down {
		return
	}
	for _, e := range s.w.entries {
		if e.alive {
			s.sendMembership(e)
		}
	}
}

// keepAlive renews the leases of running entries and deletes expired ones. While the
// store is down no lease expires.
func (s *storeModel) keepAlive() {
	if s.down {
		for id := range s.leases {
			s.leases[id] = s.w.now + leaseDuration
		}
		return
	}
	changed := false
	for _, e := range s.w.entries {
		until, ok := s.leases[e.id]
		if e.alive && !e.paused() {
			s.leases[e.id] = s.w.now + leaseDuration
			changed = changed || !ok
			continue
		}
		if ok && until <= s.w.now {
			delete(s.leases, e.id)
			changed = true
		}
	}
	if changed {
		s.announceMembers()
	}
}

func (s *storeModel) writeRecord(e *entryNode, r ownership.Record) {
	s.call(&e.process, func() {
		if s.down {
			e.handle(dispatch.RecordWriteFailed{})
			return
		}
		written := r.Revision == s.record.Revision
		if written {
			s.revision++
			s.record = r
			s.record.Revision = s.revision
			s.w.tracef("%s writes record %d", e.id, s.revision)
			s.announceRecord()
		}
		if s.answersToLose > 0 && written {
			s.answersToLose--
			s.call(&e.process, func() { e.handle(dispatch.RecordWriteFailed{}) })
			return
		}
		if !written {
			e.handle(dispatch.RecordWriteFailed{})
		}
		s.sendRecord(e)
	})
}

func (s *storeModel) sendRecord(e *entryNode) {
	record := s.record
	s.call(&e.process, func() { e.handle(dispatch.RecordRead{Record: record}) })
}

// announceRecord delivers the record to all entries, as a watch does.
func (s *storeModel) announceRecord() {
	for _, e := range s.w.entries {
		s.sendRecord(e)
	}
}

func (s *storeModel) listRegistrations(e *entryNode, recordRevision int64) {
	s.call(&e.process, func() {
		if s.down {
			return
		}
		registrations, revision := append([]dispatch.Registration(nil), s.sidecars...), s.revision
		s.call(&e.process, func() {
			for _, r := range registrations {
				e.knownSidecars[r.Sidecar] = true
			}
			e.handle(dispatch.RegistrationsListed{RecordRevision: recordRevision, Revision: revision, Registrations: registrations})
		})
	})
}

// registerSidecar writes a sidecar's registration; it retries while the store is down.
func (s *storeModel) registerSidecar(n *sidecarNode) {
	s.call(&n.process, func() {
		if s.down {
			s.w.after(200, func() { s.registerSidecar(n) })
			return
		}
		s.revision++
		s.sidecars = append(s.sidecars, dispatch.Registration{Sidecar: n.id, Domain: domainOf(n.slot)})
		s.announceMembers()
		s.call(&n.process, func() { n.handle(gate.Registered{}) })
	})
}

func (s *storeModel) readRecord(n *sidecarNode) {
	s.call(&n.process, func() {
		if s.down || s.record.Revision == 0 {
			return
		}
		record := s.record
		s.call(&n.process, func() { n.handle(gate.RecordRead{Record: record}) })
	})
}

func (s *storeModel) deregisterSidecar(n *sidecarNode) {
	s.call(&n.process, func() {
		if s.down {
			s.w.after(200, func() { s.deregisterSidecar(n) })
			return
		}
		s.deleteRegistration(n.id)
		n.handle(gate.Deregistered{})
	})
}

func (s *storeModel) deleteRegistration(id ownership.Incarnation) {
	if s.down {
		return
	}
	for i, r := range s.sidecars {
		if r.Sidecar == id {
			s.revision++
			s.sidecars = append(s.sidecars[:i:i], s.sidecars[i+1:]...)
			s.announceMembers()
			return
		}
	}
}
