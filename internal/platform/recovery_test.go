package platform_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/teaseltide/teaseltide/internal/platform"
	"github.com/teaseltide/teaseltide/internal/standin/store"
)

// Guards against processes that start during an outage of the store and stay
// without a configuration or without sidecars after its return, because each watch
// waits for its own backoff.
func TestWatchesRetryOnRecovery(t *testing.T) {
	f := setup(t, 0)
	recovery := platform.NewRecovery()
	slow := platform.NewDirectory(f.gateway, platform.DirectorySettings{Recovery: recovery, MaxBackoff: 60_000})
	fast := platform.NewDirectory(f.gateway, platform.DirectorySettings{Recovery: recovery, MaxBackoff: 100})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f.server.SetFaults(store.Faults{Down: true})
	var slowDelivered, fastDelivered atomic.Bool
	go slow.WatchEntries(ctx, func(platform.EntryListing) { slowDelivered.Store(true) })
	go fast.WatchText(ctx, func(platform.Text) { fastDelivered.Store(true) })
	// After this time, the backoff of the slow watch is longer than a second.
	time.Sleep(2500 * time.Millisecond)
	f.server.SetFaults(store.Faults{})
	returned := time.Now()
	eventually(t, "both watches have delivered", func() bool { return slowDelivered.Load() && fastDelivered.Load() })
	if got, limit := time.Since(returned), 500*time.Millisecond; got > limit {
		t.Errorf("got the last delivery %v after the return of the store, want it within %v", got, limit)
	}
}

// failingStore fails all calls without an answer and counts them.
type failingStore struct {
	platform.Store
	calls atomic.Int64
}

func (s *failingStore) fail() error {
	s.calls.Add(1)
	return &platform.Error{Operation: platform.OpRange, Kind: platform.Unknown}
}

func (s *failingStore) Get(context.Context, string) (platform.KeyValue, error) {
	return platform.KeyValue{}, s.fail()
}

func (s *failingStore) CompareAndSwap(context.Context, string, platform.Revision, []byte, platform.LeaseID) (platform.Revision, error) {
	return 0, s.fail()
}

// Guards against a burst of calls by each starting sidecar while the store resets all
// connections: the attempts of a registration followed each other without a pause.
func TestAttemptsAtAFailingStoreAreSpaced(t *testing.T) {
	s := &failingStore{}
	directory := platform.NewDirectory(s, platform.DirectorySettings{})
	start := time.Now()
	err := directory.RegisterSidecar(t.Context(), platform.SidecarRegistration{Sidecar: "s-1", Address: "10.0.0.1:7000"})
	if got, want := platform.KindOf(err), platform.Unknown; got != want {
		t.Errorf("kind: got %q, want %q", got, want)
	}
	// Two calls for each attempt, and a pause of at least 70 ms after it.
	if got, elapsed := s.calls.Load(), time.Since(start); elapsed < time.Duration(got/2)*70*time.Millisecond {
		t.Errorf("got %d calls within %v, want a pause of 70 ms after each attempt", got, elapsed)
	}
}
