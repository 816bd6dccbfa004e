package cli

import (
	"context"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/teaseltide/teaseltide/internal/peer"
	"github.com/teaseltide/teaseltide/internal/sidecar"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// entrySessions serves the sessions that entries open to a sidecar. It keeps the
// services text received from them, whose revision is part of the status output.
type entrySessions struct {
	cfg     peer.Config
	clk     clock.Clock
	frames  peer.FrameCounter
	log     *zap.Logger
	node    *peer.Node
	handler sidecar.Handler
	text    atomic.Pointer[wire.Text]

	mu        sync.Mutex
	lastID    sidecar.SessionID
	byID      map[sidecar.SessionID]*peer.Session
	bySession map[*peer.Session]sidecar.SessionID
}

var (
	_ sidecar.Sessions  = (*entrySessions)(nil)
	_ peer.Handler      = (*entrySessions)(nil)
	_ peer.LocalProcess = (*entrySessions)(nil)
)

// Serve implements sidecar.Sessions.
func (e *entrySessions) Serve(ctx context.Context, h sidecar.Handler) error {
	e.handler = h
	node, err := peer.New(e.cfg, e.clk, e, e, e.frames)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.node = node
	e.mu.Unlock()
	<-ctx.Done()
	return nil
}

// Send implements sidecar.Sessions. A frame that cannot be queued ends the
// session, because an entry relies on receiving every frame of a session.
func (e *entrySessions) Send(id sidecar.SessionID, env *wire.Envelope) {
	e.mu.Lock()
	s := e.byID[id]
	e.mu.Unlock()
	if s == nil {
		return
	}
	if err := s.Send(env); err != nil {
		e.log.Warn("session closed: frame not queued", zap.Error(err))
		s.Close()
	}
}

// Flush implements sidecar.Sessions.
func (e *entrySessions) Flush(ctx context.Context) {
	e.mu.Lock()
	node := e.node
	e.mu.Unlock()
	if node != nil {
		node.Close(ctx)
	}
}

// Connected implements peer.Handler.
func (e *entrySessions) Connected(s *peer.Session, hello *wire.Hello) error {
	e.mu.Lock()
	e.lastID++
	id := e.lastID
	e.byID[id] = s
	e.bySession[s] = id
	e.mu.Unlock()
	err := e.handler.Connected(id, hello)
	if err != nil {
		e.remove(s)
	}
	return err
}

// remove deletes a session and returns its id.
func (e *entrySessions) remove(s *peer.Session) sidecar.SessionID {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := e.bySession[s]
	delete(e.bySession, s)
	delete(e.byID, id)
	return id
}

// Message implements peer.Handler.
func (e *entrySessions) Message(s *peer.Session, env *wire.Envelope) {
	e.mu.Lock()
	id := e.bySession[s]
	e.mu.Unlock()
	e.handler.Message(id, env)
}

// PeerRevisions implements peer.Handler.
func (e *entrySessions) PeerRevisions(*peer.Session, int64, int64) {}

// Disconnected implements peer.Handler.
func (e *entrySessions) Disconnected(s *peer.Session, _ error) {
	e.handler.Disconnected(e.remove(s))
}

// Hello implements peer.LocalProcess.
func (e *entrySessions) Hello() *wire.Hello {
	hello := e.handler.Hello()
	_, text := e.Revisions()
	return &wire.Hello{
		Role: hello.GetRole(), Incarnation: hello.GetIncarnation(), Name: hello.GetName(), Domain: hello.GetDomain(),
		RecordRevision: hello.GetRecordRevision(), TextRevision: text, Sidecar: hello.GetSidecar(),
	}
}

// Revisions implements peer.LocalProcess.
func (e *entrySessions) Revisions() (record, text int64) {
	return e.handler.Hello().GetRecordRevision(), e.text.Load().GetRevision()
}

// Text implements peer.LocalProcess.
func (e *entrySessions) Text() *wire.Text {
	return e.text.Load()
}

// AdoptText implements peer.LocalProcess.
func (e *entrySessions) AdoptText(t *wire.Text) {
	for {
		old := e.text.Load()
		if t.GetRevision() <= old.GetRevision() {
			return
		}
		if e.text.CompareAndSwap(old, t) {
			e.log.Info("services text adopted", zap.Int64("revision", t.GetRevision()))
			return
		}
	}
}
