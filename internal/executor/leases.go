package executor

import (
	"slices"

	"github.com/teaseltide/teaseltide/pkg/clock"
)

// renewal is the renewal of the worker's lease by the ListRequest with this number.
type renewal struct {
	number int64
	until  clock.Millis
}

// closeRenewals makes the open renewals for which over is true count for good.
func (x *Executor) closeRenewals(over func(renewal) bool) {
	x.openRenewals = slices.DeleteFunc(x.openRenewals, func(r renewal) bool {
		if !over(r) {
			return false
		}
		x.leaseUntil = max(x.leaseUntil, r.until)
		return true
	})
}

// latestLease returns the latest end of the lease that a call may have requested from
// the worker, 0 for none.
func (x *Executor) latestLease() clock.Millis {
	until := x.leaseUntil
	for _, r := range x.openRenewals {
		until = max(until, r.until)
	}
	return until
}

// checkGrants abandons the runs whose grant has expired, as their entries may have
// placed the tasks elsewhere. A best-effort or unclaimed run is stopped. For a run
// of a stored job the worker's lease is no longer renewed, because a later end
// must not count.
func (x *Executor) checkGrants(now clock.Millis) {
	if x.leaseExpiredBy != 0 {
		return
	}
	for _, r := range x.runs {
		if r.phase == queued || r.acknowledgeable {
			continue
		}
		expiry := x.grantExpiry(r)
		if now < expiry {
			continue
		}
		if r.bestEffort || r.owner == "" {
			x.abandon(now, r)
			continue
		}
		x.leaseExpiredBy = max(now, x.latestLease()) + expiryMargin
		x.leaseLapsed = true
		x.commands = append(x.commands, LeaseExpiring{Entry: r.owner, Run: r.id, GrantEndedAt: expiry})
		return
	}
}

// grantExpiry returns the time until which a run may continue without another
// grant.
func (x *Executor) grantExpiry(r *run) clock.Millis {
	e := x.entries[r.owner]
	switch {
	case r.owner == "" || e == nil:
		return r.discoveredAt + ClaimTimeout
	case r.bestEffort:
		if r.expiresBy != 0 {
			return r.expiresBy
		}
		return e.grantedFrom + BestEffortGrantDuration
	}
	return e.storedGrantedFrom + GrantDuration
}

// abandon stops a best-effort run whose grant has expired or an unclaimed run. The
// end of an unclaimed run may belong to a stored job, so it is not acknowledged
// until an entry has looked up the job.
func (x *Executor) abandon(now clock.Millis, r *run) {
	if r.phase != ended {
		reason := StopGrantOver
		if r.owner == "" {
			reason = StopUnclaimed
		}
		x.stop(now, r, reason)
		return
	}
	r.acknowledgeable = r.bestEffort
}

// expiryMargin covers a worker whose clock is 2% slow over the longest lease, and
// a renewal that is in flight.
const expiryMargin = 150 * clock.Millis(1)

// nextLease returns the new end of the worker's lease, 0 for no renewal. started is a
// run that is about to start, or nil. The lease doesn't outlast the grant of any run,
// apart from bestEffortStopMargin for best-effort runs. A worker without active runs
// and unstored ends needs no lease: the next start sets it.
func (x *Executor) nextLease(now clock.Millis, started *run) clock.Millis {
	if x.leaseExpiredBy != 0 || x.awaitsLapse(now) {
		return 0
	}
	until := now + min(x.maxLease, leaseAhead)
	needed := false
	for _, r := range x.runs {
		if r != started && r.phase == queued || r.phase == ended && (r.acknowledgeable || r.bestEffort || r.owner == "") {
			continue
		}
		if r.owner == "" && !r.acknowledgeable {
			return 0
		}
		// The end of a stored run must be acknowledged before the lease expires.
		needed = true
		until = min(until, x.leaseLimit(r))
	}
	if limit := x.backlogLease(); x.isReading() && limit > now {
		needed = true
		until = min(until, limit)
	}
	if !needed || until <= now {
		return 0
	}
	return until
}

// leaseLimit returns the time past which the worker's lease is not renewed because
// of a run. Later grants don't cover a best-effort run that its entry gave up.
func (x *Executor) leaseLimit(r *run) clock.Millis {
	switch {
	case r.bestEffort && r.stopOrderedAt != 0:
		return min(x.grantExpiry(r), r.stopOrderedAt+stoppedGrantDuration) + bestEffortStopMargin
	case r.acknowledgeable:
		return r.stopOrderedAt + stoppedGrantDuration + bestEffortStopMargin
	case r.bestEffort:
		return x.grantExpiry(r) + bestEffortStopMargin
	}
	return x.grantExpiry(r)
}

// leaseExpired handles the expiry of the worker's lease. An end whose owner's grant
// has expired no longer counts, so it is acknowledged and left out of the
// inventories that all entries get next.
func (x *Executor) leaseExpired(now clock.Millis) {
	x.leaseExpiredBy = 0
	x.leaseLapsed = false
	x.leaseUntil = 0
	x.openRenewals = nil
	for _, r := range x.runs {
		if e := x.entries[r.owner]; r.phase == ended && (e == nil || now >= e.storedGrantedFrom+GrantDuration) {
			r.acknowledgeable = true
			r.void = true
		}
	}
	for _, e := range x.entries {
		e.inventoryDue = true
	}
	x.loadVersion++
}
