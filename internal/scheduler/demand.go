package scheduler

import "github.com/teaseltide/teaseltide/pkg/clock"

const (
	// demandInterval is the shortest time between two messages to a sidecar that
	// only report new demand.
	demandInterval = 20 * clock.Millis(1)
	// demandDelay is how long a job is queued before its demand is sent to sidecars:
	// an order that finds no free capacity returns after a round trip.
	demandDelay = 3 * clock.Millis(1)
	// maxDemandScan bounds the queued jobs that are examined for a sidecar.
	maxDemandScan = 16
	// demandPriorities is the number of job priorities that demand distinguishes.
	demandPriorities = 8
)

// demand is the most urgent task that waits for capacity at a worker.
type demand struct {
	// urgency is 1 for the most urgent, 0 if there is no demand.
	urgency int32
	cpu     int64
	// due is the time left until the objective of the task's job.
	due clock.Millis
}

// updateDemandJobs updates the queued jobs that may start as soon as a worker has room.
func (s *Scheduler) updateDemandJobs(now clock.Millis) {
	stored := s.mayOrderStored(now)
	s.demandJobs = s.demandJobs[:0]
	for _, j := range s.queue[:min(len(s.queue), maxDemandScan)] {
		if now-j.acceptedAt >= demandDelay && (j.BestEffort || stored) && s.mayStart(j) && j.mayRun(now) {
			s.demandJobs = append(s.demandJobs, j)
		}
	}
}

// demandFor returns the most urgent pending task of demandJobs that would start on a
// worker.
func (s *Scheduler) demandFor(now clock.Millis, n *node) demand {
	if n.outsideSubset && !n.inDemandSample {
		return demand{}
	}
	for _, j := range s.demandJobs {
		for k := range j.Steps {
			step := &j.Steps[k]
			if j.remaining[k] == 0 || !n.eligible(j.Service, step) || !n.capacity.Covers(step.Required) || !n.finishesInTime(now, j, step) {
				continue
			}
			return demand{
				urgency: 1 + int32(j.stage)*demandPriorities + int32(min(max(j.Priority, 0), demandPriorities-1)),
				cpu:     step.Required.CPU,
				due:     j.dueAt() - now,
			}
		}
	}
	return demand{}
}
