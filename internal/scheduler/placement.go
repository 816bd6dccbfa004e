package scheduler

import (
	"slices"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// scanned bounds the waiting jobs that are looked at in a tick once one has
	// found no room, so that small tasks may pass large ones at a bounded cost.
	scanned = 32
	// useWeight makes a nearly full worker less attractive than an idle one that
	// is up to three times slower, as long as the task is in time there: the room
	// of fast workers is kept for tasks that slow ones cannot end in time.
	useWeight = 2
	// freshTime is how old the newest report of a sidecar may be for a start.
	// Reports come every 150 ms; a silent machine gets nothing more.
	freshTime = 400 * clock.Millis(1)
	// noise spreads the choices of entries that see the same load.
	noise = 0.1
)

// place binds waiting tasks to workers with room.
func (s *Scheduler) place(now clock.Millis) {
	if len(s.queue) == 0 {
		return
	}
	s.restage(now)
	misses := 0
	var emptied []*job
	stored := s.mayOrder(now)
	for _, j := range s.queue {
		if !j.BestEffort && !stored {
			continue
		}
		if !s.mayStart(j) {
			continue
		}
		if !s.placeJob(now, j) {
			if misses++; misses >= scanned {
				break
			}
			continue
		}
		emptied = append(emptied, j)
	}
	for _, j := range emptied {
		s.unqueue(j)
	}
}

// mayStart reports whether a job gets room. Late ones without a start do not
// while the workers are crowded.
func (s *Scheduler) mayStart(j *job) bool {
	return j.stage == inTime || j.mayHaveRun() || !s.pool(j.Service).crowded()
}

// placeJob binds the waiting tasks of a job and reports whether none is left.
func (s *Scheduler) placeJob(now clock.Millis, j *job) bool {
	for i := range j.tasks {
		if j.waiting == 0 {
			return true
		}
		t := &j.tasks[i]
		if t.state != taskWaiting || !j.stepReady(t.step) {
			continue
		}
		n := s.choose(now, j, t)
		if n == nil {
			return false
		}
		s.bind(now, j, t, n)
	}
	return j.waiting == 0
}

// choose returns the worker with the lowest cost among those with room on which
// a task is expected to end by the time that its job can reach, nil if there is
// none.
func (s *Scheduler) choose(now clock.Millis, j *job, t *task) *node {
	step := &j.Steps[t.step]
	median := s.pool(j.Service).median
	var best *node
	var bestCost float64
	for _, n := range s.list {
		if !n.eligible(j.Service, step) || now-n.echoAt > freshTime || now < n.heldTill || !n.free.Covers(step.Required) || !s.admits(now, n, median) {
			continue
		}
		if step.MaxPerWorker > 0 && boundHere(j, t.step, n) >= step.MaxPerWorker {
			continue
		}
		if !n.reaches(now, j, step) {
			continue
		}
		if slices.Contains(t.failedOn, n.address) && s.elsewhere(j, t, n) {
			continue
		}
		cost := n.cost(step)
		if n.loose {
			cost *= looseCost * (1 + looseNoise*s.rand.Float64())
		} else {
			cost *= 1 + noise*s.rand.Float64()
		}
		if best == nil || cost < bestCost {
			best, bestCost = n, cost
		}
	}
	return best
}

// eligible reports whether a worker takes tasks of a step at all.
func (n *node) eligible(service string, step *batch.Step) bool {
	return n.connected && n.reported && n.load != nil && n.load.GetReady() && n.load.GetService() == service &&
		(step.RequiredLabel == "" || slices.Contains(n.load.GetLabels(), step.RequiredLabel))
}

// runTime is the expected run time of a task of a step in ms.
func (n *node) runTime(step *batch.Step) float64 {
	run := float64(step.EstimatedRunTime) * n.slow
	if step.DataRack != "" && !slices.Contains(n.load.GetLabels(), step.DataRack) {
		run *= remoteFactor
	}
	return run
}

// reaches reports whether a task of a step that starts now is expected to end by
// the time that its job can reach.
func (n *node) reaches(now clock.Millis, j *job, step *batch.Step) bool {
	return n.runTime(step) <= float64(j.reach()-now-tripTime)
}

// cost is the expected run time of a task of a step, weighted by how busy the
// worker is.
func (n *node) cost(step *batch.Step) float64 {
	cost := max(1, n.runTime(step))
	if n.capacity.CPU > 0 {
		use := 1 - float64(n.free.CPU)/float64(n.capacity.CPU)
		cost *= 1 + useWeight*use*use*use
	}
	return cost
}

// elsewhere reports whether another worker than those that failed a task takes
// it, busy or not.
func (s *Scheduler) elsewhere(j *job, t *task, not *node) bool {
	for _, n := range s.list {
		if n != not && n.eligible(j.Service, &j.Steps[t.step]) && !slices.Contains(t.failedOn, n.address) {
			return true
		}
	}
	return false
}

func boundHere(j *job, step int, n *node) int {
	count := 0
	for i := range j.tasks {
		if t := &j.tasks[i]; t.step == step && t.state == taskBound && t.node == n.address {
			count++
		}
	}
	return count
}
