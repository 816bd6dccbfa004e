package scheduler

import (
	"slices"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// maxPlacementMisses bounds the jobs without a worker that a tick examines, so
	// that small tasks can pass large ones at a bounded cost.
	maxPlacementMisses = 32
	// utilizationWeight makes a nearly full worker less attractive than an idle one
	// that is up to three times slower, if the task is in time there: capacity of
	// fast workers is kept for tasks that slow ones cannot end in time.
	utilizationWeight = 2
	// maxReportAge is the age of a sidecar's newest report up to which its worker
	// gets tasks. Reports arrive every 150 ms; a silent VM gets no more tasks.
	maxReportAge = 400 * clock.Millis(1)
	// costNoise spreads the choices of entries that see the same load.
	costNoise = 0.1
)

// placeTasks binds pending tasks to workers with free capacity.
func (s *Scheduler) placeTasks(now clock.Millis) {
	if len(s.queue) == 0 {
		return
	}
	s.updateStages(now)
	s.updateSuspects()
	misses := 0
	var fullyPlaced []*job
	stored := s.mayOrderStored(now)
	for _, j := range s.queue {
		if !j.BestEffort && !stored {
			continue
		}
		if !s.mayStart(j) || !j.callerPresent(now) || !j.mayRun(now) {
			continue
		}
		if !s.placeJob(now, j) {
			if s.hasPendingSuspect(j) {
				continue
			}
			if misses++; misses >= maxPlacementMisses {
				break
			}
			continue
		}
		fullyPlaced = append(fullyPlaced, j)
	}
	for _, j := range fullyPlaced {
		s.dequeue(j)
	}
}

// mayStart reports whether a job may be placed. Late jobs without a started run
// are held back while the workers are crowded.
func (s *Scheduler) mayStart(j *job) bool {
	return j.stage == inTime || j.mayHaveRun() || !s.pool(j.Service).isCrowded()
}

// placeJob binds the pending tasks of a job and reports whether none is left.
func (s *Scheduler) placeJob(now clock.Millis, j *job) bool {
	for i := range j.tasks {
		if j.pendingTasks == 0 {
			return true
		}
		t := &j.tasks[i]
		if !j.isPlaceable(t) {
			continue
		}
		n := s.chooseWorker(now, j, t)
		if n == nil && t.isSuspect() {
			continue
		}
		if n == nil {
			return false
		}
		s.bind(now, j, t, n)
		s.noteSuspectBound(t)
	}
	return j.pendingTasks == 0
}

// chooseWorker returns the worker of lowest cost among those with free capacity
// that are expected to end the task in time, nil if there is none.
func (s *Scheduler) chooseWorker(now clock.Millis, j *job, t *task) *node {
	step := &j.Steps[t.step]
	if t.isSuspect() && !s.maySuspectStart(now, t, j.Service) {
		return nil
	}
	var best *node
	var bestCost float64
	for _, n := range s.nodeList {
		if !n.eligible(j.Service, step) || now-n.reportReceivedAt > maxReportAge || now < n.reservedUntil || !n.free.Covers(step.Required) || !n.mayPlaceOn(now) {
			continue
		}
		if step.MaxPerWorker > 0 && boundTasks(j, t.step, n) >= step.MaxPerWorker {
			continue
		}
		if !n.finishesInTime(now, j, step) {
			continue
		}
		if t.isSuspect() && s.suspects.nodes[n.address] {
			continue
		}
		if t.hadTroubleOn(n) && s.hasAlternative(j, t, n) {
			continue
		}
		cost := s.noisyCost(n, step)*n.interference(j.Route) + s.separationCost(t, n) + s.coldCost(j, n)
		if best == nil || cost < bestCost {
			best, bestCost = n, cost
		}
	}
	return best
}

// noisyCost returns the cost of a worker with noise.
func (s *Scheduler) noisyCost(n *node, step *batch.Step) float64 {
	if n.outsideSubset {
		return n.cost(step) * outsideSubsetCost * (1 + outsideSubsetNoise*s.rand.Float64())
	}
	return n.cost(step) * (1 + costNoise*s.rand.Float64())
}

// eligible reports whether a worker takes tasks of a step, regardless of its free
// capacity.
func (n *node) eligible(service string, step *batch.Step) bool {
	return n.connected && n.hasInventory && n.load != nil && n.load.GetReady() && n.load.GetService() == service &&
		(step.RequiredLabel == "" || slices.Contains(n.load.GetLabels(), step.RequiredLabel))
}

// expectedRunTime returns the expected run time of a task of a step in ms.
func (n *node) expectedRunTime(step *batch.Step) float64 {
	run := float64(step.EstimatedRunTime) * n.currentSlowness()
	if step.DataRack != "" && !slices.Contains(n.load.GetLabels(), step.DataRack) {
		run *= remoteRackFactor
	}
	return run
}

// finishesInTime reports whether a task of a step that starts now is expected to
// end by the job's target.
func (n *node) finishesInTime(now clock.Millis, j *job, step *batch.Step) bool {
	return n.expectedRunTime(step) <= float64(j.targetEnd()-now-responseOverhead)
}

// cost returns the expected run time of a task in ms, weighted by the worker's
// utilization.
func (n *node) cost(step *batch.Step) float64 {
	utilization := n.utilization()
	return max(1, n.expectedRunTime(step)) * (1 + utilizationWeight*utilization*utilization*utilization)
}

// utilization returns the part of the worker's CPU that is in use.
func (n *node) utilization() float64 {
	if n.capacity.CPU <= 0 {
		return 0
	}
	return (1 - float64(n.free.CPU)/float64(n.capacity.CPU)) / n.share()
}

// hadTroubleOn reports whether a worker failed the task or crashed under it. A worker that
// crashes for reasons of its own is empty afterwards and looks the best.
func (t *task) hadTroubleOn(n *node) bool {
	return slices.Contains(t.failedWorkers, n.address) || slices.Contains(t.crashedWorkers, n.address)
}

// hasAlternative reports whether a worker without such trouble could take the task, with
// or without free capacity.
func (s *Scheduler) hasAlternative(j *job, t *task, excluded *node) bool {
	for _, n := range s.nodeList {
		if n != excluded && n.eligible(j.Service, &j.Steps[t.step]) && !t.hadTroubleOn(n) {
			return true
		}
	}
	return false
}

// boundTasks returns the number of a step's tasks that are bound to a worker.
func boundTasks(j *job, step int, n *node) int {
	count := 0
	for i := range j.tasks {
		if t := &j.tasks[i]; t.step == step && t.state == taskBound && t.node == n.address {
			count++
		}
	}
	return count
}
