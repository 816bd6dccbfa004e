// Package entrynode runs an entry for stored jobs: it connects the decisions of
// package scheduler with the callers, the sessions with other processes and the
// store.
package entrynode

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/control"
	"github.com/teaseltide/teaseltide/internal/evacuation"
	"github.com/teaseltide/teaseltide/internal/joblog"
	"github.com/teaseltide/teaseltide/internal/jobstore"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/peer"
	"github.com/teaseltide/teaseltide/internal/platform"
	"github.com/teaseltide/teaseltide/internal/routing"
	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Settings configure an entry.
type Settings struct {
	Incarnation ownership.Incarnation
	Domain      ownership.Domain
	// Address is the ip:port that other entries dial.
	Address string
	Peer    peer.Config
	Keys    jobstore.Keys
	// WritesPerSecond is the store's write rate, shared by all entries.
	WritesPerSecond float64
	// MaxTxnOperations bounds the operations of a store transaction.
	MaxTxnOperations int
	// EndedRetention is how long the end of a job is retained.
	EndedRetention clock.Millis
	// AcceptGrace is how long all jobs are accepted after a planned stop began: the
	// balancer needs some time to route callers to other entries. DrainTimeout
	// bounds the wait for open jobs from the same time; jobs that will have ended
	// by then are accepted until callers send no more requests.
	AcceptGrace  clock.Millis
	DrainTimeout clock.Millis
	Scheduler    scheduler.Settings
}

// Deps are the dependencies of an entry.
type Deps struct {
	Store     platform.Transactor
	Directory *platform.Directory
	// StoreHealth gets the results of the calls to Store and Directory.
	StoreHealth *StoreHealth
	Routes      *routing.ActiveTable
	// Evacuations holds the evacuated failure domains; it is nil if the installation does
	// not evacuate any.
	Evacuations *evacuation.Holder
	// DecodeTable decodes a configuration received from another process.
	DecodeTable func([]byte) (*routing.Table, error)
	Clock       clock.Clock
	Log         *zap.Logger
	Frames      peer.FrameCounter
	Metrics     *Metrics
	// Jobs limits the lines about jobs; if nil, none are written.
	Jobs *joblog.Logger
	// Pauses records the pauses of the process; it may be nil.
	Pauses *control.Pauses
	// Quiesce, if not nil, waits until callers send no more requests. It is called
	// in a planned stop once no job is open or DrainTimeout has passed; meanwhile
	// new requests are refused.
	Quiesce func()
}

const (
	// tickInterval is the time between two ticks in the absence of events.
	tickInterval = 10 * time.Millisecond
	// listingInterval is the longest time between two listings of the open jobs: a
	// write of an entry that has ended may take effect seconds after its end.
	listingInterval = 10 * time.Second
	// writeRateShare is the fraction of the store's write rate that the entries
	// use.
	writeRateShare = 0.8
	// minCommitInterval is the shortest time between commits, so that concurrent
	// writes share a transaction.
	minCommitInterval = 3 * clock.Millis(1)
)

// ErrDeposed means that another entry has taken over the jobs of this one.
var ErrDeposed = errors.New("deposed by another entry")

// Process is a running entry.
type Process struct {
	settings  Settings
	deps      Deps
	core      *scheduler.Scheduler
	committer *jobstore.Committer
	control   *control.Thread
	// acceptUntil is when a planned stop begins to refuse jobs that may not end in
	// time, 0 without one.
	// pendingDrainDeadline is drainDeadline until the drain has ended, else 0.
	acceptUntil, pendingDrainDeadline clock.Millis
	// drainDeadline is when a planned stop no longer waits for open jobs.
	drainDeadline clock.Millis
	deposed       atomic.Bool
	draining      atomic.Bool
	node          *peer.Node
	sidecars      *peer.Pool
	entries       *peer.Pool
	// addresses maps the incarnation of each registered sidecar to its address.
	addresses sync.Map
	requests  requests
	// explaining holds a value while an explanation waits for the control thread.
	explaining chan struct{}
	// dialTargets maps the entries that this one dials to the time at which each
	// was last listed. Only handleEntries uses it.
	dialTargets map[peer.Target]clock.Millis
	// entrySessions and sidecarSessions belong to the control thread.
	entrySessions   map[ownership.Incarnation]*peer.Session
	sidecarSessions map[ownership.Incarnation]*peer.Session
	ctx             context.Context
	storeFailing    bool
	evacuations     evacuations
	// callerFoundGone is true if a caller was found to have left in this turn of the
	// control thread.
	callerFoundGone bool
	// unreadableJobs and unreadableMarks hold the records of open jobs and the marks
	// of deposed entries that were logged as unreadable.
	unreadableJobs, unreadableMarks platform.UnreadableValues
	// listingRequests requests a listing of the open jobs.
	listingRequests chan struct{}
	// quiesced is closed when callers send no more requests in a planned stop.
	quiesced chan struct{}
}

