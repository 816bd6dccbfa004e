package dispatch

import (
	"slices"
	"testing"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// withdrawalHarness is a harness with a job that is cancelled before its claim
// is confirmed.
type withdrawalHarness struct {
	*harness
	spec *wire.Job
	p    *partition
	// claimsBefore holds the claims sent before the cancellation.
	claimsBefore []sentClaim
}

// newWithdrawal submits a job as request 1 while no sidecar replies to claims
// and cancels it as request 2.
func newWithdrawal() *withdrawalHarness {
	w := &withdrawalHarness{harness: newHarness(3), spec: testJob(1, 2)}
	w.core.cfg.Retention = 60_000
	w.p = w.core.partitionOf(benchService)
	w.ignoreClaims = true
	w.handle(Submit{Request: 1, Job: w.spec})
	w.claimsBefore, w.sentClaims = w.sentClaims, nil
	w.cancel(2)
	return w
}

func (w *withdrawalHarness) cancel(id RequestID) {
	w.handle(CancelRequest{Request: id, Service: benchService, Team: w.spec.GetTeam(), Key: w.spec.GetKey()})
}

// ack delivers the confirmation of a claim by a sidecar.
func (b *harness) ack(p *partition, cl sentClaim) {
	b.handle(SidecarMessage{Sidecar: cl.sidecar, Envelope: wire.Wrap(&wire.ClaimAck{
		Partition: uint32(p.id), Epoch: uint64(p.epoch), Jobs: []*wire.JobRef{cl.ref},
	})})
}

func (b *harness) wantAnswers(t *testing.T, when string, ran wire.Ran, n int) {
	t.Helper()
	if got := b.answersByRan[ran]; got != n || b.answerCount != n {
		t.Fatalf("got %d answers %s of %d %s, want %d", got, ran, b.answerCount, when, n)
	}
	if n > 0 && b.lastAnswer.GetCode() != CodeCancelled {
		t.Fatalf("got code %s %s, want %s", b.lastAnswer.GetCode(), when, CodeCancelled)
	}
}

// Guards against answering not-run, to waiting requests or one that joins
// them, before two sidecars hold the withdrawal: the next owner might not
// learn of it and start the job. A confirmation of the claim without the
// withdrawal must not count.
func TestWithdrawalWaitsForTwoSidecars(t *testing.T) {
	w := newWithdrawal()
	if len(w.sentClaims) != 2 || !w.sentClaims[0].ref.GetWithdrawn() || !w.sentClaims[1].ref.GetWithdrawn() {
		t.Fatalf("got claims %v after the cancellation, want two withdrawals", w.sentClaims)
	}
	w.handle(Submit{Request: 3, Job: w.spec})
	for _, cl := range w.claimsBefore {
		w.ack(w.p, cl)
	}
	w.ack(w.p, w.sentClaims[0])
	w.ack(w.p, w.sentClaims[0])
	w.cancel(4)
	w.wantAnswers(t, "with the withdrawal at one sidecar", wire.Ran_RAN_NOT_RUN, 0)
	w.ack(w.p, w.sentClaims[1])
	w.wantAnswers(t, "with the withdrawal at two sidecars", wire.Ran_RAN_NOT_RUN, 4)
	w.ignoreClaims = false
	w.handle(Submit{Request: 5, Job: w.spec})
	w.wantAnswers(t, "for a later submission", wire.Ran_RAN_NOT_RUN, 5)
	other := testJob(1, 2)
	other.BodyHash = []byte("other")
	w.handle(Submit{Request: 6, Job: other})
	if got, want := w.lastAnswer.GetCode(), CodeKeyConflict; got != want {
		t.Errorf("got code %s for another body, want %s", got, want)
	}
	if got := w.core.Counters().Starts; got != 0 {
		t.Errorf("got %d starts, want 0", got)
	}
}

// Guards against an answer that takes longer than confirmTimeout, and against
// a recorded answer that stays unknown when the confirmations arrive after it.
func TestWithdrawalConfirmedLate(t *testing.T) {
	w := newWithdrawal()
	w.advance(confirmTimeout - 10)
	w.wantAnswers(t, "before the timeout", wire.Ran_RAN_UNKNOWN, 0)
	w.advance(20)
	w.wantAnswers(t, "after the timeout", wire.Ran_RAN_UNKNOWN, 2)
	w.ack(w.p, w.sentClaims[0])
	w.handle(Submit{Request: 3, Job: w.spec})
	w.wantAnswers(t, "with the withdrawal at one sidecar", wire.Ran_RAN_UNKNOWN, 3)
	// One of the holders has been replaced, because none had replied.
	for _, cl := range w.sentClaims {
		w.ack(w.p, cl)
	}
	w.handle(Submit{Request: 4, Job: w.spec})
	if got, want := w.lastAnswer.GetRan(), wire.Ran_RAN_NOT_RUN; got != want {
		t.Errorf("got %s after both confirmations, want %s", got, want)
	}
}

// Guards against a not-run answer by a superseded owner, and against a
// submission that it reroutes to the new owner, which would start the job.
func TestWithdrawalEndsWithOwnership(t *testing.T) {
	w := newWithdrawal()
	w.ack(w.p, w.sentClaims[0])
	w.handle(SidecarMessage{Sidecar: w.sentClaims[1].sidecar, Envelope: wire.Wrap(&wire.Rejected{
		Reason: wire.Rejected_REASON_STALE_EPOCH, Partition: uint32(w.p.id), Epoch: uint64(w.p.epoch), CurrentEpoch: uint64(w.p.epoch) + 1,
	})})
	w.wantAnswers(t, "after the step-down", wire.Ran_RAN_UNKNOWN, 2)
}

// reported returns a job as a sidecar reports it in a fence acknowledgement.
func reported(ref *wire.JobRef, tasks ...*wire.KnownTask) *wire.KnownJob {
	return &wire.KnownJob{Job: ref, Tasks: tasks}
}

// report delivers a fence acknowledgement of a sidecar with the jobs that it
// knows.
func (b *harness) report(p *partition, sidecar int, jobs ...*wire.KnownJob) {
	b.handle(SidecarMessage{Sidecar: sidecarName(sidecar), Envelope: wire.Wrap(&wire.FenceAck{
		Partition: uint32(p.id), Epoch: uint64(p.epoch), PreviousEpoch: uint64(p.epoch), Jobs: jobs,
	})})
}

// Guards against a start by the next owner after the answers of the one that
// withdrew the job were lost: the report of one holder must be enough, and the
// withdrawal must be recorded at two sidecars again before another caller gets
// not-run.
func TestWithdrawalOutlivesOwner(t *testing.T) {
	w := newWithdrawal()
	// The owner dies after both holders have recorded the withdrawal and
	// before any of its answers arrives.
	b := newHarness(3)
	b.core.cfg.Retention = 60_000
	p := b.core.partitionOf(benchService)
	b.ignoreClaims = true
	b.report(p, 0, reported(w.sentClaims[0].ref))
	b.sentClaims = nil
	b.handle(Submit{Request: 1, Job: w.spec})
	b.wantAnswers(t, "before the withdrawal is recorded again", wire.Ran_RAN_NOT_RUN, 0)
	if len(b.sentClaims) < 2 || slices.ContainsFunc(b.sentClaims, func(cl sentClaim) bool { return !cl.ref.GetWithdrawn() }) {
		t.Fatalf("got claims %v, want two or more, all withdrawals", b.sentClaims)
	}
	for _, cl := range b.sentClaims {
		b.ack(p, cl)
	}
	b.wantAnswers(t, "after the withdrawal was recorded again", wire.Ran_RAN_NOT_RUN, 1)
	b.advance(1000)
	if got := b.core.Counters().Starts; got != 0 {
		t.Errorf("got %d starts, want 0", got)
	}
}

// Guards against answering not-run for a job that another owner has started:
// one that replaced the owner while only one sidecar held the withdrawal and
// that did not learn of it, and one whose task is reported in spite of a
// withdrawal.
func TestWithdrawalYieldsToLaterOwner(t *testing.T) {
	marked := newWithdrawal().sentClaims[0].ref
	later := newWithdrawal().claimsBefore[0].ref
	later.DecidedEpoch = marked.GetDecidedEpoch() + 1
	for _, tt := range []struct {
		name string
		jobs []*wire.KnownJob
	}{
		{"withdrawal first", []*wire.KnownJob{reported(marked), reported(later)}},
		{"withdrawal last", []*wire.KnownJob{reported(later), reported(marked)}},
		{"started", []*wire.KnownJob{reported(marked), reported(marked, &wire.KnownTask{Outcome: wire.Outcome_OUTCOME_RUNNING})}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarness(3)
			p := b.core.partitionOf(benchService)
			// The sidecar with the task is missing.
			for i, k := range tt.jobs {
				b.report(p, i, k)
			}
			delete(p.fenceAckedBy, sidecarName(2))
			b.handle(Submit{Request: 1, Job: testJob(1, 2)})
			b.advance(4000)
			if got := b.answersByRan[wire.Ran_RAN_NOT_RUN]; got != 0 {
				t.Errorf("got %d answers not-run, want 0", got)
			}
			if got := b.core.Counters().Starts; got != 0 {
				t.Errorf("got %d starts while a sidecar is missing, want 0", got)
			}
		})
	}
}

