package entry

import (
	"github.com/pkg/errors"

	"github.com/teaseltide/teaseltide/internal/dispatch"
	"github.com/teaseltide/teaseltide/internal/peer"
	"github.com/teaseltide/teaseltide/internal/wire"
)

// sessionHandler turns what happens on the sessions with processes of one role
// into events.
type sessionHandler struct {
	p    *Process
	role wire.Hello_Role
}

var _ peer.Handler = sessionHandler{}

// Connected implements peer.Handler. Sidecars open no sessions, and a process
// that took over the address of a sidecar is no sidecar.
func (h sessionHandler) Connected(s *peer.Session, hello *wire.Hello) error {
	if hello.GetRole() != h.role {
		return &Error{Op: "accept session", Kind: Role, Err: errors.Errorf("%s has role %s, want %s", s.Peer(), hello.GetRole(), h.role)}
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
	h.p.metrics.sessionClosed(peer.KindOf(err))
	h.p.loop.push(event{session: s, core: disconnectedEvent(s.Peer(), h.role == wire.Hello_ROLE_ENTRY), reason: err})
}

// local describes this process to its peers.
type local struct {
	p *Process
}

var _ peer.LocalProcess = local{}

// Hello implements peer.LocalProcess.
func (l local) Hello() *wire.Hello {
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
func (l local) Revisions() (record, text int64) {
	return l.p.record.Load(), l.p.text.revision()
}

// Text implements peer.LocalProcess.
func (l local) Text() *wire.Text { return l.p.text.current() }

// AdoptText implements peer.LocalProcess.
func (l local) AdoptText(t *wire.Text) { l.p.text.adopt(t, fromPeer) }
