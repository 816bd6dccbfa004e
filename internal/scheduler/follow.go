package scheduler

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// subsetSize is the number of workers of a service in an entry's subset.
	// Sidecars report often to the entries whose subset they are in and seldom to
	// the others, so that the cost of reports does not grow with entries times
	// workers.
	subsetSize = 32
	// subsetInOwnDomain is the part of the subset in the entry's own failure domain,
	// where round trips are short. The rest covers the other domains, so that a
	// domain without entries is served too.
	subsetInOwnDomain = 24
	// subsetInterval is the shortest time between two selections of the subset while
	// sessions are opened and closed.
	subsetInterval = 100 * clock.Millis(1)
	// outsideSubsetCost makes a worker outside the subset less attractive than one
	// of equal speed and utilization in it.
	outsideSubsetCost = 1.2
	// outsideSubsetNoise replaces costNoise for workers outside the subset: many
	// entries see the same old report and must not choose the same worker.
	outsideSubsetNoise = 0.4
	// demandSampleSize is the number of workers outside the subset that are sent
	// demand for pending tasks during a demandSampleInterval.
	demandSampleSize = 4
	// demandSampleInterval is how long a demand sample is kept.
	demandSampleInterval = 50 * clock.Millis(1)
)

// subsetRefresh records whether the subset must be selected again, and the
// earliest time for it.
type subsetRefresh struct {
	due       bool
	notBefore clock.Millis
}

// updateSubsets selects the subset of each service's workers if that is due.
func (s *Scheduler) updateSubsets(now clock.Millis) {
	if !s.subsetUpdate.due || now < s.subsetUpdate.notBefore {
		return
	}
	s.subsetUpdate = subsetRefresh{notBefore: now + subsetInterval}
	services := make(map[string][]*node)
	for _, n := range s.nodeList {
		switch {
		case n.evacuated:
			// Another worker takes its place. It reports its return at once.
			n.outsideSubset = true
		case n.connected:
			services[n.lastService] = append(services[n.lastService], n)
		}
	}
	for _, nodes := range services {
		s.selectSubset(nodes)
	}
}

// selectSubset selects the subset among the workers of a service. The selection
// differs between entries and hardly changes when a worker is added or removed.
func (s *Scheduler) selectSubset(nodes []*node) {
	if len(nodes) <= subsetSize {
		for _, n := range nodes {
			n.outsideSubset = false
		}
		return
	}
	slices.SortFunc(nodes, func(a, b *node) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.address, b.address)) })
	inOwnDomain := 0
	for _, n := range nodes {
		n.outsideSubset = n.domain != s.settings.Domain || inOwnDomain >= subsetInOwnDomain
		if !n.outsideSubset {
			inOwnDomain++
		}
	}
	selected := inOwnDomain
	for _, n := range nodes {
		if n.outsideSubset && selected < subsetSize {
			n.outsideSubset = false
			selected++
		}
	}
}

// rendezvousHash returns a worker's rank for an entry (rendezvous hashing).
func rendezvousHash(self ownership.Incarnation, a Address) uint64 {
	return xxhash.Sum64String(string(self) + "/" + string(a))
}

// sampleDemand draws the workers outside the subset that are sent demand.
func (s *Scheduler) sampleDemand(now clock.Millis) {
	if now < s.demandSampleUntil {
		return
	}
	s.demandSampleUntil = now + demandSampleInterval
	candidates := 0
	for _, n := range s.nodeList {
		n.inDemandSample = false
		if !n.connected || n.evacuated || !n.outsideSubset {
			continue
		}
		// Reservoir sampling: each candidate is kept with equal probability.
		if candidates++; candidates <= demandSampleSize {
			s.demandSample[candidates-1] = n
		} else if k := s.rand.IntN(candidates); k < demandSampleSize {
			s.demandSample[k] = n
		}
	}
	for _, n := range s.demandSample[:min(candidates, demandSampleSize)] {
		n.inDemandSample = true
	}
}

// isStale reports whether a sidecar's newest report is older than its report
// interval allows.
func (s *Scheduler) isStale(now clock.Millis, n *node) bool {
	limit := maxReportAge
	if n.outsideSubset {
		limit += s.settings.OutsideSubsetReportInterval
	}
	return now-n.reportReceivedAt > limit
}