// Guards against a decision based on the withdrawal reported by one sidecar
// while the reply of another that may know of a later owner is missing.
func TestWithdrawalNeedsCompleteClaims(t *testing.T) {
	b := newHarness(3)
	p := b.core.partitionOf(benchService)
	b.report(p, 0, reported(newWithdrawal().sentClaims[0].ref))
	p.claimsIncomplete = true
	p.fenceAckedBy = map[ownership.Incarnation]struct{}{sidecarName(0): {}}
	b.handle(Submit{Request: 1, Job: testJob(1, 2)})
	if got, want := b.lastAnswer.GetCode(), CodeClaimsIncomplete; got != want || b.lastAnswer.GetRan() != wire.Ran_RAN_UNKNOWN {
		t.Errorf("got %s %s, want %s %s", b.lastAnswer.GetRan(), got, wire.Ran_RAN_UNKNOWN, want)
	}
}

// Guards against recording a withdrawal after another owner has served the
// partition and may have started the job, whether requests still wait for the
// withdrawal or have been answered as unknown.
func TestWithdrawalEndsAfterForeignEpoch(t *testing.T) {
	for _, tt := range []struct {
		name string
		wait clock.Millis
	}{
		{"requests wait", 10},
		{"requests answered unknown", confirmTimeout + 10},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := newWithdrawal()
			w.ack(w.p, w.sentClaims[0])
			w.advance(tt.wait)
			w.sentClaims = nil
			w.ignoreFences = map[ownership.Incarnation]bool{sidecarName(0): true, sidecarName(1): true, sidecarName(2): true}
			record := w.core.membership.record
			record.Revision++
			record.Partitions[w.p.id].Epoch += 2
			w.handle(RegistrationsListed{RecordRevision: record.Revision, Revision: 2, Registrations: []Registration{
				{Sidecar: sidecarName(0), Domain: sidecarDomain(0)},
				{Sidecar: sidecarName(1), Domain: sidecarDomain(1)},
				{Sidecar: sidecarName(2), Domain: sidecarDomain(2)},
			}})
			w.handle(RecordRead{Record: record})
			w.ignoreClaims = false
			for range 2 {
				for i := range 3 {
					w.handle(SidecarMessage{Sidecar: sidecarName(i), Envelope: wire.Wrap(&wire.FenceAck{
						Partition: uint32(w.p.id), Epoch: uint64(w.p.epoch), PreviousEpoch: uint64(w.p.epoch) - 1,
					})})
				}
			}
			w.advance(100)
			w.wantAnswers(t, "after the fence", wire.Ran_RAN_UNKNOWN, 2)
			if w.p.mode != serving || slices.ContainsFunc(w.sentClaims, func(cl sentClaim) bool { return cl.ref.GetWithdrawn() }) {
				t.Errorf("got mode %s and claims %v, want mode %s and no withdrawals", w.p.mode, w.sentClaims, serving)
			}
		})
	}
}
