package scheduler_test

import (
	"fmt"
	"testing"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// newFleetTestbed returns a testbed with workers spread over four domains; the
// entry is in the first.
func newFleetTestbed(t *testing.T, workers int) *testbed {
	t.Helper()
	withDomain := settings
	withDomain.Domain = "domain-0"
	b := &testbed{
		t: t, s: scheduler.New(withDomain), now: 1_000_000,
		received: make(map[scheduler.Address]int64), workers: make(map[scheduler.Address]int64), sent: make(map[scheduler.Address][]*wire.TaskOrders),
	}
	b.s.RecordStoreContact(b.now)
	b.s.SetEntries([]ownership.Incarnation{self})
	b.tick()
	for i := range workers {
		a := address(i)
		b.workers[a] = 20_000
		b.s.SidecarConnected(a, domainOf(i), sidecar(a))
		b.inventory(a)
	}
	b.advance(300)
	return b
}

func domainOf(i int) ownership.Domain { return ownership.Domain(fmt.Sprintf("domain-%d", i%4)) }

// outsideSubset returns the workers outside the entry's subset, by its orders so
// far.
func (b *testbed) outsideSubset() map[scheduler.Address]bool {
	out := make(map[scheduler.Address]bool)
	for a, all := range b.sent {
		for _, o := range all {
			out[a] = o.GetLoose()
		}
	}
	return out
}

func count(set map[scheduler.Address]bool) int {
	n := 0
	for _, in := range set {
		if in {
			n++
		}
	}
	return n
}

// An entry selects 32 of 160 workers as its subset, three quarters of them in its
// own failure domain. When one of them is removed, exactly one other replaces it.
func TestSubsetSelection(t *testing.T) {
	b := newFleetTestbed(t, 160)
	before := b.outsideSubset()
	if got, want := count(before), 128; got != want {
		t.Fatalf("workers outside the subset: got %d, want %d", got, want)
	}
	inOwnDomain := 0
	for i := range 160 {
		if !before[address(i)] && domainOf(i) == "domain-0" {
			inOwnDomain++
		}
	}
	if got, want := inOwnDomain, 24; got < want {
		t.Errorf("subset workers in the entry's domain: got %d, want %d or more", got, want)
	}
	var removed scheduler.Address
	for i := range 160 {
		if !before[address(i)] {
			removed = address(i)
		}
	}
	b.s.SidecarDisconnected(sidecar(removed))
	delete(b.workers, removed)
	b.advance(300)
	changed := 0
	for a, outside := range b.outsideSubset() {
		if a != removed && outside != before[a] {
			changed++
		}
	}
	if got, want := changed, 1; got != want {
		t.Errorf("other workers that entered or left the subset after one was removed: got %d, want %d", got, want)
	}
}

// With two services in the fleet, an entry selects a subset of each, including
// the smaller one.
func TestSubsetPerService(t *testing.T) {
	b := newFleetTestbed(t, 0)
	for i := range 160 {
		a := address(i)
		b.workers[a] = 20_000
		b.s.SidecarConnected(a, domainOf(i), sidecar(a))
	}
	for range 3 {
		b.now += 150
		for i := range 160 {
			load := &wire.WorkerLoad{Cpu: 20_000, FreeCpu: 20_000, MemoryMb: 1000, FreeMemoryMb: 1000, Ready: true, Service: "s"}
			if i < 40 {
				load.Service = "small"
			}
			b.send(address(i), &wire.TaskReport{Inventory: true, Load: load})
		}
	}
	small := 0
	for a, outside := range b.outsideSubset() {
		for i := range 40 {
			if a == address(i) && outside {
				small++
			}
		}
	}
	if got, want := small, 8; got != want {
		t.Errorf("workers outside the subset of the service with 40: got %d, want %d", got, want)
	}
	if got, want := count(b.outsideSubset()), 8+88; got != want {
		t.Errorf("workers outside the subsets of both services: got %d, want %d", got, want)
	}
}

// In a fleet smaller than the subset size, all workers are in the subset.
func TestSmallFleetIsWhollyInSubset(t *testing.T) {
	b := newFleetTestbed(t, 12)
	if got := count(b.outsideSubset()); got != 0 {
		t.Errorf("workers outside the subset: got %d of 12, want 0", got)
	}
}

// Workers outside the subset are used when the load of one failure domain exceeds
// the capacity of the subset.
func TestWorkersOutsideSubsetAreUsed(t *testing.T) {
	b := newFleetTestbed(t, 160)
	outside := b.outsideSubset()
	used := 0
	for i := range 40 {
		b.submit(job(fmt.Sprintf("j%d", i), 6, true))
		for _, s := range b.starts() {
			if outside[s.at] {
				used++
			}
		}
	}
	if used < 40 {
		t.Errorf("starts on workers outside the subset: got %d of 240 where the subset has capacity for 120, want 40 or more", used)
	}
}

// Grants are needed only by sidecars that hold runs or ends of the entry. Sent to
// all, they made up half of the messages of a large fleet.
func TestIdleSidecarGetsNoGrants(t *testing.T) {
	b := newTestbed(t, 2)
	b.submit(job("j", 1, true))
	starts := b.starts()
	if len(starts) != 1 {
		t.Fatalf("starts: got %d, want 1", len(starts))
	}
	b.advance(clock.Second)
	for a, all := range b.sent {
		if got := len(all); (a == starts[0].at) != (got >= 5) {
			t.Errorf("orders to %s in a second: got %d, want 5 or more only for the worker of the run", a, got)
		}
	}
	b.sent = make(map[scheduler.Address][]*wire.TaskOrders)
	b.submit(job("stored", 1, false))
	b.advance(clock.Second)
	for a := range b.workers {
		if got := len(b.sent[a]); got < 5 {
			t.Errorf("orders to %s in a second while a stored job is open: got %d, want 5 or more", a, got)
		}
	}
}
