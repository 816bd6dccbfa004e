package bench

import (
	"math"
	"time"

	"github.com/teaseltide/teaseltide/internal/admission"
	"github.com/teaseltide/teaseltide/internal/placement"
	"github.com/teaseltide/teaseltide/internal/runtimes"
	"github.com/teaseltide/teaseltide/pkg/clock"
	"github.com/teaseltide/teaseltide/pkg/operator"
)

// Scenario is one run of a policy.
type Scenario struct {
	Fleet Fleet
	// Load relative to the capacity of all slots.
	Load float64
	// Duration of the arrivals in milliseconds.
	Duration float64
	// WarmUp excludes the jobs that arrive before it from the figures, in
	// milliseconds. The policy learns the speeds meanwhile.
	WarmUp float64
	Seed   uint64
	// BurstFrom is when Load begins; before it the load is 50%.
	BurstFrom float64
	// Policy makes the policy under test.
	Policy func() placement.Policy
	// DeclareFactor, if set, multiplies the declared run times.
	DeclareFactor float64
	// TrueTimes declares the true run times to the policy.
	TrueTimes bool
	// Fluid replaces the policy, see Fluid.
	Fluid bool
	// Shares of the teams; each job belongs to one of them at random.
	Shares []TeamShare
	// Deadline of each job in milliseconds after its arrival; 0 for none. With
	// one, jobs pass admission.
	Deadline float64
	// FailingWorker fails every task after failRun from FailFrom on; -1 for
	// none.
	FailingWorker int
	FailFrom      float64
	// Takeover, if set, replaces the owner once.
	Takeover *Takeover
	// ResultsPerGroup sends one result when all tasks of a dispatch ended
	// instead of one for each task.
	ResultsPerGroup bool
}

// TeamShare is the weight of a team.
type TeamShare struct {
	Team  string
	Share int
}

// failRun is how long a task runs on the failing worker, in milliseconds.
const failRun = 5.0

// steadyLoad is the load before a burst.
const steadyLoad = 0.5

// tick is the period of the control thread's timer in milliseconds.
const tick = 10.0

// simulation is the state of a run.
type simulation struct {
	scenario Scenario
	policy   placement.Policy
	admit    *admission.Controller
	agenda   agenda
	now      float64
	workers  []*fakeWorker
	byID     map[placement.WorkerID]int
	jobs     map[placement.JobID]*jobRun
	open     int
	result   *Result
	fastest  float64
	capacity float64
}

// fakeWorker runs tasks on its slots and queues the others in order.
type fakeWorker struct {
	id     placement.WorkerID
	factor float64
	busy   int
	queue  []event
	// runs is what the sidecar tells the next owner.
	runs runtimes.Summary
}

// jobRun is a job in progress.
type jobRun struct {
	*job
	left int
	// placed is where each task was sent.
	placed []placedTask
	// done is the work done during the burst.
	done   float64
	pairs  map[int]bool
	ended  bool
	failed bool
}

// group is a dispatch message.
type group struct {
	left int
	done []event
}

// Run runs a scenario.
func Run(sc Scenario) *Result {
	s := newSimulation(sc)
	for _, j := range s.arrivals() {
		s.open++
		s.agenda.push(event{at: j.arrival, kind: jobArrives, job: newJobRun(j)})
	}
	s.agenda.push(event{at: tick, kind: timer})
	if sc.Takeover != nil {
		s.agenda.push(event{at: sc.Takeover.Until, kind: takeover})
	}
	for len(s.agenda.events) > 0 {
		e := s.agenda.pop()
		s.now = e.at
		s.handle(e)
	}
	s.result.finish(sc, s.capacity)
	return s.result
}

// arrivals returns the jobs of the scenario in the order of their arrival.
func (s *simulation) arrivals() []*job {
	sc := s.scenario
	g := newGenerator(sc.Seed, sc.teams())
	out := g.jobs(steadyLoad, s.capacity, 0, sc.BurstFrom)
	out = append(out, g.jobs(sc.Load, s.capacity, sc.BurstFrom, sc.Duration)...)
	if sc.DeclareFactor > 0 {
		for _, j := range out {
			for i := range j.tasks {
				j.tasks[i].declared = max(clock.Millis(float64(j.tasks[i].declared)*sc.DeclareFactor), 1)
			}
		}
	}
	return out
}

