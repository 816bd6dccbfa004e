// Package sidecarnode runs a sidecar for stored jobs: it joins the decisions of
// package executor with the worker, the sessions with entries and the store.
package sidecarnode

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/control"
	"github.com/teaseltide/teaseltide/internal/executor"
	"github.com/teaseltide/teaseltide/internal/jobstore"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/peer"
	"github.com/teaseltide/teaseltide/internal/platform"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Settings of a sidecar.
type Settings struct {
	Incarnation ownership.Incarnation
	Domain      ownership.Domain
	// Address is the ip:port that entries dial.
	Address string
	Peer    peer.Config
	Keys    jobstore.Keys
	// MaxLease is the longest lease that the worker grants.
	MaxLease clock.Millis
	// DrainTimeout bounds the wait for running tasks at a planned stop.
	DrainTimeout clock.Millis
}

// Worker is the worker beside the sidecar. Its methods are called from several
// goroutines.
type Worker interface {
	// Start orders a run.
	Start(ctx context.Context, start executor.StartRun) executor.StartResult
	// Stop orders the stop of a run.
	Stop(ctx context.Context, stop executor.StopRun) error
	// List lists the runs and renews the lease. It waits at most wait for an
	// end. The error is ErrFenced if the worker has seen a higher token.
	List(ctx context.Context, request executor.ListRequest, wait clock.Millis) (executor.Listing, error)
}

// ErrFenced tells that the worker has seen a higher token.
var ErrFenced = errors.New("the worker has seen a higher token")

// Deps are what a sidecar works with.
type Deps struct {
	Worker    Worker
	Store     platform.Transactor
	Directory *platform.Directory
	Clock     clock.Clock
	Log       *zap.Logger
	Frames    peer.FrameCounter
}

const (
	// tickInterval is the time between two ticks without an event, which bounds
	// how late a silent entry or a stalled run is noticed.
	tickInterval = 20 * time.Millisecond
	// startTimeout bounds the wait for the answer to a start. Workers answer
	// within milliseconds; a start without an answer is settled by a listing
	// under a higher token, also if it was only slow. The objective of the
	// shortest kind of job leaves 100 ms for both and for a start elsewhere.
	startTimeout = 40 * time.Millisecond
	// stopTimeout bounds the wait for the answer to a stop, which is repeated
	// without one.
	stopTimeout = 300 * time.Millisecond
	// listWait is how long a listing waits for an end. Each listing renews the
	// worker's lease, so several fit into the longest lease.
	listWait = 100 * clock.Millis(1)
	// listTimeout bounds a listing. Ends are not heard of while one is lost.
	listTimeout = 140 * time.Millisecond
	// lossyWait and lossyTimeout are the same while answers get lost: then both
	// listings are often lost at once, and ends are hidden until the first of the
	// two is given up.
	lossyWait    = 20 * clock.Millis(1)
	lossyTimeout = 45 * time.Millisecond
	// lossyFor is how long listings are short and doubled after one got no
	// answer: workers that lose answers do so for seconds.
	lossyFor = 5 * clock.Second
	// unreachableAfter is the time without an answer to a listing after which
	// nothing is started. A connection that breaks counts at once.
	unreachableAfter = 400 * clock.Millis(1)
	// listAttempts bounds the attempts of a listing that settles starts.
	listAttempts = 3
	// listPause is the shortest time between two listings: while ends wait for
	// the store, the worker answers at once.
	listPause = 6 * time.Millisecond
	// retryPause is the wait before a failed call is repeated.
	retryPause = 100 * time.Millisecond
)

// Process is a running sidecar.
type Process struct {
	settings Settings
	deps     Deps
	core     *executor.Executor
	control  *control.Thread
	// leaveBy is when a planned stop ends, 0 without one.
	leaveBy  clock.Millis
	sessions map[ownership.Incarnation]*peer.Session
	node     *peer.Node
	// answeredAt is when a listing was last answered, lostAt when one last got no
	// answer.
	answeredAt atomic.Int64
	lostAt     atomic.Int64
	// workers holds what is to be kept of the worker.
	workers chan executor.Worker
}

// New returns a sidecar that Run starts.
func New(s Settings, d Deps) *Process {
	return &Process{
		settings: s, deps: d,
		// The token grows over the lives of the sidecar as the time of day does;
		// where it has jumped back, the worker refuses the token and it is raised.
		core:     executor.New(int64(d.Clock.Now()), s.MaxLease),
		control:  control.New(d.Clock),
		workers:  make(chan executor.Worker, 1),
		sessions: make(map[ownership.Incarnation]*peer.Session),
	}
}

