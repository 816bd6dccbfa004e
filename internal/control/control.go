// Package control runs the control thread of a process: one goroutine that owns
// the process's state, applies events in order and then calls the core's tick.
package control

import (
	"context"
	"time"

	"github.com/teaseltide/teaseltide/pkg/clock"
)

// bufferSize is the number of events that senders can queue without blocking.
const bufferSize = 4096

// Event changes the state that the control thread owns.
type Event func(now clock.Millis)

// Thread is a control thread: a single-goroutine event loop.
type Thread struct {
	clock  clock.Clock
	pauses *Pauses
	events chan Event
	done   chan struct{}
}

// New returns a Thread that handles no events until Run is called. It records late
// turns in pauses, unless that is nil.
func New(clk clock.Clock, pauses *Pauses) *Thread {
	return &Thread{clock: clk, pauses: pauses, events: make(chan Event, bufferSize), done: make(chan struct{})}
}

// Push enqueues an event and blocks while the buffer is full. After the end of
// Run it does not block, and the event is never applied.
func (t *Thread) Push(e Event) {
	select {
	case t.events <- e:
	case <-t.done:
	}
}

// Done returns a channel that is closed at the end of Run.
func (t *Thread) Done() <-chan struct{} { return t.done }

// Run applies events and calls tick after them, and at least every interval,
// until tick returns false. It calls onLeave once when leaveCtx is cancelled;
// that alone does not end Run.
func (t *Thread) Run(leaveCtx context.Context, interval time.Duration, onLeave func(now clock.Millis), tick func(now clock.Millis) bool) {
	defer close(t.done)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	leaveDone := leaveCtx.Done()
	due := t.clock.Now() + clock.FromDuration(interval)
	for {
		var first Event
		select {
		case first = <-t.events:
		case <-ticker.C:
		case <-leaveDone:
			leaveDone = nil
			first = onLeave
		}
		now := t.clock.Now()
		// Recorded before the first event, so that its consequences follow in the log.
		t.pauses.record(now - due)
		due = now + clock.FromDuration(interval)
		if first != nil {
			first(now)
		}
		t.applyQueued()
		if !tick(t.clock.Now()) {
			return
		}
	}
}

// applyQueued applies the queued events, at most bufferSize of them.
func (t *Thread) applyQueued() {
	for range bufferSize {
		select {
		case e := <-t.events:
			e(t.clock.Now())
		default:
			return
		}
	}
}
