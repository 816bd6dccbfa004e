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
