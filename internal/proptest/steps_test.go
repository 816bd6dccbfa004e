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

// link identifies one direction between two processes.
type link struct {
	from, to ownership.Incarnation
}

// scenario drives cores through an explicit interleaving. Messages on a held link are
// queued; all others are delivered in order, and no step depends on how long another
// takes. There is no store: the test delivers records and lists of registrations.
type scenario struct {
	t        *testing.T
	now      clock.Millis
	entries  map[ownership.Incarnation]*dispatch.Core
	sidecars map[ownership.Incarnation]*gate.Gate
	// order holds the processes in the order in which they were added.
	order []ownership.Incarnation
	// lastList is the revision of the last list of registrations.
	lastList int64
	// queues holds the undelivered messages of each link; links is its order.
	queues map[link][]*wire.Envelope
	links  []link
	open   map[link]bool
	held   map[link]bool
	// starts holds the sidecars at which each task was started, without refused starts.
	starts  map[gate.TaskID][]ownership.Incarnation
	answers map[dispatch.RequestID]*wire.Answer
	// deregistered holds the sidecars that have deleted their registration.
	deregistered map[ownership.Incarnation]bool
}

const (
	scenarioService = "quoting"
	settleInterval  = clock.Millis(10)
)

var scenarioTask = gate.TaskID{Service: scenarioService, Team: "team", Key: "k"}

func newScenario(t *testing.T) *scenario {
	return &scenario{
		t: t, now: 1_000_000,
		entries:      make(map[ownership.Incarnation]*dispatch.Core),
		sidecars:     make(map[ownership.Incarnation]*gate.Gate),
		queues:       make(map[link][]*wire.Envelope),
		open:         make(map[link]bool),
		held:         make(map[link]bool),
		starts:       make(map[gate.TaskID][]ownership.Incarnation),
		answers:      make(map[dispatch.RequestID]*wire.Answer),
		deregistered: make(map[ownership.Incarnation]bool),
	}
}

func newRecord(revision int64, owner, successor ownership.Incarnation, epoch ownership.Epoch) ownership.Record {
	r := ownership.Record{Revision: revision}
	for p := range r.Partitions {
		r.Partitions[p] = ownership.Assignment{Owner: owner, Successor: successor, Epoch: epoch}
	}
	return r
}

// addEntry adds an entry that has read a record and the registrations of the given
// sidecars.
func (s *scenario) addEntry(id ownership.Incarnation, r ownership.Record, sidecars ...ownership.Incarnation) {
	c := dispatch.New(dispatch.Config{
		Self: id, Domain: "d0", Retention: 600_000, ClockSkew: 5000, SuspectAfter: 1000, FenceGrace: 3000,
	}, placement.New(placement.Config{}), admission.New(admission.Config{}))
	s.entries[id] = c
	s.order = append(s.order, id)
	c.Handle(s.now, dispatch.TextAdopted{Revision: 1, Text: servicesText()})
	c.Handle(s.now, dispatch.RecordRead{Record: r})
	s.listRegistrations(id, r.Revision, sidecars...)
}

// listRegistrations delivers a list of registrations to an entry.
func (s *scenario) listRegistrations(id ownership.Incarnation, revision int64, sidecars ...ownership.Incarnation) {
	s.lastList++
	e := dispatch.RegistrationsListed{RecordRevision: revision, Revision: s.lastList}
	for _, n := range sidecars {
		e.Registrations = append(e.Registrations, dispatch.Registration{Sidecar: n, Domain: sidecarDomain(n)})
	}
	s.entries[id].Handle(s.now, e)
}

// sidecarDomain returns the domain of a sidecar: "d1" for "s1".
func sidecarDomain(id ownership.Incarnation) ownership.Domain { return "d" + ownership.Domain(id[1:]) }

func (s *scenario) addSidecars(r ownership.Record, ids ...ownership.Incarnation) {
	for _, id := range ids {
		g := gate.New(gate.Config{Incarnation: id, Domain: sidecarDomain(id), Worker: "w" + string(id), MaxResultBytes: 1 << 20, MaxQueued: 4, ClockSkew: 5000})
		s.sidecars[id] = g
		s.order = append(s.order, id)
		g.Handle(s.now, gate.Registered{})
		g.Handle(s.now, gate.RecordRead{Record: r})
		s.setServices(id)
	}
}

// setServices sets the services of the backend server of a sidecar.
func (s *scenario) setServices(id ownership.Incarnation, services ...string) {
	s.sidecars[id].Handle(s.now, gate.BackendState{State: &wire.SidecarState{Worker: "w" + string(id), Services: services, Slots: 1, Connections: 64}})
}

// connect opens a session between an entry and each peer.
func (s *scenario) connect(entry ownership.Incarnation, peers ...ownership.Incarnation) {
	hello := &wire.Hello{Role: wire.Hello_ROLE_ENTRY, Incarnation: string(entry), Domain: "d0"}
	for _, id := range peers {
		s.open[link{entry, id}], s.open[link{id, entry}] = true, true
		if g := s.sidecars[id]; g != nil {
			s.entries[entry].Handle(s.now, dispatch.SidecarConnected{Sidecar: id, Hello: &wire.Hello{Role: wire.Hello_ROLE_SIDECAR, Incarnation: string(id), Domain: string(sidecarDomain(id)), Sidecar: g.State()}})
			g.Handle(s.now, gate.EntryConnected{Entry: entry, Hello: hello})
			continue
		}
		s.entries[entry].Handle(s.now, dispatch.PeerConnected{Entry: id, Hello: &wire.Hello{Role: wire.Hello_ROLE_ENTRY, Incarnation: string(id), Domain: "d0"}})
		s.entries[id].Handle(s.now, dispatch.PeerConnected{Entry: entry, Hello: hello})
	}
}

