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

// startWatches registers the entry and follows the registrations, the deposed
// entries and the owners of open jobs until ctx ends.
func (p *Process) startWatches(ctx context.Context) {
	own := platform.EntryRegistration{Incarnation: p.settings.Incarnation, Domain: p.settings.Domain, PeerAddress: p.settings.Address}
	go p.deps.Directory.KeepEntry(ctx, own, func(registered bool) {
		p.deps.Log.Info("registration changed", zap.Bool("holds", registered))
	})
	go p.deps.Directory.WatchEntries(ctx, p.entriesListed)
	go p.deps.Directory.WatchSidecars(ctx, p.sidecarsListed)
	go p.deps.Directory.Follow(ctx, platform.Prefix(p.settings.Keys.DeposedPrefix()), func(kvs []platform.KeyValue, _ platform.Revision) error {
		p.fencesListed(p.settings.Keys.DecodeDeposed(kvs))
		return nil
	})
	go p.watchOwners(ctx)
}

// keepLapsed is how long the session with an entry is kept after its registration
// has lapsed: the store may refuse the entry, which then gets configurations from
// the others only.
const keepLapsed = 30 * clock.Second

func (p *Process) entriesListed(all []platform.EntryRegistration) {
	now := p.deps.Clock.Now()
	live := make([]ownership.Incarnation, 0, len(all))
	for _, e := range all {
		live = append(live, e.Incarnation)
		// The entry with the higher name dials.
		if e.Incarnation < p.settings.Incarnation {
			p.dialled[peer.Target{Incarnation: e.Incarnation, Address: e.PeerAddress}] = now
		}
	}
	var targets []peer.Target
	for t, listedAt := range p.dialled {
		if now-listedAt >= keepLapsed {
			delete(p.dialled, t)
			continue
		}
		targets = append(targets, t)
	}
	p.entries.Set(targets)
	p.committer.SetInterval(max(minCommitInterval, clock.Millis(float64(clock.Second)*float64(len(all))/(p.settings.WritesPerSecond*writeShare))))
	p.push(func(clock.Millis) { p.core.SetEntries(live) })
}

func (p *Process) sidecarsListed(sidecars platform.Sidecars) {
	targets := make([]peer.Target, 0, len(sidecars.Registrations))
	for _, r := range sidecars.Registrations {
		p.addresses.Store(r.Sidecar, scheduler.Address(r.Address))
		targets = append(targets, peer.Target{Incarnation: r.Sidecar, Address: r.Address})
	}
	p.sidecars.Set(targets)
}

func (p *Process) fencesListed(fences map[ownership.Incarnation]ownership.Incarnation) {
	if _, ok := fences[p.settings.Incarnation]; ok {
		p.deposed.Store(true)
		return
	}
	p.push(func(clock.Millis) { p.core.ApplyFences(fences) })
}

// watchOwners looks for open jobs whose entries are gone.
func (p *Process) watchOwners(ctx context.Context) {
	ticker := time.NewTicker(ownersInterval)
	defer ticker.Stop()
	for {
		p.scanOwners(ctx)
		select {
		case <-ctx.Done():
			return
		case <-p.scan:
		case <-ticker.C:
		}
	}
}

func (p *Process) scanOwners(ctx context.Context) {
	jobs, err := jobstore.ListOpen(ctx, p.deps.Store, p.settings.Keys)
	if err != nil {
		p.deps.Log.Info("list open jobs", zap.Error(err))
		return
	}
	seen := make(map[ownership.Incarnation]bool)
	var owners []ownership.Incarnation
	for _, j := range jobs {
		if owner := ownership.Incarnation(j.Record.GetOwner()); !seen[owner] {
			seen[owner] = true
			owners = append(owners, owner)
		}
	}
	p.push(func(now clock.Millis) { p.core.HandleOpenJobOwners(now, owners) })
}

// depose takes over the jobs of an entry that is gone: it marks the entry as
// deposed, after which nothing of it takes effect in the store, and then reads
// its open jobs and the sidecars that may run their tasks.
func (p *Process) depose(entry ownership.Incarnation) {
	err := jobstore.Depose(p.work, p.deps.Store, p.settings.Keys, entry, p.settings.Incarnation, p.deps.Directory.EntryKey(entry))
	if err != nil {
		p.deps.Log.Info("takeover not begun", zap.String("entry", string(entry)), zap.Error(err))
		return
	}
	p.deps.Log.Info("entry deposed", zap.String("entry", string(entry)))
	fences := map[ownership.Incarnation]ownership.Incarnation{entry: p.settings.Incarnation}
	p.push(func(clock.Millis) { p.core.ApplyFences(fences) })
	for p.work.Err() == nil {
		if err = p.readTakenOver(entry); err == nil {
			return
		}
		p.deps.Log.Info("takeover waits for the store", zap.String("entry", string(entry)), zap.Error(err))
		select {
		case <-p.work.Done():
		case <-time.After(200 * time.Millisecond):
		}
	}
}

func (p *Process) readTakenOver(entry ownership.Incarnation) error {
	deposed, err := p.deps.Store.Range(p.work, platform.Prefix(p.settings.Keys.DeposedPrefix()), 0)
	if err != nil {
		return errors.WithStack(err)
	}
	jobs, err := jobstore.ListOpen(p.work, p.deps.Store, p.settings.Keys)
	if err != nil {
		return err
	}
	sidecars, err := p.deps.Directory.ListSidecars(p.work)
	if err != nil {
		return err
	}
	addresses := make([]scheduler.Address, 0, len(sidecars.Registrations))
	for _, r := range sidecars.Registrations {
		addresses = append(addresses, scheduler.Address(r.Address))
	}
	fences := p.settings.Keys.DecodeDeposed(deposed.KeyValues)
	p.push(func(now clock.Millis) {
		p.core.ApplyFences(fences)
		p.core.RecoverJobs(now, entry, p.mine(jobs), addresses)
	})
	return nil
}

// mine selects the jobs of entries whose successor this entry is.
func (p *Process) mine(jobs []scheduler.OpenJob) []scheduler.OpenJob {
	var out []scheduler.OpenJob
	for _, j := range jobs {
		owner := ownership.Incarnation(j.Record.GetOwner())
		if heir, before := p.core.CurrentOwner(owner); owner != p.settings.Incarnation && heir == p.settings.Incarnation {
			j.PreviousOwners = before
			out = append(out, j)
		}
	}
	return out
}
