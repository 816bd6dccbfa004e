package scheduler

import (
	"slices"

	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// ejectAfterFailures is the number of consecutive failures after which a worker
	// is ejected and gets only probes. Tasks that fail by their own fault are rare,
	// and fail on other workers too, which clears the worker.
	ejectAfterFailures = 3
	// minProbeInterval and maxProbeInterval bound the time between probes.
	minProbeInterval = 1 * clock.Second
	maxProbeInterval = 8 * clock.Second
	// maxEjectedFraction bounds the ejected part of a service's workers: a fault
	// that affects all workers is not a fault of the worker.
	maxEjectedFraction = 1.0 / 3
)

// health is the state of a worker's outlier ejection.
type health struct {
	// consecutiveFailures is the number of failures since the last success.
	consecutiveFailures int
	// failedProbes is the number of consecutive failed probes.
	failedProbes int
	ejected      bool
	// nextProbeAt is when an ejected worker may get its next task.
	nextProbeAt clock.Millis
}

// recordSuccess readmits a worker and clears its failures.
func (h *health) recordSuccess() {
	*h = health{}
}

// recordFailure counts a failure against a worker. If the task has failed on
// other workers too, the task is at fault: the worker is not charged and the
// others are cleared of it.
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
		s.pendingCommands = append(s.pendingCommands, Decision{Summary: "worker ejected", Sidecar: n.address, Value: int64(n.consecutiveFailures)})
	}
}

// canEject reports whether ejecting one more worker of a service stays within
// maxEjectedFraction.
func (s *Scheduler) canEject(n *node) bool {
	serving, ejected := 0, 0
	for _, o := range s.nodeList {
		if !o.connected || o.evacuated || o.load.GetService() != n.load.GetService() {
			continue
		}
		serving++
		if o.ejected {
			ejected++
		}
	}
	return float64(ejected+1) <= max(1, maxEjectedFraction*float64(serving))
}

// mayPlaceOn reports whether a worker may get a task now. An ejected worker gets
// one task at a time.
func (n *node) mayPlaceOn(now clock.Millis) bool {
	return !n.ejected || len(n.runs) == 0 && now >= n.nextProbeAt
}
