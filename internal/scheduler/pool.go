package scheduler

import (
	"slices"

	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// crowdedUse is the use of a service's workers from which late jobs without
	// a start wait. The rest is kept for jobs that can be in time: behind late
	// ones that fill every worker, each new job would wait for a run to end and
	// be late as well.
	crowdedUse = 0.85
	// sustainedCrowding is how long the workers must have been crowded until it
	// is taken for overload: a worker that starts again is back sooner.
	sustainedCrowding = 1 * clock.Second
	// awayTime is how long the room of a worker that stopped taking tasks counts as
	// away rather than lost: one that starts again, or whose reports are held up, is
	// back sooner.
	awayTime = 1 * clock.Second
	// crowdingEnds is how long the workers must have had room until crowding is
	// over: in overload too, single runs that end leave room for a moment.
	crowdingEnds = 100 * clock.Millis(1)
	// speedInterval is how old the fastest and the median slowness may be.
	speedInterval = 50 * clock.Millis(1)
)

// pool is what an entry knows of all workers of a service together.
type pool struct {
	// free and capacity are in thousandths of a core.
	free, capacity int64
	// away is the room of workers that took tasks less than awayTime ago and do not
	// now, in thousandths of a core.
	away int64
	// fastest and median are the learned slowness of the fastest and the median
	// worker.
	fastest, median float64
	// crowdedSince is since when the workers have been crowded while jobs wait
	// for them, 0 if they are not; crowdedAt is when they last were.
	crowdedSince, crowdedAt clock.Millis
	slows                   []float64
}

// use returns the part of the workers that is taken, 1 without workers.
func (p *pool) use() float64 {
	if p.capacity <= 0 {
		return 1
	}
	return 1 - float64(p.free)/float64(p.capacity)
}

func (p *pool) crowded() bool { return p.use() > crowdedUse }

// awaitsRoom reports whether the workers are crowded only because some of their
// room is away for a moment.
func (p *pool) awaitsRoom() bool {
	return p.crowded() && p.away > 0 && 1-float64(p.free+p.away)/float64(p.capacity+p.away) <= crowdedUse
}

// overloaded reports whether more work comes than the workers do: they have been
// crowded for some time while jobs waited.
func (p *pool) overloaded(now clock.Millis) bool {
	return p.crowdedSince != 0 && now-p.crowdedSince >= sustainedCrowding
}

// pool returns the workers of a service.
func (s *Scheduler) pool(service string) *pool {
	p := s.pools[service]
	if p == nil {
		p = &pool{fastest: 1, median: 1}
		s.pools[service] = p
	}
	return p
}

// surveyPools sums up the workers of each service.
func (s *Scheduler) surveyPools(now clock.Millis) {
	speeds := now >= s.speedsAt
	if speeds {
		s.speedsAt = now + speedInterval
	}
	for _, p := range s.pools {
		p.free, p.capacity, p.away = 0, 0, 0
		if speeds {
			p.slows = p.slows[:0]
		}
	}
	for _, n := range s.list {
		if !s.takesTasks(now, n) {
			if n.served != "" && now-n.servedAt < awayTime {
				s.pool(n.served).away += n.servedCPU
			}
		} else {
			s.noteServed(now, n)
		}
		if !n.connected || n.load == nil {
			continue
		}
		p := s.pool(n.load.GetService())
		if speeds {
			p.slows = append(p.slows, n.slow)
		}
		if n.load.GetReady() && !n.ejected {
			p.free += max(0, n.free.CPU)
			p.capacity += n.capacity.CPU
		}
	}
	if speeds {
		for service, p := range s.pools {
			p.noteSpeeds(s.fastest(service))
		}
	}
	s.noteCrowding(now)
}

// noteServed notes for which service a worker takes tasks now. The workers that
// the entry follows are chosen by service.
func (s *Scheduler) noteServed(now clock.Millis, n *node) {
	if n.served != n.load.GetService() {
		s.refollow.due = true
	}
	n.served, n.servedCPU, n.servedAt = n.load.GetService(), n.capacity.CPU, now
}

// takesTasks reports whether a worker reports that it takes tasks.
func (s *Scheduler) takesTasks(now clock.Millis, n *node) bool {
	return n.connected && n.load.GetReady() && !n.ejected && !s.isSilent(now, n)
}

// noteSpeeds takes the slowness of the fastest worker that takes tasks, and finds
// the median of all.
func (p *pool) noteSpeeds(fastest float64) {
	p.fastest, p.median = fastest, 1
	if len(p.slows) > 0 {
		slices.Sort(p.slows)
		p.median = p.slows[len(p.slows)/2]
	}
}

// fastest returns the slowness of the fastest worker that takes tasks, 1 if
// there is none.
func (s *Scheduler) fastest(service string) float64 {
	fastest := 0.0
	for _, n := range s.list {
		if n.connected && n.load.GetReady() && !n.ejected && n.load.GetService() == service && (fastest == 0 || n.slow < fastest) {
			fastest = n.slow
		}
	}
	if fastest == 0 {
		return 1
	}
	return fastest
}

// noteCrowding follows since when workers have been crowded while jobs waited.
func (s *Scheduler) noteCrowding(now clock.Millis) {
	for _, j := range s.queue {
		p := s.pool(j.Service)
		if p.crowdedAt == now || !p.crowded() {
			continue
		}
		p.crowdedAt = now
		if p.crowdedSince == 0 || p.awaitsRoom() {
			p.crowdedSince = now
		}
	}
	for _, p := range s.pools {
		if now-p.crowdedAt >= crowdingEnds {
			p.crowdedSince = 0
		}
	}
}
