package scheduler

import (
	"cmp"
	"math"
	"slices"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// maxExplainedSteps bounds the time that an explanation takes on the control thread.
const maxExplainedSteps = 16

// Reason is the reason for or against a worker.
type Reason string

// Reasons for a worker.
const (
	// Chosen is the worker of lowest cost before noise.
	Chosen Reason = "chosen"
	// WithinNoise means that noise may make the worker the one of lowest cost.
	WithinNoise Reason = "within noise"
)

// Reasons against a worker.
const (
	NotConnected   Reason = "not connected"
	NoInventory    Reason = "no inventory"
	NoReport       Reason = "no report"
	Evacuated      Reason = "evacuated"
	NotReady       Reason = "not ready"
	OtherService   Reason = "other service"
	LabelMissing   Reason = "label missing"
	ReportTooOld   Reason = "report too old"
	Reserved       Reason = "reserved for another entry"
	TooSmall       Reason = "too small"
	NoFreeCapacity Reason = "no free capacity"
	HigherCost     Reason = "higher cost"
	// TaskLimit means that the worker has as many tasks of the step as permitted.
	TaskLimit Reason = "task limit"
	// Isolation means that a task under which a worker crashed is kept apart.
	Isolation Reason = "isolation"
	// Ejected, TooSlow and Trouble also tell why a worker is avoided.
	Ejected Reason = "ejected"
	TooSlow Reason = "too slow"
	// Trouble means that the task failed on the worker or crashed it.
	Trouble Reason = "trouble with the task"
)

// isAvoidance reports whether a worker that is possible for this reason is avoided.
func (r Reason) isAvoidance() bool { return r != "" }

// Explanation tells what would happen to a job if it were submitted now.
type Explanation struct {
	Route     batch.Route  `json:"route"`
	Service   string       `json:"service"`
	Priority  int          `json:"priority"`
	Objective clock.Millis `json:"objective_ms"`
	// Known is the state of a job with the same id at this entry; a submission would join
	// that job.
	Known batch.State `json:"known,omitempty"`
	Stage string      `json:"stage"`
	// Refusal is the reason of a refusal; empty if the job is accepted.
	Refusal      string       `json:"refusal,omitempty"`
	RetryAfter   clock.Millis `json:"retry_after_ms,omitempty"`
	ExpectedWait clock.Millis `json:"expected_wait_ms"`
	// QueuedAhead is the number of queued jobs that are placed before this one.
	QueuedAhead int `json:"queued_ahead"`
	// HeldBack is true for a job that cannot be in time while the workers are crowded.
	HeldBack bool `json:"held_back,omitempty"`
	// Steps holds the first maxExplainedSteps steps.
	Steps        []StepExplanation `json:"steps"`
	OmittedSteps int               `json:"omitted_steps,omitempty"`
}

// StepExplanation tells where the first task of a step would go if its turn were now.
type StepExplanation struct {
	Count int `json:"count"`
	// DependsOn lists the steps that must end before.
	DependsOn []int               `json:"depends_on,omitempty"`
	Workers   []WorkerExplanation `json:"workers"`
}

// WorkerExplanation is the reason for or against a worker. The cost is without noise, 0 for
// a worker without a report.
type WorkerExplanation struct {
	Address Address          `json:"address"`
	Domain  ownership.Domain `json:"domain"`
	// FreeCPU is in millicores, FreeMemoryMB in MB.
	FreeCPU          int64   `json:"free_cpu"`
	FreeMemoryMB     int64   `json:"free_mem_mb"`
	FreeAccelerators int64   `json:"free_gpu"`
	ExpectedRunMs    float64 `json:"expected_run_ms"`
	Cost             float64 `json:"cost"`
	Reason           Reason  `json:"reason"`
}

// Explain returns what would happen to a job if it were submitted now. It changes nothing.
func (s *Scheduler) Explain(now clock.Millis, b batch.Job) Explanation {
	if _, known := s.pools[b.Service]; !known {
		// The lookup of a pool adds it.
		defer delete(s.pools, b.Service)
	}
	j := newJob(now, b)
	j.waitingSince = now
	if b.BestEffort {
		_, elapsed := s.patienceWith(now, &b)
		j.sentAt = now - elapsed
	}
	j.stage = j.stageAt(now, s.longestExpectedRemaining(j))
	a := s.admissionOf(now, b)
	e := Explanation{
		Route: b.Route, Service: b.Service, Priority: b.Priority, Objective: b.Objective, Stage: j.stage.String(),
		Refusal: a.reason, RetryAfter: a.retryAfter, HeldBack: !s.mayStart(j), Steps: []StepExplanation{},
	}
	if state, known := s.Status(b.ID); known {
		e.Known = state
	}
	if capacity, fits := s.serviceCapacity(b); fits {
		e.ExpectedWait = s.expectedWait(now, b, capacity)
	}
	for _, other := range s.queue {
		if compareJobs(other, j) < 0 {
			e.QueuedAhead++
		}
	}
	explained := min(len(b.Steps), maxExplainedSteps)
	e.OmittedSteps = len(b.Steps) - explained
	for i := range explained {
		q := s.newSearch(now, j, &j.tasks[j.firstTask[i]])
		e.Steps = append(e.Steps, StepExplanation{Count: b.Steps[i].Count, DependsOn: b.Steps[i].DependsOn, Workers: q.explain()})
	}
	return e
}

// explain returns the reasons for and against each worker, sorted by cost.
func (q *search) explain() []WorkerExplanation {
	out := make([]WorkerExplanation, 0, len(q.s.nodeList))
	// A worker may be chosen if its least cost is not above the highest one of any other.
	limit := math.Inf(1)
	for _, n := range q.s.nodeList {
		w := WorkerExplanation{Address: n.address, Domain: n.domain, FreeCPU: n.free.CPU, FreeMemoryMB: n.free.MemoryMB, FreeAccelerators: n.free.Accelerators}
		reason, possible := q.judge(n)
		w.Reason = reason
		if n.load != nil {
			avoided := possible && reason.isAvoidance()
			w.ExpectedRunMs, w.Cost = n.expectedRunTime(q.step), q.cost(n, avoided, 0)
			if possible {
				w.Reason = Chosen
				limit = min(limit, q.cost(n, avoided, 1))
			}
		}
		out = append(out, w)
	}
	slices.SortFunc(out, func(a, b WorkerExplanation) int {
		return cmp.Or(cmp.Compare(a.sortCost(), b.sortCost()), cmp.Compare(a.Address, b.Address))
	})
	chosen := false
	for i := range out {
		w := &out[i]
		switch {
		case w.Reason != Chosen:
		case !chosen:
			chosen = true
		case w.Cost <= limit:
			w.Reason = WithinNoise
		default:
			w.Reason = HigherCost
		}
		w.ExpectedRunMs, w.Cost = roundToTenth(w.ExpectedRunMs), roundToTenth(w.Cost)
	}
	return out
}

// roundToTenth rounds figures that are shown.
func roundToTenth(x float64) float64 { return math.Round(x*10) / 10 }

// sortCost returns the cost, infinite if it is not known.
func (w *WorkerExplanation) sortCost() float64 {
	if w.Cost == 0 {
		return math.Inf(1)
	}
	return w.Cost
}

// String returns the name of a stage.
func (s stage) String() string { return [...]string{"in time", "late", "overdue"}[s] }
