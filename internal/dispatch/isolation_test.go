package dispatch

import (
	"slices"
	"testing"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// isolationBed is an entry of domain d0 with sidecars in d0, d1 and d2 and two
// other entries that hold leases.
type isolationBed struct {
	*bed
	seen []bool
}

func newIsolationBed(workers int) *isolationBed {
	b := &isolationBed{bed: newBed(workers)}
	for i, id := range []ownership.Incarnation{"entry-2", "entry-3"} {
		b.step(PeerConnected{Entry: id, Hello: &wire.Hello{Domain: string(sidecarDomain(i + 1))}})
	}
	b.lease("entry-1", "entry-2", "entry-3")
	return b
}

// step handles events and notes what the core says of its isolation.
func (b *isolationBed) step(events ...Event) {
	for _, e := range events {
		b.core.Handle(b.now, e)
	}
	for _, c := range b.core.Tick(b.now) {
		if i, ok := c.(IsolationChanged); ok {
			b.seen = append(b.seen, i.Isolated)
		}
	}
}

func (b *isolationBed) wait(d clock.Millis) {
	b.now += d
	b.step()
}

func (b *isolationBed) lease(ids ...ownership.Incarnation) {
	domains := map[ownership.Incarnation]ownership.Domain{"entry-1": "d0", "entry-2": "d1", "entry-3": "d2"}
	var members []ownership.Member
	for _, id := range ids {
		members = append(members, ownership.Member{Incarnation: id, Domain: domains[id]})
	}
	b.step(MembersChanged{Members: members})
}

// cut ends the sessions with the other domains.
func (b *isolationBed) cut(workers int) {
	b.step(PeerDisconnected{Entry: "entry-2"}, PeerDisconnected{Entry: "entry-3"})
	for i := range workers {
		if sidecarDomain(i) != "d0" {
			b.step(SidecarDisconnected{Sidecar: sidecarName(i)})
		}
	}
}

// Guards against an owner whose failure domain is cut off and that keeps its
// lease, so that nobody can use the service, and against one that gives up its
// lease when it is the others that are dead, or when nobody could do better.
func TestIsolatedEntryIsFound(t *testing.T) {
	tests := []struct {
		name    string
		workers int
		before  func(*isolationBed)
		want    []bool
	}{
		{"other domains are alive", 6, func(*isolationBed) {}, []bool{true}},
		{"the other entries are dead", 6, func(b *isolationBed) { b.lease("entry-1") }, nil},
		{"only one other domain has workers", 2, func(*isolationBed) {}, nil},
		{"the store is down", 6, func(b *isolationBed) { b.step(StoreState{}) }, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newIsolationBed(tt.workers)
			tt.before(b)
			b.cut(tt.workers)
			if !slices.Equal(b.seen, tt.want) {
				t.Errorf("got %v, want %v", b.seen, tt.want)
			}
		})
	}
}

// Guards against an entry that gives up its lease before its first sessions, and
// so never registers.
func TestNewEntryIsNotIsolated(t *testing.T) {
	b := &isolationBed{bed: newBed(0)}
	var list []Registration
	for i := range 6 {
		list = append(list, Registration{Sidecar: sidecarName(i), Domain: sidecarDomain(i)})
	}
	b.step(RegistrationsListed{RecordRevision: 2, Revision: 2, Registrations: list})
	b.lease("entry-1", "entry-2", "entry-3")
	b.wait(2 * isolationTime)
	if len(b.seen) > 0 {
		t.Errorf("got %v, want no report", b.seen)
	}
}

// Guards against an isolated entry that stays away: it must come back with a
// session outside, and when the leases of the others are gone too.
func TestIsolationEnds(t *testing.T) {
	b := newIsolationBed(6)
	b.cut(6)
	b.step(PeerConnected{Entry: "entry-2", Hello: &wire.Hello{Domain: "d1"}})
	if want := []bool{true, false}; !slices.Equal(b.seen, want) {
		t.Errorf("got %v after a session, want %v", b.seen, want)
	}

	b = newIsolationBed(6)
	b.cut(6)
	b.lease()
	b.wait(isolationTime - 1)
	if want := []bool{true}; !slices.Equal(b.seen, want) {
		t.Errorf("got %v before the pause ended, want %v", b.seen, want)
	}
	b.wait(1)
	if want := []bool{true, false}; !slices.Equal(b.seen, want) {
		t.Errorf("got %v without other leases, want %v", b.seen, want)
	}
}
