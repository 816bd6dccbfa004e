package scheduler

import (
	"slices"

	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// ejectAfterFailures is the number of failures in a row after which a worker gets
	// only probes. Failures by a task's own fault are rare, and such a task
	// fails elsewhere too, which takes the blame back.
	ejectAfterFailures = 3
	// minProbeInterval and longestEjection bound the time between probes.
	minProbeInterval = 1 * clock.Second
	maxProbeInterval = 8 * clock.Second
	// probeOnlySlowness is the slowness, relative to the median worker, from which a
	// worker gets only probes: waiting for another is faster.
	probeOnlySlowness = 2.5
	// maxEjectedFraction is the largest part of a service's workers that get only
	// probes, because a fault that hits all workers is not theirs.
	maxEjectedFraction = 1.0 / 3
)

// health is what the outcomes of runs tell of a worker.
type health struct {
	// consecutiveFailures counts the failures since the last success.
	consecutiveFailures int
	// failedProbes counts the times in a row that the worker failed its probe.
	failedProbes int
	ejected      bool
	// nextProbeAt is when an ejected worker gets the next task.
	nextProbeAt clock.Millis
}

// recordSuccess takes a worker back into service.
func (h *health) recordSuccess() {
	*h = health{}
}

// recordFailure counts a failure against a worker, unless the task has failed on other
// workers too: then it is the task's fault, and the others are cleared of it.
func (s *Scheduler) recordFailure(now clock.Millis, n *node, t *task) {
	if slices.Contains(t.failedWorkers, n.address) {
		return
	}
	t.failedWorkers = append(t.failedWorkers, n.address)
	if len(t.failedWorkers) > 1 {
		for _, a := range t.failedWorkers[:len(t.failedWorkers)-1] {
			if other := s.nodes[a]; other != nil && other.consecutiveFailures > 0 && !other.ejected {
				other.consecutiveFailures--
			}
		}
		return
	}
	n.consecutiveFailures++
	switch {
	case n.ejected:
		n.failedProbes++
		n.nextProbeAt = now + min(minProbeInterval<<min(n.failedProbes, 8), maxProbeInterval)
	case n.consecutiveFailures >= ejectAfterFailures && s.canEject(n):
		n.ejected = true
		n.nextProbeAt = now + minProbeInterval
		s.counters.Ejections++
		s.out = append(s.out, Decision{Summary: "worker ejected", Sidecar: n.address, Value: int64(n.consecutiveFailures)})
	}
}

func (s *Scheduler) canEject(n *node) bool {
	serving, ejected := 0, 0
	for _, o := range s.nodeList {
		if !o.connected || o.load.GetService() != n.load.GetService() {
			continue
		}
		serving++
		if o.ejected {
			ejected++
		}
	}
	return float64(ejected+1) <= max(1, maxEjectedFraction*float64(serving))
}

// mayPlaceOn reports whether a worker may get a task now. One that is ejected or
// slow gets a single task at a time.
func (s *Scheduler) mayPlaceOn(now clock.Millis, n *node, median float64) bool {
	if !n.ejected && n.slowness <= probeOnlySlowness*median {
		return true
	}
	return len(n.runs) == 0 && now >= n.nextProbeAt
}