// New returns an entry, to be started by Run.
func New(s Settings, d Deps) *Process {
	p := &Process{
		settings: s, deps: d,
		core:            scheduler.New(s.Scheduler),
		control:         control.New(d.Clock, d.Pauses),
		dialTargets:     make(map[peer.Target]clock.Millis),
		listingRequests: make(chan struct{}, 1),
		quiesced:        make(chan struct{}),
		explaining:      make(chan struct{}, 1),
		entrySessions:   make(map[ownership.Incarnation]*peer.Session),
		sidecarSessions: make(map[ownership.Incarnation]*peer.Session),
		evacuations:     evacuations{peers: make(map[ownership.Incarnation]*evacuation.Peer)},
	}
	// A new incarnation cannot have been deposed yet.
	p.core.RecordStoreContact(d.Clock.Now())
	p.committer = jobstore.NewCommitter(d.Store, jobstore.Settings{
		Keys: s.Keys, Self: s.Incarnation, Interval: minCommitInterval, MaxTxnOperations: s.MaxTxnOperations,
	}, d.Clock, p.handleSaveResults, func() { p.deposed.Store(true) })
	return p
}

// push queues an event for the control thread.
func (p *Process) push(e control.Event) { p.control.Push(e) }

// Run serves until the planned stop that the end of ctx begins is complete, or
// until the entry is deposed; then it returns ErrDeposed.
func (p *Process) Run(ctx context.Context) error {
	workCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer p.requests.close()
	p.ctx = workCtx
	node, err := peer.New(p.settings.Peer, p.deps.Clock, localPeer{p}, sessionHandler{p, entryPeer}, p.deps.Frames)
	if err != nil {
		return errors.WithStack(err)
	}
	p.node = node
	p.sidecars = node.NewPool(sessionHandler{p, sidecarPeer})
	p.entries = node.NewPool(sessionHandler{p, entryPeer})
	p.startWatches(workCtx)
	go p.committer.Run(workCtx)
	p.control.Run(ctx, tickInterval, p.beginDrain, p.tick)
	p.requests.close()
	cancel()
	p.sidecars.Close()
	p.entries.Close()
	flushCtx, cancelFlush := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancelFlush()
	node.Close(flushCtx)
	if p.deposed.Load() {
		return ErrDeposed
	}
	return nil
}

// beginDrain begins a planned stop.
func (p *Process) beginDrain(now clock.Millis) {
	p.acceptUntil = now + p.settings.AcceptGrace
	p.pendingDrainDeadline = now + p.settings.DrainTimeout
	p.drainDeadline = p.pendingDrainDeadline
	p.draining.Store(true)
	p.deps.Log.Info("stopping", zap.Int("open-jobs", p.core.OpenJobs()))
}

// tick executes the commands of the core and reports whether the process
// continues to run.
func (p *Process) tick(now clock.Millis) bool {
	p.deps.Jobs.ReportDropped(now)
	p.updateStoreState(now)
	p.applyEvacuations()
	p.runCore(now)
	if p.callerFoundGone {
		// The stops of its runs must not wait for the next turn.
		p.callerFoundGone = false
		p.runCore(now)
	}
	p.deps.Metrics.addCounters(p.core.Counters(), p.core.OpenJobs(), p.core.OthersQueuedWork())
	if p.deposed.Load() {
		p.deps.Log.Warn("deposed by another entry", zap.Int("open-jobs", p.core.OpenJobs()))
		return false
	}
	if p.acceptUntil != 0 && now >= p.acceptUntil {
		p.core.Drain(p.drainDeadline)
	}
	if p.pendingDrainDeadline != 0 && (now >= p.acceptUntil && p.core.OpenJobs() == 0 || now >= p.pendingDrainDeadline) {
		p.pendingDrainDeadline = 0
		p.deps.Log.Info("drain ended, waiting for callers", zap.Int("open-jobs", p.core.OpenJobs()))
		go p.quiesce()
	}
	select {
	case <-p.quiesced:
		return false
	default:
		return true
	}
}

