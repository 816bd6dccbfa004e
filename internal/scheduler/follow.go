package scheduler

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// followed is the number of workers of a service that an entry follows closely.
	// Their sidecars report often and those of the others now and then, so that the
	// cost of reports does not grow with entries times workers.
	followed = 32
	// followedAtHome is the number of these in the entry's own failure domain, whose
	// round trips are short. The rest spreads over the other domains, so that each
	// worker is followed also where a domain has no entry.
	followedAtHome = 24
	// followInterval bounds how often the followed workers are chosen anew while
	// sessions come and go.
	followInterval = 100 * clock.Millis(1)
	// looseCost makes a worker that is followed loosely less attractive than one
	// of the same speed and use that is followed closely.
	looseCost = 1.2
	// looseNoise replaces noise for workers that are followed loosely: many entries
	// see the same old report and must not choose the same worker.
	looseNoise = 0.4
	// looseDemand is the number of workers that are followed loosely of which an
	// entry asks room for a waiting task in a demandTurn.
	looseDemand = 4
	// demandTurn is how long the same ones are asked.
	demandTurn = 50 * clock.Millis(1)
)

// followChange tells whether the followed workers have to be chosen anew, and from
// when on that may be done.
type followChange struct {
	due bool
	at  clock.Millis
}

// checkFollowed chooses the workers that the entry follows closely.
func (s *Scheduler) checkFollowed(now clock.Millis) {
	if !s.refollow.due || now < s.refollow.at {
		return
	}
	s.refollow = followChange{at: now + followInterval}
	services := make(map[string][]*node)
	for _, n := range s.list {
		if n.connected {
			services[n.served] = append(services[n.served], n)
		}
	}
	for _, nodes := range services {
		s.follow(nodes)
	}
}

// follow chooses among the workers of a service. The choice differs between
// entries and hardly changes when a worker comes or goes.
func (s *Scheduler) follow(nodes []*node) {
	if len(nodes) <= followed {
		for _, n := range nodes {
			n.loose = false
		}
		return
	}
	slices.SortFunc(nodes, func(a, b *node) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.address, b.address)) })
	home := 0
	for _, n := range nodes {
		n.loose = n.domain != s.settings.Domain || home >= followedAtHome
		if !n.loose {
			home++
		}
	}
	chosen := home
	for _, n := range nodes {
		if n.loose && chosen < followed {
			n.loose = false
			chosen++
		}
	}
}

// rankOf orders workers for an entry by rendezvous hashing.
func rankOf(self ownership.Incarnation, a Address) uint64 {
	return xxhash.Sum64String(string(self) + "/" + string(a))
}

// chooseAsked chooses the loosely followed workers that are asked for room while
// jobs wait.
func (s *Scheduler) chooseAsked(now clock.Millis) {
	if now < s.askedTill {
		return
	}
	s.askedTill = now + demandTurn
	loose := 0
	for _, n := range s.list {
		n.asked = false
		if !n.connected || !n.loose {
			continue
		}
		// Keeps each of the loose workers seen so far with equal probability.
		if loose++; loose <= looseDemand {
			s.asked[loose-1] = n
		} else if k := s.rand.IntN(loose); k < looseDemand {
			s.asked[k] = n
		}
	}
	for _, n := range s.asked[:min(loose, looseDemand)] {
		n.asked = true
	}
}

// isSilent reports whether a sidecar has not reported for longer than it should.
func (s *Scheduler) isSilent(now clock.Millis, n *node) bool {
	limit := freshTime
	if n.loose {
		limit += s.settings.OutsideSubsetReportInterval
	}
	return now-n.echoAt > limit
}
