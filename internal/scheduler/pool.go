package scheduler

import "github.com/teaseltide/teaseltide/pkg/clock"

const (
	// crowdedUtilization is the utilization of a service's workers above which late
	// jobs without a started run are held back. The rest is kept for jobs that can
	// be in time: behind late jobs on every worker, each new job would wait for a
	// run to end and be late as well.
	crowdedUtilization = 0.85
	// overloadDelay is how long workers must be crowded before that counts as
	// overload: a restarting worker is back sooner.
	overloadDelay = 1 * clock.Second
	// awayGracePeriod is how long the capacity of a worker that stopped taking tasks
	// counts as away rather than lost: a worker that restarts or whose reports are
	// delayed is back sooner.
	awayGracePeriod = 1 * clock.Second
	// crowdingEndDelay is how long workers must have free capacity before crowding
	// ends: under overload too, single runs that end free some for a moment.
	crowdingEndDelay = 100 * clock.Millis(1)
	// slownessInterval is the interval between updates of the fastest slowness and of
	// the slowness of workers without runs.
	slownessInterval = 50 * clock.Millis(1)
)

// pool aggregates the workers of a service, as this entry knows them. Capacity is
// measured as throughput: the free CPU of a slow worker, which few tasks can use
// in time, must not hide that the fast ones are full.
type pool struct {
	free, total float64
	// away is the capacity of workers that took tasks less than awayGracePeriod ago
	// and do not now.
	away float64
	// fastestSlowness is the learned slowness of the fastest worker.
	fastestSlowness float64
	// crowdedSince is since when the workers have been crowded while jobs were
	// queued for them, 0 if they are not; crowdedAt is when they last were.
	crowdedSince, crowdedAt clock.Millis
}

// utilization returns the used fraction of the workers' capacity, 1 without
// workers.
func (p *pool) utilization() float64 {
	if p.total <= 0 {
		return 1
	}
	return 1 - p.free/p.total
}

func (p *pool) isCrowded() bool { return p.utilization() > crowdedUtilization }

// isCrowdedTransiently reports whether the workers would not be crowded with the
// capacity that is away.
func (p *pool) isCrowdedTransiently() bool {
	return p.isCrowded() && p.away > 0 && 1-(p.free+p.away)/(p.total+p.away) <= crowdedUtilization
}

// isOverloaded reports whether the workers have been crowded for overloadDelay
// while jobs were queued.
func (p *pool) isOverloaded(now clock.Millis) bool {
	return p.crowdedSince != 0 && now-p.crowdedSince >= overloadDelay
}

// pool returns the pool of a service's workers.
func (s *Scheduler) pool(service string) *pool {
	p := s.pools[service]
	if p == nil {
		p = &pool{fastestSlowness: 1}
		s.pools[service] = p
	}
	return p
}

// updatePools aggregates the workers of each service.
func (s *Scheduler) updatePools(now clock.Millis) {
	slownessDue := now >= s.slownessDueAt
	if slownessDue {
		s.slownessDueAt = now + slownessInterval
	}
	for _, p := range s.pools {
		p.free, p.total, p.away = 0, 0, 0
	}
	for _, n := range s.nodeList {
		if !s.takesTasks(now, n) {
			if n.lastService != "" && !n.evacuated && now-n.lastServiceAt < awayGracePeriod && !n.isLeaving() {
				s.pool(n.lastService).away += n.throughput(n.lastServiceCPU)
			}
		} else {
			s.recordService(now, n)
		}
		if !n.connected || n.load == nil {
			continue
		}
		p := s.poolOf(n)
		if slownessDue {
			n.forgetSlowness(now)
		}
		if n.isReady() && !n.ejected {
			p.free += n.throughput(max(0, n.free.CPU))
			p.total += n.throughput(n.capacity.CPU)
		}
	}
	if slownessDue {
		for service, p := range s.pools {
			p.fastestSlowness = s.fastestSlowness(service)
		}
	}
	s.trackCrowding(now)
}

// poolOf returns the pool of a worker that has reported its load.
func (s *Scheduler) poolOf(n *node) *pool {
	if n.pool == nil || n.poolService != n.load.GetService() {
		n.pool, n.poolService = s.pool(n.load.GetService()), n.load.GetService()
	}
	return n.pool
}

// recordService records the service for which a worker takes tasks. Subsets are
// selected by service.
func (s *Scheduler) recordService(now clock.Millis, n *node) {
	if n.lastService != n.load.GetService() {
		s.subsetUpdate.due = true
	}
	n.lastService, n.lastServiceCPU, n.lastServiceAt = n.load.GetService(), n.capacity.CPU, now
}

// takesTasks reports whether a worker takes tasks, according to a current report.
func (s *Scheduler) takesTasks(now clock.Millis, n *node) bool {
	return n.connected && n.isReady() && !n.ejected && !s.isStale(now, n)
}

// fastestSlowness returns the slowness of a service's fastest worker that takes
// tasks, 1 if there is none.
func (s *Scheduler) fastestSlowness(service string) float64 {
	fastest := 0.0
	for _, n := range s.nodeList {
		if n.connected && n.isReady() && !n.ejected && n.load.GetService() == service && (fastest == 0 || n.currentSlowness() < fastest) {
			fastest = n.currentSlowness()
		}
	}
	if fastest == 0 {
		return 1
	}
	return fastest
}

// trackCrowding updates since when workers have been crowded while jobs were
// queued.
func (s *Scheduler) trackCrowding(now clock.Millis) {
	for _, j := range s.queue {
		p := s.pool(j.Service)
		if p.crowdedAt == now || !p.isCrowded() || j.isHeldElsewhere() {
			continue
		}
		p.crowdedAt = now
		if p.crowdedSince == 0 || p.isCrowdedTransiently() {
			p.crowdedSince = now
		}
	}
	for _, p := range s.pools {
		if now-p.crowdedAt >= crowdingEndDelay {
			p.crowdedSince = 0
		}
	}
}
