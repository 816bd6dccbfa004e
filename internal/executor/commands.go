package executor

import (
	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Command is an action that the sidecar process has to carry out.
type Command interface{ command() }

// StartRun calls the worker to start a run; the result is passed to
// StartAnswered.
type StartRun struct {
	// Worker is the ID of the worker for which the start is meant; any other
	// refuses it.
	Worker string
	Run    batch.RunID
	Spec   string
	Token  int64
	// LeaseUntil is the new end of the worker's lease, 0 for no change.
	LeaseUntil clock.Millis
	// NotAfter is the time after which the call must not be made; the start then
	// counts as refused.
	NotAfter clock.Millis
	Entry    ownership.Incarnation
	// ReportSentAt is when the report was sent on which the entry's latest orders
	// are based.
	ReportSentAt clock.Millis
	// OrderAge is the time since then.
	OrderAge clock.Millis
	// LatestLease is the latest end of the lease that was requested, with this call.
	LatestLease clock.Millis
}

// StopRun calls the worker once to stop a run; a refusal of its token is passed to
// StopFenced. The end of the run appears in a later listing; until then the command
// is repeated.
type StopRun struct {
	Run    batch.RunID
	Token  int64
	Entry  ownership.Incarnation
	Reason StopReason
}

// StopReason is why a run is stopped.
type StopReason string

// Reasons to stop a run.
const (
	// StopOrdered means that the entry ordered the stop.
	StopOrdered StopReason = "ordered"
	// StopReleased means that the job of the run is no longer open.
	StopReleased StopReason = "released"
	// StopGrantOver means that the entry's grant has expired.
	StopGrantOver StopReason = "grant-over"
	// StopNoProgress means that the run has stalled.
	StopNoProgress StopReason = "no-progress"
	// StopUnclaimed means that no entry has claimed the discovered run.
	StopUnclaimed StopReason = "unclaimed"
	// StopOwnerDeposed means that another entry took over from the one that ordered
	// the run.
	StopOwnerDeposed StopReason = "owner-deposed"
	// StopSuperseded means that a later attempt of the task is known here.
	StopSuperseded StopReason = "superseded"
	// StopLateStart means that the worker executed a start that had been resolved as not
	// started.
	StopLateStart StopReason = "late-start"
	// StopWorkerLeaves means that the run cannot end before its draining worker does.
	StopWorkerLeaves StopReason = "worker-leaves"
)

// RunEnded reports that a run has ended. It asks for no action.
type RunEnded struct {
	Run     batch.RunID
	Entry   ownership.Incarnation
	Outcome batch.Outcome
	RunTime clock.Millis
	// Stopped is true if this sidecar told the run to stop.
	Stopped bool
}

// OrderRefused reports that an ordered run was not started. It asks for no action.
type OrderRefused struct {
	Run    batch.RunID
	Entry  ownership.Incarnation
	Reason RefusalReason
	// OrderAge is the time since the report was sent on which the order is based.
	OrderAge clock.Millis
}

// StartResolved reports what became of a start that got no answer. It asks for no
// action.
type StartResolved struct {
	Run    batch.RunID
	Entry  ownership.Incarnation
	Effect StartEffect
	// Age is the time since the start.
	Age clock.Millis
	// Replaced is true if the worker has a later incarnation than the one that the
	// start was sent to.
	Replaced bool
}

// StartEffect is what became of a start that got no answer.
type StartEffect string

// Effects of starts.
const (
	// StartExecuted means that the worker lists the run.
	StartExecuted StartEffect = "executed"
	// StartRejected means that the worker does not have the run and will reject the
	// start.
	StartRejected StartEffect = "rejected"
	// StartUnresolved means that the run may have ended unseen.
	StartUnresolved StartEffect = "unresolved"
)

// logResolved logs what became of a start if it got no answer.
func (x *Executor) logResolved(now clock.Millis, r *run, effect StartEffect) {
	if r.phase == unanswered {
		x.commands = append(x.commands, StartResolved{
			Run: r.id, Entry: r.owner, Effect: effect, Age: now - r.startedAt, Replaced: r.workerIncarnation != x.worker.Incarnation,
		})
	}
}

// RefusalReason is why an ordered run is not started.
type RefusalReason string

// Reasons to refuse an order.
const (
	// RefusedAttemptKnown means that this or a later attempt of the task was ordered
	// here before.
	RefusedAttemptKnown RefusalReason = "attempt-known"
	RefusedNotReady     RefusalReason = "not-ready"
	RefusedOrderTooOld  RefusalReason = "order-too-old"
	// RefusedLeaseTooLong means that the worker's lease outlasts the time at which the
	// entry places the task elsewhere.
	RefusedLeaseTooLong RefusalReason = "lease-too-long"
	RefusedNoRoom       RefusalReason = "no-room"
	// RefusedEvacuated means that the worker's failure domain is evacuated.
	RefusedEvacuated RefusalReason = "evacuated"
)

// logRefused logs that an ordered run is not started.
func (x *Executor) logRefused(r *run, reason RefusalReason, orderAge clock.Millis) {
	x.commands = append(x.commands, OrderRefused{Run: r.id, Entry: r.owner, Reason: reason, OrderAge: orderAge})
}

// refusalReason returns why a run whose attempt is new is not started.
func (x *Executor) refusalReason(r *run, orderAge clock.Millis) RefusalReason {
	switch {
	case x.isEvacuated():
		return RefusedEvacuated
	case !x.ready():
		return RefusedNotReady
	case orderAge > maxOrderAge:
		return RefusedOrderTooOld
	case r.bestEffort && x.latestLease() > x.entry(r.owner).grantedFrom+maxLeaseAfterReport:
		return RefusedLeaseTooLong
	}
	return RefusedNoRoom
}

// Report sends a report to an entry.
type Report struct {
	Entry  ownership.Incarnation
	Report *wire.TaskReport
}

// LeaseExpiring reports that the worker's lease is no longer renewed, because the
// grant of an entry that owns a run here has expired.
type LeaseExpiring struct {
	Entry ownership.Incarnation
	Run   batch.RunID
	// GrantEndedAt is when the entry's grant expired.
	GrantEndedAt clock.Millis
}

// WorkerReplaced reports that a new incarnation has replaced the worker.
type WorkerReplaced struct {
	Worker Worker
	// Runs is the number of runs that may be lost.
	Runs int
}

// PersistWorker stores the worker's description for the next incarnation of the
// sidecar.
type PersistWorker struct {
	Worker Worker
}

// ListNow requests an immediate listing, in parallel to the one that waits for
// an end, to resolve an unanswered start or to fence off the calls to an earlier
// incarnation of the worker.
type ListNow struct{}

func (PersistWorker) command()  {}
func (ListNow) command()        {}
func (StartRun) command()       {}
func (StopRun) command()        {}
func (RunEnded) command()       {}
func (OrderRefused) command()   {}
func (StartResolved) command()  {}
func (Report) command()         {}
func (LeaseExpiring) command()  {}
func (WorkerReplaced) command() {}
