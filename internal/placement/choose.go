package placement

import (
	"math"

	"github.com/teaseltide/teaseltide/pkg/clock"
)

// decision is the outcome of choose for a task.
type decision int

const (
	// bindTask binds the task to the chosen worker.
	bindTask decision = iota
	// waitForFaster keeps the task queued although a slot is free.
	waitForFaster
	// noCapacity means that no free worker with the resources was found.
	noCapacity
)

// maxFitTries bounds the workers that fastestFitting examines for a task that
// exceeds the free resources of the fastest ones.
const maxFitTries = 64

// choose selects the worker for the first task of a group.
func (s *service) choose(g *taskGroup, now clock.Millis) (*link, decision) {
	needed := g.queue.resources
	if w := g.queue.reserved; w != nil {
		if w.hasCapacity(needed) && w.busy < w.Slots {
			return w.linkTo(s), bindTask
		}
	}
	work := g.tasks[0].work
	if s.leavesSlotsFree(g.job, now) {
		return nil, waitForFaster
	}
	if to := s.slowestWithinSlack(g, now); to != nil {
		return to, bindTask
	}
	to := s.free.fastestFitting(needed)
	if to == nil {
		return nil, noCapacity
	}
	finish := work * to.class.factor()
	slack := max(float64(g.job.latestEnd-now), s.drainTime(g.job.work))
	mayWait := finish > slack && len(s.deferred) < maxWaitingGroups && !s.mustNotWait(g.job.team)
	if mayWait && g.canWait(now, finish) && s.tryWaitForFaster(to.class, work, finish) {
		return nil, waitForFaster
	}
	return to, bindTask
}

// maxReserve is the largest fraction of the slots that long jobs leave free.
// With few slots, their square root would be a large fraction of them.
const maxReserve = 0.125

// leavesSlotsFree reports whether the job must leave the free slots to shorter
// jobs. A long job loses little if a task waits; a short job that finds no free
// fast slot takes many times its ideal time.
func (s *service) leavesSlotsFree(j *job, now clock.Millis) bool {
	if s.config.Reserve <= 0 || s.mustNotWait(j.team) {
		return false
	}
	typical := s.meanWork() * s.fastestFactor()
	reserveShare := math.Log(j.idealTime/typical/s.config.ReserveFrom) / math.Log(s.config.ReserveRange)
	late := float64(now-j.arrived) - j.idealTime
	lateFactor := min(1, 1-late/(s.config.ReserveUntil*j.idealTime))
	if reserveShare <= 0 || lateFactor <= 0 {
		return false
	}
	reserveShare = min(reserveShare, 1) * lateFactor
	all := float64(s.totalSlots)
	reserve := min(s.config.Reserve*math.Sqrt(all), all*maxReserve)
	return float64(s.freeSlots) <= reserveShare*reserve
}

// slowestWithinSlack returns the slowest free worker that is expected to finish
// the first task of a group within the slack of its job, or nil. This keeps the
// fast workers free for the tasks that need them.
func (s *service) slowestWithinSlack(g *taskGroup, now clock.Millis) *link {
	j := g.job
	left := s.config.Slack*j.idealTime - float64(now-j.arrived)
	if left <= 0 {
		return nil
	}
	bound := classOf(math.Log(left / (g.tasks[0].work * s.model.quantile(s.config.SlackQuantile))))
	if s.hasAmpleSlots() {
		bound = min(bound, classOf(math.Log(s.fastestFactor()*s.config.SlackFactor)))
	}
	for c := s.free.classes.prev(bound); c >= 0; c = s.free.classes.prev(c - 1) {
		for _, to := range s.free.links[c] {
			if to.worker.hasCapacity(g.queue.resources) {
				return to
			}
		}
	}
	return nil
}

// hasAmpleSlots reports whether more slots are free than Config.AmpleSlots sets.
func (s *service) hasAmpleSlots() bool {
	return float64(s.freeSlots) > s.config.AmpleSlots*math.Sqrt(float64(s.totalSlots))
}

// fastestFactor returns the run-time factor of the fastest class that has slots,
// or 1 if there are no slots.
func (s *service) fastestFactor() float64 {
	c := s.presentClasses.next(0)
	if c >= speedClasses {
		return 1
	}
	return c.factor()
}

// canWait reports whether the group may pass over a free worker on which its
// task would take finish milliseconds. It may not if a worker of the service is
// too small for the task, as the faster ones could be, or if the group has
// already waited that long because other tasks got the faster slots.
func (g *taskGroup) canWait(now clock.Millis, finish float64) bool {
	for _, c := range g.job.service.capacities {
		if !c.capacity.holds(g.queue.resources) {
			return false
		}
	}
	if g.waitingSince == 0 {
		g.waitingSince = now
	}
	return float64(now-g.waitingSince) < finish
}

// tryWaitForFaster reports whether a busy worker faster than class is expected
// to finish the task earlier although it must finish another task first, and if
// so counts the task as waiting for that worker's class.
func (s *service) tryWaitForFaster(class speedClass, work, finish float64) bool {
	mean := s.meanWork()
	limit := finish * s.config.WaitRatio
	for c := s.presentClasses.next(0); c < class; c = s.presentClasses.next(c + 1) {
		f := c.factor()
		if work*f >= limit {
			return false
		}
		wait := float64(s.waiting[c]+1) * mean * f / float64(s.classSlots[c])
		if wait+work*f < limit {
			s.waiting[c]++
			s.waitingClasses.add(c)
			return true
		}
	}
	return false
}

// fastestFitting returns the fastest worker in the index with these resources
// free, or nil if none of the first maxFitTries workers has them.
func (x *speedIndex) fastestFitting(needed Resources) *link {
	tries := 0
	for c := x.classes.next(0); c < speedClasses; c = x.classes.next(c + 1) {
		row := x.links[c]
		for i := len(row) - 1; i >= 0; i-- {
			if row[i].worker.hasCapacity(needed) {
				return row[i]
			}
			tries++
			if tries == maxFitTries {
				return nil
			}
		}
	}
	return nil
}
