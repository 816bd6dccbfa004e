// Package entrynode runs an entry for stored jobs: it joins the decisions of
// package scheduler with callers, the sessions with other processes and the
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
	"github.com/teaseltide/teaseltide/internal/jobstore"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/peer"
	"github.com/teaseltide/teaseltide/internal/platform"
	"github.com/teaseltide/teaseltide/internal/routing"
	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Settings of an entry.
type Settings struct {
	Incarnation ownership.Incarnation
	Domain      ownership.Domain
	// Address is the ip:port that other entries dial.
	Address string
	Peer    peer.Config
	Keys    jobstore.Keys
	// WritesPerSecond is the store's rate for all entries.
	WritesPerSecond float64
	// MaxEntries bounds the entries of a transaction.
	MaxEntries int
	// KeepEnded is how long the end of a job is remembered.
	KeepEnded clock.Millis
	// AcceptTime is how long all jobs are accepted after a planned stop began: the
	// balancer needs some time to send callers elsewhere. DrainTimeout bounds the
	// wait for open jobs from the same moment; jobs that will have ended by then
	// are accepted until callers are quiet.
	AcceptTime   clock.Millis
	DrainTimeout clock.Millis
	Scheduler    scheduler.Settings
}

// Deps are what an entry works with.
type Deps struct {
	Store     platform.Transactor
	Directory *platform.Directory
	// Contact tells the state of the store's calls.
	Contact *Contact
	Routes  *routing.ActiveTable
	// Decode decodes a configuration that another process hands on.
	Decode  func([]byte) (*routing.Table, error)
	Clock   clock.Clock
	Log     *zap.Logger
	Frames  peer.FrameCounter
	Metrics *Metrics
	// Quiesce, if not nil, waits until callers send no more requests, which are
	// refused meanwhile. It is called once no job is open at a planned stop.
	Quiesce func()
}

const (
	// tickInterval is the time between two ticks without an event.
	tickInterval = 10 * time.Millisecond
	// ownersInterval is the time between two looks for open jobs of entries that
	// are gone: a write of such an entry may take effect seconds after its end.
	ownersInterval = 10 * time.Second
	// writeShare is the part of the store's write rate that the entries use.
	writeShare = 0.8
	// minCommitInterval groups writes that come together.
	minCommitInterval = 3 * clock.Millis(1)
)

// ErrDeposed tells that another entry has taken over the jobs of this one.
var ErrDeposed = errors.New("deposed by another entry")

// Process is a running entry.
type Process struct {
	settings  Settings
	deps      Deps
	core      *scheduler.Scheduler
	committer *jobstore.Committer
	control   *control.Thread
	// refuseAt and leaveBy are the times of a planned stop, 0 without one.
	refuseAt, leaveBy clock.Millis
	// drainBy is leaveBy, kept once the stop has begun.
	drainBy  clock.Millis
	deposed  atomic.Bool
	draining atomic.Bool
	node     *peer.Node
	sidecars *peer.Pool
	entries  *peer.Pool
	// addresses names the address of each registered sidecar.
	addresses sync.Map
	requests  requests
	// dialled holds the entries that this one dials and when each was last
	// registered; the watch of the entries uses it.
	dialled map[peer.Target]clock.Millis
	// entrySessions and sidecarSessions are used by the control thread.
	entrySessions   map[ownership.Incarnation]*peer.Session
	sidecarSessions map[ownership.Incarnation]*peer.Session
	work            context.Context
	failing         bool
	// scan asks for a look at the owners of open jobs.
	scan chan struct{}
	// quiet closes when callers send no more requests at a planned stop.
	quiet chan struct{}
}

// New returns an entry that Run starts.
func New(s Settings, d Deps) *Process {
	p := &Process{
		settings: s, deps: d,
		core:            scheduler.New(s.Scheduler),
		control:         control.New(d.Clock),
		dialled:         make(map[peer.Target]clock.Millis),
		scan:            make(chan struct{}, 1),
		quiet:           make(chan struct{}),
		entrySessions:   make(map[ownership.Incarnation]*peer.Session),
		sidecarSessions: make(map[ownership.Incarnation]*peer.Session),
	}
	// Nobody can have deposed an incarnation that begins.
	p.core.RecordStoreContact(d.Clock.Now())
	p.committer = jobstore.NewCommitter(d.Store, jobstore.Settings{
		Keys: s.Keys, Self: s.Incarnation, Interval: minCommitInterval, MaxTxnOperations: s.MaxEntries,
	}, d.Clock, p.saved, func() { p.deposed.Store(true) })
	return p
}

// push hands an event to the control thread.
func (p *Process) push(e control.Event) { p.control.Push(e) }

