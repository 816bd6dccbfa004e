// Package entry implements the entry process: it serves callers over HTTP, keeps
// sessions with sidecars and other entries, watches the store, and runs the
// decision core of internal/dispatch on one control thread.
//
//	err := entry.Run(ctx, settings, entry.Deps{Store: directory, Clock: clock.NewSystem(), Log: log, Metrics: registry})
package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"github.com/teaseltide/teaseltide/internal/admission"
	"github.com/teaseltide/teaseltide/internal/dispatch"
	"github.com/teaseltide/teaseltide/internal/httpd"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/peer"
	"github.com/teaseltide/teaseltide/internal/placement"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Settings configure an entry.
type Settings struct {
	Incarnation ownership.Incarnation
	Domain      ownership.Domain
	// CallersAddress is the ip:port that callers connect to.
	CallersAddress string
	// PeersAddress is the ip:port that other entries connect to.
	PeersAddress string
	Peer         peer.Config
	Limits       httpd.Limits
	// MaxPendingRequests bounds the callers' requests in flight.
	MaxPendingRequests int
	// DrainTimeout bounds the duration of a graceful shutdown.
	DrainTimeout clock.Millis
	// Retention, ClockSkew, SuspectAfter and FenceGrace are passed to
	// dispatch.Config.
	Retention, ClockSkew, SuspectAfter, FenceGrace clock.Millis
	// SingleDomain is passed to dispatch.Config.
	SingleDomain bool
}

// Core is the decision core; dispatch.Core implements it. Only the control
// thread uses it.
type Core interface {
	Handle(now clock.Millis, event dispatch.Event)
	Tick(now clock.Millis) []dispatch.Command
	// AwaitsReply reports whether a reply of a sidecar is due.
	AwaitsReply(sidecar ownership.Incarnation) bool
	Counters() dispatch.Counters
	// Status returns a copy that other goroutines may use.
	Status() dispatch.Status
}

// Deps are the dependencies of an entry.
type Deps struct {
	Store   Store
	Clock   clock.Clock
	Log     *zap.Logger
	Metrics prometheus.Registerer
	Frames  peer.FrameCounter
	// Tracer starts the spans of sampled jobs; nil disables tracing.
	Tracer trace.Tracer
	// OnStarted, if not nil, is called with the process once it serves.
	OnStarted func(*Process)
}

// Process is a running entry.
type Process struct {
	settings     Settings
	deps         Deps
	loop         *loop
	node         *peer.Node
	sidecars     *peer.Pool
	entries      *peer.Pool
	callers      *httpd.Server
	servicesText *activeText
	// recordRevision is the revision of the ownership record that the core uses.
	recordRevision atomic.Int64
	dialing        dialState
	connectivity   *connectivity
	metrics        *metrics
	requests       *requests
	// listRequests holds the record revision of the newest request to list the
	// sidecars, deleteRequests the sidecars whose registrations are to be deleted.
	listRequests   chan int64
	deleteRequests chan ownership.Incarnation
	// started is closed when the fields above are set.
	started chan struct{}
	// storeCalls tracks the goroutines that call the store.
	storeCalls sync.WaitGroup
}

const (
	// flushTimeout bounds the writing of queued frames at shutdown.
	flushTimeout = 2 * time.Second
	// deregisterTimeout bounds the wait for the calls to the store, the last of
	// which revokes the lease of this entry. If it is not revoked, the others see
	// the entry leave when the lease expires.
	deregisterTimeout = time.Second
)

// Run runs an entry. When ctx ends the entry drains: it accepts no new jobs,
// answers the pending requests, hands its partitions over and returns nil. The
// error is an *Error of kind Listen or DrainTimeout.
func Run(ctx context.Context, settings Settings, deps Deps) error {
	core := dispatch.New(dispatch.Config{
		Self:         settings.Incarnation,
		Domain:       settings.Domain,
		Retention:    settings.Retention,
		ClockSkew:    settings.ClockSkew,
		SuspectAfter: settings.SuspectAfter,
		FenceGrace:   settings.FenceGrace,
		SingleDomain: settings.SingleDomain,
	}, placement.New(placement.Config{}), admission.New(admission.Config{}))
	return run(ctx, settings, deps, core)
}

