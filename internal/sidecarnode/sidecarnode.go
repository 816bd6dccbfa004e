// Package sidecarnode runs a sidecar for stored jobs: it connects the decision core
// of package executor to the worker, the sessions with entries and the store.
package sidecarnode

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/teaseltide/teaseltide/internal/control"
	"github.com/teaseltide/teaseltide/internal/evacuation"
	"github.com/teaseltide/teaseltide/internal/executor"
	"github.com/teaseltide/teaseltide/internal/joblog"
	"github.com/teaseltide/teaseltide/internal/jobstore"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/peer"
	"github.com/teaseltide/teaseltide/internal/platform"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Settings configure a sidecar.
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
	// Start starts a run. After NotAfter it makes no call and returns StartRefused.
	Start(ctx context.Context, start executor.StartRun) executor.StartResult
	// Stop stops a run. A run that has ended is ignored. The error is ErrFenced if
	// the worker has seen a higher token.
	Stop(ctx context.Context, stop executor.StopRun) error
	// List lists the runs and renews the lease. It waits up to wait for a run to
	// end. The error is ErrFenced if the worker has seen a higher token, ErrNotSent
	// if the call certainly had no effect.
	List(ctx context.Context, request executor.ListRequest, wait clock.Millis) (executor.Listing, error)
}

// ErrFenced reports that the worker has seen a higher token.
var ErrFenced = errors.New("the worker has seen a higher token")

// ErrNotSent reports that a call was not sent, for example because the connection
// was refused.
var ErrNotSent = errors.New("the call was not sent")

// Deps are the dependencies of a sidecar.
type Deps struct {
	Worker    Worker
	Store     platform.Transactor
	Directory *platform.Directory
	// Evacuations holds the evacuated failure domains; it is nil if the installation does
	// not evacuate any.
	Evacuations *evacuation.Holder
	Clock       clock.Clock
	Log         *zap.Logger
	Frames      peer.FrameCounter
	// Jobs limits the lines about jobs; if nil, none are written.
	Jobs    *joblog.Logger
	Metrics *Metrics
	// Pauses records the pauses of the process; it may be nil.
	Pauses *control.Pauses
}

const (
	// tickInterval is the time between two ticks without an event, which bounds
	// how late a silent entry or a stalled run is noticed.
	tickInterval = 20 * time.Millisecond
	// stopTimeout bounds the wait for the answer to a stop. The core repeats a stop
	// after 150 ms, so at most one call for a run is in flight.
	stopTimeout = 140 * time.Millisecond
	// flushTimeout bounds the flush of sessions at exit, a few round trips.
	flushTimeout = 300 * time.Millisecond
	// listWait is how long a listing waits for a run to end. Each listing renews
	// the worker's lease, so several must fit into the longest lease.
	listWait = 100 * clock.Millis(1)
	// listTimeout bounds a listing. Ends are not observed until a lost listing
	// has timed out.
	listTimeout = 140 * time.Millisecond
	// lossyListWait and lossyListTimeout replace them while answers are being
	// lost: then both concurrent listings are often lost at once, and ends are not
	// observed until the first of them times out.
	lossyListWait    = 20 * clock.Millis(1)
	lossyListTimeout = 45 * time.Millisecond
	// lossyPeriod is how long listings are short and sent by two loops after one
	// has timed out: workers that lose answers do so for seconds.
	lossyPeriod = 5 * clock.Second
	// unreachableAfter is the time without an answer to a listing after which the
	// worker counts as unreachable and nothing is started. A broken connection
	// counts immediately.
	unreachableAfter = 400 * clock.Millis(1)
	// listAttempts bounds the attempts of a listing that resolves starts without
	// an answer.
	listAttempts = 3
	// listPause is the shortest time between two listings: while ends have not
	// been stored, the worker answers immediately.
	listPause = 6 * time.Millisecond
	// retryPause is the wait before a failed call is retried.
	retryPause = 100 * time.Millisecond
	// returnPause replaces retryPause for a listing that the worker refuses while a start
	// without an answer may be executed late. A worker that starts again executes such a start
	// until its first listing, so that listing must not be late. A refused connection to
	// the same machine costs some 0.1 ms.
	returnPause = 5 * time.Millisecond
	// storeRetryPause is the wait before a failed call to the store is retried. It is
	// short because entries place nothing on an unregistered worker.
	storeRetryPause = 200 * clock.Millis(1)
	// restoreRetryPause is the same for the read of the worker record at the start. A
	// registration that succeeds ends the wait, so that one call of each sidecar probes a
	// failing store.
	restoreRetryPause = 1 * clock.Second
	// lateStartPeriod is how long after its call a worker may execute a start without an
	// answer.
	lateStartPeriod = 12 * clock.Second
)

