package gate

import (
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// resendWindow is how long before the end of a session a result may have been
// sent without reaching the entry. A silent session is closed 1.5 s after its
// last inbound traffic; the rest is margin for a delayed EntryDisconnected. A
// result that is lost nevertheless is resent when its dispatch is repeated.
const resendWindow = 5 * clock.Second

// maxResultsMessageBytes bounds the results in one message. A session takes
// frames of up to 16 MiB; a job of 820 tasks with large results would exceed
// that.
const maxResultsMessageBytes = 4 << 20

// size returns the bytes that a task counts against MaxResultBytes.
func (t *task) size() int64 {
	return int64(len(t.result) + len(t.message))
}

func (g *Gate) taskFinished(f TaskFinished) {
	j, t := g.findTask(f.Task)
	if t == nil || t.outcome != wire.Outcome_OUTCOME_RUNNING {
		return
	}
	g.running--
	t.outcome = finalOutcome(f.Outcome)
	t.result = f.Result
	t.message = f.Message
	t.runTime = f.RunTime
	if t.outcome == wire.Outcome_OUTCOME_DONE && f.RunTime > 0 {
		g.observeRun(j.id.Service, t)
	}
	g.retainedBytes += t.size()
	g.retained = append(g.retained, retainedTask{job: j, task: t})
	g.markReport(j, t)
}

// finalOutcome maps every outcome that TaskFinished does not allow to UNKNOWN.
func finalOutcome(o wire.Outcome) wire.Outcome {
	switch o {
	case wire.Outcome_OUTCOME_DONE, wire.Outcome_OUTCOME_ERROR, wire.Outcome_OUTCOME_NOT_STARTED:
		return o
	}
	return wire.Outcome_OUTCOME_UNKNOWN
}

// flushResults sends the outcomes that changed or were requested, job by job.
// Those whose owner has no session stay marked until the owner fences the
// partition again.
func (g *Gate) flushResults(now clock.Millis) {
	for _, id := range g.dirty {
		j := g.jobs.Get(id)
		if j == nil {
			continue
		}
		j.dirty = false
		if p := &g.partitions[j.partition]; p.ownerActive {
			g.sendResults(now, p.owner, j)
		}
	}
	g.dirty = g.dirty[:0]
}

func (g *Gate) sendResults(now clock.Millis, to ownership.Incarnation, j *job) {
	r := j.emptyResults()
	bytes := int64(0)
	for i, t := range j.tasks.All() {
		if !t.needsReport {
			continue
		}
		if len(r.Tasks) > 0 && bytes+t.size() > maxResultsMessageBytes {
			g.send(to, wire.Wrap(r))
			r = j.emptyResults()
			bytes = 0
		}
		t.needsReport = false
		t.sentAt = now
		j.lastSentAt = now
		bytes += t.size()
		r.Tasks = append(r.Tasks, t.toWire(i))
	}
	if len(r.Tasks) > 0 {
		g.send(to, wire.Wrap(r))
	}
}

func (j *job) emptyResults() *wire.Results {
	return &wire.Results{Partition: uint32(j.partition), Service: j.id.Service, Team: j.id.Team, Key: j.id.Key}
}

func (t *task) toWire(index uint32) *wire.TaskResult {
	return &wire.TaskResult{
		Index:   index,
		Outcome: t.outcome,
		Result:  t.result,
		RunMs:   int64(t.runTime),
		Message: t.message,
		Attempt: t.attempt,
	}
}

// markUndelivered marks the outcomes that may not have reached an entry whose
// session ended. A task that was not started is left out: the entry repeats its
// dispatch if it missed the report, and a late report on an earlier dispatch
// could be taken for one on the next.
func (g *Gate) markUndelivered(now clock.Millis, e ownership.Incarnation) {
	for j := range g.jobs.All() {
		if g.partitions[j.partition].owner != e {
			continue
		}
		recent := j.lastSentAt != 0 && j.lastSentAt >= now-resendWindow
		for _, t := range j.tasks.All() {
			if t.outcome == wire.Outcome_OUTCOME_NOT_STARTED || !ended(t.outcome) {
				t.needsReport = false
				continue
			}
			if recent && t.sentAt >= now-resendWindow {
				t.needsReport = true
			}
		}
	}
}

// reportUndelivered queues the marked outcomes of a partition for this tick.
func (g *Gate) reportUndelivered(p ownership.Partition) {
	for j := range g.jobs.All() {
		if j.partition == p && j.hasUndelivered() {
			g.markDirty(j)
		}
	}
}

func (j *job) hasUndelivered() bool {
	for _, t := range j.tasks.All() {
		if t.needsReport {
			return true
		}
	}
	return false
}

// unmarkTakenOver removes the marks in partitions that another entry took over
// in this tick. The new owner learns the outcomes from the FenceAck and fetches
// the results that it needs.
func (g *Gate) unmarkTakenOver() {
	if len(g.pendingFences) == 0 {
		return
	}
	takenOver := make(map[ownership.Partition]bool)
	for _, f := range g.pendingFences {
		if f.isTakeover {
			takenOver[f.partition] = true
		}
	}
	if len(takenOver) == 0 {
		return
	}
	for j := range g.jobs.All() {
		if !takenOver[j.partition] {
			continue
		}
		for _, t := range j.tasks.All() {
			t.needsReport = false
		}
	}
}

// dropExcessResults drops the oldest results beyond MaxResultBytes.
func (g *Gate) dropExcessResults() {
	n := 0
	for n < len(g.retained) && g.retainedBytes > g.cfg.MaxResultBytes {
		// A task that was accepted again has been replaced in the job.
		if h := g.retained[n]; h.job.tasks.Get(h.task.index) == h.task {
			g.dropResult(h.task)
		}
		n++
	}
	g.retained = g.retained[n:]
}

// dropResult releases the result and message of a finished task.
func (g *Gate) dropResult(t *task) {
	g.retainedBytes -= t.size()
	t.result = nil
	t.message = ""
	if t.outcome == wire.Outcome_OUTCOME_DONE {
		t.outcome = wire.Outcome_OUTCOME_RESULT_DROPPED
	}
	g.retainedBytes += t.size()
}
