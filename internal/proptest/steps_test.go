package proptest

import (
	"fmt"
	"testing"

	"github.com/teaseltide/teaseltide/internal/admission"
	"github.com/teaseltide/teaseltide/internal/dispatch"
	"github.com/teaseltide/teaseltide/internal/gate"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/placement"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// link is one direction between two processes.
type link struct {
	from, to ownership.Incarnation
}

// steps drives cores through an interleaving that a test spells out. Messages
// wait on a held link; all others arrive in order, and no step depends on how long another takes. The store answers nothing:
// the test hands out records and lists of registrations.
type steps struct {
	t        *testing.T
	now      clock.Millis
	entries  map[ownership.Incarnation]*dispatch.Core
	sidecars map[ownership.Incarnation]*gate.Gate
	// order holds the processes as they were added.
	order []ownership.Incarnation
	lists int64
	// queues holds what is on the way; links is its order.
	queues map[link][]*wire.Envelope
	links  []link
	open   map[link]bool
	held   map[link]bool
	// starts holds where each task was started, without refused starts.
	starts  map[gate.TaskID][]ownership.Incarnation
	answers map[dispatch.RequestID]*wire.Answer
	// left holds the sidecars that have deleted their registration.
	left map[ownership.Incarnation]bool
}

const (
	stepService  = "quoting"
	stepPartTime = clock.Millis(10)
)

var stepTask = gate.TaskID{Service: stepService, Team: "team", Key: "k"}

func newSteps(t *testing.T) *steps {
	return &steps{
		t: t, now: 1_000_000,
		entries:  make(map[ownership.Incarnation]*dispatch.Core),
		sidecars: make(map[ownership.Incarnation]*gate.Gate),
		queues:   make(map[link][]*wire.Envelope),
		open:     make(map[link]bool),
		held:     make(map[link]bool),
		starts:   make(map[gate.TaskID][]ownership.Incarnation),
		answers:  make(map[dispatch.RequestID]*wire.Answer),
		left:     make(map[ownership.Incarnation]bool),
	}
}

func recordOf(revision int64, owner, successor ownership.Incarnation, epoch ownership.Epoch) ownership.Record {
	r := ownership.Record{Revision: revision}
	for p := range r.Partitions {
		r.Partitions[p] = ownership.Assignment{Owner: owner, Successor: successor, Epoch: epoch}
	}
	return r
}

// addEntry adds an entry that knows a record and the sidecars given.
func (s *steps) addEntry(id ownership.Incarnation, r ownership.Record, sidecars ...ownership.Incarnation) {
	c := dispatch.New(dispatch.Config{
		Self: id, Domain: "d0", Retention: 600_000, ClockSkew: 5000, SuspectAfter: 1000, FenceGrace: 3000,
	}, placement.New(placement.Config{}), admission.New(admission.Config{}))
	s.entries[id] = c
	s.order = append(s.order, id)
	c.Handle(s.now, dispatch.TextAdopted{Revision: 1, Text: servicesText()})
	c.Handle(s.now, dispatch.RecordRead{Record: r})
	s.list(id, r.Revision, sidecars...)
}

// list tells an entry the registrations.
func (s *steps) list(id ownership.Incarnation, revision int64, sidecars ...ownership.Incarnation) {
	s.lists++
	e := dispatch.RegistrationsListed{RecordRevision: revision, Revision: s.lists}
	for _, n := range sidecars {
		e.Registrations = append(e.Registrations, dispatch.Registration{Sidecar: n, Domain: stepDomain(n)})
	}
	s.entries[id].Handle(s.now, e)
}

// stepDomain puts sidecar "s1" into domain "d1".
func stepDomain(id ownership.Incarnation) ownership.Domain { return "d" + ownership.Domain(id[1:]) }

func (s *steps) addSidecars(r ownership.Record, ids ...ownership.Incarnation) {
	for _, id := range ids {
		g := gate.New(gate.Config{Incarnation: id, Domain: stepDomain(id), Worker: "w" + string(id), MaxResultBytes: 1 << 20, MaxQueued: 4, ClockSkew: 5000})
		s.sidecars[id] = g
		s.order = append(s.order, id)
		g.Handle(s.now, gate.Registered{})
		g.Handle(s.now, gate.RecordRead{Record: r})
		s.serve(id)
	}
}

// serve sets the services of the backend server beside a sidecar.
func (s *steps) serve(id ownership.Incarnation, services ...string) {
	s.sidecars[id].Handle(s.now, gate.BackendState{State: &wire.SidecarState{Worker: "w" + string(id), Services: services, Slots: 1, Connections: 64}})
}

// connect opens a session between an entry and each peer.
func (s *steps) connect(entry ownership.Incarnation, peers ...ownership.Incarnation) {
	hello := &wire.Hello{Role: wire.Hello_ROLE_ENTRY, Incarnation: string(entry), Domain: "d0"}
	for _, id := range peers {
		s.open[link{entry, id}], s.open[link{id, entry}] = true, true
		if g := s.sidecars[id]; g != nil {
			s.entries[entry].Handle(s.now, dispatch.SidecarConnected{Sidecar: id, Hello: &wire.Hello{Role: wire.Hello_ROLE_SIDECAR, Incarnation: string(id), Domain: string(stepDomain(id)), Sidecar: g.State()}})
			g.Handle(s.now, gate.EntryConnected{Entry: entry, Hello: hello})
			continue
		}
		s.entries[entry].Handle(s.now, dispatch.PeerConnected{Entry: id, Hello: &wire.Hello{Role: wire.Hello_ROLE_ENTRY, Incarnation: string(id), Domain: "d0"}})
		s.entries[id].Handle(s.now, dispatch.PeerConnected{Entry: entry, Hello: hello})
	}
}

// disconnect ends a session; what was on the way is lost.
func (s *steps) disconnect(entry, id ownership.Incarnation) {
	for _, l := range []link{{entry, id}, {id, entry}} {
		delete(s.open, l)
		delete(s.queues, l)
		delete(s.held, l)
	}
	if c := s.entries[entry]; c != nil {
		if s.sidecars[id] != nil || id[0] == 's' {
			c.Handle(s.now, dispatch.SidecarDisconnected{Sidecar: id})
		} else {
			c.Handle(s.now, dispatch.PeerDisconnected{Entry: id})
		}
	}
	if g := s.sidecars[id]; g != nil {
		g.Handle(s.now, gate.EntryDisconnected{Entry: entry})
	} else if c := s.entries[id]; c != nil {
		c.Handle(s.now, dispatch.PeerDisconnected{Entry: entry})
	}
}

// kill ends a process at once.
func (s *steps) kill(id ownership.Incarnation) {
	delete(s.entries, id)
	delete(s.sidecars, id)
	for _, other := range s.order {
		switch {
		case !s.open[link{id, other}]:
		case other[0] == 's':
			s.disconnect(id, other)
		default:
			s.disconnect(other, id)
		}
	}
}

func (s *steps) submit(entry ownership.Incarnation, id dispatch.RequestID, keyed bool) {
	job := &wire.Job{
		Key: stepTask.Key, CallerKey: keyed, Team: stepTask.Team, Service: stepService, BodyHash: []byte("hash"),
		Tasks: []*wire.TaskSpec{{DeclaredMs: 100}},
	}
	s.entries[entry].Handle(s.now, dispatch.Submit{Request: id, Job: job})
}

// finish ends the task at a sidecar.
func (s *steps) finish(id ownership.Incarnation, o wire.Outcome) {
	if o == wire.Outcome_OUTCOME_NOT_STARTED {
		at := s.starts[stepTask]
		s.starts[stepTask] = at[:len(at)-1]
	}
	s.sidecars[id].Handle(s.now, gate.TaskFinished{Task: stepTask, Outcome: o, RunTime: 100})
}

// hold keeps what a process sends to another.
func (s *steps) hold(from, to ownership.Incarnation) { s.held[link{from, to}] = true }

// tick runs one process and puts what it sends on the way.
func (s *steps) tick(id ownership.Incarnation) {
	if c := s.entries[id]; c != nil {
		for _, cmd := range c.Tick(s.now) {
			switch cmd := cmd.(type) {
			case dispatch.SendPeer:
				s.send(link{id, cmd.Entry}, cmd.Envelope)
			case dispatch.SendSidecar:
				s.send(link{id, cmd.Sidecar}, cmd.Envelope)
			case dispatch.Reply:
				s.answers[cmd.Request] = cmd.Answer
			}
		}
	}
	if g := s.sidecars[id]; g != nil {
		for _, cmd := range g.Tick(s.now) {
			switch cmd := cmd.(type) {
			case gate.Send:
				s.send(link{id, cmd.Entry}, cmd.Envelope)
			case gate.Run:
				s.starts[cmd.Task] = append(s.starts[cmd.Task], id)
			case gate.Deregister:
				s.left[id] = true
				g.Handle(s.now, gate.Deregistered{})
			}
		}
	}
}

func (s *steps) send(l link, e *wire.Envelope) {
	if !s.open[l] {
		return
	}
	if _, ok := s.queues[l]; !ok {
		s.links = append(s.links, l)
	}
	s.queues[l] = append(s.queues[l], e)
}

// deliver hands over all that is on the way of a link.
func (s *steps) deliver(l link) {
	queue := s.queues[l]
	if len(queue) == 0 || s.held[l] {
		return
	}
	s.queues[l] = nil
	for _, e := range queue {
		if g := s.sidecars[l.to]; g != nil {
			g.Handle(s.now, gate.EntryMessage{Entry: l.from, Envelope: e})
		} else if c := s.entries[l.to]; c != nil && l.from[0] == 's' {
			c.Handle(s.now, dispatch.SidecarMessage{Sidecar: l.from, Envelope: e})
		} else if c != nil {
			c.Handle(s.now, dispatch.PeerMessage{Entry: l.from, Envelope: e})
		}
	}
}

// settle lets all processes run and exchange messages for a time, on the links
// that are not held.
func (s *steps) settle(d clock.Millis) {
	for until := s.now + d; s.now < until; s.now += stepPartTime {
		for _, id := range s.order {
			s.tick(id)
		}
		for _, l := range s.links {
			s.deliver(l)
		}
	}
}

// pause is long enough for a few round trips and less than any timeout.
const pause = clock.Millis(200)

func (s *steps) wantStarts(when string, at ...ownership.Incarnation) {
	s.t.Helper()
	if got, want := fmt.Sprint(s.starts[stepTask]), fmt.Sprint(at); got != want {
		s.t.Fatalf("got starts at %s %s, want %s", got, when, want)
	}
}

func (s *steps) wantLeft(id ownership.Incarnation) {
	s.t.Helper()
	if !s.left[id] {
		s.t.Fatalf("got no end of the registration of %s, want one", id)
	}
}

// owned returns steps with an owner "ea" at epoch 2, sidecars "s0", "s1" and
// "s2" in three domains, and the service at "s0" only.
func owned(t *testing.T) *steps {
	s := newSteps(t)
	r := recordOf(1, "ea", "", 2)
	s.addSidecars(r, "s0", "s1", "s2")
	s.serve("s0", stepService)
	s.addEntry("ea", r, "s0", "s1", "s2")
	s.connect("ea", "s0", "s1", "s2")
	s.settle(pause)
	return s
}

// started returns owned steps after the job's task has started at "s0".
func started(t *testing.T) *steps {
	t.Helper()
	s := owned(t)
	s.submit("ea", 1, true)
	s.settle(pause)
	s.wantStarts("after the dispatch", "s0")
	return s
}

// takenOver returns started steps in which "eb", with sessions to the sidecars
// given, has replaced "ea".
func takenOver(t *testing.T, connected ...ownership.Incarnation) *steps {
	t.Helper()
	s := started(t)
	s.kill("ea")
	s.addEntry("eb", recordOf(2, "eb", "", 4), "s0", "s1", "s2")
	s.connect("eb", connected...)
	s.settle(pause)
	return s
}

// leave lets "s0" finish its task and leave on plan.
func (s *steps) leave() {
	s.sidecars["s0"].Handle(s.now, gate.Leave{})
	s.settle(pause)
	s.finish("s0", wire.Outcome_OUTCOME_DONE)
	s.settle(1000)
	s.wantLeft("s0")
	s.kill("s0")
}

// resubmitTo lets a new owner take over from one that has died, with "s1" as
// the worker, and submits the job to it.
func (s *steps) resubmitTo(owner ownership.Incarnation, r ownership.Record, sidecars ...ownership.Incarnation) {
	s.serve("s1", stepService)
	s.addEntry(owner, r, sidecars...)
	s.connect(owner, "s1", "s2")
	s.settle(pause)
	s.submit(owner, 9, true)
	s.settle(pause)
}
