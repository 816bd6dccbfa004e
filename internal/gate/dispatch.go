package gate

import (
	"math"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

func (g *Gate) dispatch(now clock.Millis, from ownership.Incarnation, d *wire.Dispatch) {
	reason := g.checkServiceEpoch(from, d.GetPartition(), d.GetEpoch(), d.GetJob().GetService())
	var rejected rejections
	for _, t := range d.GetTasks() {
		r := reason
		if r == accepted {
			r = g.acceptTask(now, d, t)
		}
		rejected.add(r, t.GetIndex())
	}
	for _, r := range rejected {
		g.reject(from, rejectedTasks(d, r))
	}
}

// checkServiceEpoch checks the epoch and that the service belongs to the
// partition, so that the epoch of one partition cannot start tasks of another.
func (g *Gate) checkServiceEpoch(from ownership.Incarnation, id uint32, epoch uint64, service string) wire.Rejected_Reason {
	if ownership.Partition(id) != ownership.PartitionOf(service) {
		return wire.Rejected_REASON_MALFORMED
	}
	return g.checkEpoch(from, id, epoch)
}

// rejection lists the tasks of a message that are rejected for one reason.
type rejection struct {
	reason  wire.Rejected_Reason
	indexes []uint32
}

type rejections []rejection

func (r *rejections) add(reason wire.Rejected_Reason, index uint32) {
	if reason == accepted {
		return
	}
	for i := range *r {
		if (*r)[i].reason == reason {
			(*r)[i].indexes = append((*r)[i].indexes, index)
			return
		}
	}
	*r = append(*r, rejection{reason: reason, indexes: []uint32{index}})
}

func rejectedTasks(d *wire.Dispatch, r rejection) *wire.Rejected {
	return &wire.Rejected{
		Reason:    r.reason,
		Partition: d.GetPartition(),
		Epoch:     d.GetEpoch(),
		Service:   d.GetJob().GetService(),
		Team:      d.GetJob().GetTeam(),
		Key:       d.GetJob().GetKey(),
		Indexes:   r.indexes,
	}
}

// acceptTask enqueues a task, or marks its outcome to be reported if it was
// accepted before.
func (g *Gate) acceptTask(now clock.Millis, d *wire.Dispatch, dt *wire.DispatchTask) wire.Rejected_Reason {
	reason := g.checkJob(now, d.GetJob())
	if reason == wire.Rejected_REASON_KEY_CONFLICT {
		return reason
	}
	j := g.jobs.Get(jobIDOf(d.GetJob()))
	if j != nil && g.reportKnown(j, dt) {
		return accepted
	}
	switch {
	case j != nil && (j.isCancelled(dt.GetIndex()) || j.withdrawalForbids(d.GetJob())):
		return wire.Rejected_REASON_CANCELLED
	case reason != accepted:
		return reason
	case g.leave.active:
		return wire.Rejected_REASON_LEAVING
	case len(g.queue) >= g.freeSlots()+g.cfg.MaxQueued:
		return wire.Rejected_REASON_QUEUE_FULL
	}
	g.enqueue(g.ensureJob(now, d.GetJob()), d, dt)
	return accepted
}

// reportKnown marks a task that was accepted before to be reported. It returns
// false if the task is to be accepted. A task that was not started is accepted
// again only with a higher attempt: a resent dispatch can cross the report,
// after which the owner moves the task to another worker.
func (g *Gate) reportKnown(j *job, dt *wire.DispatchTask) bool {
	t := j.tasks.Get(dt.GetIndex())
	if t == nil || t.outcome == wire.Outcome_OUTCOME_NOT_STARTED && dt.GetAttempt() > t.attempt {
		return false
	}
	g.markReport(j, t)
	return true
}

func (g *Gate) enqueue(j *job, d *wire.Dispatch, dt *wire.DispatchTask) {
	if old := j.tasks.Get(dt.GetIndex()); old != nil {
		g.retainedBytes -= old.size()
	}
	j.tasks.Put(&task{
		index:   dt.GetIndex(),
		outcome: wire.Outcome_OUTCOME_QUEUED,
		input: &input{
			payload:     dt.GetPayload(),
			deadlineAt:  clock.Millis(d.GetDeadlineAtMs()),
			traceparent: d.GetTraceparent(),
		},
		attempt:    dt.GetAttempt(),
		declaredMs: uint32(min(max(dt.GetDeclaredMs(), 0), math.MaxUint32)),
	})
	g.queue = append(g.queue, TaskID{Service: j.id.Service, Team: j.id.Team, Key: j.id.Key, Index: dt.GetIndex()})
}

// freeSlots returns the number of tasks that can start now.
func (g *Gate) freeSlots() int {
	return max(0, g.backend.limit()-g.running)
}

// failQueued ends queued tasks that must no longer start as not started.
func (g *Gate) failQueued(now clock.Millis) {
	kept := g.queue[:0]
	for _, id := range g.queue {
		j, t := g.findTask(id)
		if reason := g.notStartedReason(now, j, t); reason != "" {
			g.endNotStarted(j, t, reason)
			continue
		}
		kept = append(kept, id)
	}
	clear(g.queue[len(kept):])
	g.queue = kept
}

// notStartedReason returns why a queued task must not start, or "" if it may.
func (g *Gate) notStartedReason(now clock.Millis, j *job, t *task) string {
	switch {
	case t.input.deadlineAt != 0 && t.input.deadlineAt <= now:
		return "deadline passed in the queue"
	case j.expiresAt <= now:
		return "expires-at passed in the queue"
	case j.ref.withdrawn:
		return "cancelled"
	case g.leave.active:
		return "worker leaves"
	case !g.backend.present:
		return "no backend server"
	case !g.backend.serves(j.id.Service):
		return "backend server does not offer the service"
	}
	return ""
}

func (g *Gate) endNotStarted(j *job, t *task, reason string) {
	t.outcome = wire.Outcome_OUTCOME_NOT_STARTED
	t.input = nil
	t.message = reason
	g.retainedBytes += t.size()
	g.markReport(j, t)
}

// startQueued starts queued tasks in order of arrival while slots are free.
func (g *Gate) startQueued() {
	n := min(g.freeSlots(), len(g.queue))
	for _, id := range g.queue[:n] {
		_, t := g.findTask(id)
		g.commands = append(g.commands, Run{Task: id, Payload: t.input.payload, DeadlineAt: t.input.deadlineAt, Traceparent: t.input.traceparent})
		t.outcome = wire.Outcome_OUTCOME_RUNNING
		t.input = nil
		g.running++
	}
	clear(g.queue[:n])
	g.queue = g.queue[n:]
}

func (g *Gate) claim(now clock.Millis, from ownership.Incarnation, c *wire.Claim) {
	reason := g.checkEpoch(from, c.GetPartition(), c.GetEpoch())
	if reason == accepted && g.leave.active {
		reason = wire.Rejected_REASON_LEAVING
	}
	if reason != accepted {
		g.reject(from, &wire.Rejected{Reason: reason, Partition: c.GetPartition(), Epoch: c.GetEpoch()})
		return
	}
	ack := &wire.ClaimAck{Partition: c.GetPartition(), Epoch: c.GetEpoch(), Confirm: c.GetConfirm()}
	for _, ref := range c.GetJobs() {
		if g.claimJob(now, from, c, ref) {
			ack.Jobs = append(ack.Jobs, ref)
		}
	}
	if len(ack.Jobs) > 0 || ack.GetConfirm() > 0 {
		g.reply(from, &wire.Envelope{Body: &wire.Envelope_ClaimAck{ClaimAck: ack}})
	}
}

func (g *Gate) claimJob(now clock.Millis, from ownership.Incarnation, c *wire.Claim, ref *wire.JobRef) bool {
	reason := g.checkJob(now, ref)
	if uint32(ownership.PartitionOf(ref.GetService())) != c.GetPartition() {
		reason = wire.Rejected_REASON_MALFORMED
	}
	if reason != accepted {
		g.reject(from, &wire.Rejected{
			Reason: reason, Partition: c.GetPartition(), Epoch: c.GetEpoch(),
			Service: ref.GetService(), Team: ref.GetTeam(), Key: ref.GetKey(),
		})
		return false
	}
	g.ensureJob(now, ref)
	return true
}

func (g *Gate) cancel(now clock.Millis, from ownership.Incarnation, c *wire.Cancel) {
	id := JobID{Service: c.GetService(), Team: c.GetTeam(), Key: c.GetKey()}
	if reason := g.checkServiceEpoch(from, c.GetPartition(), c.GetEpoch(), id.Service); reason != accepted {
		g.reject(from, &wire.Rejected{
			Reason: reason, Partition: c.GetPartition(), Epoch: c.GetEpoch(),
			Service: id.Service, Team: id.Team, Key: id.Key, Indexes: c.GetIndexes(),
		})
		return
	}
	j := g.findJob(id)
	if j == nil {
		j = g.addJob(now, &wire.JobRef{Service: id.Service, Team: id.Team, Key: id.Key})
	}
	if len(c.GetIndexes()) == 0 {
		g.cancelJob(j)
		return
	}
	for _, i := range c.GetIndexes() {
		g.cancelIndex(j, i)
	}
}

func (g *Gate) cancelJob(j *job) {
	j.cancelled = true
	for i := range j.tasks.All() {
		g.cancelTask(j, i)
	}
}

// cancelIndex cancels one task. An unknown task is reported as not started and
// will not start later.
func (g *Gate) cancelIndex(j *job, index uint32) {
	if j.cancelledTasks == nil {
		j.cancelledTasks = make(map[uint32]bool)
	}
	j.cancelledTasks[index] = true
	if j.tasks.Get(index) == nil {
		t := &task{index: index}
		j.tasks.Put(t)
		g.endNotStarted(j, t, "cancelled")
		return
	}
	g.cancelTask(j, index)
}

func (g *Gate) cancelTask(j *job, index uint32) {
	t := j.tasks.Get(index)
	id := TaskID{Service: j.id.Service, Team: j.id.Team, Key: j.id.Key, Index: index}
	switch t.outcome {
	case wire.Outcome_OUTCOME_QUEUED:
		g.removeQueued(id)
		g.endNotStarted(j, t, "cancelled")
	case wire.Outcome_OUTCOME_RUNNING:
		if !t.stopRequested {
			t.stopRequested = true
			g.commands = append(g.commands, Stop{Task: id})
		}
	}
}

func (g *Gate) removeQueued(id TaskID) {
	for i := range g.queue {
		if g.queue[i] == id {
			g.queue = append(g.queue[:i], g.queue[i+1:]...)
			return
		}
	}
}

func (g *Gate) fetch(from ownership.Incarnation, f *wire.Fetch) {
	id := JobID{Service: f.GetService(), Team: f.GetTeam(), Key: f.GetKey()}
	if reason := g.checkServiceEpoch(from, f.GetPartition(), f.GetEpoch(), id.Service); reason != accepted {
		g.reject(from, &wire.Rejected{
			Reason: reason, Partition: f.GetPartition(), Epoch: f.GetEpoch(),
			Service: id.Service, Team: id.Team, Key: id.Key,
		})
		return
	}
	j := g.findJob(id)
	if j == nil || j.tasks.Len() == 0 {
		empty := &wire.Results{Partition: f.GetPartition(), Service: id.Service, Team: id.Team, Key: id.Key}
		g.reply(from, &wire.Envelope{Body: &wire.Envelope_Results{Results: empty}})
		return
	}
	for _, t := range j.tasks.All() {
		g.markReport(j, t)
	}
}
