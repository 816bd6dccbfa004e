package peer

import (
	"sync"
	"time"
)

// Pool maintains a session to each member of a changing set of targets.
type Pool struct {
	node    *Node
	handler Handler

	mu      sync.Mutex
	closed  bool
	dialers map[Target]*Dialer
}

// NewPool returns a Pool without members.
func (n *Node) NewPool(handler Handler) *Pool {
	return &Pool{
		node:    n,
		handler: handler,
		dialers: make(map[Target]*Dialer),
	}
}

// Set replaces the members: it dials the added ones and closes the sessions of the
// removed ones. Sessions of unchanged members are kept.
func (p *Pool) Set(targets []Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	keep := make(map[Target]struct{}, len(targets))
	for _, t := range targets {
		keep[t] = struct{}{}
	}
	for t, d := range p.dialers {
		if _, ok := keep[t]; !ok {
			d.Close()
			delete(p.dialers, t)
		}
	}
	for t := range keep {
		if p.dialers[t] == nil {
			p.dialers[t] = p.node.Dial(t, p.handler)
		}
	}
}

// Close ends all sessions and waits a bounded time for the last callbacks.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	dialers := p.dialers
	p.dialers = nil
	p.mu.Unlock()
	for _, d := range dialers {
		d.Close()
	}
	limit := time.After(poolCloseTimeout.Duration())
	for _, d := range dialers {
		select {
		case <-d.Done():
		case <-limit:
			return
		}
	}
}