// Process is a running sidecar.
type Process struct {
	settings Settings
	deps     Deps
	core     *executor.Executor
	control  *control.Thread
	// drainDeadline is when a planned stop ends at the latest, 0 without one.
	drainDeadline clock.Millis
	sessions      map[ownership.Incarnation]*peer.Session
	node          *peer.Node
	// lastAnswerAt is when a listing was last answered, lastTimeoutAt when one last
	// timed out, in Unix ms.
	lastAnswerAt  atomic.Int64
	lastTimeoutAt atomic.Int64
	// lateStartsUntil is until when the worker may execute a start without an answer, in
	// Unix ms.
	lateStartsUntil atomic.Int64
	// startTimeout bounds the wait for the answer to a start.
	startTimeout startTimeout
	// storeRecovery wakes the calls to the store that wait for a retry.
	storeRecovery *platform.Recovery
	// workerUpdates holds the newest worker record that has yet to be stored.
	workerUpdates chan executor.Worker
}

// New returns a sidecar, which Run starts.
func New(s Settings, d Deps) *Process {
	p := &Process{
		settings: s, deps: d,
		// The token is the time of day, so that it grows from one incarnation to
		// the next. If the clock has jumped back, the worker refuses the token and
		// it is raised.
		core:          executor.New(int64(d.Clock.Now()), s.MaxLease),
		control:       control.New(d.Clock, d.Pauses),
		workerUpdates: make(chan executor.Worker, 1),
		storeRecovery: platform.NewRecovery(),
		sessions:      make(map[ownership.Incarnation]*peer.Session),
	}
	if d.Evacuations != nil {
		p.core.RequireEvacuations(s.Domain)
	}
	return p
}

// push hands an event to the control thread.
func (p *Process) push(e control.Event) { p.control.Push(e) }

// WorkerReported handles a report of the worker.
func (p *Process) WorkerReported(w executor.Worker) {
	p.push(func(now clock.Millis) { p.core.WorkerReported(now, w) })
}

// Run serves until ctx ends, then drains: it returns once all runs have ended or
// Settings.DrainTimeout is over.
func (p *Process) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	// The calls of an earlier sidecar are not known.
	p.lateStartsUntil.Store(int64(p.deps.Clock.Now() + lateStartPeriod))
	go p.listRepeatedly(work, func() bool { return true })
	go p.listRepeatedly(work, p.lossy)
	node, err := peer.New(p.settings.Peer, p.deps.Clock, local{p}, handler{p}, p.deps.Frames)
	if err != nil {
		return errors.WithStack(err)
	}
	p.node = node
	go p.register(work)
	go p.persistWorker(work)
	p.control.Run(ctx, tickInterval, p.beginDrain, p.tick)
	cancel()
	p.unregister()
	flush, done := context.WithTimeout(context.Background(), flushTimeout)
	defer done()
	node.Close(flush)
	return nil
}

// beginDrain begins a planned stop.
func (p *Process) beginDrain(now clock.Millis) {
	p.drainDeadline = now + p.settings.DrainTimeout
	p.core.Drain()
	p.deps.Log.Info("stopping", zap.Int("runs", p.core.ActiveRuns()))
}

// tick executes the commands of the core. It reports false when the planned stop
// is complete.
func (p *Process) tick(now clock.Millis) bool {
	p.deps.Jobs.ReportDropped(now)
	p.applyEvacuations()
	for _, c := range p.core.Tick(now) {
		p.execute(c)
	}
	if p.drainDeadline != 0 && (p.core.Idle() || now >= p.drainDeadline) {
		p.deps.Log.Info("stopped", zap.Int("runs", p.core.ActiveRuns()))
		return false
	}
	return true
}

