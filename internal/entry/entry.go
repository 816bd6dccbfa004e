// Package entry is the entry process: it serves callers over HTTP, keeps
// sessions with sidecars and other entries, follows the store, and runs the
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
	// CallersAddress is where callers connect, an IP address and a port.
	CallersAddress string
	// PeersAddress is where other entries connect.
	PeersAddress string
	Peer         peer.Config
	Limits       httpd.Limits
	// MaxWaiting bounds the requests that wait for an answer.
	MaxWaiting int
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout clock.Millis
	// Retention, ClockSkew, SuspectAfter and FenceGrace are those of
	// dispatch.Config.
	Retention, ClockSkew, SuspectAfter, FenceGrace clock.Millis
	// SingleDomain is that of dispatch.Config.
	SingleDomain bool
}

// Core is the decision core; dispatch.Core implements it. Only the control
// thread uses it.
type Core interface {
	Handle(now clock.Millis, event dispatch.Event)
	Tick(now clock.Millis) []dispatch.Command
	// AwaitsReply tells whether a reply of a sidecar is due.
	AwaitsReply(sidecar ownership.Incarnation) bool
	Counters() dispatch.Counters
	// Status returns a copy that may leave the control thread.
	Status() dispatch.Status
}

// Deps are the parts that an entry is wired to.
type Deps struct {
	Store   Store
	Clock   clock.Clock
	Log     *zap.Logger
	Metrics prometheus.Registerer
	Frames  peer.FrameCounter
	// Tracer makes the spans of sampled jobs; nil for none.
	Tracer trace.Tracer
	// Started, if set, gets the process when it serves.
	Started func(*Process)
}

// Process is a running entry.
type Process struct {
	settings Settings
	deps     Deps
	loop     *loop
	node     *peer.Node
	sidecars *peer.Pool
	entries  *peer.Pool
	callers  *httpd.Server
	text     *textHolder
	// record is the revision of the ownership record that the core acts on.
	record   atomic.Int64
	dialing  dialing
	contact  *contact
	metrics  *metrics
	requests *requests
	// lists holds the record revision of the newest request for a list of the
	// sidecars, deletes the sidecars whose registrations are to be deleted.
	lists   chan int64
	deletes chan ownership.Incarnation
	// started is closed when the fields above are set.
	started chan struct{}
	// running counts the goroutines that call the store.
	running sync.WaitGroup
}

const (
	// closeTimeout bounds the writing of queued frames when the process ends.
	closeTimeout = 2 * time.Second
	// leaveTimeout bounds the wait for the end of the calls to the store, of
	// which the last one revokes the lease of this entry. Without it the others
	// see the entry leave when the lease lapses.
	leaveTimeout = time.Second
)

// Run runs an entry. When ctx ends the entry drains: it accepts no new jobs,
// answers the waiting callers, hands its partitions over and returns nil. The
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
	defer p.end(stop)
	if err := p.listen(); err != nil {
		return err
	}
	close(p.started)
	looping := make(chan struct{})
	go func() {
		defer close(looping)
		p.loop.run(work)
	}()
	defer func() { stop(); <-looping }()
	p.follow(work)
	if deps.Started != nil {
		deps.Started(p)
	}
	deps.Log.Info("entry started", zap.String("incarnation", string(settings.Incarnation)))
	<-ctx.Done()
	err := p.drain()
	deps.Log.Info("entry stopped", zap.Error(err))
	return err
}

func newProcess(settings Settings, deps Deps, core Core) *Process {
	p := &Process{
		settings: settings,
		deps:     deps,
		contact:  newContact(),
		requests: newRequests(settings.MaxWaiting),
		lists:    make(chan int64, 1),
		deletes:  make(chan ownership.Incarnation, deleteQueue),
		started:  make(chan struct{}),
	}
	p.text = &textHolder{p: p}
	p.loop = newLoop(p, core)
	p.metrics = newMetrics(deps.Metrics, p)
	p.loop.traces = newTraces(deps.Tracer, p.metrics.tracesSkipped.Inc)
	return p
}

func (p *Process) listen() error {
	cfg := p.settings.Peer
	failed := cfg.OnFailure
	cfg.OnFailure = func(err error) {
		p.metrics.sessionFailed(peer.KindOf(err))
		if failed != nil {
			failed(err)
		}
	}
	node, err := peer.New(cfg, p.deps.Clock, local{p}, sessionHandler{p, wire.Hello_ROLE_ENTRY}, p.deps.Frames)
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

// drain refuses new jobs, lets the core finish and hand over its partitions,
// and waits until the callers have their answers.
func (p *Process) drain() error {
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.DrainTimeout.Duration())
	defer cancel()
	p.requests.draining.Store(true)
	p.callers.DisableKeepAlives()
	p.deps.Log.Info("draining", zap.Int64("requests", p.requests.handling.Load()))
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

// end closes listeners and sessions. Queued frames are written first, so that
// the last answers reach the other entries.
func (p *Process) end(stop context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
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
	p.awaitStore()
}

func (p *Process) awaitStore() {
	done := make(chan struct{})
	go func() {
		p.running.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(leaveTimeout):
	}
}

// Status returns what the entry knows, or false if it is stopping.
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
// if the entry is overloaded or ctx ends.
func (p *Process) Explain(ctx context.Context, service, team, key string) *wire.Answer {
	a, _ := p.ask(ctx, func(id dispatch.RequestID) dispatch.Event {
		return dispatch.FetchRequest{Request: id, Service: service, Team: team, Key: key, Explain: true}
	})
	return a
}
