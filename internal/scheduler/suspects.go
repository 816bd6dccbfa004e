package scheduler

import (
	"slices"

	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// maxSuspectFraction bounds the part of a service's workers on which suspects run
	// at a time, over all entries: each of them may crash its worker.
	maxSuspectFraction = 1.0 / 3
	// maxSuspectWait is how long after its crash a suspect waits because of that bound.
	// The crash of a silent worker is known only after seconds, so with many suspects
	// one that harms nothing would wait for very long.
	maxSuspectWait = 1500 * clock.Millis(1)
	// suspectCost is added to the cost of a worker, in ms, to keep suspects and other
	// tasks apart. It exceeds any expected run time, so that a worker without it is
	// preferred whenever it has room and ends the task in time.
	suspectCost = 1e9
)

// suspects are the tasks under which a worker has crashed. A run of one is kept apart
// from other runs: each crash counts for all tasks on the worker, and the last one
// permitted fails their jobs.
type suspects struct {
	tasks []boundTask
	// nodes holds the workers to which one is bound.
	nodes map[Address]bool
}

func (t *task) isSuspect() bool { return len(t.crashedAttempts) > 0 }

// addSuspects adds the tasks of a job under which a worker had crashed before the job
// came to this entry.
func (s *Scheduler) addSuspects(j *job) {
	for i := range j.tasks {
		if t := &j.tasks[i]; t.isSuspect() {
			s.suspects.tasks = append(s.suspects.tasks, boundTask{j, t})
		}
	}
}

// updateSuspects removes the tasks that have ended and notes where the others run.
func (s *Scheduler) updateSuspects() {
	clear(s.suspects.nodes)
	if len(s.suspects.tasks) == 0 {
		return
	}
	s.suspects.tasks = slices.DeleteFunc(s.suspects.tasks, func(b boundTask) bool {
		return s.jobs[b.job.ID] != b.job || b.task.state == taskDone
	})
	for _, b := range s.suspects.tasks {
		s.noteSuspectBound(b.task)
	}
}

// noteSuspectBound notes the worker of a suspect.
func (s *Scheduler) noteSuspectBound(t *task) {
	if t.isSuspect() && t.state == taskBound {
		s.suspects.nodes[t.node] = true
	}
}

// maySuspectStart reports whether one more suspect may run on the workers of a service.
// The entries share the bound evenly.
func (s *Scheduler) maySuspectStart(now clock.Millis, t *task, service string) bool {
	if now-t.lastCrashAt >= maxSuspectWait {
		return true
	}
	serving, taken := 0, 0
	for _, n := range s.nodeList {
		if !n.connected || n.load.GetService() != service {
			continue
		}
		serving++
		if s.suspects.nodes[n.address] {
			taken++
		}
	}
	return float64(taken+1) <= max(1, maxSuspectFraction*float64(serving)/float64(max(1, s.entryCount)))
}

// separationCost returns the cost of a worker for a task that comes from keeping
// suspects apart. A suspect gets the worker with the lowest utilization.
func (s *Scheduler) separationCost(t *task, n *node) float64 {
	switch {
	case t.isSuspect():
		return suspectCost * n.utilization()
	case s.suspects.nodes[n.address]:
		return suspectCost
	}
	return 0
}