func (p *Process) execute(c executor.Command) {
	switch c := c.(type) {
	case executor.StartRun:
		p.recordStart(c)
		go p.startRun(c)
	case executor.PersistWorker:
		p.queueWorkerUpdate(c.Worker)
	case executor.ListNow:
		go p.listNow()
	case executor.StopRun:
		p.recordStop(c)
		go p.stopRun(c)
	case executor.RunEnded:
		p.recordEnd(c)
	case executor.OrderRefused:
		p.recordRefusal(c)
	case executor.StartResolved:
		p.recordResolved(c)
	case executor.Report:
		p.send(c.Entry, wire.Wrap(c.Report))
	case executor.LeaseExpiring:
		p.deps.Log.Warn("lease left to lapse", zap.String("entry", string(c.Entry)), zap.Int64("granted-until-ms", int64(c.GrantEndedAt)), runField(c.Run))
	case executor.ReadingEnds:
		p.deps.Log.Info("ends of the worker unread", zap.Bool("unread", c.Unread))
	case executor.LifecycleAnnounced:
		p.deps.Log.Info("worker announcement changed", zap.Int64("warmup-left-ms", int64(c.WarmupLeft)), zap.Int64("remaining-ms", int64(c.Remaining)))
	case executor.InterferenceChanged:
		p.recordInterference(c)
	case executor.WorkerReplaced:
		p.deps.Log.Warn("worker replaced", zap.String("worker", c.Worker.ID), zap.Int64("born-ms", c.Worker.Incarnation), zap.Int("runs", c.Runs))
	}
}

// startRun calls the worker and reports the result, at the latest after startTimeout. The
// call itself goes on for a while, so that a merely slow answer keeps its connection and is
// learned from.
func (p *Process) startRun(c executor.StartRun) {
	answered := make(chan executor.StartResult, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), abandonTimeout)
		defer cancel()
		sentAt := time.Now()
		result := p.deps.Worker.Start(ctx, c)
		if result == executor.StartAccepted {
			p.startTimeout.RecordAnswer(time.Since(sentAt))
		}
		answered <- result
	}()
	result := executor.StartUnknown
	timer := time.NewTimer(p.startTimeout.Current())
	defer timer.Stop()
	select {
	case result = <-answered:
	case <-timer.C:
	}
	if result == executor.StartUnknown {
		p.startTimeout.RecordTimeout()
		p.lateStartsUntil.Store(int64(p.deps.Clock.Now() + lateStartPeriod))
	}
	if result != executor.StartAccepted {
		late := max(p.deps.Clock.Now()-c.NotAfter, 0)
		if log := p.deps.Jobs.Trouble(); log != nil {
			log.Info("start not accepted", runField(c.Run), entryField(c.Entry), zap.Int("result", int(result)), zap.Int64("token", c.Token), zap.Int64("late-ms", int64(late)))
		}
	}
	p.push(func(now clock.Millis) { p.core.StartAnswered(now, c.Run, c.Token, result) })
}

// stopRun calls the worker once; the core repeats a stop that had no effect. The
// worker ignores a stop of a run that has ended.
func (p *Process) stopRun(c executor.StopRun) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err := p.deps.Worker.Stop(ctx, c)
	if err == nil {
		return
	}
	if log := p.deps.Jobs.Trouble(); log != nil {
		log.Info("stop not acknowledged", runField(c.Run), entryField(c.Entry), zap.Int64("token", c.Token), zap.Error(err))
	}
	if errors.Is(err, ErrFenced) {
		p.push(func(clock.Millis) { p.core.StopFenced(c.Run, c.Token) })
	}
}

// send sends a message to an entry. If it cannot be queued, the session is closed, since
// the entry relies on receiving every report of a session.
func (p *Process) send(entry ownership.Incarnation, e *wire.Envelope) {
	s := p.sessions[entry]
	if s == nil {
		return
	}
	if err := s.Send(e); err != nil {
		p.deps.Log.Warn("message not queued, closing the session", zap.String("entry", string(entry)), zap.Error(err))
		s.Close()
	}
}

// listRepeatedly lists the worker's runs, which renews its lease, until ctx ends;
// it pauses while enabled returns false. A second loop runs concurrently while
// answers are being lost, so that ends are observed in time.
func (p *Process) listRepeatedly(ctx context.Context, enabled func() bool) {
	reachable := true
	for ctx.Err() == nil {
		if !enabled() {
			time.Sleep(retryPause)
			continue
		}
		request, ok := p.listRequest()
		if !ok {
			return
		}
		wait, timeout := listWait, listTimeout
		if p.lossy() {
			wait, timeout = lossyListWait, lossyListTimeout
		}
		err := p.listOnce(ctx, request, wait, timeout)
		if (err == nil) != reachable {
			reachable = err == nil
			p.deps.Log.Info("worker reachability changed", zap.Bool("reachable", reachable), zap.Error(err))
		}
		time.Sleep(p.pauseAfter(err))
	}
}

