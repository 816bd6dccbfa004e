package entry

import (
	"context"
	"sync"

	"github.com/teaseltide/teaseltide/internal/platform"
)

// connectivity records whether this entry has lost the sessions that it needs to
// serve: all of them, or those with every failure domain but its own while other
// entries serve there. It starts as not lost.
type connectivity struct {
	mu   sync.Mutex
	lost bool
	// changed is closed and replaced when lost changes.
	changed chan struct{}
}

func newConnectivity() *connectivity {
	return &connectivity{changed: make(chan struct{})}
}

func (c *connectivity) setLost(lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if lost == c.lost {
		return
	}
	c.lost = lost
	close(c.changed)
	c.changed = make(chan struct{})
}

// waitFor waits until isLost equals lost, and returns false if ctx ends first.
func (c *connectivity) waitFor(ctx context.Context, lost bool) bool {
	for ctx.Err() == nil {
		c.mu.Lock()
		current, changed := c.lost, c.changed
		c.mu.Unlock()
		if current == lost {
			return true
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
	return false
}

// isLost reports whether the connectivity is lost.
func (c *connectivity) isLost() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lost
}

// gauge returns 1 while the connectivity is lost, else 0.
func (c *connectivity) gauge() int64 {
	if c.isLost() {
		return 1
	}
	return 0
}

// keepRegistered keeps this entry registered while it has connectivity. Without
// it the entry cannot serve, but as long as it reaches the store its lease would
// keep the others from replacing it.
func (p *Process) keepRegistered(ctx context.Context, self platform.EntryRegistration) {
	for p.connectivity.waitFor(ctx, false) {
		registrationCtx, cancel := context.WithCancel(ctx)
		go func() {
			if p.connectivity.waitFor(registrationCtx, true) {
				p.deps.Log.Warn("cut off, giving up the registration")
			}
			cancel()
		}()
		p.deps.Store.KeepEntry(registrationCtx, self, p.handleLeaseState)
		cancel()
	}
}
