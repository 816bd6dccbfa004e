package scheduler

import (
	"slices"

	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// crowdedUtilization is the use of a service's workers from which late jobs without
	// a start wait. The rest is kept for jobs that can be in time: behind late
	// ones that fill every worker, each new job would wait for a run to end and
	// be late as well.
	crowdedUtilization = 0.85
	// overloadDelay is how long the workers must have been crowded until it
	// is taken for overload: a worker that starts again is back sooner.
	overloadDelay = 1 * clock.Second
	// awayGracePeriod is how long the room of a worker that stopped taking tasks counts as
	// away rather than lost: one that starts again, or whose reports are held up, is
	// back sooner.
	awayGracePeriod = 1 * clock.Second
	// crowdingEndDelay is how long the workers must have had room until crowding is
	// over: in overload too, single runs that end leave room for a moment.
	crowdingEndDelay = 100 * clock.Millis(1)
	// slownessInterval is how old the fastest and the median slowness may be.
	slownessInterval = 50 * clock.Millis(1)
)

// pool is what an entry knows of all workers of a service together.
type pool struct {
	// freeCPU and totalCPU are in thousandths of a core.
	freeCPU, totalCPU int64
	// awayCPU is the room of workers that took tasks less than awayTime ago and do not
	// now, in thousandths of a core.
	awayCPU int64
	// fastestSlowness and medianSlowness are the learned slowness of the fastestSlowness and the medianSlowness
	// worker.
	fastestSlowness, medianSlowness float64
	// crowdedSince is since when the workers have been crowded while jobs wait
	// for them, 0 if they are not; crowdedAt is when they last were.
	crowdedSince, crowdedAt clock.Millis
	slownesses              []float64
}

// utilization returns the part of the workers that is taken, 1 without workers.
func (p *pool) utilization() float64 {
	if p.totalCPU <= 0 {
		return 1
	}
	return 1 - float64(p.freeCPU)/float64(p.totalCPU)
}

func (p *pool) isCrowded() bool { return p.utilization() > crowdedUtilization }

// isCrowdedTransiently reports whether the workers are crowded only because some of their
// room is away for a moment.
func (p *pool) isCrowdedTransiently() bool {
	return p.isCrowded() && p.awayCPU > 0 && 1-float64(p.freeCPU+p.awayCPU)/float64(p.totalCPU+p.awayCPU) <= crowdedUtilization
}

// isOverloaded reports whether more work comes than the workers do: they have been
// crowded for some time while jobs waited.
func (p *pool) isOverloaded(now clock.Millis) bool {
	return p.crowdedSince != 0 && now-p.crowdedSince >= overloadDelay
}

// pool returns the workers of a service.
func (s *Scheduler) pool(service string) *pool {
	p := s.pools[service]
	if p == nil {
		p = &pool{fastestSlowness: 1, medianSlowness: 1}
		s.pools[service] = p
	}
	return p
}

// updatePools sums up the workers of each service.
func (s *Scheduler) updatePools(now clock.Millis) {
	slownessDue := now >= s.slownessDueAt
	if slownessDue {
		s.slownessDueAt = now + slownessInterval
	}
	for _, p := range s.pools {
		p.freeCPU, p.totalCPU, p.awayCPU = 0, 0, 0
		if slownessDue {
			p.slownesses = p.slownesses[:0]
		}
	}
	for _, n := range s.nodeList {
		if !s.takesTasks(now, n) {
			if n.lastService != "" && now-n.lastServiceAt < awayGracePeriod {
				s.pool(n.lastService).awayCPU += n.lastServiceCPU
			}
		} else {
			s.recordService(now, n)
		}
		if !n.connected || n.load == nil {
			continue
		}
		p := s.pool(n.load.GetService())
		if slownessDue {
			p.slownesses = append(p.slownesses, n.slowness)
		}
		if n.load.GetReady() && !n.ejected {
			p.freeCPU += max(0, n.free.CPU)
			p.totalCPU += n.capacity.CPU
		}
	}
	if slownessDue {
		for service, p := range s.pools {
			p.updateSlowness(s.fastestSlowness(service))
		}
	}
	s.trackCrowding(now)
}

// recordService notes for which service a worker takes tasks now. The workers that
// the entry follows are chosen by service.
func (s *Scheduler) recordService(now clock.Millis, n *node) {
	if n.lastService != n.load.GetService() {
		s.subsetUpdate.due = true
	}
	n.lastService, n.lastServiceCPU, n.lastServiceAt = n.load.GetService(), n.capacity.CPU, now
}

// takesTasks reports whether a worker reports that it takes tasks.
func (s *Scheduler) takesTasks(now clock.Millis, n *node) bool {
	return n.connected && n.load.GetReady() && !n.ejected && !s.isStale(now, n)
}

// updateSlowness takes the slowness of the fastest worker that takes tasks, and finds
// the median of all.
func (p *pool) updateSlowness(fastest float64) {
	p.fastestSlowness, p.medianSlowness = fastest, 1
	if len(p.slownesses) > 0 {
		slices.Sort(p.slownesses)
		p.medianSlowness = p.slownesses[len(p.slownesses)/2]
	}
}

// fastestSlowness returns the slowness of the fastestSlowness worker that takes tasks, 1 if
// there is none.
func (s *Scheduler) fastestSlowness(service string) float64 {
	fastest := 0.0
	for _, n := range s.nodeList {
		if n.connected && n.load.GetReady() && !n.ejected && n.load.GetService() == service && (fastest == 0 || n.slowness < fastest) {
			fastest = n.slowness
		}
	}
	if fastest == 0 {
		return 1
	}
	return fastest
}

// trackCrowding follows since when workers have been crowded while jobs waited.
func (s *Scheduler) trackCrowding(now clock.Millis) {
	for _, j := range s.queue {
		p := s.pool(j.Service)
		if p.crowdedAt == now || !p.isCrowded() {
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
