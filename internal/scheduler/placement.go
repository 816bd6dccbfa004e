package scheduler

import (
	"slices"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
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

// chooseWorker returns the worker of lowest cost among those with free capacity
// that are expected to end the task in time, nil if there is none.
func (q *search) chooseWorker() *node {
	var best *node
	var bestCost float64
	for _, n := range q.s.nodeList {
		reason, possible := q.judge(n)
		if !possible {
			continue
		}
		q.s.highestPriority = min(q.s.highestPriority, q.job.Priority)
		cost := q.cost(n, reason.isAvoidance(), q.s.rand.Float64())
		if best == nil || cost < bestCost {
			best, bestCost = n, cost
		}
	}
	return best
}

// judge reports whether the task can be placed on a worker now. The reason is that against
// the worker, or why the worker is avoided if there is another one, or empty.
func (q *search) judge(n *node) (reason Reason, possible bool) {
	if reason = n.ineligibility(q.job.Service, q.step); reason != "" {
		return reason, false
	}
	switch {
	case q.now-n.reportReceivedAt > maxReportAge:
		return ReportTooOld, false
	case q.now < n.reservedUntil:
		return Reserved, false
	case !n.free.Covers(q.step.Required):
		if !n.capacity.Covers(q.step.Required) {
			return TooSmall, false
		}
		return NoFreeCapacity, false
	}
	return q.permits(n)
}

// cost returns the cost of a worker for the task, with noise from 0 to 1.
func (q *search) cost(n *node, avoided bool, noise float64) float64 {
	cost := n.noisyCost(q.step, noise)*n.interference(q.job.Route) + q.s.separationCost(q.task, n) + q.s.coldCost(q.job, n) + q.task.refusalCost(n)
	if avoided {
		cost += avoidedCost
	}
	return cost
}

// noisyCost returns the cost of a worker with noise from 0 to 1.
func (n *node) noisyCost(step *batch.Step, noise float64) float64 {
	if n.outsideSubset {
		return n.cost(step) * outsideSubsetCost * (1 + outsideSubsetNoise*noise)
	}
	return n.cost(step) * (1 + costNoise*noise)
}

// eligible reports whether a worker takes tasks of a step, regardless of its free
// capacity.
func (n *node) eligible(service string, step *batch.Step) bool {
	return n.ineligibility(service, step) == ""
}

// ineligibility returns why a worker takes no tasks of a step, empty if it does.
func (n *node) ineligibility(service string, step *batch.Step) Reason {
	switch {
	case !n.connected:
		return NotConnected
	case !n.hasInventory:
		return NoInventory
	case n.load == nil:
		return NoReport
	case n.evacuated:
		return Evacuated
	case !n.isReady():
		return NotReady
	case n.load.GetService() != service:
		return OtherService
	case step.RequiredLabel != "" && !slices.Contains(n.load.GetLabels(), step.RequiredLabel):
		return LabelMissing
	}
	return ""
}

// expectedRunTime returns the expected run time of a task of a step in ms.
func (n *node) expectedRunTime(step *batch.Step) float64 {
	return float64(step.EstimatedRunTime) * n.currentSlowness() * n.rackFactor(step)
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
