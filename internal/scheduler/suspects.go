package scheduler

import (
	"slices"

	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// maxSuspectFraction bounds the part of a service's workers on which suspects run
	// at a time, over all entries: each of them may crash its worker.
	maxSuspectFraction = 1.0 / 3
	// maxSuspectWait is how long after its crash a suspect waits because of that bound, or
	// for a worker without another suspect. The crash of a silent worker is known only
	// after seconds, so with many suspects one that harms nothing would wait for very
	// long, and a task must start within 3 s of its turn while capacity is free.
	maxSuspectWait = 1500 * clock.Millis(1)
	// suspectCost is added to the cost of a worker, in ms, to keep suspects and other
	// tasks apart. It exceeds any expected run time, so that a worker without it is
	// preferred whenever it has room and ends the task in time.
	suspectCost = 1e9
)

// suspects are the tasks under which a worker has crashed. A run of one is kept apart
// from other runs: each crash counts for all tasks on the worker, and the last one
// permitted fails their jobs if they are best-effort jobs.
type suspects struct {
	tasks []boundTask
	// nodes holds the workers to which one is bound.
	nodes map[Address]bool
	// room is the number of further workers of each service that may get one, as of this
	// pass, for the services that were asked for.
	room map[string]int
}

func (t *task) isSuspect() bool { return t.crashCount > 0 }

// addSuspects adds the tasks of a job under which a worker had crashed before the job
// came to this entry. Those of a stored job are contained as if it had crashed now.
func (s *Scheduler) addSuspects(now clock.Millis, j *job) {
	for i := range j.tasks {
		if t := &j.tasks[i]; t.isSuspect() {
			if !j.BestEffort {
				t.lastCrashAt = now
			}
			s.suspects.tasks = append(s.suspects.tasks, boundTask{j, t})
		}
	}
}

// updateSuspects removes the tasks that have ended and notes where the others run.
func (s *Scheduler) updateSuspects() {
	clear(s.suspects.nodes)
	clear(s.suspects.room)
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
		clear(s.suspects.room)
	}
}

// isIsolated reports whether a suspect still waits for a worker without another one.
func (t *task) isIsolated(now clock.Millis, bestEffort bool) bool {
	wait := maxSuspectWait
	if !bestEffort {
		wait = max(wait, t.pause()+isolationTime)
	}
	return t.isSuspect() && now-t.lastCrashAt < wait
}

// needsOwnWorker reports whether a task starts only on a worker without other runs, as far
// as this entry knows: several workers have crashed under it, and it has not waited long.
func (t *task) needsOwnWorker(now clock.Millis, bestEffort bool) bool {
	return !bestEffort && t.crashCount >= 2 && t.isIsolated(now, bestEffort)
}

// maySuspectStart reports whether a suspect may be bound to one more of a service's workers.
func (s *Scheduler) maySuspectStart(now clock.Millis, j *job, t *task) bool {
	if !j.BestEffort && !t.mayStartAfterCrash(now) {
		return false
	}
	return !t.isIsolated(now, j.BestEffort) || s.suspectRoom(j.Service) > 0
}

// suspectRoom returns the number of further workers of a service that may get a suspect.
// The entries share the bound evenly.
func (s *Scheduler) suspectRoom(service string) int {
	if room, ok := s.suspects.room[service]; ok {
		return room
	}
	serving, taken := 0, 0
	for _, n := range s.nodeList {
		if !n.connected || n.evacuated || n.load.GetService() != service {
			continue
		}
		serving++
		if s.suspects.nodes[n.address] {
			taken++
		}
	}
	room := int(max(1, maxSuspectFraction*float64(serving)/float64(max(1, s.entryCount)))) - taken
	s.suspects.room[service] = room
	return room
}

// separationCost returns the cost of a worker for a task that comes from keeping
// suspects apart. A suspect gets the worker with the lowest utilization, one with another
// suspect only if no other worker has room.
func (s *Scheduler) separationCost(t *task, n *node) float64 {
	cost := 0.0
	if t.isSuspect() {
		cost = suspectCost * n.utilization()
	}
	if s.suspects.nodes[n.address] {
		cost += suspectCost
	}
	return cost
}
