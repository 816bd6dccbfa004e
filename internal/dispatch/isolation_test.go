package dispatch

import (
	"slices"
	"testing"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// isolationHarness is an entry of domain d0 with sidecars in d0, d1 and d2 and
// two other entries that hold leases.
type isolationHarness struct {
	*harness
	reports []bool
}

func newIsolationHarness(workers int) *isolationHarness {
	b := &isolationHarness{harness: newHarness(workers)}
	for i, id := range []ownership.Incarnation{"entry-2", "entry-3"} {
		b.step(PeerConnected{Entry: id, Hello: &wire.Hello{Domain: string(sidecarDomain(i + 1))}})
	}
	b.lease("entry-1", "entry-2", "entry-3")
	return b
}

// step handles events and records the reported changes of the isolation.
func (b *isolationHarness) step(events ...Event) {
	for _, e := range events {
		b.core.Handle(b.now, e)
	}
	for _, c := range b.core.Tick(b.now) {
		if i, ok := c.(IsolationChanged); ok {
			b.reports = append(b.reports, i.Isolated)
		}
	}
}

func (b *isolationHarness) wait(d clock.Millis) {
	b.now += d
	b.step()
}

func (b *isolationHarness) lease(ids ...ownership.Incarnation) {
	domains := map[ownership.Incarnation]ownership.Domain{"entry-1": "d0", "entry-2": "d1", "entry-3": "d2"}
	var members []ownership.Member
	for _, id := range ids {
		members = append(members, ownership.Member{Incarnation: id, Domain: domains[id]})
	}
	b.step(MembersChanged{Members: members})
}

// disconnectOutside ends the sessions with the other domains.
func (b *isolationHarness) disconnectOutside(workers int) {
	b.step(PeerDisconnected{Entry: "entry-2"}, PeerDisconnected{Entry: "entry-3"})
	for i := range workers {
		if sidecarDomain(i) != "d0" {
			b.step(SidecarDisconnected{Sidecar: sidecarName(i)})
		}
	}
}

// Guards against an owner in an isolated failure domain that keeps its lease,
// so that the service is unavailable, and against one that gives up its lease
// although the other entries are dead or could not serve either.
func TestIsolationIsReported(t *testing.T) {
	tests := []struct {
		name    string
		workers int
		before  func(*isolationHarness)
		want    []bool
	}{
		{"other domains are alive", 6, func(*isolationHarness) {}, []bool{true}},
		{"the other entries are dead", 6, func(b *isolationHarness) { b.lease("entry-1") }, nil},
		{"only one other domain has workers", 2, func(*isolationHarness) {}, nil},
		{"the store is down", 6, func(b *isolationHarness) { b.step(StoreState{}) }, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newIsolationHarness(tt.workers)
			tt.before(b)
			b.disconnectOutside(tt.workers)
			if !slices.Equal(b.reports, tt.want) {
				t.Errorf("got %v, want %v", b.reports, tt.want)
			}
		})
	}
}

// Guards against an entry that gives up its lease before its first sessions
// and so never registers.
func TestNewEntryIsNotIsolated(t *testing.T) {
	b := &isolationHarness{harness: newHarness(0)}
	var list []Registration
	for i := range 6 {
		list = append(list, Registration{Sidecar: sidecarName(i), Domain: sidecarDomain(i)})
	}
	b.step(RegistrationsListed{RecordRevision: 2, Revision: 2, Registrations: list})
	b.lease("entry-1", "entry-2", "entry-3")
	b.wait(2 * isolationPeriod)
	if len(b.reports) > 0 {
		t.Errorf("got %v, want no report", b.reports)
	}
}

// Guards against an entry that stays isolated after it gets a session outside
// its domain, or after the leases of the others have expired too.
func TestIsolationEnds(t *testing.T) {
	b := newIsolationHarness(6)
	b.disconnectOutside(6)
	b.step(PeerConnected{Entry: "entry-2", Hello: &wire.Hello{Domain: "d1"}})
	if want := []bool{true, false}; !slices.Equal(b.reports, want) {
		t.Errorf("got %v after a session, want %v", b.reports, want)
	}

	b = newIsolationHarness(6)
	b.disconnectOutside(6)
	b.lease()
	b.wait(isolationPeriod - 1)
	if want := []bool{true}; !slices.Equal(b.reports, want) {
		t.Errorf("got %v before the end of isolationPeriod, want %v", b.reports, want)
	}
	b.wait(1)
	if want := []bool{true, false}; !slices.Equal(b.reports, want) {
		t.Errorf("got %v without other leases, want %v", b.reports, want)
	}
}