func run(ctx context.Context, settings Settings, deps Deps, core Core) error {
	p := newProcess(settings, deps, core)
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer p.shutDown(stop)
	if err := p.listen(); err != nil {
		return err
	}
	close(p.started)
	loopDone := make(chan struct{})
	go func() {
		defer close(loopDone)
		p.loop.run(work)
	}()
	defer func() { stop(); <-loopDone }()
	p.startStoreCalls(work)
	if deps.OnStarted != nil {
		deps.OnStarted(p)
	}
	deps.Log.Info("entry started", zap.String("incarnation", string(settings.Incarnation)))
	<-ctx.Done()
	err := p.drain()
	deps.Log.Info("entry stopped", zap.Error(err))
	return err
}

func newProcess(settings Settings, deps Deps, core Core) *Process {
	p := &Process{
		settings:       settings,
		deps:           deps,
		connectivity:   newConnectivity(),
		requests:       newRequests(settings.MaxPendingRequests),
		listRequests:   make(chan int64, 1),
		deleteRequests: make(chan ownership.Incarnation, deleteQueueSize),
		started:        make(chan struct{}),
	}
	p.servicesText = &activeText{p: p}
	p.loop = newLoop(p, core)
	p.metrics = newMetrics(deps.Metrics, p)
	p.loop.traces = newTraces(deps.Tracer, p.metrics.tracesSkipped.Inc)
	return p
}

func (p *Process) listen() error {
	cfg := p.settings.Peer
	onFailed := cfg.OnFailure
	cfg.OnFailure = func(err error) {
		p.metrics.countSessionFailed(peer.KindOf(err))
		if onFailed != nil {
			onFailed(err)
		}
	}
	node, err := peer.New(cfg, p.deps.Clock, localPeer{p}, sessionHandler{p, wire.Hello_ROLE_ENTRY}, p.deps.Frames)
	if err != nil {
		return &Error{Op: "start", Kind: Listen, Err: err}
	}
	p.node = node
	p.sidecars = node.NewPool(sessionHandler{p, wire.Hello_ROLE_SIDECAR})
	p.entries = node.NewPool(sessionHandler{p, wire.Hello_ROLE_ENTRY})
	p.callers, err = p.serveCallers()
	if err != nil {
		return &Error{Op: "start", Kind: Listen, Err: err}
	}
	return nil
}

// drain refuses new jobs and waits until the core has finished its jobs and
// handed over its partitions, and the callers have received their answers.
func (p *Process) drain() error {
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.DrainTimeout.Duration())
	defer cancel()
	p.requests.draining.Store(true)
	p.callers.DisableKeepAlives()
	p.deps.Log.Info("draining", zap.Int64("requests", p.requests.inFlight.Load()))
	p.loop.pushCore(dispatch.Drain{})
	select {
	case <-p.loop.drained:
	case <-ctx.Done():
		return &Error{Op: "drain", Kind: DrainTimeout, Err: errors.New("jobs or partitions are left")}
	}
	if !p.callers.Drain(ctx) {
		return &Error{Op: "drain", Kind: DrainTimeout, Err: errors.New("callers have not received their answers")}
	}
	return nil
}

// shutDown closes the listeners and the sessions. Queued frames are written
// first, so that the last answers reach the other entries.
func (p *Process) shutDown(stop context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if p.callers != nil {
		p.callers.Close()
	}
	if p.node != nil {
		p.sidecars.Close()
		p.entries.Close()
		p.node.Close(ctx)
	}
	stop()
	p.awaitStoreCalls()
}

func (p *Process) awaitStoreCalls() {
	done := make(chan struct{})
	go func() {
		p.storeCalls.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(deregisterTimeout):
	}
}

// Status returns the state of the core, or false if ctx ends or the control
// thread has exited.
func (p *Process) Status(ctx context.Context) (dispatch.Status, bool) {
	result := make(chan dispatch.Status, 1)
	p.loop.call(func(core Core) { result <- core.Status() })
	select {
	case s := <-result:
		return s, true
	case <-ctx.Done():
	case <-p.loop.exited:
	}
	return dispatch.Status{}, false
}

// Explain returns the state of a job and the decisions that led to it, or nil
// if the entry is overloaded or stopping, or ctx ends.
func (p *Process) Explain(ctx context.Context, service, team, key string) *wire.Answer {
	a, _ := p.awaitAnswer(ctx, func(id dispatch.RequestID) dispatch.Event {
		return dispatch.FetchRequest{Request: id, Service: service, Team: team, Key: key, Explain: true}
	})
	return a
}
