package entrynode

import (
	"go.uber.org/zap"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/peer"
	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// peerRole is the role of the process at the other end of a session.
type peerRole int

const (
	entryPeer peerRole = iota
	sidecarPeer
)

// field returns the role as the field of a log line.
func (r peerRole) field() zap.Field {
	if r == sidecarPeer {
		return zap.String("role", "sidecar")
	}
	return zap.String("role", "entry")
}

// reportTimeout is the time without a report after which a sidecar outside the
// entry's subset is probed: it reports every 900 ms.
const reportTimeout = 1500 * clock.Millis(1)

// sessionHandler turns the callbacks of sessions into events for the control
// thread. Messages of a session that a newer one has replaced are dropped.
type sessionHandler struct {
	p    *Process
	role peerRole
}

var _ peer.Handler = sessionHandler{}

// Connected implements peer.Handler.
func (h sessionHandler) Connected(s *peer.Session, hello *wire.Hello) error {
	h.p.push(func(now clock.Millis) {
		if h.role == entryPeer {
			h.p.entrySessions[s.Peer()] = s
			h.p.beginEvacuationSession(s.Peer())
			h.p.core.EntryConnected(now, s.Peer())
			return
		}
		address, ok := h.p.addresses.Load(s.Peer())
		if !ok {
			return
		}
		h.p.sidecarSessions[s.Peer()] = s
		// Reports are expected from now on, even if no orders are sent.
		s.SetIdlePingAfter(reportTimeout)
		s.SetOutstanding(true)
		h.p.core.SidecarConnected(address.(scheduler.Address), ownership.Domain(hello.GetDomain()), s.Peer())
	})
	return nil
}

// Message implements peer.Handler.
func (h sessionHandler) Message(s *peer.Session, e *wire.Envelope) {
	h.p.control.PushConditional(func(now clock.Millis) bool {
		switch {
		case h.role == entryPeer && h.p.entrySessions[s.Peer()] == s && e.GetEntryNote() != nil:
			h.p.adoptEvacuations(now, s.Peer(), e.GetEntryNote().GetEvacuations())
			h.p.core.HandleEntryNote(now, s.Peer(), e.GetEntryNote())
			return !scheduler.IsQueuedWorkOnly(e.GetEntryNote())
		case h.role == sidecarPeer && h.p.sidecarSessions[s.Peer()] == s && e.GetTaskReport() != nil:
			if e.GetTaskReport().GetDeposed() {
				h.p.deposed.Store(true)
				return true
			}
			h.p.adoptEvacuations(now, s.Peer(), e.GetTaskReport().GetEvacuations())
			h.p.core.HandleReport(now, s.Peer(), e.GetTaskReport())
		case h.role == sidecarPeer && h.p.sidecarSessions[s.Peer()] == s && e.GetJobLeaseAnswers() != nil:
			return h.p.core.HandleJobLeaseAnswers(now, s.Peer(), e.GetJobLeaseAnswers())
		}
		return true
	})
}

// PeerRevisions implements peer.Handler.
func (h sessionHandler) PeerRevisions(*peer.Session, int64, int64) {}

// Disconnected implements peer.Handler.
func (h sessionHandler) Disconnected(s *peer.Session, err error) {
	h.p.push(func(clock.Millis) {
		switch {
		case h.role == entryPeer && h.p.entrySessions[s.Peer()] == s:
			delete(h.p.entrySessions, s.Peer())
			delete(h.p.evacuations.peers, s.Peer())
			h.p.core.EntryDisconnected(s.Peer())
		case h.role == sidecarPeer && h.p.sidecarSessions[s.Peer()] == s:
			delete(h.p.sidecarSessions, s.Peer())
			h.p.core.SidecarDisconnected(s.Peer())
		default:
			return
		}
		h.p.deps.Log.Info("session lost", h.role.field(), zap.String("peer", string(s.Peer())), zap.Error(err))
	})
}

// sendOrders queues orders for a sidecar.
func (p *Process) sendOrders(c scheduler.SendOrders) {
	if s := p.sidecarSessions[c.Sidecar]; s != nil {
		s.SetOutstanding(!c.Orders.GetLoose())
	}
	p.sendToSidecar(c.Sidecar, wire.Wrap(c.Orders))
}

// sendToSidecar queues a frame for a sidecar. One that cannot be queued ends the session,
// since the sidecar relies on receiving every frame of a session.
func (p *Process) sendToSidecar(sidecar ownership.Incarnation, e *wire.Envelope) {
	s := p.sidecarSessions[sidecar]
	if s == nil {
		return
	}
	if err := s.Send(e); err != nil {
		p.deps.Log.Warn("session closed, frame not queued", sidecarPeer.field(), zap.String("peer", string(sidecar)), zap.Error(err))
		s.Close()
	}
}

// AnnounceConfiguration announces a new configuration to the other entries, since
// the store may be unavailable to some of them.
func (p *Process) AnnounceConfiguration() {
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
			p.deps.Log.Warn("session closed, frame not queued", entryPeer.field(), zap.String("peer", string(id)), zap.Error(err))
			s.Close()
		}
	}
}

// localPeer implements peer.Local for this process. It passes on the configuration,
// so that an entry that starts while the store is unavailable gets it.
type localPeer struct{ p *Process }

var _ peer.LocalProcess = localPeer{}

// Hello implements peer.LocalProcess.
func (l localPeer) Hello() *wire.Hello {
	_, version := l.Revisions()
	return &wire.Hello{
		Role: wire.Hello_ROLE_ENTRY, Incarnation: string(l.p.settings.Incarnation), Domain: string(l.p.settings.Domain), TextRevision: version,
	}
}

// Revisions implements peer.LocalProcess.
func (l localPeer) Revisions() (record, text int64) {
	if t := l.p.deps.Routes.Current(); t != nil {
		return 0, t.Version
	}
	return 0, 0
}

// Text implements peer.LocalProcess.
func (l localPeer) Text() *wire.Text {
	t := l.p.deps.Routes.Current()
	if t == nil {
		return nil
	}
	return &wire.Text{Revision: t.Version, Text: t.Source}
}

// AdoptText implements peer.LocalProcess.
func (l localPeer) AdoptText(t *wire.Text) {
	table, err := l.p.deps.DecodeTable(t.GetText())
	if err != nil {
		l.p.deps.Log.Warn("configuration from peer rejected", zap.Error(err))
		return
	}
	if l.p.deps.Routes.Adopt(table) {
		l.p.deps.Log.Info("configuration adopted", zap.Int64("version", table.Version), zap.String("from", "peer"))
	}
}
