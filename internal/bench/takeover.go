package bench

import (
	"slices"

	"github.com/teaseltide/teaseltide/internal/placement"
)

// Takeover replaces the owner: from From until Until nobody places tasks, jobs
// that arrive wait, and results stay at the workers.
type Takeover struct {
	// From and Until are in milliseconds.
	From, Until float64
	Knowledge   Knowledge
}

// Knowledge is what a new owner knows of run times and workers.
type Knowledge int

// Kinds of knowledge.
const (
	// Nothing is what an owner knows without history.
	Nothing Knowledge = iota
	// Restored is what the workers tell of their run times.
	Restored
	// Kept is what the former owner knew, which no new owner does; it bounds
	// what restoring can reach.
	Kept
)

func (k Knowledge) String() string {
	return [...]string{"nothing", "restored", "kept"}[k]
}

// taskState says how far a task is.
type taskState int

const (
	unsent taskState = iota
	sent
	ended
)

// placedTask is the state of a task and the worker that it was sent to.
type placedTask struct {
	state  taskState
	worker int
}

// withoutOwner delays what only an owner can handle until there is one.
func (s *simulation) withoutOwner(e event) bool {
	t := s.scenario.Takeover
	if t == nil || s.now < t.From || s.now >= t.Until {
		return false
	}
	if e.kind != jobArrives && e.kind != resultArrives && e.kind != timer {
		return false
	}
	e.at = t.Until
	s.agenda.push(e)
	return true
}

// takeOver begins the service of the new owner with the jobs in progress.
func (s *simulation) takeOver() {
	if s.scenario.Takeover.Knowledge == Kept {
		return
	}
	s.policy = s.scenario.Policy()
	s.introduce()
	if s.scenario.Takeover.Knowledge == Restored {
		for i, w := range s.workers {
			s.policy.Restore(service, s.scenario.Fleet.worker(i).Name, w.runs)
		}
	}
	for _, j := range s.inProgress() {
		s.resume(j)
	}
}

// inProgress returns the jobs without an end in the order of their arrival.
func (s *simulation) inProgress() []*jobRun {
	var out []*jobRun
	for _, j := range s.jobs {
		if !j.ended {
			out = append(out, j)
		}
	}
	slices.SortFunc(out, func(a, b *jobRun) int {
		if a.arrival < b.arrival {
			return -1
		}
		return 1
	})
	return out
}

// resume tells the policy where the tasks of a job run and queues the others.
func (s *simulation) resume(j *jobRun) {
	var queued []placement.Task
	for i, t := range s.describe(j) {
		switch p := j.placed[i]; p.state {
		case unsent:
			queued = append(queued, t)
		case sent:
			s.policy.RecordBound(s.millis(), j.id, s.workers[p.worker].id, t.Index)
		}
	}
	s.policy.Enqueue(s.millis(), j.id, queued)
}

// The takeover experiment: the owner is replaced in takeoverGap, and the jobs
// that arrive from its death until takeoverRun after it are in the figures.
const (
	takeoverGap      = 2_000.0
	takeoverRun      = 10_000.0
	takeoverDeadline = 60_000.0
	// highDeclared is the factor of callers that declare too much.
	highDeclared = 10.0
)

// TakeoverOf returns the scenario of a replaced owner at a load, with a deadline
// of a minute for each job. The declared run times are multiplied by declare:
// callers that declare too much are the hard case for an owner without history.
func TakeoverOf(f Fleet, v Variant, load, declare float64, k Knowledge, seed uint64) Scenario {
	sc := Steady(f, load, v, seed)
	from := sc.WarmUp
	sc.Duration = from + takeoverGap + takeoverRun
	sc.Deadline = takeoverDeadline
	sc.DeclareFactor = declare
	sc.Takeover = &Takeover{From: from, Until: from + takeoverGap, Knowledge: k}
	return sc
}
