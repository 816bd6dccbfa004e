package entrynode

import (
	"sync/atomic"

	"github.com/teaseltide/teaseltide/internal/platform"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// outageThreshold is how long calls to the store must have failed without a
// success before new jobs are refused immediately. A single lost response is not
// an outage.
const outageThreshold = 700 * clock.Millis(1)

// StoreHealth derives the state of the store from the results of the calls to it.
type StoreHealth struct {
	Clock clock.Clock

	succeededAt atomic.Int64
	failedAt    atomic.Int64
	renewedAt   atomic.Int64
}

// Observe records a finished call.
func (h *StoreHealth) Observe(call platform.Call) {
	now := h.Clock.Now()
	switch platform.Kind(call.Result) {
	case platform.ResultOK, platform.Conflict, platform.NotFound:
		h.succeededAt.Store(int64(now))
		if call.Operation == platform.OpKeepAlive && call.Result == platform.ResultOK {
			// A renewed lease had not expired, so no other entry can have
			// deposed this one before the call.
			h.renewedAt.Store(int64(now - call.Elapsed))
		}
	default:
		h.failedAt.Store(int64(now))
	}
}

// LastRenewal returns the start of the last successful renewal of the entry's
// lease, at which the entry was not deposed.
func (h *StoreHealth) LastRenewal() clock.Millis { return clock.Millis(h.renewedAt.Load()) }

// Failing reports whether the store rejects calls or does not answer them.
func (h *StoreHealth) Failing(now clock.Millis) bool {
	succeeded := h.succeededAt.Load()
	return h.failedAt.Load() > succeeded && now-clock.Millis(succeeded) >= outageThreshold
}
