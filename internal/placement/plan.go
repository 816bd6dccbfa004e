package placement

import (
	"slices"

	"github.com/teaseltide/teaseltide/pkg/clock"
)

// maxWaitingGroups is the number of deferred groups in a plan from which further
// tasks take a slower worker instead of waiting. Without it, the first
// maxDeferred jobs of a burst all waited, the plan ended there, and slots of a
// large fleet stayed idle.
const maxWaitingGroups = 4

// maxDeferred bounds the groups that one plan passes over because their tasks
// wait for a faster worker or leave slots to shorter jobs. Each costs two heap
// operations in each plan.
const maxDeferred = 8

// planTasks binds queued tasks to workers and calls bind for each.
func (s *service) planTasks(now clock.Millis, bind func(*taskGroup, *link)) {
	s.planNumber++
	s.startProbes(now)
	for s.queued > 0 && s.free.size > 0 && len(s.deferred) < maxDeferred {
		t := s.nextTeam()
		if t == nil {
			break
		}
		g := t.next(s.planNumber)
		if g == nil {
			t.skippedPlan = s.planNumber
			continue
		}
		to, v := s.choose(g, now)
		switch v {
		case bindTask:
			bind(g, to)
		case waitForFaster:
			g.queue.groups.remove(g)
			s.deferred = append(s.deferred, g)
		case noCapacity:
			g.queue.blockedPlan = s.planNumber
			s.reserveWorker(g.queue, now)
		}
	}
	s.planReserved(now, bind)
	s.requeueDeferred()
	s.planPrefetch(bind)
}

// planPrefetch binds tasks that found no free slot to busy workers, where they
// wait for a slot.
func (s *service) planPrefetch(bind func(*taskGroup, *link)) {
	s.planNumber++
	for s.queued > 0 && s.prefetchable.size > 0 {
		t := s.nextTeam()
		if t == nil {
			return
		}
		g := t.next(s.planNumber)
		if g == nil {
			t.skippedPlan = s.planNumber
			continue
		}
		to := s.prefetchable.fastestFitting(g.queue.resources)
		if to == nil {
			g.queue.blockedPlan = s.planNumber
			continue
		}
		bind(g, to)
	}
}

// requeueDeferred returns the deferred groups to their queues and clears the
// counts of waiting tasks.
func (s *service) requeueDeferred() {
	deferred := s.deferred
	s.deferred = s.deferred[:0]
	for _, g := range deferred {
		g.queue.groups.push(g)
	}
	clear(deferred)
	for c := s.waitingClasses.next(0); c < speedClasses; c = s.waitingClasses.next(c + 1) {
		s.waiting[c] = 0
	}
	s.waitingClasses = classSet{}
}

// reserveAfter is how long a queue is blocked for lack of resources before a
// worker is drained for it. Without a reservation, a stream of small tasks
// starves a large one.
const reserveAfter = 1 * clock.Second

// reserveWorker drains the fastest worker with enough capacity for the queue's
// tasks once the queue has been blocked for reserveAfter.
func (s *service) reserveWorker(q *resourceQueue, now clock.Millis) {
	if q.blockedSince == 0 {
		q.blockedSince = now
		return
	}
	if q.reserved != nil || now-q.blockedSince < reserveAfter {
		return
	}
	var best *link
	for _, l := range s.links {
		usable := l.worker.reserved == nil && !l.health.ejected && l.worker.Capacity.holds(q.resources)
		if usable && (best == nil || l.class < best.class) {
			best = l
		}
	}
	// Retry after another interval, because the scan visits all workers.
	q.blockedSince = now
	if best == nil {
		return
	}
	q.reserved = best.worker
	best.worker.reserved = q
	best.worker.reindex()
	s.reserved = append(s.reserved, q)
}

// clearBlocked marks a queue without groups as not blocked and releases its
// reservation.
func (s *service) clearBlocked(q *resourceQueue) {
	if len(q.groups) > 0 {
		return
	}
	q.blockedSince = 0
	s.unreserve(q)
}

// unreserve releases the queue's reserved worker, if any.
func (s *service) unreserve(q *resourceQueue) {
	w := q.reserved
	i := slices.Index(s.reserved, q)
	if w == nil || i < 0 {
		return
	}
	s.reserved = slices.Delete(s.reserved, i, i+1)
	q.reserved = nil
	w.reserved = nil
	w.reindex()
}

// planReserved binds large tasks to the workers that drain for them. The main
// loop does not reach them: it ends when no worker is free, and reserved workers
// do not count as free.
func (s *service) planReserved(now clock.Millis, bind func(*taskGroup, *link)) {
	if len(s.reserved) == 0 {
		return
	}
	for _, q := range slices.Clone(s.reserved) {
		if len(q.groups) == 0 {
			continue
		}
		if to, v := s.choose(q.groups[0], now); v == bindTask {
			bind(q.groups[0], to)
		}
	}
}
