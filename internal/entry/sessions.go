package entry

import (
	"github.com/pkg/errors"

	"github.com/teaseltide/teaseltide/internal/dispatch"
	"github.com/teaseltide/teaseltide/internal/peer"
	"github.com/teaseltide/teaseltide/internal/wire"
)

// sessionHandler turns the callbacks of sessions with processes of one role into
// events for the control thread.
type sessionHandler struct {
	p    *Process
	role wire.Hello_Role
}

var _ peer.Handler = sessionHandler{}

// Connected implements peer.Handler. It rejects processes of another role:
// sidecars open no sessions, and another process may now have the address of a
// former sidecar.
func (h sessionHandler) Connected(s *peer.Session, hello *wire.Hello) error {
	if hello.GetRole() != h.role {
		return &Error{Op: "accept session", Kind: UnexpectedRole, Err: errors.Errorf("%s has role %s, want %s", s.Peer(), hello.GetRole(), h.role)}
	}
	if s.Peer() == h.p.settings.Incarnation {
		return &Error{Op: "accept session", Kind: SelfSession}
	}
	if h.role == wire.Hello_ROLE_SIDECAR {
		h.p.loop.push(event{session: s, core: dispatch.SidecarConnected{Sidecar: s.Peer(), Hello: hello}})
		return nil
	}
	h.p.loop.push(event{session: s, core: dispatch.PeerConnected{Entry: s.Peer(), Hello: hello}})
	return nil
}

// Message implements peer.Handler.
func (h sessionHandler) Message(s *peer.Session, e *wire.Envelope) {
	if h.role == wire.Hello_ROLE_ENTRY {
		h.p.loop.push(event{session: s, core: dispatch.PeerMessage{Entry: s.Peer(), Envelope: e}})
		return
	}
	h.p.loop.push(event{session: s, core: dispatch.SidecarMessage{Sidecar: s.Peer(), Envelope: e}})
}

// PeerRevisions implements peer.Handler.
func (h sessionHandler) PeerRevisions(*peer.Session, int64, int64) {}

// Disconnected implements peer.Handler.
func (h sessionHandler) Disconnected(s *peer.Session, err error) {
	h.p.metrics.countSessionClosed(peer.KindOf(err))
	h.p.loop.push(event{session: s, core: disconnectedEvent(s.Peer(), h.role == wire.Hello_ROLE_ENTRY), reason: err})
}

// localPeer implements peer.Local for this process.
type localPeer struct {
	p *Process
}

var _ peer.LocalProcess = localPeer{}

// Hello implements peer.LocalProcess.
func (l localPeer) Hello() *wire.Hello {
	record, text := l.Revisions()
	return &wire.Hello{
		Role:           wire.Hello_ROLE_ENTRY,
		Incarnation:    string(l.p.settings.Incarnation),
		Domain:         string(l.p.settings.Domain),
		RecordRevision: record,
		TextRevision:   text,
	}
}

// Revisions implements peer.LocalProcess.
func (l localPeer) Revisions() (record, text int64) {
	return l.p.recordRevision.Load(), l.p.servicesText.revision()
}

// Text implements peer.LocalProcess.
func (l localPeer) Text() *wire.Text { return l.p.servicesText.current() }

// AdoptText implements peer.LocalProcess.
func (l localPeer) AdoptText(t *wire.Text) { l.p.servicesText.adopt(t, fromPeer) }
