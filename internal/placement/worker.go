package placement

import "slices"

// worker is a worker with its bound tasks and the capacity that they use.
type worker struct {
	Worker
	links []*link
	busy  int
	used  Resources
	// reserved is the queue for whose large task this worker drains, or nil.
	reserved *resourceQueue
	removed  bool
}

// link connects a worker with a service that it serves.
type link struct {
	worker  *worker
	service *service
	speed   *speed
	class   speedClass
	health  health
	// detached is true once the worker no longer serves the service.
	detached bool
	// freeSlots is this worker's contribution to the service's freeSlots.
	freeSlots int
	// index and position locate the link in one of the service's indexes; index
	// is nil if the link is in none.
	index    *speedIndex
	position int
}

func (s Resources) plus(t Resources) Resources {
	return Resources{MemoryMiB: s.MemoryMiB + t.MemoryMiB, CPUs: s.CPUs + t.CPUs, Accelerators: s.Accelerators + t.Accelerators}
}

func (s Resources) minus(t Resources) Resources {
	return Resources{MemoryMiB: s.MemoryMiB - t.MemoryMiB, CPUs: s.CPUs - t.CPUs, Accelerators: s.Accelerators - t.Accelerators}
}

// holds reports whether a task that needs t fits into s.
func (s Resources) holds(t Resources) bool {
	return t.MemoryMiB <= s.MemoryMiB && t.CPUs <= s.CPUs && t.Accelerators <= s.Accelerators
}

// hasCapacity reports whether the worker's free capacity holds a task.
func (w *worker) hasCapacity(t Resources) bool {
	return w.Capacity.holds(w.used.plus(t))
}

// allocate adds a task to the worker's busy count and used capacity.
func (w *worker) allocate(t Resources) {
	w.busy++
	w.used = w.used.plus(t)
	w.reindex()
}

// release removes a task from the worker's busy count and used capacity.
func (w *worker) release(t Resources) {
	w.busy--
	w.used = w.used.minus(t)
	w.reindex()
}

// reindex moves the worker's links to the indexes that match their free slots.
func (w *worker) reindex() {
	for _, l := range w.links {
		l.reindex()
	}
}

// reindex moves the link to the index and class that match its free slots and
// speed.
func (l *link) reindex() {
	target := l.targetIndex()
	l.countFreeSlots(target)
	class := classOf(l.speed.logFactor)
	if l.index == target && (class == l.class || l.index == nil) {
		l.setClass(class)
		return
	}
	if l.index != nil {
		l.index.remove(l)
	}
	l.setClass(class)
	if target != nil {
		target.add(l)
	}
}

// targetIndex returns the index that the link belongs to now, or nil.
func (l *link) targetIndex() *speedIndex {
	w := l.worker
	switch available := l.availableSlots(); {
	case w.removed || w.reserved != nil:
		return nil
	case available > 0:
		return &l.service.free
	case l.health.taskLimit > 0 || l.health.ejected || available <= -l.service.prefetch:
		return nil
	case available == 0 || l.index == &l.service.prefetchable:
		// A worker is given tasks in advance only when none waits there, so that
		// they are sent in few messages.
		return &l.service.prefetchable
	default:
		return nil
	}
}

// countFreeSlots updates the service's count of free slots for the index that
// the link is about to join.
func (l *link) countFreeSlots(index *speedIndex) {
	free := 0
	if index == &l.service.free {
		free = l.availableSlots()
	}
	l.service.freeSlots += free - l.freeSlots
	l.freeSlots = free
}

// setClass moves the worker's slots to another speed class.
func (l *link) setClass(class speedClass) {
	if class == l.class {
		return
	}
	if !l.health.ejected && !l.worker.removed {
		l.service.addSlots(l, -1)
		l.class = class
		l.service.addSlots(l, 1)
		return
	}
	l.class = class
}

// detach removes the worker from its services.
func (w *worker) detach() {
	w.removed = true
	for _, l := range w.links {
		s := l.service
		if l.index != nil {
			l.index.remove(l)
		}
		l.countFreeSlots(nil)
		if l.health.ejected {
			s.ejected--
		} else {
			s.addSlots(l, -1)
		}
		if w.reserved != nil {
			s.unreserve(w.reserved)
		}
		l.addFailureScore(-l.health.failureScore)
		l.detached = true
		s.links = slices.DeleteFunc(s.links, func(o *link) bool { return o == l })
		s.probes = slices.DeleteFunc(s.probes, func(o *link) bool { return o == l })
		s.removeWorkerCapacity(w.Capacity)
	}
}

// linkTo returns the worker's link to a service, or nil.
func (w *worker) linkTo(s *service) *link {
	for _, l := range w.links {
		if l.service == s {
			return l
		}
	}
	return nil
}
