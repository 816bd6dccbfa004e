package proptest

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
)

// mutant breaks one rule of the protocol between the cores. A test shows that the
// schedules detect each.
type mutant int

const (
	_ mutant = iota
	// lostDeparture clears the departed marks in claims.
	lostDeparture
	// reusedIncarnation restarts a sidecar without its state under its old incarnation.
	reusedIncarnation
	// lostClaims acknowledges claims without delivering them to the sidecar.
	lostClaims
	// staleFence acknowledges fences without delivering them to the sidecar, which
	// continues to serve the superseded owner.
	staleFence
	// growingAttempts raises the attempt of a resent dispatch, so that the sidecar
	// takes it for a new attempt.
	growingAttempts
	// resentToReplacement resends outstanding dispatches of a dead sidecar to its next
	// incarnation.
	resentToReplacement
	// lostWithdrawal acknowledges the withdrawn marks in claims without delivering them
	// to the sidecar.
	lostWithdrawal
)

// attemptShift is the number of bits below the owner's attempt number that
// growingAttempts uses for the number of the copy.
const attemptShift = 20

// sentDispatch is a dispatch that resentToReplacement may resend.
type sentDispatch struct {
	from, to ownership.Incarnation
	dispatch *wire.Envelope
}

// applyMutant modifies a message according to the mutant and reports whether it is
// still to be delivered.
func (w *world) applyMutant(from, to node, e *wire.Envelope) bool {
	switch w.mutant {
	case lostDeparture:
		for _, ref := range e.GetClaim().GetJobs() {
			ref.Departed = false
		}
	case lostClaims:
		if m := e.GetClaim(); m != nil {
			from.message(to.proc().id, wire.Wrap(&wire.ClaimAck{Partition: m.GetPartition(), Epoch: m.GetEpoch(), Jobs: m.GetJobs()}))
			return false
		}
	case staleFence:
		if m := e.GetFence(); m != nil && to.proc().slot == 0 && w.now > 1_003_000 {
			for _, pe := range m.GetPartitions() {
				from.message(to.proc().id, wire.Wrap(&wire.FenceAck{Partition: pe.GetPartition(), Epoch: pe.GetEpoch(), PreviousEpoch: pe.GetEpoch() - 1}))
			}
			return false
		}
	case growingAttempts:
		w.growAttempts(e)
	case lostWithdrawal:
		w.loseWithdrawals(from, to, e)
	case resentToReplacement:
		w.resendToReplacement(from, to, e)
	}
	return true
}

// loseWithdrawals removes the withdrawn jobs from a claim and acknowledges them in
// place of the sidecar.
func (w *world) loseWithdrawals(from, to node, e *wire.Envelope) {
	m := e.GetClaim()
	if !slices.ContainsFunc(m.GetJobs(), (*wire.JobRef).GetWithdrawn) {
		return
	}
	ack := &wire.ClaimAck{Partition: m.GetPartition(), Epoch: m.GetEpoch()}
	for _, ref := range m.GetJobs() {
		if ref.GetWithdrawn() {
			ack.Jobs = append(ack.Jobs, ref)
		}
	}
	m.Jobs = slices.DeleteFunc(m.Jobs, (*wire.JobRef).GetWithdrawn)
	from.message(to.proc().id, wire.Wrap(ack))
}

// growAttempts gives each copy of a dispatched task its own attempt number, and
// restores the owner's number in results.
func (w *world) growAttempts(e *wire.Envelope) {
	for _, t := range e.GetDispatch().GetTasks() {
		w.dispatchedTasks++
		t.Attempt = t.GetAttempt()<<attemptShift | w.dispatchedTasks
	}
	for _, r := range e.GetResults().GetTasks() {
		r.Attempt = r.GetAttempt() >> attemptShift
	}
}

// resendToReplacement resends the dispatches of a dead sidecar to its replacement once
// that has acknowledged a fence of the same owner.
func (w *world) resendToReplacement(from, to node, e *wire.Envelope) {
	if e.GetDispatch() != nil {
		w.sentDispatches = append(w.sentDispatches, sentDispatch{from.proc().id, to.proc().id, e})
		return
	}
	if e.GetFenceAck() == nil {
		return
	}
	kept := w.sentDispatches[:0]
	for _, d := range w.sentDispatches {
		old := w.node(d.to).proc()
		if d.from != to.proc().id || old.alive || old.slot != from.proc().slot {
			kept = append(kept, d)
			continue
		}
		w.send(to, from, d.dispatch)
	}
	w.sentDispatches = kept
}

// randomFaults draws a schedule without rapid: one violation is enough for a mutant,
// and it needn't be minimized.
func randomFaults(seed uint64, kinds []string) []fault {
	rng := rand.New(rand.NewPCG(seed, 2))
	faults := make([]fault, 2+rng.IntN(7))
	for i := range faults {
		faults[i] = fault{
			Kind:   kinds[rng.IntN(len(kinds))],
			At:     rng.IntN(int(chaosTime)),
			Target: rng.IntN(12),
			Length: 100 + rng.IntN(4900),
		}
	}
	return faults
}

// runMutant runs a schedule with a mutant, or with none if m is 0. A higher
// refusalPercent makes more "not started" reports cross other messages.
func runMutant(seed uint64, m mutant, kinds []string, refusalPercent int) *world {
	w := newWorld(seed)
	w.mutant = m
	w.refusalPercent = refusalPercent
	w.run(randomFaults(seed, kinds))
	return w
}

// TestMutantsAreFound guards against schedules that don't exercise the rules they are
// meant to test. With each rule broken, one of 3000 schedules must show a violation,
// and the same schedule must show none with the rule in place.
func TestMutantsAreFound(t *testing.T) {
	const maxSchedules = 3000
	for _, tt := range []struct {
		name           string
		mutant         mutant
		kinds          []string
		refusalPercent int
	}{
		{"lost departure", lostDeparture, []string{"leave-sidecar", "kill-entry", "close"}, defaultRefusalPercent},
		{"reused incarnation", reusedIncarnation, faultKinds, defaultRefusalPercent},
		{"lost claims", lostClaims, faultKinds, defaultRefusalPercent},
		{"stale fence", staleFence, faultKinds, defaultRefusalPercent},
		{"growing attempts", growingAttempts, []string{"close", "silent-one-way"}, 30},
		{"resend to replacement", resentToReplacement, []string{"kill-sidecar", "close"}, defaultRefusalPercent},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(maxSchedules) {
				got := runMutant(seed, tt.mutant, tt.kinds, tt.refusalPercent).violations
				if len(got) == 0 {
					continue
				}
				t.Logf("schedule %d: %s", seed, got[0])
				if got := runMutant(seed, 0, tt.kinds, tt.refusalPercent).violations; len(got) > 0 {
					t.Errorf("got violations %v in schedule %d with the rule in place, want none", got, seed)
				}
				return
			}
			t.Errorf("got no violation in %d schedules, want one", maxSchedules)
		})
	}
}
