package dispatch

import (
	"github.com/teaseltide/teaseltide/internal/admission"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/placement"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Aliases of the outcomes reported to placement.
const (
	outcomeSucceeded  = placement.Succeeded
	outcomeFailed     = placement.Failed
	outcomeNotStarted = placement.NotStarted
)

// admitJob asks admission whether a job is accepted.
func (c *Core) admitJob(spec *wire.Job) *admission.Refusal {
	tasks := c.placementTasks(spec, nil)
	r := &admission.Request{
		Service:        spec.GetService(),
		Team:           spec.GetTeam(),
		Tasks:          len(tasks),
		HasKey:         spec.GetCallerKey(),
		NotRepeatable:  spec.GetNotRepeatable(),
		DeadlineAt:     clock.Millis(spec.GetDeadlineAtMs()),
		ExpiresAt:      clock.Millis(spec.GetExpiresAtMs()),
		Fits:           c.everyTaskFits(spec.GetService(), tasks),
		ServingWorkers: c.placement.WorkerCount,
		Estimate:       c.placement.Estimate(c.now, spec.GetService(), tasks),
	}
	for _, t := range spec.GetTasks() {
		r.LargestPayload = max(r.LargestPayload, len(t.GetPayload()))
	}
	return c.admission.Admit(c.now, r)
}

// everyTaskFits reports whether each task fits some worker. Tasks of one job
// mostly have the same size, so a size is looked up only when it changes.
func (c *Core) everyTaskFits(service string, tasks []placement.Task) bool {
	for i, t := range tasks {
		if i > 0 && t.Resources == tasks[i-1].Resources {
			continue
		}
		if !c.placement.Fits(service, t.Resources) {
			return false
		}
	}
	return true
}

// placementTasks describes the tasks of a job at the given indexes, or all
// tasks if indexes is nil.
func (c *Core) placementTasks(spec *wire.Job, indexes []int) []placement.Task {
	var assumed placement.Resources
	if c.text != nil {
		if s := c.text.Service(spec.GetService()); s != nil {
			assumed = placement.Resources(s.Task)
		}
	}
	if indexes == nil {
		indexes = make([]int, len(spec.GetTasks()))
		for i := range indexes {
			indexes[i] = i
		}
	}
	tasks := make([]placement.Task, 0, len(indexes))
	for _, i := range indexes {
		t := spec.GetTasks()[i]
		size := placement.Resources{MemoryMiB: t.GetMemoryMib(), CPUs: int(t.GetCpus()), Accelerators: int(t.GetAccelerators())}
		if size == (placement.Resources{}) {
			size = assumed
		}
		tasks = append(tasks, placement.Task{
			Index:     indexOf(uint32(i)),
			Declared:  clock.Millis(t.GetDeclaredMs()),
			Resources: size,
		})
	}
	return tasks
}

// enqueuePending enqueues the pending tasks of a job in placement.
func (c *Core) enqueuePending(j *job) {
	var pending []int
	for i := range j.tasks {
		if j.tasks[i].state == taskPending {
			j.tasks[i].state = taskQueued
			pending = append(pending, i)
		}
	}
	if len(pending) > 0 {
		c.placement.Enqueue(c.now, j.id, c.placementTasks(j.spec, pending))
	}
}

// requeueWhere requeues bound tasks that provably did not start, without
// charging the retry budget.
func (c *Core) requeueWhere(j *job, match func(*task) bool) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if !match(t) {
			continue
		}
		c.unbind(j, i, t, outcomeNotStarted, 0)
		t.state = taskPending
		if j.answer != nil {
			t.state = taskEnded
		}
	}
	c.continueJob(j)
}

// unbind ends the binding of a task and reports the outcome to placement. The
// caller sets the new state.
func (c *Core) unbind(j *job, i int, t *task, outcome placement.Outcome, run clock.Millis) {
	c.placement.RecordOutcome(c.now, j.id, t.sidecar, placement.TaskIndex(i), outcome, run)
	if s := c.sidecars.Get(t.sidecar); s != nil {
		s.bound--
	}
	t.sidecar = ""
	t.sent = false
	t.sentAt = 0
	j.bound--
}

// placeTasks binds queued tasks to workers and dispatches them.
func (c *Core) placeTasks() {
	for _, b := range c.placement.Plan(c.now) {
		p := c.partitionOf(b.Job.Service)
		j := p.jobs.Get(b.Job)
		s := c.sidecars.Get(b.Worker)
		if j == nil || j.answer != nil || j.state == jobWithdrawing || s == nil {
			for _, t := range b.Tasks {
				c.placement.RecordOutcome(c.now, b.Job, b.Worker, t.Index, outcomeNotStarted, 0)
			}
			continue
		}
		for _, bt := range b.Tasks {
			t := &j.tasks[bt.Index]
			t.state = taskBound
			t.sidecar = s.id
			t.attempt = nextAttempt(p.epoch, t.attempt)
			s.bound++
			j.bound++
		}
		if p.mode == serving && s.connected && s.fencedEpochs[p.id] == p.epoch {
			c.dispatch(p, j, s, b.Tasks)
		}
	}
}

// attemptBits is the number of low bits of an attempt that count the bindings
// by one owner.
const attemptBits = 20

func nextAttempt(epoch ownership.Epoch, last uint64) uint64 {
	return max(uint64(epoch)<<attemptBits, last) + 1
}

