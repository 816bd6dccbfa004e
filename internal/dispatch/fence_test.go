package dispatch

import (
	"testing"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
)

// Guards against tasks that are bound while the owner fences again at a new
// epoch and are not sent when the fence is complete, and against sending them
// earlier: a sidecar that has not replied may know them.
func TestTasksBoundDuringFenceAreSentAfterIt(t *testing.T) {
	b := newHarness(3)
	// All 24 slots are busy and 16 tasks wait.
	b.handle(Submit{Request: 1, Job: testJob(1, 40)})
	b.advance(20)
	p := b.core.partitionOf(benchService)
	record := b.core.membership.record
	record.Revision++
	record.Partitions[p.id].Epoch += 2
	b.ignoreFences = map[ownership.Incarnation]bool{sidecarName(1): true, sidecarName(2): true}
	b.handle(RecordRead{Record: record})
	b.handle(RegistrationsListed{RecordRevision: record.Revision, Revision: 2, Registrations: []Registration{
		{Sidecar: sidecarName(0), Domain: sidecarDomain(0)},
		{Sidecar: sidecarName(1), Domain: sidecarDomain(1)},
		{Sidecar: sidecarName(2), Domain: sidecarDomain(2)},
	}})
	starts := b.core.Counters().Starts
	b.advance(500)
	if p.mode != fencing {
		t.Fatalf("got mode %s, want %s", p.mode, fencing)
	}
	if got := b.core.Counters().Starts; got != starts {
		t.Errorf("got %d tasks sent during the fence, want 0", got-starts)
	}
	b.ignoreFences = nil
	for _, i := range []int{1, 2} {
		b.handle(SidecarMessage{Sidecar: sidecarName(i), Envelope: wire.Wrap(&wire.FenceAck{
			Partition: uint32(p.id), Epoch: uint64(p.epoch), PreviousEpoch: uint64(p.epoch) - 2,
		})})
	}
	b.advance(1000)
	if b.answerCount != 1 {
		t.Errorf("got %d answers after the fence, want 1", b.answerCount)
	}
}

// Guards against a Fetch that carries the epoch before a fence that precedes
// it on the session. The sidecar would reject it, and the results of tasks
// started under a former owner would never arrive.
func TestFetchCarriesEpochOfFence(t *testing.T) {
	b := newHarness(3)
	p := b.core.partitionOf(benchService)
	spec := testJob(1, 1)
	b.handle(SidecarMessage{Sidecar: sidecarName(0), Envelope: wire.Wrap(&wire.FenceAck{
		Partition: uint32(p.id), Epoch: uint64(p.epoch),
		Jobs: []*wire.KnownJob{{
			Job: &wire.JobRef{
				Service: spec.GetService(), Team: spec.GetTeam(), Key: spec.GetKey(), BodyHash: spec.GetBodyHash(),
				CallerKey: true, TaskCount: 1, ExpiresAtMs: int64(b.now) + 1000,
			},
			Tasks: []*wire.KnownTask{{Outcome: wire.Outcome_OUTCOME_DONE}},
		}},
	})})
	record := b.core.membership.record
	record.Revision++
	record.Partitions[p.id].Epoch += 2
	b.core.Handle(b.now, RegistrationsListed{RecordRevision: record.Revision, Revision: 2})
	b.core.Handle(b.now, Submit{Request: 1, Job: spec})
	b.core.Handle(b.now, RecordRead{Record: record})
	var fenced, fetched uint64
	for _, c := range b.core.Tick(b.now) {
		s, ok := c.(SendSidecar)
		if !ok || s.Sidecar != sidecarName(0) {
			continue
		}
		if f := s.Envelope.GetFence(); f != nil {
			fenced = f.GetPartitions()[0].GetEpoch()
		}
		if f := s.Envelope.GetFetch(); f != nil {
			fetched = f.GetEpoch()
		}
	}
	if fenced == 0 || fetched != fenced {
		t.Errorf("got a fetch at epoch %d after a fence at epoch %d, want the same", fetched, fenced)
	}
}

