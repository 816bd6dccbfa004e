package entrynode

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/teaseltide/teaseltide/internal/jobstore"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/peer"
	"github.com/teaseltide/teaseltide/internal/platform"
	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// startWatches registers the entry and watches the registrations, the deposed
// entries and the open jobs until ctx ends.
func (p *Process) startWatches(ctx context.Context) {
	registration := platform.EntryRegistration{Incarnation: p.settings.Incarnation, Domain: p.settings.Domain, PeerAddress: p.settings.Address}
	go p.deps.Directory.KeepEntry(ctx, registration, func(registered bool) {
		p.deps.Log.Info("registration changed", zap.Bool("holds", registered))
	})
	go p.deps.Directory.WatchEntries(ctx, p.handleEntries)
	go p.deps.Directory.WatchSidecars(ctx, p.handleSidecars)
	go p.deps.Directory.WatchScope(ctx, platform.Prefix(p.settings.Keys.DeposedPrefix()), func(kvs []platform.KeyValue, _ platform.Revision) error {
		p.handleFences(kvs)
		return nil
	})
	go p.watchOpenJobs(ctx)
}

// lapsedEntryRetention is how long the session with an entry is kept after its
// registration has expired: the store may be unavailable to the entry alone, which
// then gets configurations only from the others.
const lapsedEntryRetention = 30 * clock.Second

func (p *Process) handleEntries(all platform.EntryListing) {
	now := p.deps.Clock.Now()
	// An entry is registered as long as its key exists, whatever the value is.
	live := append(make([]ownership.Incarnation, 0, len(all.Registrations)), all.Unreadable...)
	for _, e := range all.Registrations {
		live = append(live, e.Incarnation)
		// The entry with the higher incarnation dials.
		if e.Incarnation < p.settings.Incarnation {
			p.dialTargets[peer.Target{Incarnation: e.Incarnation, Address: e.PeerAddress}] = now
		}
	}
	var targets []peer.Target
	for t, listedAt := range p.dialTargets {
		if now-listedAt >= lapsedEntryRetention {
			delete(p.dialTargets, t)
			continue
		}
		targets = append(targets, t)
	}
	p.entries.Set(targets)
	p.committer.SetInterval(max(minCommitInterval, clock.Millis(float64(clock.Second)*float64(len(all.Registrations))/(p.settings.WritesPerSecond*writeRateShare))))
	p.push(func(clock.Millis) { p.core.SetEntries(live) })
}

func (p *Process) handleSidecars(sidecars platform.SidecarListing) {
	targets := make([]peer.Target, 0, len(sidecars.Registrations))
	registered := make([]ownership.Incarnation, 0, len(sidecars.Registrations))
	for _, r := range sidecars.Registrations {
		p.addresses.Store(r.Sidecar, scheduler.Address(r.Address))
		targets = append(targets, peer.Target{Incarnation: r.Sidecar, Address: r.Address})
		registered = append(registered, r.Sidecar)
	}
	p.push(func(clock.Millis) { p.core.SetSidecars(registered) })
	p.sidecars.Set(targets)
}

func (p *Process) handleFences(kvs []platform.KeyValue) {
	if p.settings.Keys.IsDeposed(kvs, p.settings.Incarnation) {
		p.deposed.Store(true)
		return
	}
	fences, unreadable := p.settings.Keys.DecodeDeposed(kvs)
	for _, v := range p.unreadableMarks.Update(unreadable) {
		p.deps.Log.Warn("mark of a deposed entry not readable", zap.Error(v.Err))
	}
	p.push(func(clock.Millis) { p.core.ApplyFences(fences) })
}

// watchOpenJobs lists the open jobs periodically and on request, for the core to compare
// them with those that it holds.
func (p *Process) watchOpenJobs(ctx context.Context) {
	ticker := time.NewTicker(listingInterval)
	defer ticker.Stop()
	for {
		open, err := p.listOpenJobs(ctx)
		if err != nil {
			p.deps.Log.Info("listing open jobs failed", zap.Error(err))
			p.push(p.core.HandleListingFailure)
		} else {
			p.push(func(now clock.Millis) { p.core.Reconcile(now, open) })
		}
		select {
		case <-ctx.Done():
			return
		case <-p.listingRequests:
		case <-ticker.C:
		}
	}
}

