package placement

import (
	"slices"

	"github.com/teaseltide/teaseltide/pkg/clock"
)

// maxWaiting is the number of lanes that a plan passes over from which further
// tasks take a slower worker instead of waiting. Without it, the first maxHeld
// jobs of a burst all waited, the plan ended there, and slots of a large fleet
// stayed idle.
const maxWaiting = 4

// maxHeld bounds the lanes that one plan passes over because their tasks wait
// for a faster worker or leave slots to shorter jobs. Each costs two steps in a
// heap, for each plan.
const maxHeld = 8

// planTasks binds queued tasks to workers and calls bind for each.
func (s *service) planTasks(now clock.Millis, bind func(*lane, *link)) {
	s.plan++
	s.startProbes(now)
	for s.queued > 0 && s.free.size > 0 && len(s.held) < maxHeld {
		t := s.nextTeam()
		if t == nil {
			break
		}
		l := t.next(s.plan)
		if l == nil {
			t.skipped = s.plan
			continue
		}
		to, v := s.choose(l, now)
		switch v {
		case bindTask:
			bind(l, to)
		case waitForFaster:
			l.queue.lanes.remove(l)
			s.held = append(s.held, l)
		case noRoom:
			l.queue.blocked = s.plan
			s.reserve(l.queue, now)
		}
	}
	s.planReserved(now, bind)
	s.releaseHeld()
	s.planInAdvance(bind)
}

// planInAdvance gives tasks that found no slot to workers where they wait for
// one.
func (s *service) planInAdvance(bind func(*lane, *link)) {
	s.plan++
	for s.queued > 0 && s.prefetchable.size > 0 {
		t := s.nextTeam()
		if t == nil {
			return
		}
		l := t.next(s.plan)
		if l == nil {
			t.skipped = s.plan
			continue
		}
		to := s.prefetchable.first(l.queue.size)
		if to == nil {
			l.queue.blocked = s.plan
			continue
		}
		bind(l, to)
	}
}

// releaseHeld returns the held lanes to their queues.
func (s *service) releaseHeld() {
	held := s.held
	s.held = s.held[:0]
	for _, l := range held {
		l.queue.lanes.push(l)
	}
	clear(held)
	for c := s.waitSet.next(0); c < speedClasses; c = s.waitSet.next(c + 1) {
		s.waiting[c] = 0
	}
	s.waitSet = classSet{}
}

// reserveAfter is how long a task may find no room before a worker is drained
// for it. Without it, a stream of small tasks starves a large one.
const reserveAfter = 1 * clock.Second

// reserve drains the fastest worker that can hold the queue's size once the
// queue has been blocked for a while.
func (s *service) reserve(q *sizeQueue, now clock.Millis) {
	if q.blockedSince == 0 {
		q.blockedSince = now
		return
	}
	if q.reserved != nil || now-q.blockedSince < reserveAfter {
		return
	}
	var best *link
	for _, l := range s.links {
		usable := l.worker.reserved == nil && !l.health.ejected && l.worker.Capacity.holds(q.size)
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
	best.worker.update()
	s.reserved = append(s.reserved, q)
}

// endBlock ends the wait of a queue for room once its last task is gone.
func (s *service) endBlock(q *sizeQueue) {
	if len(q.lanes) > 0 {
		return
	}
	q.blockedSince = 0
	s.unreserve(q)
}

// unreserve ends the reservation of a queue, if any.
func (s *service) unreserve(q *sizeQueue) {
	w := q.reserved
	i := slices.Index(s.reserved, q)
	if w == nil || i < 0 {
		return
	}
	s.reserved = slices.Delete(s.reserved, i, i+1)
	q.reserved = nil
	w.reserved = nil
	w.update()
}

// planReserved starts large tasks on the workers that were drained for them.
// The main loop ends when no worker has room, and drained workers do not count
// as having room.
func (s *service) planReserved(now clock.Millis, bind func(*lane, *link)) {
	if len(s.reserved) == 0 {
		return
	}
	for _, q := range slices.Clone(s.reserved) {
		if len(q.lanes) == 0 {
			continue
		}
		if to, v := s.choose(q.lanes[0], now); v == bindTask {
			bind(q.lanes[0], to)
		}
	}
}
