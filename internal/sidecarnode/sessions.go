package sidecarnode

import (
	"go.uber.org/zap"

	"github.com/teaseltide/teaseltide/internal/peer"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// handler turns the callbacks of sessions into events. Messages of a session that
// a newer one has replaced are dropped.
type handler struct{ p *Process }

var _ peer.Handler = handler{}

// Connected implements peer.Handler.
func (h handler) Connected(s *peer.Session, _ *wire.Hello) error {
	h.p.push(func(clock.Millis) {
		h.p.sessions[s.Peer()] = s
		h.p.core.EntryConnected(s.Peer())
		h.p.deps.Log.Info("entry connected", zap.String("entry", string(s.Peer())))
	})
	return nil
}

// Message implements peer.Handler.
func (h handler) Message(s *peer.Session, e *wire.Envelope) {
	if orders := e.GetTaskOrders(); orders != nil {
		h.p.push(func(now clock.Millis) {
			if h.p.sessions[s.Peer()] == s {
				h.p.adoptEvacuations(now, s.Peer(), orders.GetEvacuations())
				h.p.core.OrdersReceived(now, s.Peer(), orders)
			}
		})
	}
	if requests := e.GetJobLeaseRequests(); requests != nil {
		h.p.control.PushConditional(func(now clock.Millis) bool {
			if h.p.sessions[s.Peer()] == s {
				if answers := h.p.core.JobLeasesRequested(now, s.Peer(), requests); answers != nil {
					h.p.send(s.Peer(), wire.Wrap(answers))
				}
			}
			return false
		})
	}
}

// PeerRevisions implements peer.Handler.
func (h handler) PeerRevisions(*peer.Session, int64, int64) {}

// Disconnected implements peer.Handler.
func (h handler) Disconnected(s *peer.Session, err error) {
	h.p.push(func(clock.Millis) {
		if h.p.sessions[s.Peer()] == s {
			delete(h.p.sessions, s.Peer())
			h.p.core.EntryDisconnected(s.Peer())
			h.p.deps.Log.Info("entry disconnected", zap.String("role", "entry"), zap.String("entry", string(s.Peer())), zap.Error(err))
		}
	})
}

// local describes this process to its peers. A sidecar holds no configuration.
type local struct{ p *Process }

var _ peer.LocalProcess = local{}

// Hello implements peer.LocalProcess.
func (l local) Hello() *wire.Hello {
	return &wire.Hello{Role: wire.Hello_ROLE_SIDECAR, Incarnation: string(l.p.settings.Incarnation), Domain: string(l.p.settings.Domain)}
}

// Revisions implements peer.LocalProcess.
func (local) Revisions() (record, text int64) { return 0, 0 }

// Text implements peer.LocalProcess.
func (local) Text() *wire.Text { return nil }

// AdoptText implements peer.LocalProcess.
func (local) AdoptText(*wire.Text) {}
