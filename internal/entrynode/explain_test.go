package entrynode

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/control"
	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Guards against requests that wait without a bound for a busy control thread, and against
// a queue of them that then holds up jobs.
func TestExplanationsOfABusyEntryAreBounded(t *testing.T) {
	p := &Process{core: scheduler.New(scheduler.Settings{}), control: control.New(clock.NewSystem(), nil), explaining: make(chan struct{}, 1)}
	for range 3 {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		if _, err := p.Explain(ctx, batch.Job{}); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("explanation by a busy entry: got error %v, want %v", err, context.DeadlineExceeded)
		}
		cancel()
	}
	ended := make(chan struct{})
	leave, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		defer close(ended)
		p.control.Run(leave, time.Millisecond, func(clock.Millis) {}, func(clock.Millis) bool { return leave.Err() == nil })
	}()
	if e, err := p.Explain(t.Context(), batch.Job{Service: "s"}); err != nil || e.Service != "s" || e.Stage == "" {
		t.Errorf("explanation: got %+v and error %v, want one of the service", e, err)
	}
	cancel()
	<-ended
	if _, err := p.Explain(t.Context(), batch.Job{}); !errors.Is(err, ErrDeposed) {
		t.Errorf("explanation by an entry that has ended: got error %v, want %v", err, ErrDeposed)
	}
}
