package placement

import (
	"math"
	"slices"

	"github.com/teaseltide/teaseltide/internal/runtimes"
	"github.com/teaseltide/teaseltide/internal/table"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Config holds the parameters of a Planner. A parameter that is zero gets its
// default; a negative Slack or Reserve switches that rule off.
type Config struct {
	// Prefetch is the number of tasks that may be bound to a worker beyond its
	// slots. They wait at the worker, which saves a round trip between tasks, but
	// can no longer start elsewhere. Default 0.
	Prefetch int
	// Ageing is the weight of a job's remaining time relative to its age: a job
	// passes an earlier one if its remaining time, multiplied by Ageing, is
	// shorter by more than the difference of their arrivals. Default 1000.
	Ageing float64
	// WaitRatio is the largest ratio between the expected finish time on a busy
	// faster worker and that on a free one at which a task waits for the faster
	// one. Default 0.7.
	WaitRatio float64
	// Slack is the fraction of a job's ideal time within which a task must be
	// expected to finish to be bound to a worker slower than the fastest free
	// one. Default 0.9.
	Slack float64
	// SlackQuantile is how many standard deviations above its expected run
	// time the task must still finish within the slack. Default 1.8.
	SlackQuantile float64
	// SlackFactor bounds the run time on the slower worker relative to the
	// fastest one, because some tasks take much longer than expected. It applies
	// while more slots are free than AmpleSlots sets. Default 1.5.
	SlackFactor float64
	// AmpleSlots is the number of free slots, in square roots of the number of
	// slots, above which SlackFactor applies. Default 2.
	AmpleSlots float64
	// Reserve is the number of free slots, in square roots of the number of
	// slots, that long jobs leave to short ones. Default 0.65.
	Reserve float64
	// ReserveFrom is the ideal time, in expected run times on the fastest
	// worker, above which a job leaves slots free; at ReserveRange times that
	// it leaves all of Reserve free. Defaults 4 and 16.
	ReserveFrom, ReserveRange float64
	// ReserveUntil is the lateness, in ideal times of the job, from which a job
	// no longer leaves slots free. Default 20.
	ReserveUntil float64
}

// Defaults of Config.
const (
	// With 100, a job in a burst fell behind larger ones that had arrived
	// earlier, which raised p99; deadlines bound the wait of the large ones.
	defaultAgeing        = 1000
	defaultWaitGain      = 0.7
	defaultSlack         = 0.9
	defaultSlackQuantile = 1.8
	defaultSlackFactor   = 1.5
	defaultPlenty        = 2
	defaultReserve       = 0.65
	defaultReserveFrom   = 4
	defaultReserveRange  = 16
	defaultReserveUntil  = 20
)

// orDefault sets a parameter that is zero to a default value.
func orDefault(parameter *float64, value float64) {
	if *parameter == 0 {
		*parameter = value
	}
}

func (c *Config) setDefaults() {
	orDefault(&c.Ageing, defaultAgeing)
	orDefault(&c.WaitRatio, defaultWaitGain)
	orDefault(&c.Slack, defaultSlack)
	orDefault(&c.SlackQuantile, defaultSlackQuantile)
	orDefault(&c.SlackFactor, defaultSlackFactor)
	orDefault(&c.AmpleSlots, defaultPlenty)
	orDefault(&c.Reserve, defaultReserve)
	orDefault(&c.ReserveFrom, defaultReserveFrom)
	orDefault(&c.ReserveRange, defaultReserveRange)
	orDefault(&c.ReserveUntil, defaultReserveUntil)
}

// Planner implements Policy. It is not safe for concurrent use.
type Planner struct {
	config   Config
	shares   map[string]int
	services *table.Table[string, service]
	workers  *table.Table[WorkerID, worker]
	jobs     map[JobID]*job
	// bindings are those of the plan in progress; positions holds the index of
	// each in bindings.
	bindings  []Binding
	positions map[bindingKey]int
}

// bindingKey identifies a binding in a plan, which has one for each job and
// worker.
type bindingKey struct {
	job    *job
	worker *worker
}

var _ Policy = (*Planner)(nil)

// New returns a Planner without workers and jobs.
func New(cfg Config) *Planner {
	cfg.setDefaults()
	return &Planner{
		config:    cfg,
		services:  table.New[string, service](),
		workers:   table.New[WorkerID, worker](),
		jobs:      make(map[JobID]*job),
		positions: make(map[bindingKey]int),
	}
}

// service returns the state of a service, creating it if necessary.
func (p *Planner) service(name string) *service {
	s := p.services.Get(name)
	if s == nil {
		s = newService(name, &p.config)
		p.services.Put(name, s)
	}
	return s
}

// job returns the state of a job, creating it if necessary.
func (p *Planner) job(now clock.Millis, id JobID) *job {
	j := p.jobs[id]
	if j == nil {
		s := p.service(id.Service)
		j = &job{id: id, service: s, team: s.team(id.Team, p.share(id.Team)), arrived: now, bound: make(map[TaskIndex]boundTask)}
		p.jobs[id] = j
	}
	return j
}

// share returns the weight of a team, which is at least 1.
func (p *Planner) share(team string) float64 {
	return float64(max(p.shares[team], 1))
}

// SetWorker implements Policy.
func (p *Planner) SetWorker(_ clock.Millis, spec Worker) {
	w := p.workers.Get(spec.ID)
	if w == nil {
		w = &worker{}
		p.workers.Put(spec.ID, w)
	}
	previous := w.links
	if len(previous) > 0 {
		w.detach()
	}
	w.Worker = spec
	w.removed = false
	w.links = nil
	for _, name := range spec.Services {
		if w.linkTo(p.service(name)) == nil {
			p.attach(w, p.service(name), previous)
		}
	}
	w.reindex()
}

// attach links a worker to a service. It reuses the link of the same incarnation
// in previous, if any, with its health.
func (p *Planner) attach(w *worker, s *service, previous []*link) {
	i := slices.IndexFunc(previous, func(l *link) bool { return l.service == s })
	l := &link{worker: w, service: s}
	if i >= 0 {
		l = previous[i]
	}
	l.detached = false
	l.speed = s.speed(w.Name)
	l.class = classOf(l.speed.logFactor)
	w.links = append(w.links, l)
	s.links = append(s.links, l)
	s.addWorkerCapacity(w.Capacity)
	if l.health.ejected {
		s.ejected++
		s.scheduleProbe(l)
		return
	}
	s.addSlots(l, 1)
}

// RemoveWorker implements Policy.
func (p *Planner) RemoveWorker(id WorkerID) {
	w := p.workers.Get(id)
	if w == nil {
		return
	}
	w.detach()
	p.workers.Delete(id)
}

// SetPrefetch implements Policy. A change takes effect for a worker when its next
// task is bound or finished.
func (p *Planner) SetPrefetch(prefetch map[string]int) {
	for name, n := range prefetch {
		p.service(name).prefetch = n
	}
}

// SetShares implements Policy.
func (p *Planner) SetShares(shares map[string]int) {
	p.shares = make(map[string]int, len(shares))
	for name, share := range shares {
		p.shares[name] = share
	}
	for _, s := range p.services.All() {
		for name, t := range s.teams {
			t.share = p.share(name)
		}
	}
}

// Enqueue implements Policy.
func (p *Planner) Enqueue(now clock.Millis, id JobID, tasks []Task) {
	if len(tasks) == 0 {
		return
	}
	j := p.job(now, id)
	j.service.adoptRestored()
	j.cancelled = false
	j.addTasks(tasks)
	j.service.updateActive(j.team)
}

// RemoveQueued implements Policy.
func (p *Planner) RemoveQueued(id JobID) []TaskIndex {
	j := p.jobs[id]
	if j == nil {
		return nil
	}
	j.cancelled = true
	var removed []TaskIndex
	for _, g := range j.groups {
		for len(g.tasks) > 0 {
			removed = append(removed, g.pop().index)
		}
	}
	j.reorder()
	j.service.updateActive(j.team)
	p.dropIfEmpty(j)
	return removed
}

// dropIfEmpty deletes a job that has no queued or bound tasks.
func (p *Planner) dropIfEmpty(j *job) {
	if j.queued == 0 && len(j.bound) == 0 {
		delete(p.jobs, j.id)
	}
}

// RecordBound implements Policy.
func (p *Planner) RecordBound(now clock.Millis, id JobID, workerID WorkerID, index TaskIndex) {
	w := p.workers.Get(workerID)
	if w == nil {
		return
	}
	j := p.job(now, id)
	if _, ok := j.bound[index]; ok {
		return
	}
	b := boundTask{worker: w, link: w.linkTo(j.service), boundAt: now}
	if b.link != nil {
		b.expected = clock.Millis(j.service.meanWork() * b.link.class.factor())
	}
	j.addBound(index, b)
}

// addBound records that a task is bound to a worker and charges its expected run
// time to the team.
func (j *job) addBound(index TaskIndex, b boundTask) {
	j.bound[index] = b
	j.latestEnd = max(j.latestEnd, b.boundAt+b.expected)
	j.team.deficit = max(j.team.deficit-float64(b.expected), min(j.team.deficit, -j.service.maxCredit()))
	j.team.turnBudget -= float64(b.expected)
	if b.link != nil {
		b.link.health.bound++
		b.link.health.starts++
	}
	b.worker.allocate(b.resources)
}

// RecordOutcome implements Policy.
func (p *Planner) RecordOutcome(now clock.Millis, id JobID, workerID WorkerID, index TaskIndex, outcome Outcome, run clock.Millis) {
	j := p.jobs[id]
	if j == nil {
		return
	}
	b, ok := j.bound[index]
	if !ok || b.worker.ID != workerID {
		return
	}
	delete(j.bound, index)
	p.correctDeficit(now, j, b, outcome, run)
	if b.link != nil {
		p.recordResult(now, j, b, outcome, run)
	}
	b.worker.release(b.resources)
	p.dropIfEmpty(j)
}

// correctDeficit replaces the expected slot time of a task in the team's deficit
// by the time used.
func (p *Planner) correctDeficit(now clock.Millis, j *job, b boundTask, outcome Outcome, run clock.Millis) {
	used := now - b.boundAt
	if outcome == NotStarted {
		used = 0
	} else if run > 0 {
		used = run
	}
	j.team.deficit -= float64(used - b.expected)
	if !j.team.active {
		j.team.deficit = min(j.team.deficit, 0)
	}
}

// recordResult updates the estimates and the worker's health.
func (p *Planner) recordResult(now clock.Millis, j *job, b boundTask, outcome Outcome, run clock.Millis) {
	b.link.health.bound--
	switch outcome {
	case Succeeded:
		if run > 0 {
			j.service.model.observe(b.declared, run, b.link.speed)
		}
		b.link.recordSuccess()
	case Failed:
		b.link.recordFailure(now, j)
	case NotStarted:
		// A worker that refuses every task looks idle, like one that fails every
		// task. Tasks of a cancelled job also end as not started, which is not a
		// failure of the worker.
		if !j.cancelled {
			b.link.recordFailure(now, j)
		}
	}
}

// Restore implements Policy.
func (p *Planner) Restore(name, worker string, runs runtimes.Summary) {
	p.service(name).addRestored(worker, runs)
}

// Plan implements Policy.
func (p *Planner) Plan(now clock.Millis) []Binding {
	p.bindings = nil
	clear(p.positions)
	for _, s := range p.services.All() {
		s.adoptRestored()
		if s.queued == 0 {
			continue
		}
		s.planTasks(now, func(g *taskGroup, to *link) { p.bind(now, g, to) })
	}
	return p.bindings
}

// bind binds the first task of a group to a worker.
func (p *Planner) bind(now clock.Millis, g *taskGroup, to *link) {
	j := g.job
	q := g.queue
	t := g.pop()
	expected := clock.Millis(math.Ceil(t.work * to.class.factor()))
	j.service.unreserve(q)
	q.blockedSince = 0
	j.addBound(t.index, boundTask{link: to, worker: to.worker, resources: q.resources, declared: t.declared, boundAt: now, expected: expected})
	j.reorder()
	j.service.updateActive(j.team)

	key := bindingKey{job: j, worker: to.worker}
	i, ok := p.positions[key]
	if !ok {
		i = len(p.bindings)
		p.positions[key] = i
		p.bindings = append(p.bindings, Binding{Job: j.id, Worker: to.worker.ID})
	}
	p.bindings[i].Tasks = append(p.bindings[i].Tasks, BoundTask{Index: t.index, Expected: expected})
}

// Fits implements Policy.
func (p *Planner) Fits(name string, needed Resources) bool {
	s := p.services.Get(name)
	return s != nil && s.fits(needed)
}

// WorkerCount implements Policy.
func (p *Planner) WorkerCount(name string) int {
	s := p.services.Get(name)
	if s == nil {
		return 0
	}
	return len(s.links)
}

// Estimate implements Policy.
func (p *Planner) Estimate(_ clock.Millis, name string, tasks []Task) clock.Millis {
	s := p.services.Get(name)
	if s == nil {
		return math.MaxInt32
	}
	s.adoptRestored()
	return s.estimate(tasks)
}

// Workers implements Policy. The order is that in which the workers were
// added; a worker's slowdown is that of its first service.
func (p *Planner) Workers(_ clock.Millis) []WorkerStatus {
	out := make([]WorkerStatus, 0, p.workers.Len())
	for _, w := range p.workers.All() {
		out = append(out, w.status())
	}
	return out
}

// status returns the worker's status over all of its services.
func (w *worker) status() WorkerStatus {
	st := WorkerStatus{Worker: w.Worker, Busy: w.busy, Slowdown: 1}
	for i, l := range w.links {
		if i == 0 {
			st.Slowdown = l.slowdown()
		}
		if l.health.ejected {
			st.Ejected = true
			st.Reason = l.service.name + ": " + l.health.reason
		}
		st.Starts += l.health.starts
		st.Failures += l.health.failures
	}
	return st
}

// slowdown returns the learned run time relative to the mean of the service.
func (l *link) slowdown() float64 {
	sum := 0.0
	for _, o := range l.service.links {
		sum += o.speed.logFactor
	}
	return math.Exp(l.speed.logFactor - sum/float64(len(l.service.links)))
}