// dispatch sends bound tasks of one job to a sidecar. Tasks bound to a sidecar
// that has not acknowledged the fence are sent after it has.
func (c *Core) dispatch(p *partition, j *job, s *sidecar, tasks []placement.BoundTask) {
	m := &wire.Dispatch{
		Partition:    uint32(p.id),
		Epoch:        uint64(p.epoch),
		Job:          j.ref,
		DeadlineAtMs: int64(j.deadlineAt),
		Traceparent:  j.spec.GetTraceparent(),
	}
	for _, bt := range tasks {
		t := &j.tasks[bt.Index]
		if t.sent {
			c.counters.Resends++
		} else {
			c.counters.Starts++
			p.load.started++
			t.sentAt = c.now
		}
		t.sent = true
		t.sentSession = s.session
		m.Tasks = append(m.Tasks, &wire.DispatchTask{
			Attempt:    t.attempt,
			Index:      uint32(bt.Index),
			Payload:    j.spec.GetTasks()[bt.Index].GetPayload(),
			ExpectedMs: int64(bt.Expected),
			DeclaredMs: j.spec.GetTasks()[bt.Index].GetDeclaredMs(),
		})
	}
	if !containsID(j.sentTo, s.id) {
		j.sentTo = append(j.sentTo, s.id)
	}
	j.started = true
	j.messageCount++
	c.sendSidecar(s.id, m)
}

// resendMissed sends again what a sidecar may have missed on a former session:
// dispatches, claims and cancellations. All of them are idempotent.
func (c *Core) resendMissed(p *partition, s *sidecar) {
	for _, g := range p.groupsHeldBy(s.id) {
		for cl := g.unconfirmed.first; cl != nil; cl = cl.next {
			if !cl.ackedBy(s.id) {
				c.addClaim(p, s.id, cl.jobRef())
			}
		}
	}
	if s.bound == 0 {
		return
	}
	for _, j := range p.jobs.All() {
		c.resendJob(p, j, s)
	}
}

func (c *Core) resendJob(p *partition, j *job, s *sidecar) {
	var missed []placement.BoundTask
	fetch := false
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state != taskBound || t.sidecar != s.id || t.sent && t.sentSession == s.session {
			continue
		}
		if t.adopted || j.answer != nil {
			t.sentSession = s.session
			fetch = true
			continue
		}
		missed = append(missed, placement.BoundTask{Index: placement.TaskIndex(i)})
	}
	if len(missed) > 0 {
		c.dispatch(p, j, s, missed)
	}
	if !fetch {
		return
	}
	if j.answer != nil {
		c.sendSidecar(s.id, c.cancelMessage(p, j))
	}
	c.fetchResults(p, j, s)
}

// fetchTarget is the key by which the fetches of a tick are deduplicated.
type fetchTarget struct {
	sidecar ownership.Incarnation
	job     JobID
}

// fetchResults asks a sidecar for the state and results of a job's tasks.
func (c *Core) fetchResults(p *partition, j *job, s *sidecar) {
	c.fetches.Put(fetchTarget{s.id, j.id}, &wire.Fetch{
		Partition: uint32(p.id), Service: j.id.Service, Key: j.id.Key, Team: j.id.Team,
	})
}

// adoptTask adopts a task that a former owner dispatched.
func (c *Core) adoptTask(p *partition, j *job, from ownership.Incarnation, k *wire.KnownTask) {
	i := int(k.GetIndex())
	if j.answer != nil || i >= len(j.tasks) || k.GetOutcome() == wire.Outcome_OUTCOME_NOT_STARTED {
		return
	}
	t := &j.tasks[i]
	if t.state == taskBound && !t.sent {
		c.unbind(j, i, t, outcomeNotStarted, 0)
		t.state = taskPending
	}
	if t.state == taskBound || t.state == taskEnded {
		return
	}
	s := c.sidecars.Get(from)
	if s == nil || s.lost {
		c.fail(j, wire.Ran_RAN_UNKNOWN, CodeWorkerLost, "a worker was lost while it ran a task of this job")
		return
	}
	if t.state == taskQueued {
		c.dequeueTask(j, i)
	}
	j.resumed = true
	t.state = taskBound
	t.sidecar = from
	t.sent = true
	t.adopted = true
	s.bound++
	j.bound++
	c.placement.RecordBound(c.now, j.id, from, placement.TaskIndex(i))
	// Without an acknowledgement of the current fence the fetch would be
	// rejected. sentSession then stays 0, and resendMissed fetches after the
	// acknowledgement.
	if s.connected && s.fencedEpochs[p.id] == p.epoch {
		t.sentSession = s.session
		c.fetchResults(p, j, s)
	}
}

// dequeueTask removes one task of a job from the queue of placement.
func (c *Core) dequeueTask(j *job, index int) {
	for _, q := range c.placement.RemoveQueued(j.id) {
		j.tasks[q].state = taskPending
	}
	j.tasks[index].state = taskBound
	c.enqueuePending(j)
}

// cancelBound cancels the bound tasks of a failed job with one message to each
// sidecar.
func (c *Core) cancelBound(j *job) {
	p := c.partitionOf(j.id.Service)
	var notified []ownership.Incarnation
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state == taskBound && !t.sent {
			c.unbind(j, i, t, outcomeNotStarted, 0)
			t.state = taskEnded
			j.open--
			continue
		}
		if t.state != taskBound || containsID(notified, t.sidecar) {
			continue
		}
		notified = append(notified, t.sidecar)
		j.messageCount++
		c.sendSidecar(t.sidecar, c.cancelMessage(p, j))
	}
}

func (c *Core) cancelMessage(p *partition, j *job) *wire.Cancel {
	return &wire.Cancel{Partition: uint32(p.id), Epoch: uint64(p.epoch), Service: j.id.Service, Team: j.id.Team, Key: j.id.Key}
}

func containsID(ids []ownership.Incarnation, id ownership.Incarnation) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}
