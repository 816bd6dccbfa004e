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

// Store is the part of the store that an entry uses; platform.Directory
// implements it. KeepEntry and the Watch methods call back from one goroutine
// each and return when ctx ends.
type Store interface {
	KeepEntry(ctx context.Context, e platform.EntryRegistration, registered func(bool))
	WatchRecord(ctx context.Context, deliver func(ownership.Record))
	WatchEntries(ctx context.Context, deliver func(platform.EntryListing))
	WatchSidecars(ctx context.Context, deliver func(platform.SidecarListing))
	WatchText(ctx context.Context, deliver func(platform.Text))
	ReadRecord(ctx context.Context) (ownership.Record, error)
	// WriteRecord returns an error unless the write is known to have taken effect.
	WriteRecord(ctx context.Context, record ownership.Record) (ownership.Record, error)
	ListSidecars(ctx context.Context) (platform.SidecarListing, error)
	DeleteSidecar(ctx context.Context, sidecar ownership.Incarnation) error
}

const (
	// storeRetryMin and storeRetryMax bound the backoff after a failed call.
	storeRetryMin = 100 * time.Millisecond
	storeRetryMax = 2 * time.Second
	// deleteAttempts bounds the attempts to delete one registration. The core
	// repeats the request if the registration remains.
	deleteAttempts = 5
	// deleteQueueSize bounds the queued deletions.
	deleteQueueSize = 1024
)

// startStoreCalls starts the goroutines that call the store until ctx ends.
func (p *Process) startStoreCalls(ctx context.Context) {
	s := p.deps.Store
	self := platform.EntryRegistration{
		Incarnation: p.settings.Incarnation,
		Domain:      p.settings.Domain,
		PeerAddress: p.settings.PeersAddress,
	}
	p.storeCalls.Go(func() { p.keepRegistered(ctx, self) })
	p.storeCalls.Go(func() { s.WatchRecord(ctx, p.handleRecord) })
	p.storeCalls.Go(func() { s.WatchEntries(ctx, p.handleEntries) })
	p.storeCalls.Go(func() { s.WatchSidecars(ctx, func(all platform.SidecarListing) { p.handleSidecars(all, 0) }) })
	p.storeCalls.Go(func() { s.WatchText(ctx, p.servicesText.handleStoreText) })
	p.storeCalls.Go(func() { p.serveListRequests(ctx) })
	p.storeCalls.Go(func() { consume(ctx, p.deleteRequests, p.deleteSidecar) })
}

// handleLeaseState passes on whether this entry's lease holds, which tells the
// core whether the store answers.
func (p *Process) handleLeaseState(holds bool) {
	p.deps.Log.Info("registration changed", zap.Bool("holds", holds))
	p.loop.pushCore(dispatch.StoreState{Up: holds})
}

func (p *Process) handleRecord(r ownership.Record) {
	p.loop.pushCore(dispatch.RecordRead{Record: r})
}

// handleEntries handles a list of the entries. It dials those with a lower
// incarnation; the others dial this one. An entry whose registration cannot be read
// is no member, because partitions must not be assigned to a process that may not
// exist.
func (p *Process) handleEntries(all platform.EntryListing) {
	members := make([]ownership.Member, 0, len(all.Registrations))
	var targets []peer.Target
	for _, e := range all.Registrations {
		members = append(members, ownership.Member{Incarnation: e.Incarnation, Domain: e.Domain})
		if e.Incarnation < p.settings.Incarnation {
			targets = append(targets, peer.Target{Incarnation: e.Incarnation, Address: e.PeerAddress})
		}
	}
	p.dialEntries(targets)
	p.loop.pushCore(dispatch.MembersChanged{Members: members})
}

func (p *Process) handleSidecars(all platform.SidecarListing, recordRevision int64) {
	registrations := make([]dispatch.Registration, 0, len(all.Registrations))
	targets := make([]peer.Target, 0, len(all.Registrations))
	for _, r := range all.Registrations {
		registrations = append(registrations, dispatch.Registration(r))
		targets = append(targets, peer.Target{Incarnation: r.Sidecar, Address: r.Address})
	}
	// A takeover also waits for the sidecars that cannot be dialled, until they are
	// taken as lost.
	for _, id := range all.Unreadable {
		registrations = append(registrations, dispatch.Registration{Sidecar: id})
	}
	p.dialSidecars(int64(all.Revision), targets)
	p.loop.pushCore(dispatch.RegistrationsListed{
		RecordRevision: recordRevision, Revision: int64(all.Revision), Registrations: registrations,
	})
}

// writeRecord makes one attempt to write a record; the core waits for the outcome
// before it requests another one. Unless the write is known to have taken effect,
// the core gets the record as read from the store, if possible, and
// RecordWriteFailed.
func (p *Process) writeRecord(ctx context.Context, r ownership.Record) {
	written, err := p.deps.Store.WriteRecord(ctx, r)
	if err == nil {
		p.deps.Log.Info("ownership record written", zap.Int64("revision", written.Revision))
		p.handleRecord(written)
		return
	}
	p.deps.Log.Info("ownership record not written", zap.Error(err))
	if present, readErr := p.deps.Store.ReadRecord(ctx); readErr == nil {
		p.handleRecord(present)
	}
	p.loop.pushCore(dispatch.RecordWriteFailed{})
}

// requestList requests a list of the sidecars. Only the control thread calls it.
// Only the newest revision is kept, because a list serves all requests made
// before it was read.
func (p *Process) requestList(recordRevision int64) {
	select {
	case <-p.listRequests:
	default:
	}
	p.listRequests <- recordRevision
}

// serveListRequests serves the requests for lists one after another, each by a
// call that begins after the record of its revision was known. The call is
// repeated during an outage of the store.
func (p *Process) serveListRequests(ctx context.Context) {
	consume(ctx, p.listRequests, p.listWithRetry)
}

// consume handles the items of a channel one after another until ctx ends.
func consume[T any](ctx context.Context, items <-chan T, handle func(context.Context, T)) {
	for {
		select {
		case <-ctx.Done():
			return
		case item := <-items:
			handle(ctx, item)
		}
	}
}

func (p *Process) listWithRetry(ctx context.Context, revision int64) {
	wait := newStoreBackoff()
	for failures := 0; ctx.Err() == nil; failures++ {
		select {
		case revision = <-p.listRequests:
		default:
		}
		all, err := p.deps.Store.ListSidecars(ctx)
		if err == nil {
			p.handleSidecars(all, revision)
			return
		}
		if failures == 0 {
			p.deps.Log.Warn("registrations not listed, repeating the call", zap.Error(err))
		}
		sleep(ctx, wait.NextBackOff())
	}
}

// requestDelete requests the deletion of a sidecar's registration. The control
// thread calls it, so it must not block: if the queue is full the request is
// dropped, and the core repeats it.
func (p *Process) requestDelete(id ownership.Incarnation) {
	select {
	case p.deleteRequests <- id:
	default:
	}
}

func (p *Process) deleteSidecar(ctx context.Context, id ownership.Incarnation) {
	wait := newStoreBackoff()
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

func newStoreBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = storeRetryMin
	b.MaxInterval = storeRetryMax
	b.Reset()
	return b
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
