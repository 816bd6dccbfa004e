package gate

import (
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// resendWindow is how long before the end of a session a result may have been
// sent without reaching the entry. A silent session is closed 1.5 s after its
// last inbound traffic; the rest is margin for a delayed report of its end. A
// result that is lost nevertheless is sent again when its dispatch is repeated.
const resendWindow = 5 * clock.Second

// maxFrameBytes bounds the results in one message. A session takes frames of up
// to 16 MiB; a job of 820 tasks with large results would exceed that.
const maxFrameBytes = 4 << 20

// size returns the bytes that a task counts against MaxResultBytes.
func (t *task) size() int64 {
	return int64(len(t.result) + len(t.message))
}

func (g *Gate) taskFinished(f TaskFinished) {
	j, t := g.task(f.Task)
	if t == nil || t.outcome != wire.Outcome_OUTCOME_RUNNING {
		return
	}
	g.running--
	t.outcome = finalOutcome(f.Outcome)
	t.result = f.Result
	t.message = f.Message
	t.run = f.RunTime
	if t.outcome == wire.Outcome_OUTCOME_DONE && f.RunTime > 0 {
		g.observeRun(j.id.Service, t)
	}
	g.heldBytes += t.size()
	g.held = append(g.held, heldTask{job: j, task: t})
	g.markReport(j, t)
}

// finalOutcome maps everything that is not a known end of a task to UNKNOWN.
func finalOutcome(o wire.Outcome) wire.Outcome {
	switch o {
	case wire.Outcome_OUTCOME_DONE, wire.Outcome_OUTCOME_ERROR, wire.Outcome_OUTCOME_NOT_STARTED:
		return o
	}
	return wire.Outcome_OUTCOME_UNKNOWN
}

// flushResults sends the outcomes that changed or were asked for, one message
// for each job. Those whose holder has no session stay marked until the holder
// fences the partition again.
func (g *Gate) flushResults(now clock.Millis) {
	for _, id := range g.dirty {
		j := g.jobs.Get(id)
		if j == nil {
			continue
		}
		j.dirty = false
		if p := &g.partitions[j.partition]; p.live {
			g.sendResults(now, p.holder, j)
		}
	}
	g.dirty = g.dirty[:0]
}

func (g *Gate) sendResults(now clock.Millis, to ownership.Incarnation, j *job) {
	r := j.emptyResults()
	bytes := int64(0)
	for i, t := range j.tasks.All() {
		if !t.report {
			continue
		}
		if len(r.Tasks) > 0 && bytes+t.size() > maxFrameBytes {
			g.send(to, wire.Wrap(r))
			r = j.emptyResults()
			bytes = 0
		}
		t.report = false
		t.sentAt = now
		j.last = now
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
		RunMs:   int64(t.run),
		Message: t.message,
		Attempt: t.attempt,
	}
}

// keepUndelivered marks the outcomes that may not have reached an entry whose
// session ended. A task that did not start is left out: the entry repeats its
// dispatch if it missed the answer, and a late answer about an earlier dispatch
// could be taken for one about the next.
func (g *Gate) keepUndelivered(now clock.Millis, e ownership.Incarnation) {
	for j := range g.jobs.All() {
		if g.partitions[j.partition].holder != e {
			continue
		}
		recent := j.last != 0 && j.last >= now-resendWindow
		for _, t := range j.tasks.All() {
			if t.outcome == wire.Outcome_OUTCOME_NOT_STARTED || !ended(t.outcome) {
				t.report = false
				continue
			}
			if recent && t.sentAt >= now-resendWindow {
				t.report = true
			}
		}
	}
}

// reportUndelivered sends the marked outcomes of a partition in this tick.
func (g *Gate) reportUndelivered(p ownership.Partition) {
	for j := range g.jobs.All() {
		if j.partition == p && j.undelivered() {
			g.markDirty(j)
		}
	}
}

func (j *job) undelivered() bool {
	for _, t := range j.tasks.All() {
		if t.report {
			return true
		}
	}
	return false
}

// skipFetched drops the marks of partitions that another entry took over in
// this tick. It learns the outcomes from the reply to its fence and fetches
// the results that it needs.
func (g *Gate) skipFetched() {
	if len(g.fences) == 0 {
		return
	}
	taken := make(map[ownership.Partition]bool)
	for _, f := range g.fences {
		if f.takeover {
			taken[f.partition] = true
		}
	}
	if len(taken) == 0 {
		return
	}
	for j := range g.jobs.All() {
		if !taken[j.partition] {
			continue
		}
		for _, t := range j.tasks.All() {
			t.report = false
		}
	}
}

// boundResults drops the oldest results beyond MaxResultBytes.
func (g *Gate) boundResults() {
	n := 0
	for n < len(g.held) && g.heldBytes > g.cfg.MaxResultBytes {
		// A task that was accepted again has a row of its own since.
		if h := g.held[n]; h.job.tasks.Get(h.task.index) == h.task {
			g.dropResult(h.task)
		}
		n++
	}
	g.held = g.held[n:]
}

func (g *Gate) dropResult(t *task) {
	g.heldBytes -= t.size()
	t.result = nil
	t.message = ""
	if t.outcome == wire.Outcome_OUTCOME_DONE {
		t.outcome = wire.Outcome_OUTCOME_RESULT_DROPPED
	}
	g.heldBytes += t.size()
}
