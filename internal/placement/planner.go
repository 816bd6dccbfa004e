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
	// Prefetch is the number of tasks that a worker may be given beyond its
	// slots. They wait at the worker, which saves the round trip between two
	// tasks, but they can no longer start elsewhere. Default 0.
	Prefetch int
	// Ageing is the weight of a job's remaining time against its age: a job
	// passes another if its remaining time, multiplied by Ageing, is shorter
	// by more than the difference of their arrivals. Default 1000.
	Ageing float64
	// WaitRatio is the largest ratio between the expected finish on a busy
	// faster worker and that on a free one at which a task waits. Default 0.7.
	WaitRatio float64
	// Slack is the part of a job's expected ideal time within which a task
	// must be expected to end to be given to a slower worker than the fastest
	// free one. Default 0.9.
	Slack float64
	// SlackQuantile is how many standard deviations above its expected run
	// time the task must still end within the slack. Default 1.8.
	SlackQuantile float64
	// SlackFactor bounds the run time on the slower worker relative to the
	// fastest one, because some tasks take much longer than expected. It
	// applies while the number of free slots exceeds the bound that Plenty
	// sets. Default 1.5.
	SlackFactor float64
	// AmpleSlots is the number of free slots, in square roots of the number of
	// slots, above which SlackFactor applies. Default 2.
	AmpleSlots float64
	// Reserve is the number of free slots, in square roots of the number of
	// slots, that long jobs leave to short ones. Default 0.65.
	Reserve float64
	// ReserveFrom is the ideal time, in expected run times on the fastest
	// worker, from which a job leaves slots free; at ReserveRange times that
	// it leaves all of Reserve free. Defaults 4 and 16.
	ReserveFrom, ReserveRange float64
	// ReserveUntil is the lateness, in ideal times of the job, at which a job
	// leaves no slots free any more. Default 20.
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

// orDefault sets a parameter that is zero.
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
	// bindings are those of the plan in progress; positions gives the place of
	// each in bindings.
	bindings  []Binding
	positions map[bindingKey]int
}

// bindingKey names a binding: one for each job and worker of a plan.
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

func (p *Planner) service(name string) *service {
	s := p.services.Get(name)
	if s == nil {
		s = newService(name, &p.config)
		p.services.Put(name, s)
	}
	return s
}

func (p *Planner) job(now clock.Millis, id JobID) *job {
	j := p.jobs[id]
	if j == nil {
		s := p.service(id.Service)
		j = &job{id: id, service: s, team: s.team(id.Team, p.share(id.Team)), arrived: now, bound: make(map[TaskIndex]boundTask)}
		p.jobs[id] = j
	}
	return j
}

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
	kept := w.links
	if len(kept) > 0 {
		w.detach()
	}
	w.Worker = spec
	w.removed = false
	w.links = nil
	for _, name := range spec.Services {
		if w.linkTo(p.service(name)) == nil {
			p.attach(w, p.service(name), kept)
		}
	}
	w.update()
}

// attach links a worker to a service. The record of an earlier link of the
// same incarnation is kept.
func (p *Planner) attach(w *worker, s *service, kept []*link) {
	i := slices.IndexFunc(kept, func(l *link) bool { return l.service == s })
	l := &link{worker: w, service: s}
	if i >= 0 {
		l = kept[i]
	}
	l.detached = false
	l.speed = s.speed(w.Name)
	l.class = classOf(l.speed.log)
	w.links = append(w.links, l)
	s.links = append(s.links, l)
	s.addSize(w.Capacity)
	if l.health.ejected {
		s.ejected++
		s.scheduleProbe(l)
		return
	}
	s.addCapacity(l, 1)
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

// SetPrefetch implements Policy. Workers follow a change with their next task.
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
	j.add(tasks)
	j.service.activate(j.team)
}

// RemoveQueued implements Policy.
func (p *Planner) RemoveQueued(id JobID) []TaskIndex {
	j := p.jobs[id]
	if j == nil {
		return nil
	}
	j.cancelled = true
	var removed []TaskIndex
	for _, l := range j.lanes {
		for len(l.tasks) > 0 {
			removed = append(removed, l.take().index)
		}
	}
	j.reorder()
	j.service.activate(j.team)
	p.forget(j)
	return removed
}

// forget drops a job without tasks.
func (p *Planner) forget(j *job) {
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
	b := boundTask{worker: w, link: w.linkTo(j.service), at: now}
	if b.link != nil {
		b.expected = clock.Millis(j.service.meanWork() * b.link.class.factor())
	}
	j.start(index, b)
}

// start records that a task was given to a worker.
func (j *job) start(index TaskIndex, b boundTask) {
	j.bound[index] = b
	j.latest = max(j.latest, b.at+b.expected)
	j.team.deficit = max(j.team.deficit-float64(b.expected), min(j.team.deficit, -j.service.credit()))
	j.team.turn -= float64(b.expected)
	if b.link != nil {
		b.link.health.bound++
		b.link.health.starts++
	}
	b.worker.take(b.size)
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
	p.charge(now, j, b, outcome, run)
	if b.link != nil {
		p.learn(now, j, b, outcome, run)
	}
	b.worker.free(b.size)
	p.forget(j)
}

// charge corrects the team's slot time by the actual use.
func (p *Planner) charge(now clock.Millis, j *job, b boundTask, outcome Outcome, run clock.Millis) {
	used := now - b.at
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

// learn updates the estimates and the worker's record.
func (p *Planner) learn(now clock.Millis, j *job, b boundTask, outcome Outcome, run clock.Millis) {
	b.link.health.bound--
	switch outcome {
	case Succeeded:
		if run > 0 {
			j.service.model.observe(b.declared, run, b.link.speed)
		}
		b.link.succeeded()
	case Failed:
		b.link.failed(now, j)
	case NotStarted:
		// A worker that refuses every task looks idle like one that fails
		// them. Tasks of a cancelled job end the same way without its fault.
		if !j.cancelled {
			b.link.failed(now, j)
		}
	}
}

// Restore implements Policy.
func (p *Planner) Restore(name, worker string, runs runtimes.Summary) {
	p.service(name).restore(worker, runs)
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
		s.planTasks(now, func(l *lane, to *link) { p.bind(now, l, to) })
	}
	return p.bindings
}

// bind gives the first task of a lane to a worker.
func (p *Planner) bind(now clock.Millis, l *lane, to *link) {
	j := l.job
	q := l.queue
	t := l.take()
	expected := clock.Millis(math.Ceil(t.work * to.class.factor()))
	j.service.unreserve(q)
	q.blockedSince = 0
	j.start(t.index, boundTask{link: to, worker: to.worker, size: q.size, declared: t.declared, at: now, expected: expected})
	j.reorder()
	j.service.activate(j.team)

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
func (p *Planner) Fits(name string, size Resources) bool {
	s := p.services.Get(name)
	return s != nil && s.fits(size)
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
		sum += o.speed.log
	}
	return math.Exp(l.speed.log - sum/float64(len(l.service.links)))
}