func (p *Process) runCore(now clock.Millis) {
	for _, c := range p.core.Tick(now) {
		p.execute(c)
	}
}

func (p *Process) quiesce() {
	if p.deps.Quiesce != nil {
		p.deps.Quiesce()
	}
	close(p.quiesced)
}

// updateStoreState passes the state of the store to the core.
func (p *Process) updateStoreState(now clock.Millis) {
	failing := p.deps.StoreHealth.Failing(now)
	if failing != p.storeFailing {
		p.storeFailing = failing
		p.deps.Log.Warn("store state changed", zap.Bool("failing", failing))
	}
	p.core.SetStoreFailing(now, failing)
	p.core.RecordStoreContact(p.deps.StoreHealth.LastRenewal())
}

// Ready reports whether the entry should get new connections. Best-effort jobs
// need no store, so an outage of the store does not make it unready.
func (p *Process) Ready() bool {
	return !p.draining.Load() && p.deps.Routes.Current() != nil
}

func (p *Process) execute(c scheduler.Command) {
	switch c := c.(type) {
	case scheduler.SendOrders:
		p.sendOrders(c)
	case scheduler.SendJobLeases:
		p.sendToSidecar(c.Sidecar, wire.Wrap(c.Requests))
	case scheduler.Reply:
		p.requests.deliver(c)
	case scheduler.CheckCaller:
		p.checkCaller(c)
	case scheduler.Save:
		p.committer.Enqueue(c)
	case scheduler.Lookup:
		go p.lookUpRuns(c)
	case scheduler.BroadcastNote:
		p.broadcast(c.Note)
	case scheduler.ListOpenJobs:
		select {
		case p.listingRequests <- struct{}{}:
		default:
		}
	case scheduler.Depose:
		go p.depose(c.Entry)
	case scheduler.Recover:
		go p.recover(c.Entry)
	case scheduler.Decision:
		p.recordDecision(c)
	}
}

// handleSaveResults passes the results of writes to the core.
func (p *Process) handleSaveResults(results []jobstore.Result) {
	p.push(func(now clock.Millis) {
		for _, r := range results {
			p.core.HandleSaveResult(now, r.ID, r.Kind, r.Outcome, r.StoredRevision)
		}
	})
}

// lookUpRuns looks up the jobs of a sidecar's runs in the store and releases the
// runs whose jobs are no longer open.
func (p *Process) lookUpRuns(c scheduler.Lookup) {
	isOpen := p.openJobsAmong(c.Runs)
	var closed, unresolved []batch.RunID
	for _, id := range c.Runs {
		if isOpen[id.Job] {
			unresolved = append(unresolved, id)
		} else {
			closed = append(closed, id)
		}
	}
	if address, ok := p.addresses.Load(c.Sidecar); ok {
		p.push(func(now clock.Millis) {
			p.core.ReleaseRuns(address.(scheduler.Address), closed)
			p.core.RecordUnresolvedRuns(now, address.(scheduler.Address), unresolved)
		})
	}
}

// maxSingleLookups is the number of jobs up to which each is read from the store. For
// more, one listing of the open jobs costs less: after the loss of all entries and
// sidecars, all runs of best-effort jobs are unclaimed.
const maxSingleLookups = 4

// openJobsAmong returns which jobs of some runs are open in the store. A job of which the
// read fails counts as open.
func (p *Process) openJobsAmong(runs []batch.RunID) map[batch.JobID]bool {
	isOpen := make(map[batch.JobID]bool)
	for _, id := range runs {
		isOpen[id.Job] = true
	}
	if len(isOpen) > maxSingleLookups {
		open, err := jobstore.ListOpen(p.ctx, p.deps.Store, p.settings.Keys)
		if err != nil {
			p.deps.Log.Info("listing open jobs failed", zap.Error(err))
			return isOpen
		}
		clear(isOpen)
		for _, o := range open.Jobs {
			isOpen[o.ID] = true
		}
		for _, id := range open.Malformed {
			isOpen[id] = true
		}
		return isOpen
	}
	for id := range isOpen {
		state, _, err := jobstore.ReadState(p.ctx, p.deps.Store, p.settings.Keys, id)
		if err != nil {
			p.deps.Log.Info("job lookup failed", zap.String("job", string(id)), zap.Error(err))
		}
		isOpen[id] = err != nil || state == batch.Active
	}
	return isOpen
}
