package dispatch

import (
	"slices"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// knownJob is what sidecars reported of a job of a former owner.
type knownJob struct {
	claim
	cancelled bool
	tasks     map[uint32]knownTask
}

type knownTask struct {
	sidecar ownership.Incarnation
	outcome wire.Outcome
}

// replaceRef replaces the description of the job by that of another sidecar
// and keeps the departed mark.
func (k *knownJob) replaceRef(ref *wire.JobRef) {
	departed := k.ref.GetDeparted()
	k.ref = ref
	if departed {
		k.markDeparted()
	}
}

// mergeTask records the reported outcome of a task. A sidecar that returned
// the task without starting it reports NOT_STARTED although another one may
// have run it, so NOT_STARTED never replaces the outcome of another sidecar.
func (k *knownJob) mergeTask(s ownership.Incarnation, t *wire.KnownTask) {
	old, ok := k.tasks[t.GetIndex()]
	if ok && old.sidecar != s && t.GetOutcome() == wire.Outcome_OUTCOME_NOT_STARTED {
		return
	}
	k.tasks[t.GetIndex()] = knownTask{sidecar: s, outcome: t.GetOutcome()}
}

// mergeKnown merges a job reported in a fence acknowledgement.
func (c *Core) mergeKnown(p *partition, s *sidecar, k *wire.KnownJob) {
	ref := k.GetJob()
	id := JobID{Service: ref.GetService(), Team: ref.GetTeam(), Key: ref.GetKey()}
	if j := p.jobs.Get(id); j != nil {
		c.mergeOwned(p, s, k, j)
		return
	}
	if a := p.answered.Get(id); a != nil {
		p.mergeDeparted(ref, &a.claim)
		if mayHaveStarted(k.GetTasks()) {
			a.clearUnconfirmedWithdrawal()
		}
		// The sidecar may leave, and its record of the tasks would be lost.
		if mayHaveStarted(k.GetTasks()) && !a.mayHaveStartedOn(s) {
			a.sentTo += c.shortIDsOf([]ownership.Incarnation{s.id})
		}
		return
	}
	if ref.GetExpiresAtMs() > 0 && c.now > clock.Millis(ref.GetExpiresAtMs())+c.cfg.ClockSkew {
		return
	}
	known := c.upsertKnown(p, id, k)
	for _, t := range k.GetTasks() {
		running := known.tasks[t.GetIndex()].sidecar == s.id
		known.mergeTask(s.id, t)
		if running {
			continue
		}
		if t.GetOutcome() == wire.Outcome_OUTCOME_RUNNING || t.GetOutcome() == wire.Outcome_OUTCOME_QUEUED {
			c.placement.RecordBound(c.now, id, s.id, indexOf(t.GetIndex()))
		}
	}
}

// upsertKnown returns the known job, added if it is new, with everything
// merged that a sidecar reported of it except its tasks.
func (c *Core) upsertKnown(p *partition, id JobID, k *wire.KnownJob) *knownJob {
	ref := k.GetJob()
	known := p.known.Get(id)
	needed := known != nil && known.needed()
	if known == nil {
		known = &knownJob{claim: claim{id: id, ref: ref}, tasks: make(map[uint32]knownTask)}
		p.known.Put(id, known)
		c.knownTimers.add(c.keyExpiry(ref)+c.cfg.ClockSkew, id)
	}
	known.cancelled = known.cancelled || k.GetCancelled()
	p.mergeDeparted(ref, &known.claim)
	if len(known.ref.GetBodyHash()) == 0 {
		known.replaceRef(ref)
	}
	changed := known.mergeDecision(ref)
	if known.needed() && (!needed || changed) {
		p.unsentClaims = append(p.unsentClaims, id)
	}
	return known
}

// mergeOwned merges what a sidecar reported of a job that this entry has in
// jobs.
func (c *Core) mergeOwned(p *partition, s *sidecar, k *wire.KnownJob, j *job) {
	p.mergeDeparted(k.GetJob(), &j.claim)
	if j.state == jobWithdrawing && mayHaveStarted(k.GetTasks()) {
		c.abortWithdrawal(j, s, k.GetTasks())
		return
	}
	if j.mergeResumedDecision(k.GetJob()) {
		p.unsentClaims = append(p.unsentClaims, j.id)
	}
	for _, t := range k.GetTasks() {
		j.addSentTo(s.id, t.GetOutcome())
		c.adoptTask(p, j, s.id, t)
	}
}

func mayHaveStarted(tasks []*wire.KnownTask) bool {
	return slices.ContainsFunc(tasks, func(t *wire.KnownTask) bool { return t.GetOutcome() != wire.Outcome_OUTCOME_NOT_STARTED })
}

// mergeDeparted copies a reported departed mark to a claim, which is then sent
// to its holders again.
func (p *partition) mergeDeparted(ref *wire.JobRef, cl *claim) {
	if ref.GetDeparted() && cl.markDeparted() {
		p.unsentClaims = append(p.unsentClaims, cl.id)
	}
}

// keyExpiry returns when a key expires. The record of a cancellation whose job
// a sidecar never received has no expires-at.
func (c *Core) keyExpiry(ref *wire.JobRef) clock.Millis {
	if ref.GetExpiresAtMs() == 0 {
		return c.now + c.cfg.Retention
	}
	return clock.Millis(ref.GetExpiresAtMs())
}