func (sc Scenario) teams() []string {
	if len(sc.Shares) == 0 {
		return []string{"one", "two", "three"}
	}
	var out []string
	for _, t := range sc.Shares {
		out = append(out, t.Team)
	}
	return out
}

func newSimulation(sc Scenario) *simulation {
	s := &simulation{
		scenario: sc,
		policy:   sc.Policy(),
		byID:     map[placement.WorkerID]int{},
		jobs:     map[placement.JobID]*jobRun{},
		result:   newResult(),
		fastest:  math.Inf(1),
	}
	for i, f := range sc.Fleet.factors(sc.Seed) {
		id := sc.Fleet.worker(i).ID
		s.byID[id] = i
		s.workers = append(s.workers, &fakeWorker{id: id, factor: f})
		s.fastest = min(s.fastest, f)
		s.capacity += float64(sc.Fleet.Slots) / f
	}
	s.introduce()
	if sc.Deadline > 0 {
		s.admit = admission.New(admission.Config{})
		s.admit.SetText(sc.text())
	}
	return s
}

// introduce tells the policy the workers and the shares.
func (s *simulation) introduce() {
	for i := range s.workers {
		s.policy.SetWorker(s.millis(), s.scenario.Fleet.worker(i))
	}
	shares := map[string]int{}
	for _, t := range s.scenario.Shares {
		shares[t.Team] = t.Share
	}
	s.policy.SetShares(shares)
}

func (sc Scenario) text() *operator.Text {
	text := &operator.Text{Services: []operator.Service{{Name: service}}}
	for _, name := range sc.teams() {
		text.Teams = append(text.Teams, operator.Team{Name: name, Share: 1})
	}
	return text
}

func (s *simulation) millis() clock.Millis {
	return clock.Millis(s.now)
}

func (s *simulation) handle(e event) {
	if s.withoutOwner(e) {
		return
	}
	switch e.kind {
	case takeover:
		s.takeOver()
	case jobArrives:
		s.arrive(e.job)
	case jobDeadline:
		s.expire(e.job)
	case tasksArrive:
		s.startOrQueue(e)
		return
	case taskEnds:
		s.taskEnded(e)
		return
	case resultArrives:
		s.resultArrived(e)
	case timer:
		if s.open > 0 {
			s.agenda.push(event{at: s.now + tick, kind: timer})
		}
	}
	s.plan()
}

func newJobRun(j *job) *jobRun {
	return &jobRun{job: j, left: len(j.tasks), placed: make([]placedTask, len(j.tasks)), pairs: map[int]bool{}}
}

// describe returns what the policy is told of the tasks of a job.
func (s *simulation) describe(j *jobRun) []placement.Task {
	tasks := make([]placement.Task, len(j.tasks))
	for i, t := range j.tasks {
		tasks[i] = placement.Task{Index: placement.TaskIndex(i), Declared: t.declared, Resources: s.scenario.Fleet.TaskSize}
		if s.scenario.TrueTimes {
			tasks[i].Declared = max(clock.Millis(math.Round(t.work)), 1)
		}
	}
	return tasks
}

// arrive admits a job and queues its tasks.
func (s *simulation) arrive(j *jobRun) {
	tasks := s.describe(j)
	if s.admit != nil && !s.admitted(j, tasks) {
		s.open--
		return
	}
	s.jobs[j.id] = j
	start := time.Now()
	s.policy.Enqueue(s.millis(), j.id, tasks)
	s.result.decision += time.Since(start)
}

func (s *simulation) admitted(j *jobRun, tasks []placement.Task) bool {
	now := s.millis()
	start := time.Now()
	r := &admission.Request{
		Service: service, Team: j.id.Team, Tasks: len(tasks), HasKey: true,
		DeadlineAt:     now + clock.Millis(s.scenario.Deadline),
		Fits:           s.policy.Fits(service, s.scenario.Fleet.TaskSize),
		ServingWorkers: s.policy.WorkerCount,
		Estimate:       s.policy.Estimate(now, service, tasks),
	}
	refusal := s.admit.Admit(now, r)
	s.result.admissions++
	s.result.admission += time.Since(start)
	if refusal != nil {
		s.result.refused++
		s.result.Codes[refusal.Code]++
		return false
	}
	j.deadline = j.arrival + s.scenario.Deadline
	s.agenda.push(event{at: j.deadline, kind: jobDeadline, job: j})
	return true
}

