package scheduler

import (
	"slices"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// queuedWorkInterval is the shortest time between two notes about queued work.
	queuedWorkInterval = 100 * clock.Millis(1)
	// queuedWorkRetention is how long a note about queued work counts. Entries with queued
	// work send one every queuedWorkInterval, so nothing is known of a silent one.
	queuedWorkRetention = 1 * clock.Second
)

// queuedWork is what an entry knows of the work that waits at the other entries.
type queuedWork struct {
	// peers holds the entries with a session.
	peers map[ownership.Incarnation]peerWork
	// notedAt is the time of the last own note, noted whether it contained work.
	notedAt clock.Millis
	noted   bool
	// others is the sum of the work of peers when it was last computed.
	others float64
}

// OthersQueuedWork returns the declared work that waits at the other entries, in millicores
// times ms, at most 500 ms old.
func (s *Scheduler) OthersQueuedWork() float64 { return s.queuedWork.others }

// sumOthers computes the sum of the other entries' queued work.
func (q *queuedWork) sumOthers(now clock.Millis) {
	q.others = 0
	for _, p := range q.peers {
		if p.isStale(now) {
			continue
		}
		for _, w := range p.work {
			q.others += w
		}
	}
}

// peerWork is the declared work of another entry's queued tasks, in millicores times ms,
// as of its last note.
type peerWork struct {
	notedAt clock.Millis
	work    map[workClass]float64
}

// workClass is the service and the priority of queued work.
type workClass struct {
	service  string
	priority int
}

// isStale reports whether nothing is known of an entry's queued work any more.
func (p *peerWork) isStale(now clock.Millis) bool {
	return len(p.work) > 0 && now-p.notedAt >= queuedWorkRetention
}

// recordQueuedWork records the work in a note of another entry.
func (s *Scheduler) recordQueuedWork(now clock.Millis, from ownership.Incarnation, note *wire.EntryNote) {
	if _, connected := s.queuedWork.peers[from]; !connected || !note.GetQueuedWorkSet() {
		return
	}
	p := peerWork{notedAt: now, work: make(map[workClass]float64, len(note.GetQueuedWork()))}
	for _, w := range note.GetQueuedWork() {
		p.work[workClass{w.GetService(), int(w.GetPriority())}] += float64(max(0, w.GetWork()))
	}
	s.queuedWork.peers[from] = p
	s.queuedWork.sumOthers(now)
}

// IsQueuedWorkOnly reports whether a note tells nothing but queued work, after which no
// decision is due: it counts for the jobs that arrive next. With 12 entries, an entry gets up
// to 110 such notes per second.
func IsQueuedWorkOnly(note *wire.EntryNote) bool {
	return note.GetQueuedWorkSet() && len(note.GetCancelled()) == 0 && note.Pending == nil && note.GetEvacuations() == nil
}

// noteQueuedWork tells the other entries of the work that waits here for capacity: at most
// every queuedWorkInterval, and once when nothing waits any more.
func (s *Scheduler) noteQueuedWork(now clock.Millis) {
	if len(s.queuedWork.peers) == 0 || len(s.queue) == 0 && !s.queuedWork.noted || now-s.queuedWork.notedAt < queuedWorkInterval {
		return
	}
	work := make(map[workClass]float64)
	for _, j := range s.queue {
		// A job that has just arrived is about to be placed.
		if j.stage == inTime && now-j.acceptedAt >= demandDelay && !j.isHeldElsewhere() && !s.isRestricted(j) {
			work[workClass{j.Service, j.Priority}] += j.pendingWork()
		}
	}
	if len(work) == 0 && !s.queuedWork.noted {
		return
	}
	s.queuedWork.notedAt, s.queuedWork.noted = now, len(work) > 0
	note := &wire.EntryNote{QueuedWorkSet: true}
	for class, w := range work {
		note.QueuedWork = append(note.QueuedWork, &wire.QueuedWork{Service: class.service, Priority: int32(class.priority), Work: int64(w)})
	}
	s.pendingCommands = append(s.pendingCommands, BroadcastNote{Note: note})
}

// isRestricted reports whether a queued job waits for particular workers: those with a label,
// or in the rack of its data while others have room. Such work does not compete for the
// capacity of the service, and notes do not tell for which part it does.
func (s *Scheduler) isRestricted(j *job) bool {
	return slices.ContainsFunc(j.Steps, func(step batch.Step) bool {
		return step.RequiredLabel != "" || step.DataRack != "" && !s.pool(j.Service).isCrowded()
	})
}

// sharesRestriction reports whether steps of two jobs need the same label or rack.
func sharesRestriction(a, b []batch.Step) bool {
	return slices.ContainsFunc(a, func(x batch.Step) bool {
		return slices.ContainsFunc(b, func(y batch.Step) bool {
			return x.RequiredLabel != "" && x.RequiredLabel == y.RequiredLabel || x.DataRack != "" && x.DataRack == y.DataRack
		})
	})
}

// restrictedCapacity returns the throughput of the workers that have the labels of all steps
// of a job and are in the racks of their data.
func (s *Scheduler) restrictedCapacity(b batch.Job) float64 {
	capacity := 0.0
	for _, n := range s.nodeList {
		fits := !n.ejected
		for i := range b.Steps {
			fits = fits && n.eligible(b.Service, &b.Steps[i]) && n.rackFactor(&b.Steps[i]) == 1
		}
		if fits {
			capacity += n.throughput(n.capacity.CPU)
		}
	}
	return capacity
}

// workOfOthers returns the work of the other entries that precedes a job of a class, and the
// number of entries of which nothing is known.
func (s *Scheduler) workOfOthers(now clock.Millis, of workClass) (work float64, unknown int) {
	unknown = s.entryCount - 1 - len(s.queuedWork.peers)
	for _, p := range s.queuedWork.peers {
		if p.isStale(now) {
			unknown++
			continue
		}
		for class, w := range p.work {
			if class.service == of.service && class.priority <= of.priority {
				work += w
			}
		}
	}
	return work, max(0, unknown)
}

// hasFreeCapacity reports whether workers that would end a new job's tasks in time have free
// capacity for all of them, beside the queued jobs that have not been considered for it yet.
func (s *Scheduler) hasFreeCapacity(now clock.Millis, b batch.Job) bool {
	untried := 0
	for _, j := range s.queue {
		if j.Service == b.Service && j.acceptedAt >= s.placedAt {
			untried += j.pendingTasks
		}
	}
	for i := range b.Steps {
		step := &b.Steps[i]
		if free := s.freeSlots(now, b, step); free < step.Count+untried {
			return false
		}
	}
	return true
}

// unlimitedSlots is the number of slots for tasks without a need of CPU.
const unlimitedSlots = 1 << 20

// freeSlots returns the number of tasks of a new job's step that would start at once and end
// in time.
func (s *Scheduler) freeSlots(now clock.Millis, b batch.Job, step *batch.Step) int {
	slots := 0
	for _, n := range s.nodeList {
		if !n.eligible(b.Service, step) || now-n.reportReceivedAt > maxReportAge || now < n.reservedUntil || !n.mayPlaceOn(now) ||
			n.expectedRunTime(step) > float64(b.Objective-responseOverhead) || !n.free.Covers(step.Required) {
			continue
		}
		if step.Required.CPU <= 0 {
			return unlimitedSlots
		}
		slots += int(n.free.CPU / step.Required.CPU)
	}
	return slots
}
