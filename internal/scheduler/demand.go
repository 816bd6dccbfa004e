package scheduler

import "github.com/teaseltide/teaseltide/pkg/clock"

const (
	// demandInterval is the shortest time between two messages to a sidecar that
	// only tell of new demand.
	demandInterval = 20 * clock.Millis(1)
	// demandDelay is how long a job waits before sidecars are told of it: an
	// order that finds no room is back after a round trip.
	demandDelay = 3 * clock.Millis(1)
	// priorities is the number of priorities that demand tells apart.
	priorities = 8
)

// demand is the most urgent job that waits for room.
type demand struct {
	// urgency is 1 for the most urgent, 0 if no job waits.
	urgency int32
	cpu     int64
}

// demands returns what waits for each service's workers.
func (s *Scheduler) demands(now clock.Millis) map[string]demand {
	if len(s.queue) == 0 {
		return nil
	}
	out := make(map[string]demand)
	for _, j := range s.queue {
		if _, ok := out[j.Service]; ok || now-j.acceptedAt < demandDelay || !s.mayStart(j) {
			continue
		}
		out[j.Service] = demand{
			urgency: 1 + int32(j.stage)*priorities + int32(min(max(j.Priority, 0), priorities-1)),
			cpu:     j.Steps[0].Need.CPU,
		}
	}
	return out
}