// Run serves until ctx ends and the open jobs have ended, or until the entry is
// deposed: then it returns ErrDeposed.
func (p *Process) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer p.requests.close()
	p.work = work
	node, err := peer.New(p.settings.Peer, p.deps.Clock, local{p}, handler{p, entryPeer}, p.deps.Frames)
	if err != nil {
		return errors.WithStack(err)
	}
	p.node = node
	p.sidecars = node.NewPool(handler{p, sidecarPeer})
	p.entries = node.NewPool(handler{p, entryPeer})
	p.startWatches(work)
	go p.committer.Run(work)
	p.control.Run(ctx, tickInterval, p.leave, p.tick)
	p.requests.close()
	cancel()
	p.sidecars.Close()
	p.entries.Close()
	flush, done := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer done()
	node.Close(flush)
	if p.deposed.Load() {
		return ErrDeposed
	}
	return nil
}

// leave begins a planned stop.
func (p *Process) leave(now clock.Millis) {
	p.refuseAt = now + p.settings.AcceptTime
	p.leaveBy = now + p.settings.DrainTimeout
	p.drainBy = p.leaveBy
	p.draining.Store(true)
	p.deps.Log.Info("stopping", zap.Int("open-jobs", p.core.OpenJobs()))
}

// tick lets the core act and reports whether the process goes on.
func (p *Process) tick(now clock.Millis) bool {
	p.observeStore(now)
	for _, c := range p.core.Tick(now) {
		p.execute(c)
	}
	p.deps.Metrics.observe(p.core.Counters(), p.core.OpenJobs())
	if p.deposed.Load() {
		p.deps.Log.Warn("deposed", zap.Int("open-jobs", p.core.OpenJobs()))
		return false
	}
	if p.refuseAt != 0 && now >= p.refuseAt {
		p.core.Drain(p.drainBy)
	}
	if p.leaveBy != 0 && (now >= p.refuseAt && p.core.OpenJobs() == 0 || now >= p.leaveBy) {
		p.leaveBy = 0
		p.deps.Log.Info("stopped", zap.Int("open-jobs", p.core.OpenJobs()))
		go p.quiesce()
	}
	select {
	case <-p.quiet:
		return false
	default:
		return true
	}
}

func (p *Process) quiesce() {
	if p.deps.Quiesce != nil {
		p.deps.Quiesce()
	}
	close(p.quiet)
}

// observeStore hands the state of the store's calls to the core.
func (p *Process) observeStore(now clock.Millis) {
	failing := p.deps.Contact.Failing(now)
	if failing != p.failing {
		p.failing = failing
		p.deps.Log.Warn("store", zap.Bool("failing", failing))
	}
	p.core.SetStoreFailing(now, failing)
	p.core.RecordStoreContact(p.deps.Contact.Alive())
}

// Ready reports whether the entry should get new connections. Best-effort jobs
// need no store, so an outage is no reason to send callers elsewhere.
func (p *Process) Ready() bool {
	return !p.draining.Load() && p.deps.Routes.Current() != nil
}

func (p *Process) execute(c scheduler.Command) {
	switch c := c.(type) {
	case scheduler.SendOrders:
		p.sendOrders(c)
	case scheduler.Reply:
		p.requests.answer(c)
	case scheduler.Save:
		p.committer.Enqueue(c)
	case scheduler.Lookup:
		go p.lookup(c)
	case scheduler.BroadcastNote:
		p.broadcast(c.Note)
	case scheduler.ScanOwners:
		select {
		case p.scan <- struct{}{}:
		default:
		}
	case scheduler.Depose:
		go p.depose(c.Entry)
	case scheduler.Decision:
		if c.Summary == scheduler.JobEnded {
			p.deps.Metrics.ended(c.Reason, clock.Millis(c.Value))
		}
		p.deps.Log.Info(c.Summary, zap.String("job", string(c.Job)), zap.String("reason", c.Reason), zap.Int64("value", c.Value),
			zap.String("sidecar", string(c.Sidecar)), zap.Uint32("step", c.Run.Step), zap.Uint32("index", c.Run.Index), zap.Int64("attempt", int64(c.Run.Attempt)))
	}
}

// saved takes results of writes.
func (p *Process) saved(results []jobstore.Result) {
	p.push(func(now clock.Millis) {
		for _, r := range results {
			p.core.HandleSaveResult(now, r.ID, r.Kind, r.Outcome, r.StoredRevision)
		}
	})
}

// lookup finds out which jobs of runs are not open any more.
func (p *Process) lookup(c scheduler.Lookup) {
	open := make(map[batch.JobID]bool)
	var over []batch.RunID
	for _, id := range c.Runs {
		isOpen, known := open[id.Job]
		if !known {
			state, _, err := jobstore.ReadState(p.work, p.deps.Store, p.settings.Keys, id.Job)
			if err != nil {
				p.deps.Log.Info("look up job", zap.String("job", string(id.Job)), zap.Error(err))
				return
			}
			isOpen = state == batch.Active
			open[id.Job] = isOpen
		}
		if !isOpen {
			over = append(over, id)
		}
	}
	if address, ok := p.addresses.Load(c.Sidecar); ok && len(over) > 0 {
		p.push(func(clock.Millis) { p.core.ReleaseRuns(address.(scheduler.Address), over) })
	}
}
