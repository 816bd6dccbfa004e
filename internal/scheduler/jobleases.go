package scheduler

import (
	"slices"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// leaseHedgeDelay is how long a round waits for the first witnesses before it asks
	// the others: several round trips between failure domains.
	leaseHedgeDelay = 20 * clock.Millis(1)
	// leaseRoundTimeout is how long a round waits for answers before the next one.
	leaseRoundTimeout = 120 * clock.Millis(1)
	// minLeaseRetryDelay is the shortest wait before a lease that another entry has is
	// requested again; it doubles up to maxLeaseRetryDelay. Up to as much is added at
	// random, so that two entries that have one witness each do not meet again.
	minLeaseRetryDelay = 25 * clock.Millis(1)
	maxLeaseRetryDelay = 100 * clock.Millis(1)
	// leaseRenewalInterval is the age at which a lease is renewed. Most jobs end before.
	leaseRenewalInterval = 400 * clock.Millis(1)
	// leaseStartMargin is how long a lease must last for a start. With less, several
	// renewals have failed, and the run would soon be stopped.
	leaseStartMargin = 300 * clock.Millis(1)
	// leaseStopMargin is how long before the end of its lease a job is given up: the
	// time in which a sidecar stops its runs.
	leaseStopMargin = 200 * clock.Millis(1)
	// leaseLastWait is how long a round may be open when the lease is about to end. After
	// a pause of the process the lease has ended before it could be renewed, and mostly no
	// other entry has it.
	leaseLastWait = 60 * clock.Millis(1)
	// leaseReleaseDelay is how long releases of jobs without an end wait for other
	// messages to the same sidecar. Another entry may wait to run such a job.
	leaseReleaseDelay = 50 * clock.Millis(1)
	// endedReleaseDelay replaces it for jobs that have ended: only a caller that came
	// again while the job ran waits for that, and most sidecars get orders meanwhile.
	endedReleaseDelay = 100 * clock.Millis(1)
)

// jobLease is the lease under which an entry runs a best-effort job. Several entries may
// hold requests for one job: the caller sends it again if it gets no answer, and the
// network may deliver a request long after its caller has left. Nothing in a request tells
// its age, so the witnesses of the job decide which entry runs it.
type jobLease struct {
	// until is when the lease ends unless it is renewed, 0 if it was not granted.
	until clock.Millis
	// retryAt is when the next round may begin, retryDelay the wait after the last refusal,
	// 0 if the lease has been granted since.
	retryAt, retryDelay clock.Millis
	leaseRound
}

// leaseRound is a request to the witnesses of a job.
type leaseRound struct {
	// number is unique at this entry: a job may be submitted here again while answers to
	// its earlier submission are on their way.
	number int64
	sentAt clock.Millis
	// open is true while the round is neither granted nor refused.
	open bool
	// witnesses are those of the job. Of these, asked counts the ones that have been
	// asked, in their order, and granted and refused count the answers.
	witnesses               []*witness
	asked, granted, refused int
}

// quorum returns the number of witnesses that must grant the lease. Those of two entries
// have one in common.
func (r *leaseRound) quorum() int { return len(r.witnesses)/2 + 1 }

// SendJobLeases sends lease requests and releases to a sidecar.
type SendJobLeases struct {
	Sidecar  ownership.Incarnation
	Requests *wire.JobLeaseRequests
}

func (SendJobLeases) command() {}

// pendingLeases are the lease requests and releases that are to be sent to a sidecar.
type pendingLeases struct {
	requests []*wire.JobLeaseRequest
	releases []*wire.JobLeaseRelease
	// flushAt is when the releases are sent at the latest.
	flushAt clock.Millis
	// queued is true while the sidecar is in Scheduler.leaseQueue.
	queued bool
}

// mayRun reports whether runs of a job may be started under its lease. Stored jobs need
// none, because the store decides which entry owns them.
func (j *job) mayRun(now clock.Millis) bool {
	return !j.BestEffort || now < j.lease.until-leaseStartMargin
}

// isHeldElsewhere reports whether another entry has the lease of a job. Such a job waits for
// the result of that entry and not for workers.
func (j *job) isHeldElsewhere() bool { return j.lease.retryDelay > 0 }