// push hands an event to the control thread.
func (p *Process) push(e control.Event) { p.control.Push(e) }

// WorkerReported takes what the worker says of itself.
func (p *Process) WorkerReported(w executor.Worker) {
	p.push(func(now clock.Millis) { p.core.WorkerReported(now, w) })
}

// Run serves until ctx ends and the running tasks have ended.
func (p *Process) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.list(work, func() bool { return true })
	go p.list(work, p.lossy)
	node, err := peer.New(p.settings.Peer, p.deps.Clock, local{p}, handler{p}, p.deps.Frames)
	if err != nil {
		return errors.WithStack(err)
	}
	p.node = node
	go p.register(work)
	go p.keepWorker(work)
	p.control.Run(ctx, tickInterval, p.leave, p.tick)
	flush, done := context.WithTimeout(context.Background(), stopTimeout)
	defer done()
	node.Close(flush)
	return nil
}

// leave begins a planned stop.
func (p *Process) leave(now clock.Millis) {
	p.leaveBy = now + p.settings.DrainTimeout
	p.core.Drain()
	p.deps.Log.Info("stopping", zap.Int("runs", p.core.ActiveRuns()))
}

// tick lets the core act and reports whether the process goes on.
func (p *Process) tick(now clock.Millis) bool {
	for _, c := range p.core.Tick(now) {
		p.execute(c)
	}
	if p.leaveBy != 0 && (p.core.Idle() || now >= p.leaveBy) {
		p.deps.Log.Info("stopped", zap.Int("runs", p.core.ActiveRuns()))
		return false
	}
	return true
}

func (p *Process) execute(c executor.Command) {
	switch c := c.(type) {
	case executor.StartRun:
		go p.start(c)
	case executor.PersistWorker:
		p.remember(c.Worker)
	case executor.ListNow:
		go p.listNow()
	case executor.StopRun:
		go p.stop(c)
	case executor.Report:
		p.report(c)
	case executor.LeaseExpiring:
		p.deps.Log.Warn("lease left to lapse", zap.String("entry", string(c.Entry)), zap.Int64("granted-until-ms", int64(c.GrantEndedAt)), runField(c.Run))
	case executor.WorkerReplaced:
		p.deps.Log.Warn("worker replaced", zap.String("worker", c.Worker.ID), zap.Int64("born-ms", c.Worker.Incarnation), zap.Int("runs", c.Runs))
	}
}

func runField(id batch.RunID) zap.Field {
	return zap.Dict("run", zap.String("job", string(id.Job)), zap.Uint32("step", id.Step), zap.Uint32("index", id.Index), zap.Int64("attempt", int64(id.Attempt)))
}

func (p *Process) start(c executor.StartRun) {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	result := p.deps.Worker.Start(ctx, c)
	if result != executor.StartAccepted {
		p.deps.Log.Info("start not accepted", runField(c.Run), zap.Int("result", int(result)), zap.Int64("token", c.Token))
	}
	p.push(func(now clock.Millis) { p.core.StartAnswered(now, c.Run, c.Token, result) })
}

// stop repeats a stop without an answer; the worker ignores one that is done.
func (p *Process) stop(c executor.StopRun) {
	for range 3 {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		err := p.deps.Worker.Stop(ctx, c)
		cancel()
		if err == nil {
			return
		}
		p.deps.Log.Info("stop without an answer", runField(c.Run), zap.Error(err))
		time.Sleep(retryPause)
	}
}

// report sends a report. A frame that cannot be queued ends the session, since
// the entry counts on getting every report of a session.
func (p *Process) report(c executor.Report) {
	s := p.sessions[c.Entry]
	if s == nil {
		return
	}
	if err := s.Send(wrap(c.Report)); err != nil {
		p.deps.Log.Warn("session ended", zap.String("entry", string(c.Entry)), zap.Error(err))
		s.Close()
	}
}

