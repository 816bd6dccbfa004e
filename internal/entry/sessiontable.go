package entry

import (
	"go.uber.org/zap"

	"github.com/teaseltide/teaseltide/internal/dispatch"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/peer"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// sessionState is the control thread's state of a session.
type sessionState struct {
	session *peer.Session
	// requestSentAt is when the last message that expects a reply was sent.
	requestSentAt clock.Millis
	domain        ownership.Domain
	// isEntry is false for a session with a sidecar.
	isEntry bool
}

// updateSessions updates the table of sessions and reports whether the event
// comes from a current session and is to be handled.
func (l *loop) updateSessions(e event) bool {
	id := e.session.Peer()
	current := l.sessions[id]
	switch e.core.(type) {
	case dispatch.PeerConnected, dispatch.SidecarConnected:
		if current != nil {
			current.session.Close()
			disconnected := disconnectedEvent(id, current.isEntry)
			l.traces.observeEvent(disconnected)
			l.core.Handle(l.p.deps.Clock.Now(), disconnected)
		}
		state := newSessionState(e)
		l.sessions[id] = state
		e.session.SetOutstanding(state.isEntry)
		l.updateConnectivity()
		l.p.deps.Log.Info("connected", zap.String("peer", string(id)), zap.Bool("replaced", current != nil))
		return true
	case dispatch.PeerDisconnected, dispatch.SidecarDisconnected:
		if current == nil || current.session != e.session {
			return false
		}
		delete(l.sessions, id)
		if current.isEntry {
			l.probeSessions()
		}
		l.updateConnectivity()
		l.p.deps.Log.Info("disconnected", zap.String("peer", string(id)), zap.NamedError("reason", e.reason))
		return true
	}
	return current != nil && current.session == e.session
}

func newSessionState(e event) *sessionState {
	s := &sessionState{session: e.session}
	switch c := e.core.(type) {
	case dispatch.PeerConnected:
		s.isEntry = true
		s.domain = ownership.Domain(c.Hello.GetDomain())
	case dispatch.SidecarConnected:
		s.domain = ownership.Domain(c.Hello.GetDomain())
	}
	return s
}

// updateConnectivity marks the connectivity as lost if no session is left or the
// entry is isolated. It is called only when a session starts or ends, or the
// isolation changes.
func (l *loop) updateConnectivity() {
	l.p.connectivity.setLost(len(l.sessions) == 0 || l.isolated)
}

// probeSessions probes all sessions when none with an entry of another failure
// domain is left: if no sidecar there answers, this entry is cut off and must
// detect it before the idle ping does.
func (l *loop) probeSessions() {
	for _, s := range l.sessions {
		if s.isEntry && s.domain != l.p.settings.Domain {
			return
		}
	}
	now := l.p.deps.Clock.Now()
	for _, s := range l.sessions {
		s.requestSentAt = now
		s.session.SetOutstanding(true)
	}
}

func disconnectedEvent(id ownership.Incarnation, entry bool) dispatch.Event {
	if entry {
		return dispatch.PeerDisconnected{Entry: id}
	}
	return dispatch.SidecarDisconnected{Sidecar: id}
}