// beginLeaseRound requests the lease of a best-effort job, or its renewal.
func (s *Scheduler) beginLeaseRound(now clock.Millis, j *job) {
	l := &j.lease
	s.leaseRounds++
	l.leaseRound = leaseRound{number: s.leaseRounds, sentAt: now, open: true, witnesses: s.witnessesOf(now, j.ID)}
	switch {
	case len(l.witnesses) > 0:
		s.askWitnesses(j, l.quorum())
	case s.witnesses.isUnsupported():
		s.leaseGranted(l)
	default:
		l.open = false
	}
}

// askWitnesses asks further witnesses until count of them have been asked in this round.
func (s *Scheduler) askWitnesses(j *job, count int) {
	l := &j.lease
	for ; l.asked < min(count, len(l.witnesses)); l.asked++ {
		if n := l.witnesses[l.asked].node; n != nil {
			s.queueLeaseMessage(n)
			n.leases.requests = append(n.leases.requests, &wire.JobLeaseRequest{Job: string(j.ID), Round: l.number})
		}
	}
}

func (s *Scheduler) leaseGranted(l *jobLease) {
	l.open = false
	l.until = l.sentAt + s.settings.JobLeaseDuration
	l.retryDelay = 0
}

// HandleJobLeaseAnswers handles the answers of a sidecar to lease requests. It reports
// whether a tick must follow, which is not so after the first of two grants.
func (s *Scheduler) HandleJobLeaseAnswers(now clock.Millis, from ownership.Incarnation, answers *wire.JobLeaseAnswers) bool {
	n := s.sessions[from]
	if n == nil {
		return false
	}
	tickDue := false
	for _, a := range answers.GetAnswers() {
		j := s.jobs[batch.JobID(a.GetJob())]
		switch {
		case j == nil && a.GetResult() == wire.JobLeaseAnswer_RESULT_GRANTED:
			s.releaseJobLeaseAt(n, batch.JobID(a.GetJob()), wire.StoredEnd_STATE_UNSPECIFIED, now)
		case j == nil || !j.BestEffort || !j.lease.open || j.lease.number != a.GetRound():
		default:
			s.handleLeaseAnswer(now, j, a)
			tickDue = tickDue || !j.lease.open || a.GetResult() != wire.JobLeaseAnswer_RESULT_GRANTED
		}
	}
	return tickDue
}

func (s *Scheduler) handleLeaseAnswer(now clock.Millis, j *job, a *wire.JobLeaseAnswer) {
	l := &j.lease
	switch a.GetResult() {
	case wire.JobLeaseAnswer_RESULT_GRANTED:
		if l.granted++; l.granted == l.quorum() {
			s.leaseGranted(l)
		}
	case wire.JobLeaseAnswer_RESULT_HELD:
		// The job may run at another entry, so its caller must not be told that it never
		// runs.
		j.ranBefore = true
		l.refused++
		// The sets of two entries differ while witnesses restart or fall silent, so for a new
		// lease one refusal counts: the other entry may have its quorum outside this set.
		if now < l.until {
			s.askWitnesses(j, len(l.witnesses))
		}
		if now >= l.until || l.refused > len(l.witnesses)-l.quorum() {
			s.pendingCommands = append(s.pendingCommands, Decision{Summary: "job held by another entry", Job: j.ID, Value: l.number})
			// A lease that this entry had is lost, because witnesses have forgotten it.
			l.until = 0
			s.failLeaseRound(now, j)
			l.retryDelay = max(minLeaseRetryDelay, min(2*l.retryDelay, maxLeaseRetryDelay))
			l.retryAt = now + l.retryDelay + clock.Millis(s.rand.Int64N(int64(l.retryDelay)))
			s.giveUpWithoutLease(now, j)
		}
	case wire.JobLeaseAnswer_RESULT_ENDED:
		state, ok := endedState(a.GetEnd())
		if ok && !j.cancelled {
			s.pendingCommands = append(s.pendingCommands, Decision{Summary: "job ended at another entry", Job: j.ID, Reason: string(state)})
			l.open = false
			s.finishBestEffort(now, j, state)
		}
	}
}

// failLeaseRound ends a round without a quorum. Its grants are released, unless they
// prolong a lease.
func (s *Scheduler) failLeaseRound(now clock.Millis, j *job) {
	j.lease.open = false
	if now >= j.lease.until {
		s.releaseJobLease(j, wire.StoredEnd_STATE_UNSPECIFIED, now)
	}
}