// Guards against results that are never fetched: a job is resumed from a
// sidecar's reply to the previous fence while its reply to the current one is
// missing. The job would wait until its deadline.
func TestAdoptedTaskIsFetchedAfterLateReply(t *testing.T) {
	b := newHarness(3)
	p := b.core.partitionOf(benchService)
	spec := testJob(1, 1)
	known := []*wire.KnownJob{{
		Job: &wire.JobRef{
			Service: spec.GetService(), Team: spec.GetTeam(), Key: spec.GetKey(), BodyHash: spec.GetBodyHash(),
			CallerKey: true, TaskCount: 1, ExpiresAtMs: int64(b.now) + 1000,
		},
		Tasks: []*wire.KnownTask{{Outcome: wire.Outcome_OUTCOME_DONE}},
	}}
	previous := p.epoch
	reply := func(sidecar int, jobs []*wire.KnownJob) {
		b.handle(SidecarMessage{Sidecar: sidecarName(sidecar), Envelope: wire.Wrap(&wire.FenceAck{
			Partition: uint32(p.id), Epoch: uint64(p.epoch), PreviousEpoch: uint64(previous), Jobs: jobs,
		})})
	}
	reply(0, known)
	record := b.core.membership.record
	record.Revision++
	record.Partitions[p.id].Epoch += 2
	b.ignoreFences = map[ownership.Incarnation]bool{sidecarName(0): true, sidecarName(1): true, sidecarName(2): true}
	b.core.Handle(b.now, RegistrationsListed{RecordRevision: record.Revision, Revision: 2, Registrations: []Registration{
		{Sidecar: sidecarName(0), Domain: sidecarDomain(0)},
		{Sidecar: sidecarName(1), Domain: sidecarDomain(1)},
		{Sidecar: sidecarName(2), Domain: sidecarDomain(2)},
	}})
	b.handle(RecordRead{Record: record})
	reply(1, nil)
	reply(2, nil)
	b.handle(Submit{Request: 1, Job: spec})
	if j := p.jobs.Get(jobIDOf(spec)); p.mode != serving || j == nil || b.fetchCount != 0 {
		t.Fatalf("got mode %s, job %v and %d requests for results, want the job resumed while a reply is missing", p.mode, j, b.fetchCount)
	}
	reply(0, known)
	if b.fetchCount != 1 {
		t.Errorf("got %d requests for the results after the reply, want 1", b.fetchCount)
	}
	b.handle(SidecarMessage{Sidecar: sidecarName(0), Envelope: wire.Wrap(&wire.Rejected{
		Reason: wire.Rejected_REASON_STALE_EPOCH, Partition: uint32(p.id), Epoch: uint64(p.epoch), CurrentEpoch: uint64(previous),
		Service: spec.GetService(), Team: spec.GetTeam(), Key: spec.GetKey(),
	})})
	reply(0, known)
	if b.fetchCount != 2 {
		t.Errorf("got %d requests for the results after one was rejected, want 2", b.fetchCount)
	}
}

// Guards against a second start by an entry that regains ownership: another
// owner has served in between and runs a task that is bound to another sidecar
// here, where its dispatch was lost.
func TestForeignEpochRestartsRecovery(t *testing.T) {
	b := newHarness(3)
	p := b.core.partitionOf(benchService)
	b.core.Handle(b.now, Submit{Request: 1, Job: testJob(1, 1)})
	b.advance(5)
	j := p.jobs.Get(jobIDOf(testJob(1, 1)))
	if j == nil || j.tasks[0].state != taskBound {
		t.Fatal("got no bound task, want one")
	}
	b.pendingResults = nil
	other := sidecarName(0)
	if j.tasks[0].sidecar == other {
		other = sidecarName(1)
	}
	record := b.core.membership.record
	record.Revision++
	record.Partitions[p.id].Epoch += 2
	known := []*wire.KnownJob{{Job: j.ref, Tasks: []*wire.KnownTask{{Outcome: wire.Outcome_OUTCOME_RUNNING}}}}
	b.ignoreFences = map[ownership.Incarnation]bool{sidecarName(0): true, sidecarName(1): true, sidecarName(2): true}
	b.core.Handle(b.now, RegistrationsListed{RecordRevision: record.Revision, Revision: 2})
	b.handle(RecordRead{Record: record})
	starts := b.core.Counters().Starts
	for _, previous := range []uint64{1, 0} {
		for i := range 3 {
			ack := &wire.FenceAck{Partition: uint32(p.id), Epoch: uint64(p.epoch), PreviousEpoch: uint64(p.epoch) - previous}
			if sidecarName(i) == other {
				ack.Jobs = known
			}
			b.handle(SidecarMessage{Sidecar: sidecarName(i), Envelope: wire.Wrap(ack)})
		}
		b.advance(5)
	}
	b.advance(50)
	if got := b.core.Counters().Starts; got != starts {
		t.Errorf("got %d further starts, want 0", got-starts)
	}
	j = p.jobs.Get(jobIDOf(testJob(1, 1)))
	if j == nil || j.tasks[0].state != taskBound || j.tasks[0].sidecar != other {
		t.Errorf("got job %v, want its task bound to %s", j, other)
	}
}

