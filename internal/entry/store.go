package entry

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"github.com/teaseltide/teaseltide/internal/dispatch"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/peer"
	"github.com/teaseltide/teaseltide/internal/platform"
)

// Store is what an entry needs of the store; platform.Directory implements it.
// The functions that follow the store call back from one goroutine each and
// return when ctx ends.
type Store interface {
	KeepEntry(ctx context.Context, e platform.EntryRegistration, registered func(bool))
	WatchRecord(ctx context.Context, deliver func(ownership.Record))
	WatchEntries(ctx context.Context, deliver func([]platform.EntryRegistration))
	WatchSidecars(ctx context.Context, deliver func(platform.SidecarListing))
	WatchText(ctx context.Context, deliver func(platform.Text))
	ReadRecord(ctx context.Context) (ownership.Record, error)
	// WriteRecord returns an error unless the write is proven to be in effect.
	WriteRecord(ctx context.Context, record ownership.Record) (ownership.Record, error)
	ListSidecars(ctx context.Context) (platform.SidecarListing, error)
	DeleteSidecar(ctx context.Context, sidecar ownership.Incarnation) error
}

const (
	// storeRetryMin and storeRetryMost bound the wait after a failed call.
	storeRetryMin  = 100 * time.Millisecond
	storeRetryMost = 2 * time.Second
	// deleteAttempts bounds the attempts to delete one registration. The core
	// asks again if the registration stays.
	deleteAttempts = 5
	// deleteQueue is the number of deletions that may wait.
	deleteQueue = 1024
)

// follow starts the goroutines that call the store.
func (p *Process) follow(ctx context.Context) {
	s := p.deps.Store
	self := platform.EntryRegistration{
		Incarnation: p.settings.Incarnation,
		Domain:      p.settings.Domain,
		PeerAddress: p.settings.PeersAddress,
	}
	p.running.Go(func() { p.keepRegistered(ctx, self) })
	p.running.Go(func() { s.WatchRecord(ctx, p.recordSeen) })
	p.running.Go(func() { s.WatchEntries(ctx, p.entriesSeen) })
	p.running.Go(func() { s.WatchSidecars(ctx, func(all platform.SidecarListing) { p.sidecarsSeen(all, 0) }) })
	p.running.Go(func() { s.WatchText(ctx, p.text.seen) })
	p.running.Go(func() { p.listSidecars(ctx) })
	p.running.Go(func() { eachOf(ctx, p.deletes, p.deleteSidecar) })
}

// registered is told whether this entry's lease holds, which shows whether the
// store answers.
func (p *Process) registered(up bool) {
	p.deps.Log.Info("registration", zap.Bool("holds", up))
	p.loop.pushCore(dispatch.StoreState{Up: up})
}

func (p *Process) recordSeen(r ownership.Record) {
	p.loop.pushCore(dispatch.RecordRead{Record: r})
}

// entriesSeen dials the entries with a lower name; the others dial this one.
func (p *Process) entriesSeen(all []platform.EntryRegistration) {
	members := make([]ownership.Member, 0, len(all))
	var targets []peer.Target
	for _, e := range all {
		members = append(members, ownership.Member{Incarnation: e.Incarnation, Domain: e.Domain})
		if e.Incarnation < p.settings.Incarnation {
			targets = append(targets, peer.Target{Incarnation: e.Incarnation, Address: e.PeerAddress})
		}
	}
	p.dialEntries(targets)
	p.loop.pushCore(dispatch.MembersChanged{Members: members})
}

func (p *Process) sidecarsSeen(all platform.SidecarListing, recordRevision int64) {
	registrations := make([]dispatch.Registration, 0, len(all.Registrations))
	targets := make([]peer.Target, 0, len(all.Registrations))
	for _, r := range all.Registrations {
		registrations = append(registrations, dispatch.Registration(r))
		targets = append(targets, peer.Target{Incarnation: r.Sidecar, Address: r.Address})
	}
	p.dialSidecars(int64(all.Revision), targets)
	p.loop.pushCore(dispatch.RegistrationsListed{
		RecordRevision: recordRevision, Revision: int64(all.Revision), Registrations: registrations,
	})
}

// writeRecord writes a record once; the core waits for the outcome before it
// asks again. The core never hears of an effect that is not proven.
func (p *Process) writeRecord(ctx context.Context, r ownership.Record) {
	written, err := p.deps.Store.WriteRecord(ctx, r)
	if err == nil {
		p.deps.Log.Info("ownership record written", zap.Int64("revision", written.Revision))
		p.recordSeen(written)
		return
	}
	p.deps.Log.Info("ownership record not written", zap.Error(err))
	if present, readErr := p.deps.Store.ReadRecord(ctx); readErr == nil {
		p.recordSeen(present)
	}
	p.loop.pushCore(dispatch.RecordWriteFailed{})
}

// requestList is called by the control thread. Only the newest revision
// matters, because a list answers all requests made before it was read.
func (p *Process) requestList(recordRevision int64) {
	select {
	case <-p.lists:
	default:
	}
	p.lists <- recordRevision
}

// listSidecars answers the requests for lists one after another, each by a call
// that begins after the record of its revision was known, and repeats the call
// through an outage of the store.
func (p *Process) listSidecars(ctx context.Context) {
	eachOf(ctx, p.lists, p.listUntilRead)
}

// eachOf handles what arrives on a channel, one after another, until ctx ends.
func eachOf[T any](ctx context.Context, arrivals <-chan T, handle func(context.Context, T)) {
	for {
		select {
		case <-ctx.Done():
			return
		case item := <-arrivals:
			handle(ctx, item)
		}
	}
}

func (p *Process) listUntilRead(ctx context.Context, revision int64) {
	wait := newRetry()
	for failures := 0; ctx.Err() == nil; failures++ {
		select {
		case revision = <-p.lists:
		default:
		}
		all, err := p.deps.Store.ListSidecars(ctx)
		if err == nil {
			p.sidecarsSeen(all, revision)
			return
		}
		if failures == 0 {
			p.deps.Log.Warn("registrations not listed, repeating the call", zap.Error(err))
		}
		sleep(ctx, wait.NextBackOff())
	}
}

// requestDelete is called by the control thread and must not wait. Beyond the
// queue a request is dropped; the core asks again.
func (p *Process) requestDelete(id ownership.Incarnation) {
	select {
	case p.deletes <- id:
	default:
	}
}

func (p *Process) deleteSidecar(ctx context.Context, id ownership.Incarnation) {
	wait := newRetry()
	var err error
	for range deleteAttempts {
		if err = p.deps.Store.DeleteSidecar(ctx, id); err == nil {
			p.deps.Log.Info("registration of a dead sidecar deleted", zap.String("sidecar", string(id)))
			return
		}
		sleep(ctx, wait.NextBackOff())
	}
	p.deps.Log.Warn("registration not deleted", zap.String("sidecar", string(id)), zap.Error(err))
}

func newRetry() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = storeRetryMin
	b.MaxInterval = storeRetryMost
	b.Reset()
	return b
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