// giveUpWithoutLease gives a job up whose lease is about to end while it may have runs.
func (s *Scheduler) giveUpWithoutLease(now clock.Millis, j *job) {
	if now >= j.lease.until-leaseStopMargin && !j.cancelled && j.hasBoundTask() {
		s.abandon(now, j, "job lease lost", minRetryAfter)
	}
}

// updateJobLease continues the round of a job's lease, renews the lease and gives the job
// up if it is about to end.
func (s *Scheduler) updateJobLease(now clock.Millis, j *job) {
	l := &j.lease
	if l.open && now-l.sentAt >= leaseHedgeDelay {
		s.askWitnesses(j, len(l.witnesses))
	}
	if l.open && now-l.sentAt >= leaseRoundTimeout {
		s.failLeaseRound(now, j)
	}
	if !l.open && now >= l.retryAt && now >= l.until-s.settings.JobLeaseDuration+leaseRenewalInterval {
		s.beginLeaseRound(now, j)
	}
	if !l.open || now-l.sentAt >= leaseLastWait {
		s.giveUpWithoutLease(now, j)
	}
}

// closeJobLease releases the lease of a job that has ended or been given up. The releases
// are sent before the lease is over.
func (s *Scheduler) closeJobLease(now clock.Millis, j *job) {
	end, flushAt := endedStateToWire(s.ended[j.ID].state), now+leaseReleaseDelay
	if end != wire.StoredEnd_STATE_UNSPECIFIED {
		flushAt = now + endedReleaseDelay
	}
	s.releaseJobLease(j, end, min(flushAt, j.lease.until-leaseStopMargin))
}

// releaseJobLease releases the lease of a job at its witnesses that were asked. The
// releases are sent by flushAt.
func (s *Scheduler) releaseJobLease(j *job, end wire.StoredEnd_State, flushAt clock.Millis) {
	for _, w := range j.lease.witnesses[:j.lease.asked] {
		if w.node != nil {
			s.releaseJobLeaseAt(w.node, j.ID, end, flushAt)
		}
	}
}

func (s *Scheduler) releaseJobLeaseAt(n *node, id batch.JobID, end wire.StoredEnd_State, flushAt clock.Millis) {
	s.queueLeaseMessage(n)
	if len(n.leases.releases) == 0 {
		n.leases.flushAt = flushAt
	}
	n.leases.flushAt = min(n.leases.flushAt, flushAt)
	n.leases.releases = append(n.leases.releases, &wire.JobLeaseRelease{Job: string(id), End: end})
}

// takeReleases returns the pending releases, which the caller sends.
func (p *pendingLeases) takeReleases() []*wire.JobLeaseRelease {
	out := p.releases
	p.releases = nil
	return out
}

// queueLeaseMessage adds a sidecar to those that are to be sent lease requests or releases.
func (s *Scheduler) queueLeaseMessage(n *node) {
	if !n.leases.queued {
		n.leases.queued = true
		s.leaseQueue = append(s.leaseQueue, n)
	}
}

// flushJobLeases sends the pending lease requests, and the releases with them or once
// they are due. Orders take the releases along before.
func (s *Scheduler) flushJobLeases(now clock.Millis) {
	s.leaseQueue = slices.DeleteFunc(s.leaseQueue, func(n *node) bool {
		p := &n.leases
		if len(p.requests) == 0 && len(p.releases) > 0 && now < p.flushAt {
			return false
		}
		if n.connected && len(p.requests)+len(p.releases) > 0 {
			s.pendingCommands = append(s.pendingCommands, SendJobLeases{Sidecar: n.incarnation, Requests: &wire.JobLeaseRequests{Requests: p.requests, Releases: p.releases}})
		}
		*p = pendingLeases{}
		return true
	})
}

// endedState returns the state of a job that has ended.
func endedState(s wire.StoredEnd_State) (batch.State, bool) {
	switch s {
	case wire.StoredEnd_STATE_COMPLETE:
		return batch.Complete, true
	case wire.StoredEnd_STATE_FAILED:
		return batch.Failed, true
	}
	return "", false
}

// endedStateToWire is the reverse of endedState; it is unspecified for a job that has not
// ended.
func endedStateToWire(s batch.State) wire.StoredEnd_State {
	switch s {
	case batch.Complete:
		return wire.StoredEnd_STATE_COMPLETE
	case batch.Failed:
		return wire.StoredEnd_STATE_FAILED
	}
	return wire.StoredEnd_STATE_UNSPECIFIED
}