// pauseAfter returns the time between a listing with this result and the next one.
func (p *Process) pauseAfter(err error) time.Duration {
	switch {
	case err == nil, errors.Is(err, context.DeadlineExceeded):
		return listPause
	case errors.Is(err, ErrNotSent) && p.deps.Clock.Now() < clock.Millis(p.lateStartsUntil.Load()):
		return returnPause
	}
	return retryPause
}

// lossy reports whether a listing has timed out within the last lossyPeriod.
func (p *Process) lossy() bool {
	return p.deps.Clock.Now() < clock.Millis(p.lastTimeoutAt.Load())+lossyPeriod
}

// listNow lists the worker's runs without waiting for an end, which resolves starts
// without an answer.
func (p *Process) listNow() {
	for range listAttempts {
		request, ok := p.listRequest()
		if !ok {
			return
		}
		err := p.listOnce(context.Background(), request, 0, lossyListTimeout)
		if err == nil {
			return
		}
		p.deps.Log.Info("listing to resolve starts failed", zap.Error(err))
	}
}

func (p *Process) listRequest() (executor.ListRequest, bool) {
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
		p.lastAnswerAt.Store(int64(p.deps.Clock.Now()))
		listing.RequestedAt = request.RequestedAt
		p.push(func(now clock.Millis) { p.core.RunsListed(now, listing) })
	case errors.Is(err, ErrFenced):
		p.push(func(clock.Millis) { p.core.TokenRefused(request.Token) })
	case errors.Is(err, context.DeadlineExceeded):
		now := p.deps.Clock.Now()
		p.lastTimeoutAt.Store(int64(now))
		if now-clock.Millis(p.lastAnswerAt.Load()) >= unreachableAfter {
			p.push(func(now clock.Millis) { p.core.WorkerTimedOut(now) })
		}
	case errors.Is(err, ErrNotSent):
		p.push(func(now clock.Millis) {
			p.core.ListingNotSent(request)
			p.core.WorkerUnreachable(now)
		})
	default:
		p.push(func(now clock.Millis) { p.core.WorkerUnreachable(now) })
	}
	return err
}

// register registers the sidecar and then reads the deposed entries. An entry that
// takes over writes its deposition first and reads the sidecars afterwards, so at
// least one of the two learns of the other. Registrations of earlier incarnations
// at this address are deleted afterwards.
func (p *Process) register(ctx context.Context) {
	own := platform.SidecarRegistration{Sidecar: p.settings.Incarnation, Domain: p.settings.Domain, Address: p.settings.Address}
	p.retry(ctx, "register", storeRetryPause, func(ctx context.Context) error { return p.deps.Directory.RegisterSidecar(ctx, own) })
	p.retry(ctx, "read deposed entries", storeRetryPause, func(ctx context.Context) error {
		listing, err := p.deps.Store.Range(ctx, platform.Prefix(p.settings.Keys.DeposedPrefix()), 0)
		if err != nil {
			return err
		}
		fences, unreadable := p.settings.Keys.DecodeDeposed(listing.KeyValues)
		for _, v := range unreadable {
			p.deps.Log.Warn("mark of a deposed entry not readable", zap.Error(v.Err))
		}
		p.push(func(now clock.Millis) { p.core.FencesLoaded(now, fences) })
		return nil
	})
	p.retry(ctx, "delete earlier registrations", storeRetryPause, func(ctx context.Context) error {
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

// unregister deletes the sidecar's registration in a planned stop, unless its worker holds
// something: a takeover waits for all registered sidecars, for as long as the grants of
// their runs last if they are silent.
func (p *Process) unregister() {
	if !p.core.HoldsNothing() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := p.deps.Directory.DeleteSidecar(ctx, p.settings.Incarnation); err != nil {
		p.deps.Log.Info("registration not deleted", zap.Error(err))
	}
}

// retry repeats a store call until it succeeds or ctx ends. After a failure it waits for
// pause or until another call of this process has succeeded again.
func (p *Process) retry(ctx context.Context, what string, pause clock.Millis, f func(context.Context) error) {
	failing := false
	for ctx.Err() == nil {
		err := f(ctx)
		if err == nil {
			if failing {
				p.storeRecovery.Announce()
			}
			return
		}
		if !failing {
			failing = true
			p.deps.Log.Warn("store call failed, repeating it", zap.String("call", what), zap.Error(err))
		}
		p.storeRecovery.Wait(ctx, pause.Duration())
	}
}