// Guards against results that are never fetched: a sidecar replies to the
// fence after the job was resumed from the reports of others.
func TestLateFenceReplyFetchesResults(t *testing.T) {
	b := newHarness(3)
	p := b.core.partitionOf(benchService)
	b.handle(Submit{Request: 1, Job: testJob(1, 1)})
	j := p.jobs.Get(jobIDOf(testJob(1, 1)))
	j.tasks[0].state = taskPending
	delete(b.core.sidecars.Get(sidecarName(2)).fencedEpochs, p.id)
	b.core.Handle(b.now, SidecarMessage{Sidecar: sidecarName(2), Envelope: wire.Wrap(&wire.FenceAck{
		Partition: uint32(p.id), Epoch: uint64(p.epoch), PreviousEpoch: uint64(p.epoch),
		Jobs: []*wire.KnownJob{{Job: j.ref, Tasks: []*wire.KnownTask{{Outcome: wire.Outcome_OUTCOME_DONE}}}},
	})})
	fetched := false
	for _, c := range b.core.Tick(b.now) {
		if s, ok := c.(SendSidecar); ok && s.Envelope.GetFetch() != nil {
			fetched = s.Sidecar == sidecarName(2)
		}
	}
	if !fetched {
		t.Error("got no request for the results, want one")
	}
}

// Guards against a start that is delayed until a sidecar counts as lost: the
// session of a claim's holder ends before it has confirmed the claim.
func TestClaimMovesWhenSessionEnds(t *testing.T) {
	b := newHarness(4)
	p := b.core.partitionOf(benchService)
	b.ignoreClaims = true
	b.handle(Submit{Request: 1, Job: testJob(1, 1)})
	j := p.jobs.Get(jobIDOf(testJob(1, 1)))
	if j == nil || len(j.holders()) != 2 {
		t.Fatalf("got job %v, want a claim at two sidecars", j)
	}
	b.ignoreClaims = false
	b.handle(SidecarDisconnected{Sidecar: j.holders()[0]})
	b.advance(10)
	if j.state != jobRunning {
		t.Errorf("got state %s, want %s", j.state, jobRunning)
	}
}

// Guards against a service that stops for the 1.5 s until a silent session
// ends, because the silent sidecar holds its claims and each job waits for it,
// and against an indefinite wait because nothing makes the session ping.
func TestClaimMovesFromSilentSidecar(t *testing.T) {
	b := newHarness(4)
	p := b.core.partitionOf(benchService)
	b.ignoreClaims = true
	b.handle(Submit{Request: 1, Job: testJob(1, 1)})
	first := p.jobs.Get(jobIDOf(testJob(1, 1)))
	if first == nil || len(first.holders()) != 2 {
		t.Fatalf("got job %v, want a claim at two sidecars", first)
	}
	silent, other := first.holders()[0], first.holders()[1]
	ack := func() {
		b.handle(SidecarMessage{Sidecar: other, Envelope: wire.Wrap(&wire.ClaimAck{
			Partition: uint32(p.id), Epoch: uint64(p.epoch), Jobs: []*wire.JobRef{first.ref},
		})})
	}
	ack()
	if !b.core.AwaitsReply(silent) || b.core.AwaitsReply(other) {
		t.Errorf("got replies due from the silent holder: %v, from the other: %v, want true and false",
			b.core.AwaitsReply(silent), b.core.AwaitsReply(other))
	}
	b.ignoreClaims = false
	b.advance(claimAckTimeout + 1)
	if first.state != jobRunning {
		t.Errorf("got state %s after %d ms, want %s", first.state, claimAckTimeout+1, jobRunning)
	}
	b.handle(Submit{Request: 2, Job: testJob(2, 1)})
	second := p.jobs.Get(jobIDOf(testJob(2, 1)))
	if containsID(second.holders(), silent) {
		t.Errorf("got holders %v for the next job, want others than %s", second.holders(), silent)
	}
	b.handle(SidecarMessage{Sidecar: silent, Envelope: wire.Wrap(&wire.ClaimAck{Partition: uint32(p.id), Epoch: uint64(p.epoch)})})
	if s := b.core.sidecars.Get(silent); !b.core.canHold(p, s) {
		t.Error("the sidecar cannot hold claims after it has replied, want that it can")
	}
}