// disconnect ends a session; undelivered messages are lost.
func (s *scenario) disconnect(entry, id ownership.Incarnation) {
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

// kill ends a process and its sessions.
func (s *scenario) kill(id ownership.Incarnation) {
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

func (s *scenario) submit(entry ownership.Incarnation, id dispatch.RequestID, keyed bool) {
	job := &wire.Job{
		Key: scenarioTask.Key, CallerKey: keyed, Team: scenarioTask.Team, Service: scenarioService, BodyHash: []byte("hash"),
		Tasks: []*wire.TaskSpec{{DeclaredMs: 100}},
	}
	s.entries[entry].Handle(s.now, dispatch.Submit{Request: id, Job: job})
}

// finishTask ends the task at a sidecar.
func (s *scenario) finishTask(id ownership.Incarnation, o wire.Outcome) {
	if o == wire.Outcome_OUTCOME_NOT_STARTED {
		at := s.starts[scenarioTask]
		s.starts[scenarioTask] = at[:len(at)-1]
	}
	s.sidecars[id].Handle(s.now, gate.TaskFinished{Task: scenarioTask, Outcome: o, RunTime: 100})
}

// holdLink holds back the messages from one process to another.
func (s *scenario) holdLink(from, to ownership.Incarnation) { s.held[link{from, to}] = true }

// tick runs one process and queues the messages that it sends.
func (s *scenario) tick(id ownership.Incarnation) {
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
				s.deregistered[id] = true
				g.Handle(s.now, gate.Deregistered{})
			}
		}
	}
}

func (s *scenario) send(l link, e *wire.Envelope) {
	if !s.open[l] {
		return
	}
	if _, ok := s.queues[l]; !ok {
		s.links = append(s.links, l)
	}
	s.queues[l] = append(s.queues[l], e)
}

// deliver delivers all queued messages of a link unless it is held.
func (s *scenario) deliver(l link) {
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

// settle runs all processes for a time and delivers messages on the links that aren't
// held.
func (s *scenario) settle(d clock.Millis) {
	for until := s.now + d; s.now < until; s.now += settleInterval {
		for _, id := range s.order {
			s.tick(id)
		}
		for _, l := range s.links {
			s.deliver(l)
		}
	}
}

// exchangeTime is enough for a few round trips and less than any timeout.
const exchangeTime = clock.Millis(200)

func (s *scenario) wantStarts(when string, at ...ownership.Incarnation) {
	s.t.Helper()
	if got, want := fmt.Sprint(s.starts[scenarioTask]), fmt.Sprint(at); got != want {
		s.t.Fatalf("got starts at %s %s, want %s", got, when, want)
	}
}

func (s *scenario) wantDeregistered(id ownership.Incarnation) {
	s.t.Helper()
	if !s.deregistered[id] {
		s.t.Fatalf("registration of %s is not deleted, want it deleted", id)
	}
}

// newOwnedScenario returns a scenario with an owner "ea" at epoch 2, sidecars "s0",
// "s1" and "s2" in three domains, and the service at "s0" only.
func newOwnedScenario(t *testing.T) *scenario {
	s := newScenario(t)
	r := newRecord(1, "ea", "", 2)
	s.addSidecars(r, "s0", "s1", "s2")
	s.setServices("s0", scenarioService)
	s.addEntry("ea", r, "s0", "s1", "s2")
	s.connect("ea", "s0", "s1", "s2")
	s.settle(exchangeTime)
	return s
}

// newStartedScenario returns an owned scenario in which the job's task has started at
// "s0".
func newStartedScenario(t *testing.T) *scenario {
	t.Helper()
	s := newOwnedScenario(t)
	s.submit("ea", 1, true)
	s.settle(exchangeTime)
	s.wantStarts("after the dispatch", "s0")
	return s
}

// newTakeoverScenario returns a started scenario in which "eb", with sessions to the
// given sidecars, has replaced "ea".
func newTakeoverScenario(t *testing.T, connected ...ownership.Incarnation) *scenario {
	t.Helper()
	s := newStartedScenario(t)
	s.kill("ea")
	s.addEntry("eb", newRecord(2, "eb", "", 4), "s0", "s1", "s2")
	s.connect("eb", connected...)
	s.settle(exchangeTime)
	return s
}

// leaveAfterTask makes "s0" leave, which completes once its task is done.
func (s *scenario) leaveAfterTask() {
	s.sidecars["s0"].Handle(s.now, gate.Leave{})
	s.settle(exchangeTime)
	s.finishTask("s0", wire.Outcome_OUTCOME_DONE)
	s.settle(1000)
	s.wantDeregistered("s0")
	s.kill("s0")
}

// resubmitTo adds a new owner in place of one that has died, with the service at "s1",
// and submits the job to it.
func (s *scenario) resubmitTo(owner ownership.Incarnation, r ownership.Record, sidecars ...ownership.Incarnation) {
	s.setServices("s1", scenarioService)
	s.addEntry(owner, r, sidecars...)
	s.connect(owner, "s1", "s2")
	s.settle(exchangeTime)
	s.submit(owner, 9, true)
	s.settle(exchangeTime)
}
