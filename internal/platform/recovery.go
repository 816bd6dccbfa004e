package platform

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Recovery tells the watches and registrations of one process that the store has
// answered again, so that they retry at once and not after their own backoff. It
// may be shared by several directories. The zero value is not usable; see
// NewRecovery.
type Recovery struct {
	mu        sync.Mutex
	announced chan struct{}
}

// maxRecoveryDelay bounds the random wait before a retry, so that processes and
// their watches do not call a store that has just returned simultaneously.
const maxRecoveryDelay = 20 * clock.Millis(1)

// NewRecovery returns a Recovery.
func NewRecovery() *Recovery {
	return &Recovery{announced: make(chan struct{})}
}

// Announce wakes all waiting callers.
func (r *Recovery) Announce() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.announced)
	r.announced = make(chan struct{})
}

func (r *Recovery) next() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.announced
}

// Wait waits for d or, if that is sooner, until shortly after the next
// announcement. It reports whether ctx lasted that long.
func (r *Recovery) Wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.next():
		return sleep(ctx, rand.N(maxRecoveryDelay).Duration())
	case <-ctx.Done():
		return false
	}
}
