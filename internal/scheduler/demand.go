package scheduler

import "github.com/teaseltide/teaseltide/pkg/clock"

const (
	// demandInterval is the shortest time between two messages to a sidecar that
	// only tell of new demand.
	demandInterval = 20 * clock.Millis(1)
	// demandDelay is how long a job waits before sidecars are told of it: an
	// order that finds no room is back after a round trip.
	demandDelay = 3 * clock.Millis(1)
	// demandScan bounds the waiting jobs that are looked at for a sidecar.
	demandScan = 16
	// priorities is the number of priorities that demand tells apart.
	priorities = 8
)

// demand is the most urgent task that waits for room at a worker.
type demand struct {
	// urgency is 1 for the most urgent, 0 if no task waits.
	urgency int32
	cpu     int64
}

// demandFor returns what waits for a worker: the most urgent task that would
// start there.
func (s *Scheduler) demandFor(now clock.Millis, n *node) demand {
	if n.loose && !n.asked {
		return demand{}
	}
	stored := s.mayOrder(now)
	for i, j := range s.queue {
		if i >= demandScan {
			break
		}
		if now-j.acceptedAt < demandDelay || !j.BestEffort && !stored || !s.mayStart(j) {
			continue
		}
		for k := range j.Steps {
			step := &j.Steps[k]
			if j.left[k] == 0 || !n.eligible(j.Service, step) || !n.capacity.Covers(step.Required) || !n.reaches(now, j, step) {
				continue
			}
			return demand{
				urgency: 1 + int32(j.stage)*priorities + int32(min(max(j.Priority, 0), priorities-1)),
				cpu:     step.Required.CPU,
			}
		}
	}
	return demand{}
}
