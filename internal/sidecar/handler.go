package sidecar

import (
	"sync"

	"github.com/teaseltide/teaseltide/internal/gate"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
)

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	// KindNotAnEntry is the kind for a peer that is not an entry.
	KindNotAnEntry Kind = "peer-is-no-entry"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
}

// Error returns the operation and the kind.
func (e *Error) Error() string {
	return "sidecar: " + e.Op + ": " + string(e.Kind)
}

// handler turns the callbacks of sessions into events for the control loop.
type handler struct {
	loop *loop
	// entryBySession maps SessionID to ownership.Incarnation.
	entryBySession sync.Map
}

var _ Handler = (*handler)(nil)

func (h *handler) Hello() *wire.Hello {
	return h.loop.hello.Load()
}

func (h *handler) Connected(s SessionID, hello *wire.Hello) error {
	if hello.GetRole() != wire.Hello_ROLE_ENTRY || hello.GetIncarnation() == "" {
		return &Error{Op: "accept session", Kind: KindNotAnEntry}
	}
	e := ownership.Incarnation(hello.GetIncarnation())
	h.entryBySession.Store(s, e)
	h.loop.push(event{session: s, body: gate.EntryConnected{Entry: e, Hello: hello}})
	return nil
}

func (h *handler) Message(s SessionID, env *wire.Envelope) {
	if e, ok := h.entryOf(s); ok {
		h.loop.push(event{session: s, body: gate.EntryMessage{Entry: e, Envelope: env}})
	}
}

func (h *handler) Disconnected(s SessionID) {
	if e, ok := h.entryOf(s); ok {
		h.entryBySession.Delete(s)
		h.loop.push(event{session: s, body: gate.EntryDisconnected{Entry: e}})
	}
}

func (h *handler) entryOf(s SessionID) (ownership.Incarnation, bool) {
	v, ok := h.entryBySession.Load(s)
	if !ok {
		return "", false
	}
	return v.(ownership.Incarnation), true
}
