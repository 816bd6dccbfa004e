package control_test

import (
	"context"
	"testing"
	"time"

	"github.com/teaseltide/teaseltide/internal/control"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Guards against events applied out of order, a second call of onLeave, and
// senders that block after the end of Run.
func TestThread(t *testing.T) {
	thread := control.New(clock.NewSystem())
	ctx, cancel := context.WithCancel(context.Background())
	var order []int
	leaveCalls := 0
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		thread.Run(ctx, time.Millisecond, func(clock.Millis) { leaveCalls++ }, func(clock.Millis) bool { return leaveCalls == 0 })
	}()
	for i := range 100 {
		thread.Push(func(clock.Millis) { order = append(order, i) })
	}
	applied := make(chan struct{})
	thread.Push(func(clock.Millis) { close(applied) })
	<-applied
	cancel()
	<-ended
	for i, got := range order {
		if got != i {
			t.Fatalf("event %d: got %d", i, got)
		}
	}
	if len(order) != 100 || leaveCalls != 1 {
		t.Errorf("events and calls of onLeave: got %d and %d, want 100 and 1", len(order), leaveCalls)
	}
	for range 10_000 {
		thread.Push(func(clock.Millis) {})
	}
}
