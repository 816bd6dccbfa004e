package entry

import (
	"sync"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/peer"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// lapsedEntryRetention is how long an entry is dialled after it was last listed.
// While the store is slow, leases expire although the entries run and their
// sessions work; closing the sessions would prevent forwarding to the owner.
const lapsedEntryRetention = 10 * clock.Minute

// dialState orders the updates of the session pools, so that an older list never
// replaces a newer one.
type dialState struct {
	mu       sync.Mutex
	revision int64
	// entries holds the entries to dial and when each was last listed.
	entries map[ownership.Incarnation]listedEntry
}

type listedEntry struct {
	target   peer.Target
	listedAt clock.Millis
}

func (p *Process) dialSidecars(revision int64, targets []peer.Target) {
	p.dialing.mu.Lock()
	defer p.dialing.mu.Unlock()
	if revision < p.dialing.revision {
		return
	}
	p.dialing.revision = revision
	p.sidecars.Set(targets)
}

// dialEntries keeps sessions to the listed entries and to those that were listed
// within lapsedEntryRetention.
func (p *Process) dialEntries(listed []peer.Target) {
	p.dialing.mu.Lock()
	defer p.dialing.mu.Unlock()
	p.entries.Set(p.dialing.update(p.deps.Clock.Now(), listed))
}

// update records the listed entries and returns all entries to dial.
func (d *dialState) update(now clock.Millis, listed []peer.Target) []peer.Target {
	if d.entries == nil {
		d.entries = make(map[ownership.Incarnation]listedEntry)
	}
	for _, t := range listed {
		d.entries[t.Incarnation] = listedEntry{target: t, listedAt: now}
	}
	targets := make([]peer.Target, 0, len(d.entries))
	for id, e := range d.entries {
		if now >= e.listedAt+lapsedEntryRetention {
			delete(d.entries, id)
			continue
		}
		targets = append(targets, e.target)
	}
	return targets
}
