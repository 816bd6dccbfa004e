package control_test

import (
	"context"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/teaseltide/teaseltide/internal/control"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Guards against events applied out of order, a second call of onLeave, and
// senders that block after the end of Run.
func TestThread(t *testing.T) {
	thread := control.New(clock.NewSystem(), nil)
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

// Guards against a pause of the process that leaves no trace, and against a line for
// the delays of a busy machine.
func TestPauseIsLogged(t *testing.T) {
	for _, test := range []struct {
		jump clock.Millis
		want string
	}{{150, ""}, {3_000, "process paused"}} {
		clk := clock.NewManual(1_000_000)
		core, lines := observer.New(zapcore.InfoLevel)
		registry := prometheus.NewRegistry()
		thread := control.New(clk, control.NewPauses(zap.New(core), registry))
		const interval = 10 * time.Millisecond
		thread.Push(func(clock.Millis) { clk.Advance(test.jump) })
		turns := 0
		thread.Run(context.Background(), interval, func(clock.Millis) {}, func(clock.Millis) bool {
			turns++
			return turns < 3
		})
		got, wantSeconds := "", 0.0
		for _, l := range lines.All() {
			got += l.Message
			if late := test.jump - clock.FromDuration(interval); l.ContextMap()["paused-ms"] != int64(late) {
				t.Errorf("length of the pause: got %v, want %d", l.ContextMap()["paused-ms"], late)
			}
		}
		if got != test.want {
			t.Errorf("lines after a jump of %d ms: got %q, want %q", test.jump, got, test.want)
		}
		if test.want != "" {
			wantSeconds = (test.jump.Duration() - interval).Seconds()
		}
		families, err := registry.Gather()
		if err != nil {
			t.Fatal(err)
		}
		if got := families[0].GetMetric()[0].GetCounter().GetValue(); got != wantSeconds {
			t.Errorf("seconds paused: got %v, want %v", got, wantSeconds)
		}
	}
}

// Guards against a tick after each of the messages that lead to no decision: on large fleets,
// ticks were most of the processor time of such a message.
func TestConditionalEventsNeedNoTick(t *testing.T) {
	thread := control.New(clock.NewSystem(), nil)
	ticks, applied := 0, 0
	for i := range 100 {
		thread.PushConditional(func(clock.Millis) bool {
			applied++
			return i == 99
		})
	}
	thread.Run(context.Background(), time.Hour, func(clock.Millis) {}, func(clock.Millis) bool {
		ticks++
		return applied < 100
	})
	if ticks != 1 || applied != 100 {
		t.Errorf("ticks and events: got %d and %d, want 1 and 100", ticks, applied)
	}
	silent := control.New(clock.NewSystem(), nil)
	done := make(chan struct{})
	silent.PushConditional(func(clock.Millis) bool {
		close(done)
		return false
	})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		silent.Run(context.Background(), time.Hour, func(clock.Millis) {}, func(clock.Millis) bool {
			select {
			case <-done:
			default:
				t.Error("tick before the event")
			}
			return false
		})
	}()
	<-done
	select {
	case <-ended:
		t.Error("tick after an event that needs none")
	case <-time.After(20 * time.Millisecond):
	}
	silent.Push(func(clock.Millis) {})
	<-ended
}
