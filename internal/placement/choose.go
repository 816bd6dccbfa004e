package placement

import (
	"math"

	"github.com/teaseltide/teaseltide/pkg/clock"
)

// verdict is what choose decides about a task.
type verdict int

const (
	bindTask verdict = iota
	waitForFaster
	noRoom
)

// maxTries bounds the workers that first tries for a task whose size does not
// fit the fastest ones.
const maxTries = 64

// choose selects the worker for the first task of a lane.
func (s *service) choose(l *lane, now clock.Millis) (*link, verdict) {
	size := l.queue.size
	if w := l.queue.reserved; w != nil {
		if w.hasRoom(size) && w.busy < w.Slots {
			return w.linkTo(s), bindTask
		}
	}
	work := l.tasks[0].work
	if s.reserves(l.job, now) {
		return nil, waitForFaster
	}
	if to := s.slowestInTime(l, now); to != nil {
		return to, bindTask
	}
	to := s.free.first(size)
	if to == nil {
		return nil, noRoom
	}
	finish := work * to.class.factor()
	slack := max(float64(l.job.latest-now), s.drainTime(l.job.work))
	mayWait := finish > slack && len(s.held) < maxWaiting && !s.mustShare(l.job.team)
	if mayWait && l.mayWait(now, finish) && s.worthWaiting(to.class, work, finish) {
		return nil, waitForFaster
	}
	return to, bindTask
}

// maxReserve is the largest part of the slots that long jobs leave free. On a
// few slots the square root would be a large part of them.
const maxReserve = 0.125

// reserves reports whether the free slots are kept for shorter jobs. A long
// job loses little if a task waits; a short job that finds no free fast slot
// takes many times its ideal time.
func (s *service) reserves(j *job, now clock.Millis) bool {
	if s.config.Reserve <= 0 || s.mustShare(j.team) {
		return false
	}
	typical := s.meanWork() * s.fastest()
	grade := math.Log(j.ideal/typical/s.config.ReserveFrom) / math.Log(s.config.ReserveRange)
	late := float64(now-j.arrived) - j.ideal
	relief := min(1, 1-late/(s.config.ReserveUntil*j.ideal))
	if grade <= 0 || relief <= 0 {
		return false
	}
	grade = min(grade, 1) * relief
	all := float64(s.allSlots)
	reserve := min(s.config.Reserve*math.Sqrt(all), all*maxReserve)
	return float64(s.freeSlots) <= grade*reserve
}

// slowestInTime returns the slowest free worker that is expected to end the
// first task of a lane within the ideal time of its job, or nil. It leaves
// the fast workers to tasks that need them.
func (s *service) slowestInTime(l *lane, now clock.Millis) *link {
	j := l.job
	left := s.config.Slack*j.ideal - float64(now-j.arrived)
	if left <= 0 {
		return nil
	}
	bound := classOf(math.Log(left / (l.tasks[0].work * s.model.quantile(s.config.SlackQuantile))))
	if s.plentiful() {
		bound = min(bound, classOf(math.Log(s.fastest()*s.config.SlackFactor)))
	}
	for c := s.free.classes.prev(bound); c >= 0; c = s.free.classes.prev(c - 1) {
		for _, to := range s.free.links[c] {
			if to.worker.hasRoom(l.queue.size) {
				return to
			}
		}
	}
	return nil
}

// plentiful reports whether many slots are free.
func (s *service) plentiful() bool {
	return float64(s.freeSlots) > s.config.AmpleSlots*math.Sqrt(float64(s.allSlots))
}

// fastest returns the factor of the fastest class, or 1.
func (s *service) fastest() float64 {
	c := s.present.next(0)
	if c >= speedClasses {
		return 1
	}
	return c.factor()
}

// mayWait reports whether the lane may pass over a free worker on which its
// task would take finish milliseconds. It may not if the faster workers could
// be too small, or if it has waited that long already because their slots go
// to others.
func (l *lane) mayWait(now clock.Millis, finish float64) bool {
	for _, c := range l.job.service.sizes {
		if !c.size.holds(l.queue.size) {
			return false
		}
	}
	if l.heldSince == 0 {
		l.heldSince = now
	}
	return float64(now-l.heldSince) < finish
}

// worthWaiting reports whether a busy worker faster than class is expected to
// finish the task earlier although it must end another task first, and counts
// the task as waiting for it.
func (s *service) worthWaiting(class speedClass, work, finish float64) bool {
	mean := s.meanWork()
	limit := finish * s.config.WaitRatio
	for c := s.present.next(0); c < class; c = s.present.next(c + 1) {
		f := c.factor()
		if work*f >= limit {
			return false
		}
		wait := float64(s.waiting[c]+1) * mean * f / float64(s.slots[c])
		if wait+work*f < limit {
			s.waiting[c]++
			s.waitSet.add(c)
			return true
		}
	}
	return false
}

// first returns the fastest worker in the index that has room for the size,
// or nil.
func (x *speedIndex) first(size Resources) *link {
	tries := 0
	for c := x.classes.next(0); c < speedClasses; c = x.classes.next(c + 1) {
		row := x.links[c]
		for i := len(row) - 1; i >= 0; i-- {
			if row[i].worker.hasRoom(size) {
				return row[i]
			}
			tries++
			if tries == maxTries {
				return nil
			}
		}
	}
	return nil
}
