package placement

import "slices"

// worker is a worker with its free capacity.
type worker struct {
	Worker
	links []*link
	busy  int
	used  Resources
	// reserved is the queue whose large task this worker drains for.
	reserved *sizeQueue
	removed  bool
}

// link is a worker in its role for one service.
type link struct {
	worker  *worker
	service *service
	speed   *speed
	class   speedClass
	health  health
	// detached is true once the worker no longer serves the service.
	detached bool
	// freeSlots is the part of the service's free slots on this worker.
	freeSlots int
	// index and position locate the link among those with room.
	index    *speedIndex
	position int
}

func (s Resources) plus(t Resources) Resources {
	return Resources{MemoryMiB: s.MemoryMiB + t.MemoryMiB, CPUs: s.CPUs + t.CPUs, Accelerators: s.Accelerators + t.Accelerators}
}

func (s Resources) minus(t Resources) Resources {
	return Resources{MemoryMiB: s.MemoryMiB - t.MemoryMiB, CPUs: s.CPUs - t.CPUs, Accelerators: s.Accelerators - t.Accelerators}
}

// holds reports whether a task of size t fits into s.
func (s Resources) holds(t Resources) bool {
	return t.MemoryMiB <= s.MemoryMiB && t.CPUs <= s.CPUs && t.Accelerators <= s.Accelerators
}

// hasRoom reports whether the worker's free size holds a task.
func (w *worker) hasRoom(t Resources) bool {
	return w.Capacity.holds(w.used.plus(t))
}

// take and free change the worker's used capacity.
func (w *worker) take(t Resources) {
	w.busy++
	w.used = w.used.plus(t)
	w.update()
}

func (w *worker) free(t Resources) {
	w.busy--
	w.used = w.used.minus(t)
	w.update()
}

// update moves the worker's links to the index that matches their room.
func (w *worker) update() {
	for _, l := range w.links {
		l.update()
	}
}

func (l *link) update() {
	want := l.wantIndex()
	l.countFree(want)
	class := classOf(l.speed.log)
	if l.index == want && (class == l.class || l.index == nil) {
		l.setClass(class)
		return
	}
	if l.index != nil {
		l.index.remove(l)
	}
	l.setClass(class)
	if want != nil {
		want.add(l)
	}
}

func (l *link) wantIndex() *speedIndex {
	w := l.worker
	switch room := l.room(); {
	case w.removed || w.reserved != nil:
		return nil
	case room > 0:
		return &l.service.free
	case l.health.limit > 0 || l.health.ejected || room <= -l.service.prefetch:
		return nil
	case room == 0 || l.index == &l.service.prefetchable:
		// A worker gets tasks in advance when none waits there, so that they
		// come in few messages.
		return &l.service.prefetchable
	default:
		return nil
	}
}

// countFree updates the service's count of free slots.
func (l *link) countFree(index *speedIndex) {
	free := 0
	if index == &l.service.free {
		free = l.room()
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
		l.service.addCapacity(l, -1)
		l.class = class
		l.service.addCapacity(l, 1)
		return
	}
	l.class = class
}

// detach takes the worker out of its services.
func (w *worker) detach() {
	w.removed = true
	for _, l := range w.links {
		s := l.service
		if l.index != nil {
			l.index.remove(l)
		}
		l.countFree(nil)
		if l.health.ejected {
			s.ejected--
		} else {
			s.addCapacity(l, -1)
		}
		if w.reserved != nil {
			s.unreserve(w.reserved)
		}
		l.addBlame(-l.health.blame)
		l.detached = true
		s.links = slices.DeleteFunc(s.links, func(o *link) bool { return o == l })
		s.probes = slices.DeleteFunc(s.probes, func(o *link) bool { return o == l })
		s.removeSize(w.Capacity)
	}
}

// linkTo returns the worker's link to a service.
func (w *worker) linkTo(s *service) *link {
	for _, l := range w.links {
		if l.service == s {
			return l
		}
	}
	return nil
}
