package executor

import (
	"cmp"
	"slices"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// ready reports whether tasks may be started.
func (x *Executor) ready() bool {
	stateKnown := x.worker.ID != "" && x.fencesLoaded && x.runsListed && x.backlog.read
	hasUncountedRun := x.unsizedRuns > 0 || x.supersededActive
	isLeaving := x.worker.Draining || x.draining
	lapses := x.leaseExpiredBy != 0 || x.lapseAwaited
	return stateKnown && !hasUncountedRun && !isLeaving && !lapses && x.evacuations.permitStarts()
}

// available returns the worker's free capacity.
func (x *Executor) available() batch.Resources {
	return x.worker.Capacity.Sub(x.used)
}

// reserve adds the resources of a run to those in use.
func (x *Executor) reserve(r *run) {
	x.used = x.used.Add(r.resources)
	x.loadVersion++
}

// release subtracts the resources of a run from those in use.
func (x *Executor) release(r *run) {
	x.used = x.used.Sub(r.resources)
	x.loadVersion++
}

// startQueued starts the queued tasks that fit, the most urgent first.
func (x *Executor) startQueued(now clock.Millis) {
	if !x.ready() {
		return
	}
	tasks := x.queuedInOrder()
	for _, r := range tasks {
		if !x.available().Covers(r.resources) {
			continue
		}
		if r.maxPerWorker > 0 && x.activeOfStep(r.id) >= r.maxPerWorker {
			continue
		}
		if r.bestEffort && x.latestLease() > x.entry(r.owner).grantedFrom+maxLeaseAfterReport {
			continue
		}
		lease := x.nextLease(now, r)
		if lease == 0 {
			continue
		}
		x.leaseUntil = max(x.leaseUntil, lease)
		r.phase = starting
		r.orderedAt = now
		r.startedAt = now
		r.cold = x.isCold(now)
		r.lastProgressAt = now
		r.token = x.token
		r.workerIncarnation = x.worker.Incarnation
		x.reserve(r)
		granted := x.entry(r.owner).grantedFrom
		x.commands = append(x.commands, StartRun{
			Worker: x.worker.ID, Run: r.id, Spec: r.spec, Token: x.token, LeaseUntil: lease, NotAfter: min(now+maxStartDelay, lease),
			Entry: r.owner, ReportSentAt: granted, OrderAge: now - granted, LatestLease: x.latestLease(),
		})
	}
}

// queuedInOrder returns the queued tasks in the order in which to start them.
func (x *Executor) queuedInOrder() []*run {
	var tasks []*run
	for _, r := range x.runs {
		if r.phase == queued {
			tasks = append(tasks, r)
		}
	}
	slices.SortFunc(tasks, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.orderedAt, b.orderedAt),
			cmp.Compare(a.id.Job, b.id.Job), cmp.Compare(a.id.Index, b.id.Index))
	})
	return tasks
}

// activeOfStep counts the runs of a step that may be active on the worker.
func (x *Executor) activeOfStep(id batch.RunID) int {
	n := 0
	for _, r := range x.runs {
		if r.id.Job == id.Job && r.id.Step == id.Step && r.id.Occurrence == id.Occurrence &&
			(r.phase == starting || r.phase == unanswered || r.phase == running) {
			n++
		}
	}
	return n
}

// returnQueued returns the tasks that did not start to their entries, which may
// place them on another worker. A task that stayed queued here would be delayed
// while another worker has free capacity.
func (x *Executor) returnQueued(now clock.Millis) {
	for _, r := range x.runs {
		if r.phase == queued {
			orderAge := now - x.entry(r.owner).grantedFrom
			x.logRefused(r, x.refusalReason(r, orderAge), orderAge)
			x.returnTask(r)
		}
	}
}

// returnTask removes a run that has not begun and reports that to its entry.
func (x *Executor) returnTask(r *run) {
	delete(x.runs, r.id.TaskID)
	x.loadVersion++
	x.addEventToAll(r, wire.TaskEvent_STATE_NOT_STARTED)
}
