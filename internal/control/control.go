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

// ConditionalEvent is an event that reports whether the core's tick must follow. A frequent
// message that leads to no decision is cheaper without it.
type ConditionalEvent func(now clock.Millis) (tickDue bool)

// Thread is a control thread: a single-goroutine event loop.
type Thread struct {
	clock  clock.Clock
	pauses *Pauses
	events chan ConditionalEvent
	done   chan struct{}
}

// New returns a Thread that handles no events until Run is called. It records late
// turns in pauses, unless that is nil.
func New(clk clock.Clock, pauses *Pauses) *Thread {
	return &Thread{clock: clk, pauses: pauses, events: make(chan ConditionalEvent, bufferSize), done: make(chan struct{})}
}

// Push enqueues an event and blocks while the buffer is full. After the end of
// Run it does not block, and the event is never applied.
func (t *Thread) Push(e Event) {
	t.PushConditional(func(now clock.Millis) bool {
		e(now)
		return true
	})
}

// PushConditional is Push for an event that a tick need not follow.
func (t *Thread) PushConditional(e ConditionalEvent) {
	select {
	case t.events <- e:
	case <-t.done:
	}
}

// Done returns a channel that is closed at the end of Run.
func (t *Thread) Done() <-chan struct{} { return t.done }

// Run applies events and calls tick after them if it is due, and at least every interval,
// until tick returns false. It calls onLeave once when leaveCtx is cancelled;
// that alone does not end Run.
func (t *Thread) Run(leaveCtx context.Context, interval time.Duration, onLeave func(now clock.Millis), tick func(now clock.Millis) bool) {
	defer close(t.done)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	leaveDone := leaveCtx.Done()
	due := t.clock.Now() + clock.FromDuration(interval)
	for {
		var first ConditionalEvent
		leaving := false
		select {
		case first = <-t.events:
		case <-ticker.C:
		case <-leaveDone:
			leaveDone, leaving = nil, true
		}
		now := t.clock.Now()
		// Recorded before the first event, so that its consequences follow in the log.
		t.pauses.record(now - due)
		due = now + clock.FromDuration(interval)
		tickDue := true
		switch {
		case leaving:
			onLeave(now)
		case first != nil:
			tickDue = first(now)
		}
		tickDue = t.applyQueued() || tickDue
		if tickDue && !tick(t.clock.Now()) {
			return
		}
	}
}

// applyQueued applies the queued events, at most bufferSize of them, and reports whether
// the tick must follow one of them.
func (t *Thread) applyQueued() (tickDue bool) {
	for range bufferSize {
		select {
		case e := <-t.events:
			tickDue = e(t.clock.Now()) || tickDue
		default:
			return tickDue
		}
	}
	return tickDue
}
