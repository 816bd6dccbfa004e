// Package sidecar is the process beside a backend server. It connects the decision
// core of internal/gate to the store, to the sessions with the entries and to
// the backend server.
//
// One goroutine, the control loop, owns the core. Sessions, store calls and
// tasks run on their own goroutines and reach the core through events only.
//
//	err := sidecar.Run(ctx, settings, sidecar.Deps{
//		Store:    store,
//		Sessions: sessions,
//		Clock:    clock.NewSystem(),
//		Log:      log,
//		Metrics:  prometheus.DefaultRegisterer,
//	})
package sidecar

import (
	"context"
	"crypto/rand"

	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"github.com/teaseltide/teaseltide/internal/backend"
	"github.com/teaseltide/teaseltide/internal/gate"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Settings configure a sidecar.
type Settings struct {
	// Name of the process; the incarnation is the name and a random nonce.
	Name   string
	Domain ownership.Domain
	// Worker is the name of the machine, Rack that of its rack.
	Worker, Rack string
	// Address is the ip:port that entries dial.
	Address string
	// Announce is the address to listen on for announcements of the backend server.
	Announce string
	// MaxResultBytes bounds all retained results together, MaxTaskResultBytes each
	// of them; 0 selects the default.
	MaxResultBytes     int64
	MaxTaskResultBytes int64
	// MaxQueued bounds the accepted tasks beyond the free slots.
	MaxQueued int
	// ClockSkew is how long a job is accepted and kept after its expires-at.
	ClockSkew clock.Millis
}

// defaultMaxResultBytes leaves most of the memory limit of a sidecar, 64 MB, to
// its tables and buffers. It is the default of limits.max-result-bytes.
const defaultMaxResultBytes = 12 << 20

// Registration is the record of a running sidecar in the store.
type Registration struct {
	Sidecar ownership.Incarnation
	Domain  ownership.Domain
	Address string
}

// Store is the interface of a sidecar to the store.
type Store interface {
	// Register creates the registration. A nil error means that it is
	// confirmed to be present.
	Register(ctx context.Context, r Registration) error
	// ReadRecord reads the ownership record by a call that begins after
	// ReadRecord was called. A record that does not exist is the zero Record.
	ReadRecord(ctx context.Context) (ownership.Record, error)
	// Deregister deletes the registration. A nil error means that it is
	// confirmed to be absent.
	Deregister(ctx context.Context, sidecar ownership.Incarnation) error
}

// SessionID identifies a session. A later session has a higher id.
type SessionID uint64

// Sessions is the interface of a sidecar to the sessions with entries.
type Sessions interface {
	// Serve accepts sessions and reports them to h until ctx ends.
	Serve(ctx context.Context, h Handler) error
	// Send queues a frame on a session without waiting for the peer. Frames of
	// one session are sent in order. If a frame is dropped, the session ends and
	// Disconnected is called.
	Send(s SessionID, env *wire.Envelope)
	// Flush waits until the queued frames are sent, at most until ctx ends.
	Flush(ctx context.Context)
}

// Handler receives the events of the sessions. Calls for one session are made in
// order and one at a time, Connected first and Disconnected last. A call may block
// on the control loop.
type Handler interface {
	// Hello returns the Hello that this sidecar sends on a new session.
	Hello() *wire.Hello
	// Connected reports a session whose Hello has arrived. The session is
	// closed if it returns an error.
	Connected(s SessionID, hello *wire.Hello) error
	// Message reports a frame other than Hello, Ping, Pong and Text.
	Message(s SessionID, env *wire.Envelope)
	// Disconnected reports the end of a session for which Connected returned nil.
	Disconnected(s SessionID)
}

// Deps are the dependencies of a sidecar.
type Deps struct {
	Store    Store
	Sessions Sessions
	Clock    clock.Clock
	Log      *zap.Logger
	Metrics  prometheus.Registerer
	// Tracer creates the spans of sampled tasks; nil for none.
	Tracer trace.Tracer
	// OnListen, if set, is called with the address of the announce listener.
	OnListen func(address string)
}

// Run runs a sidecar. When ctx ends, the sidecar leaves: it accepts no new tasks,
// finishes the accepted ones, delivers the results, deletes its registration and
// returns nil. An error is that of a listener, or of Sessions.Serve.
func Run(ctx context.Context, settings Settings, deps Deps) error {
	l := newLoop(settings, deps)
	listener, err := backend.Listen(backend.ListenerConfig{
		Address: settings.Announce,
		OnState: l.backendChanged,
		Clock:   deps.Clock,
	})
	if err != nil {
		return err
	}
	defer listener.Close()
	if deps.OnListen != nil {
		deps.OnListen(listener.Addr())
	}
	// Work continues after ctx has ended, until the core returns Exit.
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	defer l.client.Close()
	serveErr := make(chan error, 1)
	go func() { serveErr <- deps.Sessions.Serve(work, &handler{loop: l}) }()
	registering, stopRegister := context.WithCancel(work)
	defer stopRegister()
	l.stopRegister = stopRegister
	go l.register(registering)
	return l.run(ctx, work, serveErr)
}

func newLoop(settings Settings, deps Deps) *loop {
	if settings.MaxResultBytes == 0 {
		settings.MaxResultBytes = defaultMaxResultBytes
	}
	l := &loop{
		settings:       settings,
		deps:           deps,
		incarnation:    ownership.Incarnation(settings.Name + "-" + rand.Text()),
		events:         make(chan event, eventBuffer),
		exited:         make(chan struct{}),
		sessionByEntry: make(map[ownership.Incarnation]SessionID),
		entryBySession: make(map[SessionID]ownership.Incarnation),
		newestSession:  make(map[ownership.Incarnation]SessionID),
		registered:     make(chan struct{}),
		metrics:        newMetrics(deps.Metrics),
		client: backend.NewClient(backend.ClientConfig{
			Clock:          deps.Clock,
			MaxResultBytes: settings.MaxTaskResultBytes,
		}),
	}
	l.gate = gate.New(gate.Config{
		Incarnation:    l.incarnation,
		Domain:         settings.Domain,
		Worker:         settings.Worker,
		Rack:           settings.Rack,
		Address:        settings.Address,
		MaxResultBytes: settings.MaxResultBytes,
		MaxQueued:      settings.MaxQueued,
		ClockSkew:      settings.ClockSkew,
	})
	l.publish()
	return l
}
