package scheduler

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// subsetSize is the number of workers of a service that an entry follows closely.
	// Their sidecars report often and those of the others now and then, so that the
	// cost of reports does not grow with entries times workers.
	subsetSize = 32
	// subsetInOwnDomain is the number of these in the entry's own failure domain, whose
	// round trips are short. The rest spreads over the other domains, so that each
	// worker is followed also where a domain has no entry.
	subsetInOwnDomain = 24
	// subsetInterval bounds how often the followed workers are chosen anew while
	// sessions come and go.
	subsetInterval = 100 * clock.Millis(1)
	// outsideSubsetCost makes a worker that is followed loosely less attractive than one
	// of the same speed and use that is followed closely.
	outsideSubsetCost = 1.2
	// outsideSubsetNoise replaces noise for workers that are followed loosely: many entries
	// see the same old report and must not choose the same worker.
	outsideSubsetNoise = 0.4
	// demandSampleSize is the number of workers that are followed loosely of which an
	// entry asks room for a waiting task in a demandTurn.
	demandSampleSize = 4
	// demandSampleInterval is how long the same ones are asked.
	demandSampleInterval = 50 * clock.Millis(1)
)

// subsetRefresh tells whether the followed workers have to be chosen anew, and from
// when on that may be done.
type subsetRefresh struct {
	due       bool
	notBefore clock.Millis
}

// updateSubsets chooses the workers that the entry follows closely.
func (s *Scheduler) updateSubsets(now clock.Millis) {
	if !s.subsetUpdate.due || now < s.subsetUpdate.notBefore {
		return
	}
	s.subsetUpdate = subsetRefresh{notBefore: now + subsetInterval}
	services := make(map[string][]*node)
	for _, n := range s.nodeList {
		if n.connected {
			services[n.lastService] = append(services[n.lastService], n)
		}
	}
	for _, nodes := range services {
		s.selectSubset(nodes)
	}
}

// selectSubset chooses among the workers of a service. The choice differs between
// entries and hardly changes when a worker comes or goes.
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

// rendezvousHash orders workers for an entry by rendezvous hashing.
func rendezvousHash(self ownership.Incarnation, a Address) uint64 {
	return xxhash.Sum64String(string(self) + "/" + string(a))
}

// sampleDemand chooses the loosely followed workers that are asked for room while
// jobs wait.
func (s *Scheduler) sampleDemand(now clock.Millis) {
	if now < s.demandSampleUntil {
		return
	}
	s.demandSampleUntil = now + demandSampleInterval
	candidates := 0
	for _, n := range s.nodeList {
		n.inDemandSample = false
		if !n.connected || !n.outsideSubset {
			continue
		}
		// Keeps each of the loose workers seen so far with equal probability.
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

// isStale reports whether a sidecar has not reported for longer than it should.
func (s *Scheduler) isStale(now clock.Millis, n *node) bool {
	limit := maxReportAge
	if n.outsideSubset {
		limit += s.settings.OutsideSubsetReportInterval
	}
	return now-n.reportReceivedAt > limit
}
