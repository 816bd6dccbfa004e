package entrynode

import (
	"context"
	"time"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// explainTimeout bounds the wait for an explanation while the control thread is busy.
const explainTimeout = 2 * time.Second

// Explain returns what would happen to a job if it were submitted now. One explanation at
// a time waits for the control thread, so that they do not hold up jobs.
func (p *Process) Explain(ctx context.Context, job batch.Job) (scheduler.Explanation, error) {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	select {
	case p.explaining <- struct{}{}:
	case <-ctx.Done():
		return scheduler.Explanation{}, ctx.Err()
	case <-p.control.Done():
		return scheduler.Explanation{}, ErrDeposed
	}
	answers := make(chan scheduler.Explanation, 1)
	// PushConditional blocks while the thread's buffer is full.
	go p.control.PushConditional(func(now clock.Millis) bool {
		answers <- p.core.Explain(now, job)
		<-p.explaining
		return false
	})
	select {
	case e := <-answers:
		return e, nil
	case <-ctx.Done():
		return scheduler.Explanation{}, ctx.Err()
	case <-p.control.Done():
		return scheduler.Explanation{}, ErrDeposed
	}
}
