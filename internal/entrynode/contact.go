package entrynode

import (
	"sync/atomic"

	"github.com/teaseltide/teaseltide/internal/platform"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// failingAfter is how long calls to the store must have failed without a
// success before new jobs are refused immediately. A single lost response is not
// an outage.
const failingAfter = 700 * clock.Millis(1)

// StoreHealth derives the state of the store from the results of the calls to it.
type StoreHealth struct {
	Clock clock.Clock

	succeeded atomic.Int64
	failed    atomic.Int64
	alive     atomic.Int64
}

// Observe records a finished call.
func (c *StoreHealth) Observe(call platform.Call) {
	now := c.Clock.Now()
	switch platform.Kind(call.Result) {
	case platform.ResultOK, platform.Conflict, platform.NotFound:
		c.succeeded.Store(int64(now))
		if call.Operation == platform.OpKeepAlive && call.Result == platform.ResultOK {
			// A renewed lease had not expired, so no other entry can have
			// deposed this one before the call.
			c.alive.Store(int64(now - call.Elapsed))
		}
	default:
		c.failed.Store(int64(now))
	}
}

// LastRenewal returns the start of the last successful renewal of the entry's
// lease, at which the entry was not deposed.
func (c *StoreHealth) LastRenewal() clock.Millis { return clock.Millis(c.alive.Load()) }

// Failing reports whether the store rejects calls or does not answer them.
func (c *StoreHealth) Failing(now clock.Millis) bool {
	succeeded := c.succeeded.Load()
	return c.failed.Load() > succeeded && now-clock.Millis(succeeded) >= failingAfter
}
