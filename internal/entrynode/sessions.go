package entrynode

import (
	"go.uber.org/zap"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/peer"
	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// peerRole tells sessions with entries from those with sidecars.
type peerRole int

const (
	entryPeer peerRole = iota
	sidecarPeer
)

// silentSidecar is the time without a report after which a sidecar that is
// followed loosely is asked for a sign of life: it reports every 900 ms.
const silentSidecar = 1500 * clock.Millis(1)

// handler turns what happens on sessions into events. Messages of a session
// that a newer one has replaced are dropped.
type handler struct {
	p    *Process
	role peerRole
}

var _ peer.Handler = handler{}

// Connected implements peer.Handler.
func (h handler) Connected(s *peer.Session, hello *wire.Hello) error {
	h.p.push(func(clock.Millis) {
		if h.role == entryPeer {
			h.p.entrySessions[s.Peer()] = s
			return
		}
		address, ok := h.p.addresses.Load(s.Peer())
		if !ok {
			return
		}
		h.p.sidecarSessions[s.Peer()] = s
		// Reports are due from now on, also if no orders are sent.
		s.SetIdlePingAfter(silentSidecar)
		s.SetOutstanding(true)
		h.p.core.SidecarConnected(address.(scheduler.Address), ownership.Domain(hello.GetDomain()), s.Peer())
	})
	return nil
}

// Message implements peer.Handler.
func (h handler) Message(s *peer.Session, e *wire.Envelope) {
	h.p.push(func(now clock.Millis) {
		switch {
		case h.role == entryPeer && h.p.entrySessions[s.Peer()] == s && e.GetEntryNote() != nil:
			h.p.core.HandleEntryNote(now, s.Peer(), e.GetEntryNote())
		case h.role == sidecarPeer && h.p.sidecarSessions[s.Peer()] == s && e.GetTaskReport() != nil:
			if e.GetTaskReport().GetDeposed() {
				h.p.deposed.Store(true)
				return
			}
			h.p.core.HandleReport(now, s.Peer(), e.GetTaskReport())
		}
	})
}

// PeerRevisions implements peer.Handler.
func (h handler) PeerRevisions(*peer.Session, int64, int64) {}

// Disconnected implements peer.Handler.
func (h handler) Disconnected(s *peer.Session, err error) {
	h.p.push(func(clock.Millis) {
		switch {
		case h.role == entryPeer && h.p.entrySessions[s.Peer()] == s:
			delete(h.p.entrySessions, s.Peer())
			h.p.core.EntryDisconnected(s.Peer())
		case h.role == sidecarPeer && h.p.sidecarSessions[s.Peer()] == s:
			delete(h.p.sidecarSessions, s.Peer())
			h.p.core.SidecarDisconnected(s.Peer())
		default:
			return
		}
		h.p.deps.Log.Info("session lost", zap.String("peer", string(s.Peer())), zap.Error(err))
	})
}

// sendOrders sends orders. A frame that cannot be queued ends the session, since
// the sidecar counts on getting every frame of a session.
func (p *Process) sendOrders(c scheduler.SendOrders) {
	s := p.sidecarSessions[c.Sidecar]
	if s == nil {
		return
	}
	s.SetOutstanding(!c.Orders.GetLoose())
	if err := s.Send(wire.Wrap(c.Orders)); err != nil {
		p.deps.Log.Warn("session ended", zap.String("peer", string(c.Sidecar)), zap.Error(err))
		s.Close()
	}
}

// ConfigurationChanged tells the other entries of a new configuration: the store
// may refuse some of them.
func (p *Process) ConfigurationChanged() {
	p.push(func(clock.Millis) {
		for _, s := range p.entrySessions {
			s.SendPing()
		}
	})
}

func (p *Process) broadcast(n *wire.EntryNote) {
	envelope := wire.Wrap(n)
	for id, s := range p.entrySessions {
		if err := s.Send(envelope); err != nil {
			p.deps.Log.Warn("session ended", zap.String("peer", string(id)), zap.Error(err))
			s.Close()
		}
	}
}

// local describes this process to its peers and hands on the configuration, so
// that an entry that starts while the store is away gets it.
type local struct{ p *Process }

var _ peer.LocalProcess = local{}

// Hello implements peer.LocalProcess.
func (l local) Hello() *wire.Hello {
	_, version := l.Revisions()
	return &wire.Hello{
		Role: wire.Hello_ROLE_ENTRY, Incarnation: string(l.p.settings.Incarnation), Domain: string(l.p.settings.Domain), TextRevision: version,
	}
}

// Revisions implements peer.LocalProcess.
func (l local) Revisions() (record, text int64) {
	if t := l.p.deps.Routes.Current(); t != nil {
		return 0, t.Version
	}
	return 0, 0
}

// Text implements peer.LocalProcess.
func (l local) Text() *wire.Text {
	t := l.p.deps.Routes.Current()
	if t == nil {
		return nil
	}
	return &wire.Text{Revision: t.Version, Text: t.Source}
}

// AdoptText implements peer.LocalProcess.
func (l local) AdoptText(t *wire.Text) {
	table, err := l.p.deps.Decode(t.GetText())
	if err != nil {
		l.p.deps.Log.Warn("configuration of a peer", zap.Error(err))
		return
	}
	if l.p.deps.Routes.Adopt(table) {
		l.p.deps.Log.Info("configuration adopted", zap.Int64("version", table.Version), zap.String("from", "peer"))
	}
}
