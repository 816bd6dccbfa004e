package dispatch

import (
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// confirmTimeout is how long an answer waits for the confirmation that this
// entry is still the owner. After it, the answer says that the outcome is
// unknown.
const confirmTimeout clock.Millis = 2000

// confirmations holds not-run answers for jobs with a caller's key. An owner
// that was paused or isolated may have been superseded without knowing, and
// the next owner may have run the job for another submission. Before such an
// answer is delivered, sidecars in two failure domains confirm the epoch. The
// answers of one tick share a round trip.
type confirmations struct {
	// unsent holds the answers whose confirmation has not been requested.
	unsent []unconfirmedAnswer
	// inFlight holds the answers that wait for confirmations; sequence is the
	// number of the last request for confirmation.
	inFlight []unconfirmedAnswer
	sequence uint64
}

// unconfirmedAnswer is a not-run answer that waits for confirmation by the
// holders of claims.
type unconfirmedAnswer struct {
	job       JobID
	waiter    waiter
	answer    *wire.Answer
	sequence  uint64
	expiresAt clock.Millis
	// confirmedBy is the first sidecar that has confirmed.
	confirmedBy         *sidecar
	confirmationsNeeded int
}

// deliverConfirmed delivers an answer, after a confirmation if it needs one.
func (c *Core) deliverConfirmed(p *partition, id JobID, w waiter, keyed bool, a *wire.Answer) {
	if !keyed || a.GetRan() != wire.Ran_RAN_NOT_RUN {
		c.deliver(w, a)
		return
	}
	p.confirmations.unsent = append(p.confirmations.unsent, unconfirmedAnswer{job: id, waiter: w, answer: a, expiresAt: c.now + confirmTimeout})
}

// requestConfirmations requests confirmation of this tick's answers and
// expires those that have waited too long.
func (c *Core) requestConfirmations() {
	for i := range c.partitions {
		p := &c.partitions[i]
		if len(p.confirmations.unsent) > 0 && p.mode == serving {
			c.requestConfirmation(p)
		}
		c.expireConfirmations(p)
	}
}

func (c *Core) requestConfirmation(p *partition) {
	holders := c.chooseHolders(p)
	if holders == nil {
		return
	}
	pending := &p.confirmations
	pending.sequence++
	for _, id := range holders {
		c.claimMessage(p, id).Confirm = pending.sequence
	}
	for _, u := range pending.unsent {
		u.sequence = pending.sequence
		u.confirmationsNeeded = len(holders)
		pending.inFlight = append(pending.inFlight, u)
	}
	pending.unsent = nil
}

// confirmationReceived records that a sidecar has this entry's epoch as its
// current one.
func (c *Core) confirmationReceived(p *partition, s *sidecar, number uint64) {
	if number == 0 || len(p.confirmations.inFlight) == 0 {
		return
	}
	remaining := p.confirmations.inFlight[:0]
	for _, u := range p.confirmations.inFlight {
		switch {
		case u.sequence > number || u.confirmedBy == s:
			remaining = append(remaining, u)
		case u.confirmedBy == nil && u.confirmationsNeeded > 1:
			u.confirmedBy = s
			remaining = append(remaining, u)
		default:
			c.deliverNotRun(p, u)
		}
	}
	p.confirmations.inFlight = remaining
}

// deliverNotRun delivers a confirmed answer. If the job has been accepted from
// another request in the meantime, the request joins that job.
func (c *Core) deliverNotRun(p *partition, u unconfirmedAnswer) {
	if a := p.answered.Get(u.job); a != nil {
		c.deliver(u.waiter, a.callerAnswer())
		return
	}
	j := p.jobs.Get(u.job)
	switch {
	case j == nil:
		c.deliver(u.waiter, u.answer)
	case j.answer != nil:
		c.deliver(u.waiter, j.answer)
	default:
		j.waiters = append(j.waiters, u.waiter)
	}
}

func (c *Core) expireConfirmations(p *partition) {
	pending := &p.confirmations
	for len(pending.inFlight) > 0 && c.now >= pending.inFlight[0].expiresAt {
		c.deliverUnconfirmed(pending.inFlight[0])
		pending.inFlight = pending.inFlight[1:]
	}
	for len(pending.unsent) > 0 && c.now >= pending.unsent[0].expiresAt {
		c.deliverUnconfirmed(pending.unsent[0])
		pending.unsent = pending.unsent[1:]
	}
}

// deliverUnconfirmed answers that it is unknown whether the job ran.
func (c *Core) deliverUnconfirmed(u unconfirmedAnswer) {
	a := copyAnswer(u.answer)
	a.Ran = wire.Ran_RAN_UNKNOWN
	c.deliver(u.waiter, a)
}

// returnUnconfirmed leaves the waiting requests to the next owner when this
// entry relinquishes the partition. An owner that was paused or isolated
// refuses jobs for lack of workers, because its sessions have ended, until it
// learns that it was superseded; its successor can serve them.
func (c *Core) returnUnconfirmed(p *partition) {
	for _, u := range p.confirmations.inFlight {
		c.returnRequest(u.waiter)
	}
	for _, u := range p.confirmations.unsent {
		c.returnRequest(u.waiter)
	}
	p.confirmations = confirmations{}
}

// claimMessage returns the Claim message that a sidecar gets in this tick.
func (c *Core) claimMessage(p *partition, id ownership.Incarnation) *wire.Claim {
	target := claimTarget{sidecar: id, partition: p.id}
	m := c.claims.Get(target)
	if m == nil {
		m = &wire.Claim{Partition: uint32(p.id), Epoch: uint64(p.epoch)}
		c.claims.Put(target, m)
	}
	return m
}
