package scheduler

import (
	"slices"

	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// ejectStreak is the number of failures in a row after which a worker gets
	// only probes. Failures by a task's own fault are rare, and such a task
	// fails elsewhere too, which takes the blame back.
	ejectStreak = 3
	// firstEjection and longestEjection bound the time between probes.
	firstEjection   = 1 * clock.Second
	longestEjection = 8 * clock.Second
	// slowFactor is the slowness, relative to the median worker, from which a
	// worker gets only probes: waiting for another is faster.
	slowFactor = 2.5
	// maxEjected is the largest part of a service's workers that get only
	// probes, because a fault that hits all workers is not theirs.
	maxEjected = 1.0 / 3
)

// health is what the outcomes of runs tell of a worker.
type health struct {
	// streak counts the failures since the last success.
	streak int
	// ejections counts the times in a row that the worker failed its probe.
	ejections int
	ejected   bool
	// probeAt is when an ejected worker gets the next task.
	probeAt clock.Millis
}

// succeeded takes a worker back into service.
func (h *health) succeeded() {
	*h = health{}
}

// blame counts a failure against a worker, unless the task has failed on other
// workers too: then it is the task's fault, and the others are cleared of it.
func (s *Scheduler) blame(now clock.Millis, n *node, t *task) {
	if slices.Contains(t.failedOn, n.address) {
		return
	}
	t.failedOn = append(t.failedOn, n.address)
	if len(t.failedOn) > 1 {
		for _, a := range t.failedOn[:len(t.failedOn)-1] {
			if other := s.nodes[a]; other != nil && other.streak > 0 && !other.ejected {
				other.streak--
			}
		}
		return
	}
	n.streak++
	switch {
	case n.ejected:
		n.ejections++
		n.probeAt = now + min(firstEjection<<min(n.ejections, 8), longestEjection)
	case n.streak >= ejectStreak && s.mayEject(n):
		n.ejected = true
		n.probeAt = now + firstEjection
		s.counters.Ejections++
		s.out = append(s.out, Decision{Summary: "worker ejected", Sidecar: n.address, Value: int64(n.streak)})
	}
}

func (s *Scheduler) mayEject(n *node) bool {
	serving, ejected := 0, 0
	for _, o := range s.list {
		if !o.connected || o.load.GetService() != n.load.GetService() {
			continue
		}
		serving++
		if o.ejected {
			ejected++
		}
	}
	return float64(ejected+1) <= max(1, maxEjected*float64(serving))
}

// admits reports whether a worker may get a task now. One that is ejected or
// slow gets a single task at a time.
func (s *Scheduler) admits(now clock.Millis, n *node, median float64) bool {
	if !n.ejected && n.slow <= slowFactor*median {
		return true
	}
	return len(n.runs) == 0 && now >= n.probeAt
}
