package gate

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
)

// backend is the last announced state of the backend server.
type backend struct {
	present bool
	state   *wire.SidecarState
}

// limit returns the number of tasks that may run at once: the smaller of slots
// and connections, or the slots if no connections are announced.
func (b *backend) limit() int {
	if !b.present {
		return 0
	}
	slots := b.state.GetSlots()
	if c := b.state.GetConnections(); c > 0 {
		slots = min(slots, c)
	}
	return int(slots)
}

func (b *backend) serves(service string) bool {
	return slices.Contains(b.state.GetServices(), service)
}

func (g *Gate) backendState(e BackendState) {
	g.stateChanged = true
	if e.State != nil {
		g.backend.state = e.State
	}
	g.backend.present = !e.Lost && e.State != nil
	if g.backend.present && e.State.GetLeaving() {
		g.startLeaving()
	}
}

// State returns the state that is sent to entries. A sidecar without a backend
// server offers no services and no slots.
func (g *Gate) State() *wire.SidecarState {
	s := &wire.SidecarState{}
	if g.backend.state != nil {
		s = proto.CloneOf(g.backend.state)
	}
	s.Worker = cmp.Or(s.Worker, g.cfg.Worker)
	s.Rack = cmp.Or(s.Rack, g.cfg.Rack)
	s.Address = cmp.Or(s.Address, g.cfg.Address)
	if !g.backend.present {
		s.Services = nil
		s.Slots = 0
		s.Connections = 0
	}
	s.Incarnation = string(g.cfg.Incarnation)
	s.Domain = string(g.cfg.Domain)
	s.Ready = g.startup.recordRead
	s.Leaving = g.leave.active
	return s
}

// flushState sends the state to every connected entry if it has changed.
func (g *Gate) flushState() {
	if !g.stateChanged {
		return
	}
	g.stateChanged = false
	s := g.State()
	if proto.Equal(s, g.sentState) {
		return
	}
	g.sentState = s
	for e := range g.entries.All() {
		g.sendState(e)
	}
}

func (g *Gate) sendState(to ownership.Incarnation) {
	g.send(to, &wire.Envelope{Body: &wire.Envelope_SidecarState{SidecarState: g.State()}})
}
