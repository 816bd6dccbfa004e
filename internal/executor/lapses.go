package executor

import (
	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// unclaimedEndTimeout is how long the worker's lease is renewed although no entry has
// claimed one of its ends. The entry may be cut off and start the task elsewhere, 2.7 s
// after the end of an earlier sidecar at the earliest, and the end must not count then.
const unclaimedEndTimeout = 1200 * clock.Millis(1)

// markLapsed marks the ends after which the worker's lease has certainly lapsed. An
// acknowledgement of them does not count, so it is harmless also if the task has started
// elsewhere. Ends that were voided are reported again. Before the first listing of a new
// incarnation under a higher token, late calls to the one before may renew the lease.
func (x *Executor) markLapsed(now clock.Millis) {
	if x.replaced || x.inheritedLease == 0 || now < max(x.latestLease(), x.inheritedLease)+expiryMargin {
		return
	}
	// Without a lease nothing is active, and nothing starts before all ends are read.
	x.backlog.lapsed = !x.backlog.read
	for sequence, e := range x.superseded {
		e.lapsed = true
		x.superseded[sequence] = e
	}
	for _, r := range x.runs {
		if r.phase != ended || r.lapsed {
			continue
		}
		r.lapsed = true
		if r.voided {
			x.addEventToAll(r, endState(r))
		}
	}
}

// updateAwaitedLapse updates whether the worker is not ready because its lease must lapse:
// no start would get a lease.
func (x *Executor) updateAwaitedLapse(now clock.Millis) {
	if awaited := x.awaitsLapse(now); awaited != x.lapseAwaited {
		x.lapseAwaited = awaited
		x.loadVersion++
	}
}

// awaitsLapse reports whether the worker's lease must lapse because an end must not count.
func (x *Executor) awaitsLapse(now clock.Millis) bool {
	for _, e := range x.superseded {
		if !e.mayAcknowledge() {
			return true
		}
	}
	for _, r := range x.runs {
		isUnclaimed := r.owner == "" && !r.acknowledgeable && countsOnceAcknowledged(r.end) && now-r.discoveredAt >= unclaimedEndTimeout
		if r.phase == ended && !r.lapsed && (r.voided || isUnclaimed) {
			return true
		}
	}
	return false
}

// unclaimedRetention is how long an unclaimed end that has lapsed is kept if others wait
// behind it. Entries claim their ends within a second of a sidecar's start; the task of one
// that is dropped runs again.
const unclaimedRetention = 2 * clock.Second

// dropUnclaimed permits to acknowledge unclaimed ends that have lapsed and do not count,
// if the worker may have ends that it cannot list before. Their jobs can be looked up in
// the store only, which may be down, and the ends behind them may be of best-effort jobs.
func (x *Executor) dropUnclaimed(now clock.Millis) {
	if !x.backlog.full {
		return
	}
	for _, r := range x.runs {
		if r.phase == ended && r.owner == "" && r.lapsed && now-r.discoveredAt >= unclaimedRetention {
			r.acknowledgeable = true
		}
	}
}

// voidEnd handles an entry's order that an end must not count: the entry had given the
// run up and may have started the task elsewhere. The end is acknowledged only after the
// worker's lease has lapsed.
func (x *Executor) voidEnd(now clock.Millis, from ownership.Incarnation, id batch.RunID) {
	r := x.findRun(id)
	if r == nil || r.phase != ended || r.voided || !x.mayOrder(from, r) {
		return
	}
	r.voided = true
	if r.lapsed {
		x.addEventToAll(r, endState(r))
		return
	}
	x.commands = append(x.commands, LeaseExpiring{Entry: from, Run: id, GrantEndedAt: now})
}

// countsOnceAcknowledged reports whether an end counts for its task: that it is done, or
// that a run has failed.
func countsOnceAcknowledged(end batch.Outcome) bool {
	return end == batch.OutcomeDone || end == batch.OutcomeFailed
}

// isWithheld reports whether an end is neither reported nor acknowledged until the
// worker's lease has lapsed.
func (r *run) isWithheld() bool { return r.voided && !r.lapsed }