// expire ends a job at its deadline; its tasks that run are not stopped.
func (s *simulation) expire(j *jobRun) {
	if j.ended {
		return
	}
	s.result.late++
	s.fail(j)
}

func (s *simulation) fail(j *jobRun) {
	j.failed = true
	s.policy.RemoveQueued(j.id)
	s.end(j)
}

func (s *simulation) end(j *jobRun) {
	j.ended = true
	s.open--
	if s.admit != nil {
		s.admit.Release(j.id.Team, service, len(j.tasks))
	}
	if !j.failed {
		s.result.complete(s, j)
	}
}

// plan asks the policy for bindings and sends them.
func (s *simulation) plan() {
	start := time.Now()
	bindings := s.policy.Plan(s.millis())
	s.result.decision += time.Since(start)
	for _, b := range bindings {
		j := s.jobs[b.Job]
		w := s.byID[b.Worker]
		g := &group{left: len(b.Tasks)}
		s.result.sent(s, j, w, len(b.Tasks))
		for _, t := range b.Tasks {
			j.placed[t.Index] = placedTask{state: sent, worker: w}
			s.agenda.push(event{at: s.now + s.scenario.Fleet.RoundTrip/2, kind: tasksArrive, job: j, worker: w, index: int(t.Index), group: g})
		}
	}
}

func (s *simulation) startOrQueue(e event) {
	w := s.workers[e.worker]
	if w.busy >= s.scenario.Fleet.Slots {
		w.queue = append(w.queue, e)
		return
	}
	w.busy++
	e.run = s.run(e)
	e.failed = s.failing(e.worker)
	e.at = s.now + e.run
	e.kind = taskEnds
	s.agenda.push(e)
}

// run returns the run time of a task on its worker.
func (s *simulation) run(e event) float64 {
	if s.failing(e.worker) {
		return failRun
	}
	return e.job.tasks[e.index].work * s.workers[e.worker].factor
}

func (s *simulation) failing(worker int) bool {
	return s.scenario.FailFrom > 0 && worker == s.scenario.FailingWorker && s.now >= s.scenario.FailFrom
}

func (s *simulation) taskEnded(e event) {
	w := s.workers[e.worker]
	w.busy--
	if !e.failed {
		w.runs.Observe(e.job.tasks[e.index].declared, clock.Millis(math.Round(e.run)))
	}
	if len(w.queue) > 0 {
		next := w.queue[0]
		w.queue = w.queue[1:]
		s.startOrQueue(next)
	}
	e.at = s.now + s.scenario.Fleet.RoundTrip/2
	e.kind = resultArrives
	if !s.scenario.ResultsPerGroup {
		s.result.answered(s, e.job)
		s.agenda.push(e)
		return
	}
	e.group.left--
	e.group.done = append(e.group.done, e)
	if e.group.left == 0 {
		s.result.answered(s, e.job)
		for _, d := range e.group.done {
			d.at = e.at
			s.agenda.push(d)
		}
	}
}

func (s *simulation) resultArrived(e event) {
	j := e.job
	j.placed[e.index].state = ended
	outcome := placement.Succeeded
	if e.failed {
		outcome = placement.Failed
		s.result.failure(s)
	}
	start := time.Now()
	s.policy.RecordOutcome(s.millis(), j.id, s.workers[e.worker].id, placement.TaskIndex(e.index), outcome, clock.Millis(math.Round(e.run)))
	s.result.decision += time.Since(start)
	s.result.ran(s, j, e.run, s.workers[e.worker].factor)
	if j.ended {
		return
	}
	if outcome == placement.Failed {
		s.fail(j)
		return
	}
	j.left--
	if j.left == 0 {
		s.end(j)
	}
}

// ideal is the response time of a job alone on an idle system with known run
// times.
func (s *simulation) ideal(j *job) float64 {
	return max(j.longest*s.fastest, j.work/s.capacity) + s.scenario.Fleet.RoundTrip
}
