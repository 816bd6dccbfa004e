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
	// KindNotAnEntry is a peer that is no entry.
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

// handler turns what happens on the sessions into events.
type handler struct {
	loop *loop
	// entries maps SessionID to ownership.Incarnation.
	entries sync.Map
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
	h.entries.Store(s, e)
	h.loop.push(event{session: s, event: gate.EntryConnected{Entry: e, Hello: hello}})
	return nil
}

func (h *handler) Message(s SessionID, env *wire.Envelope) {
	if e, ok := h.entry(s); ok {
		h.loop.push(event{session: s, event: gate.EntryMessage{Entry: e, Envelope: env}})
	}
}

func (h *handler) Disconnected(s SessionID) {
	if e, ok := h.entry(s); ok {
		h.entries.Delete(s)
		h.loop.push(event{session: s, event: gate.EntryDisconnected{Entry: e}})
	}
}

func (h *handler) entry(s SessionID) (ownership.Incarnation, bool) {
	v, ok := h.entries.Load(s)
	if !ok {
		return "", false
	}
	return v.(ownership.Incarnation), true
}