// listOpenJobs lists the open jobs and logs each unreadable record once.
func (p *Process) listOpenJobs(ctx context.Context) (scheduler.OpenJobs, error) {
	readAt := p.deps.Clock.Now()
	open, err := jobstore.ListOpen(ctx, p.deps.Store, p.settings.Keys)
	if err != nil {
		return scheduler.OpenJobs{}, err
	}
	for _, v := range p.unreadableJobs.Update(open.Unreadable) {
		p.deps.Log.Warn("open job not readable", zap.Error(v.Err))
	}
	open.ReadAt = readAt
	return open.OpenJobs, nil
}

// depose marks an entry that is missing as deposed, after which no write of it takes
// effect in the store. Without an answer the mark may have been written: then the watch
// delivers it, and otherwise the core deposes the entry again.
func (p *Process) depose(entry ownership.Incarnation) {
	err := jobstore.Depose(p.ctx, p.deps.Store, p.settings.Keys, entry, p.settings.Incarnation, p.deps.Directory.EntryKey(entry))
	if err != nil {
		p.deps.Log.Info("deposition not confirmed", zap.String("entry", string(entry)), zap.Error(err))
		return
	}
	p.deps.Log.Info("entry deposed", zap.String("entry", string(entry)))
	fences := map[ownership.Incarnation]ownership.Incarnation{entry: p.settings.Incarnation}
	p.push(func(clock.Millis) { p.core.ApplyFences(fences) })
}

// recoverRetryDelay is the delay between two attempts to read the jobs of a deposed
// entry.
const recoverRetryDelay = 200 * time.Millisecond

// recover takes over the jobs of an entry that has been deposed.
func (p *Process) recover(entry ownership.Incarnation) {
	for p.ctx.Err() == nil {
		err := p.recoverJobs(entry)
		if err == nil {
			return
		}
		p.deps.Log.Info("takeover waits for the store", zap.String("entry", string(entry)), zap.Error(err))
		select {
		case <-p.ctx.Done():
		case <-time.After(recoverRetryDelay):
		}
	}
}

// recoverJobs reads the open jobs of the entries that this one succeeds and the
// sidecars that may run their tasks. The marks are read before the jobs, so that they
// include those of all owners of these records that were deposed before.
func (p *Process) recoverJobs(entry ownership.Incarnation) error {
	deposed, err := p.deps.Store.Range(p.ctx, platform.Prefix(p.settings.Keys.DeposedPrefix()), 0)
	if err != nil {
		return errors.WithStack(err)
	}
	open, err := p.listOpenJobs(p.ctx)
	if err != nil {
		return err
	}
	sidecars, err := p.deps.Directory.ListSidecars(p.ctx)
	if err != nil {
		return err
	}
	addresses := make([]scheduler.Address, 0, len(sidecars.Registrations))
	for _, r := range sidecars.Registrations {
		addresses = append(addresses, scheduler.Address(r.Address))
	}
	fences, _ := p.settings.Keys.DecodeDeposed(deposed.KeyValues)
	p.push(func(now clock.Millis) {
		p.core.ApplyFences(fences)
		p.core.RecoverJobs(now, entry, p.takenOverJobs(open.Jobs), addresses, len(sidecars.Unreadable))
	})
	return nil
}

// takenOverJobs returns the jobs of the entries that this one succeeds, with
// the numbers of their previous owners.
func (p *Process) takenOverJobs(jobs []scheduler.OpenJob) []scheduler.OpenJob {
	var out []scheduler.OpenJob
	for _, j := range jobs {
		owner := ownership.Incarnation(j.Record.GetOwner())
		if successor, previous := p.core.CurrentOwner(owner); owner != p.settings.Incarnation && successor == p.settings.Incarnation {
			j.PreviousOwners = previous
			out = append(out, j)
		}
	}
	return out
}
