package scheduler

import (
	"maps"
	"math"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// maxSearchMisses is the number of classes and single tasks without a worker up to
	// which each pass searches for all of them, the first of the queue. The searches for
	// those behind them are spread over time: as many in missInterval. Under overload, each
	// job may be a class of its own by its size, and the most urgent ones must get the room
	// that becomes free.
	maxSearchMisses = 32
	missInterval    = 10 * clock.Millis(1)
	// maxMissDelay bounds the time between two searches, well below the 3 s after which a
	// task must have started.
	maxMissDelay = 1 * clock.Second
	// classRetention is how long an unused class is kept for the next alike job.
	classRetention = 10 * clock.Second
)

// classKey holds the requirements that decide which workers can take a task, except for
// its latest end and what concerns the task alone.
type classKey struct {
	service, label, rack string
	route                batch.Route
	required             batch.Resources
}

// placementClass is a class of tasks with the same requirements. What one search finds
// for a class holds for all its tasks until the end of the pass, because free capacity
// only shrinks during a pass.
type placementClass struct {
	usedAt clock.Millis
	// misses holds the last search without a worker, apart for tasks that take avoided
	// workers.
	misses [2]classMiss
	// fastest is the run time on the fastest worker over the declared one, as of
	// fastestPass.
	fastest     float64
	fastestPass int64
}

// classMiss is a search for a class that found no worker.
type classMiss struct {
	pass int64
	// needed is the least tolerance for which a worker with room was found, infinite if
	// none has room.
	needed    float64
	notBefore clock.Millis
}

// placementPass is the state of the passes over the queue.
type placementPass struct {
	number int64
	// misses counts the classes and tasks without a worker in this pass, lastMisses in
	// the one before.
	misses, lastMisses int
	classes            map[classKey]*placementClass
}

func (p *placementPass) begin() {
	p.number++
	p.lastMisses, p.misses = p.misses, 0
}

// missDelay is the time until the next search for what found no worker in this pass.
func (p *placementPass) missDelay() clock.Millis {
	return min(clock.Millis(max(p.misses, p.lastMisses)/maxSearchMisses)*missInterval, maxMissDelay)
}

// class returns the class of a step's tasks.
func (p *placementPass) class(now clock.Millis, j *job, step *batch.Step) *placementClass {
	key := classKey{service: j.Service, label: step.RequiredLabel, rack: step.DataRack, route: j.Route, required: step.Required}
	c := p.classes[key]
	if c == nil {
		c = &placementClass{}
		p.classes[key] = c
	}
	c.usedAt = now
	return c
}

// classify sets the classes of a job's steps.
func (p *placementPass) classify(now clock.Millis, j *job) {
	if j.classes != nil {
		return
	}
	j.classes = make([]*placementClass, len(j.Steps))
	j.searchAt = make([]clock.Millis, len(j.Steps))
	for i := range j.Steps {
		j.classes[i] = p.class(now, j, &j.Steps[i])
	}
}

// forgetClasses removes unused classes. Jobs keep theirs.
func (p *placementPass) forgetClasses(now clock.Millis) {
	maps.DeleteFunc(p.classes, func(_ classKey, c *placementClass) bool { return now-c.usedAt >= classRetention })
}

// miss returns the miss record of tasks that take avoided workers or not.
func (c *placementClass) miss(takesAvoided bool) *classMiss {
	if takesAvoided {
		return &c.misses[1]
	}
	return &c.misses[0]
}

// isMissed reports whether a task with a tolerance is known to find no worker, or whether
// the search for it is not due yet.
func (p *placementPass) isMissed(now clock.Millis, m *classMiss, tolerance float64) bool {
	if m.pass != p.number {
		if m.pass == 0 || now >= m.notBefore || p.misses < maxSearchMisses {
			return false
		}
		m.pass = p.number
		p.misses++
	}
	return tolerance < m.needed
}

// recordMiss records a search for a class without a worker.
func (p *placementPass) recordMiss(now clock.Millis, m *classMiss, needed float64) {
	p.misses++
	*m = classMiss{pass: p.number, needed: needed, notBefore: now + p.missDelay()}
}

// tolerance returns how many times its declared run time a task of a step may take and
// still end by the job's target.
func (j *job) tolerance(now clock.Millis, step *batch.Step) float64 {
	return float64(j.targetEnd()-now-responseOverhead) / float64(max(1, step.EstimatedRunTime))
}

// neededTolerance returns the tolerance that a task must have for a worker, less a
// rounding error.
func (n *node) neededTolerance(step *batch.Step) float64 {
	const rounding = 1e-9
	return n.expectedRunTime(step) / float64(max(1, step.EstimatedRunTime)) * (1 - rounding)
}

// fastestRunTimeOf is fastestRunTime with one search of the workers for a class and pass.
func (s *Scheduler) fastestRunTimeOf(j *job, step int) float64 {
	st := &j.Steps[step]
	if j.classes == nil || st.EstimatedRunTime <= 0 {
		return s.fastestRunTime(j.Service, st)
	}
	c := j.classes[step]
	if c.fastestPass != s.pass.number {
		c.fastestPass = s.pass.number
		c.fastest = s.fastestRunTime(j.Service, st) / float64(st.EstimatedRunTime)
	}
	return c.fastest * float64(st.EstimatedRunTime)
}

// unlimited is the needed tolerance of a class without a worker that has room.
var unlimited = math.Inf(1)
