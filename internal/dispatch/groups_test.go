package dispatch

import (
	"testing"

	"github.com/teaseltide/teaseltide/internal/wire"
)

// countClaims counts the claims in the groups of a partition and checks the
// links of each and that it belongs to a job of the partition.
func countClaims(t *testing.T, p *partition) int {
	t.Helper()
	n := 0
	for _, g := range p.claimGroups {
		for _, l := range []*claimList{&g.unconfirmed, &g.confirmed} {
			var last *claim
			for cl := l.first; cl != nil; cl = cl.next {
				if cl.prev != last || cl.group != g || g.listFor(cl) != l {
					t.Errorf("got the claim of %v with a wrong link, group or list", cl.id)
				}
				if p.claimOf(cl.id) != cl {
					t.Errorf("got a claim of %v that is not that of its job", cl.id)
				}
				last = cl
				n++
			}
			if l.last != last {
				t.Errorf("got a list whose last claim is wrong")
			}
		}
	}
	return n
}

// Guards against claims that are missing from the groups after a job was
// compacted, which would not be reassigned when a holder is lost, and against
// claims of expired jobs that stay in memory.
func TestGroupsHoldTheClaimsOfAllRows(t *testing.T) {
	b := newHarness(6)
	b.core.cfg.Retention = longRetention
	p := b.core.partitionOf(benchService)
	const jobs = 40
	for n := range jobs {
		b.handle(Submit{Request: RequestID(n + 1), Job: testJob(n, 1+n%3)})
		b.advance(7)
		if got := countClaims(t, p); got != n+1 {
			t.Fatalf("got %d claims, want %d", got, n+1)
		}
	}
	b.advance(1000)
	if got := countClaims(t, p); got != jobs || p.answered.Len() != jobs {
		t.Errorf("got %d claims and %d answered jobs, want %d", got, p.answered.Len(), jobs)
	}
	b.now += longRetention + b.core.cfg.ClockSkew
	b.tick()
	if got := countClaims(t, p); got != 0 {
		t.Errorf("got %d claims after the expiry, want 0", got)
	}
}

// Guards against a sidecar loss that also reassigns the claims of other
// holders: its cost would grow with the number of retained jobs.
func TestSidecarLossReassignsOnlyItsClaims(t *testing.T) {
	b, p, a := newAnsweredHarness(t)
	lost := a.holders()[0]
	state := b.core.sidecars.Get(lost).state
	domain := string(b.core.sidecars.Get(lost).domain)
	b.handle(SidecarDisconnected{Sidecar: lost})
	b.handle(Submit{Request: 2, Job: testJob(2, 1)})
	b.advance(200)
	b.handle(SidecarConnected{Sidecar: lost, Hello: &wire.Hello{Domain: domain, Sidecar: state}})
	b.advance(10)
	other := p.answered.Get(jobIDOf(testJob(2, 1)))
	if other == nil || containsID(other.holders(), lost) || !containsID(a.holders(), lost) {
		t.Fatal("got the same holders for both jobs, want others for the second")
	}
	b.sentClaims = nil
	b.handle(SidecarDisconnected{Sidecar: lost})
	b.advance(lostAfter + 100)
	if len(b.sentClaims) != 2 {
		t.Errorf("got %d claims sent, want 2", len(b.sentClaims))
	}
	for _, cl := range b.sentClaims {
		if cl.ref.GetKey() != a.id.Key {
			t.Errorf("got a claim of %s sent, want those of %s only", cl.ref.GetKey(), a.id.Key)
		}
	}
	if got := countClaims(t, p); got != 2 || !a.isConfirmed() || containsID(a.holders(), lost) {
		t.Errorf("got %d claims and holders %v, want 2 claims and other holders", got, a.holders())
	}
}

// Guards against a departed mark that is lost with its only holder: a sidecar
// reports a job without a caller's key whose tasks ran on a departed sidecar.
func TestReportedDepartureIsClaimed(t *testing.T) {
	b := newHarness(6)
	p := b.core.partitionOf(benchService)
	spec := testJob(1, 1)
	ref := &wire.JobRef{
		Service: spec.GetService(), Team: spec.GetTeam(), Key: spec.GetKey(), BodyHash: spec.GetBodyHash(),
		ExpiresAtMs: int64(b.now) + 1000, TaskCount: 1, Departed: true,
	}
	b.sentClaims = nil
	b.core.Handle(b.now, SidecarMessage{Sidecar: sidecarName(0), Envelope: wire.Wrap(&wire.FenceAck{
		Partition: uint32(p.id), Epoch: uint64(p.epoch), Jobs: []*wire.KnownJob{{Job: ref}},
	})})
	if !b.core.claimsDependOn(sidecarName(0)) {
		t.Error("got a sidecar that may leave before other sidecars hold the departed mark")
	}
	b.advance(10)
	if len(b.sentClaims) != 2 || !b.sentClaims[0].ref.GetDeparted() {
		t.Errorf("got claims %v, want one with the departed mark at two sidecars", b.sentClaims)
	}
}

// Guards against an answered job whose claim stays at one sidecar because its
// reassignment was unsent when recovery restarted.
func TestRestartedRecoveryKeepsClaimsOfAnsweredJobs(t *testing.T) {
	b, p, a := newAnsweredHarness(t)
	p.unsentClaims = append(p.unsentClaims, a.id, jobIDOf(testJob(2, 1)))
	b.core.restartRecovery(p)
	if len(p.unsentClaims) != 1 || p.unsentClaims[0] != a.id {
		t.Errorf("got claims of %v to be sent, want that of %v", p.unsentClaims, a.id)
	}
}