// list keeps listing the worker's runs, which renews its lease, while wanted
// says so. A second one runs beside it while answers get lost, so that ends are
// heard of in time.
func (p *Process) list(ctx context.Context, wanted func() bool) {
	reachable := true
	for ctx.Err() == nil {
		if !wanted() {
			time.Sleep(retryPause)
			continue
		}
		request, ok := p.holdRequest()
		if !ok {
			return
		}
		wait, timeout := listWait, listTimeout
		if p.lossy() {
			wait, timeout = lossyWait, lossyTimeout
		}
		err := p.listOnce(ctx, request, wait, timeout)
		if (err == nil) != reachable {
			reachable = err == nil
			p.deps.Log.Info("worker", zap.Bool("reachable", reachable), zap.Error(err))
		}
		pause := listPause
		if err != nil && !errors.Is(err, context.DeadlineExceeded) {
			pause = retryPause
		}
		time.Sleep(pause)
	}
}

// lossy reports whether listings have lately got no answer.
func (p *Process) lossy() bool {
	return p.deps.Clock.Now() < clock.Millis(p.lostAt.Load())+lossyFor
}

// listNow lists the worker's runs without waiting for an end, so that starts
// without an answer are settled.
func (p *Process) listNow() {
	for range listAttempts {
		request, ok := p.holdRequest()
		if !ok {
			return
		}
		err := p.listOnce(context.Background(), request, 0, lossyTimeout)
		if err == nil {
			return
		}
		p.deps.Log.Info("extra listing", zap.Error(err))
	}
}

func (p *Process) holdRequest() (executor.ListRequest, bool) {
	requests := make(chan executor.ListRequest, 1)
	p.push(func(now clock.Millis) { requests <- p.core.ListRequest(now) })
	select {
	case request := <-requests:
		return request, true
	case <-p.control.Done():
		return executor.ListRequest{}, false
	}
}

func (p *Process) listOnce(ctx context.Context, request executor.ListRequest, wait clock.Millis, timeout time.Duration) error {
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	listing, err := p.deps.Worker.List(call, request, wait)
	switch {
	case err == nil:
		p.answeredAt.Store(int64(p.deps.Clock.Now()))
		listing.RequestedAt = request.RequestedAt
		p.push(func(now clock.Millis) { p.core.RunsListed(now, listing) })
	case errors.Is(err, ErrFenced):
		p.push(func(clock.Millis) { p.core.TokenRefused(request.Token) })
	case errors.Is(err, context.DeadlineExceeded):
		now := p.deps.Clock.Now()
		p.lostAt.Store(int64(now))
		if now-clock.Millis(p.answeredAt.Load()) >= unreachableAfter {
			p.push(func(now clock.Millis) { p.core.WorkerUnreachable(now) })
		}
	default:
		p.push(func(now clock.Millis) { p.core.WorkerUnreachable(now) })
	}
	return err
}

// register registers the sidecar and then reads the deposed entries: an entry
// that takes over does it the other way round, so one of the two learns of the
// other. Earlier lives of this sidecar are deleted afterwards.
func (p *Process) register(ctx context.Context) {
	own := platform.Registration{Sidecar: p.settings.Incarnation, Domain: p.settings.Domain, Address: p.settings.Address}
	p.retry(ctx, "register", func(ctx context.Context) error { return p.deps.Directory.RegisterSidecar(ctx, own) })
	p.retry(ctx, "read deposed entries", func(ctx context.Context) error {
		listing, err := p.deps.Store.Range(ctx, platform.Prefix(p.settings.Keys.DeposedPrefix()), 0)
		if err != nil {
			return err
		}
		fences := p.settings.Keys.DecodeDeposed(listing.KeyValues)
		p.push(func(now clock.Millis) { p.core.FencesLoaded(now, fences) })
		return nil
	})
	p.retry(ctx, "delete earlier registrations", func(ctx context.Context) error {
		sidecars, err := p.deps.Directory.ListSidecars(ctx)
		if err != nil {
			return err
		}
		for _, r := range sidecars.Registrations {
			if r.Address == own.Address && r.Sidecar != own.Sidecar {
				if err = p.deps.Directory.DeleteSidecar(ctx, r.Sidecar); err != nil {
					return err
				}
			}
		}
		return nil
	})
	p.deps.Log.Info("registered", zap.String("sidecar", string(own.Sidecar)))
}

// retry repeats a call until it succeeds or ctx ends.
func (p *Process) retry(ctx context.Context, what string, f func(context.Context) error) {
	failing := false
	for ctx.Err() == nil {
		err := f(ctx)
		if err == nil {
			return
		}
		if !failing {
			failing = true
			p.deps.Log.Warn("store", zap.String("call", what), zap.Error(err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(2 * retryPause):
		}
	}
}
