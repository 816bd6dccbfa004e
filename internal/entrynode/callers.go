package entrynode

import (
	"context"
	"sync"

	"go.uber.org/zap"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/jobstore"
	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// requests holds the callers' requests that wait for an answer.
type requests struct {
	mu      sync.Mutex
	next    scheduler.Request
	waiting map[scheduler.Request]chan scheduler.Reply
	closed  bool
}

// add returns a request and where its answer arrives. After close the answer
// is Unknown.
func (r *requests) add() (scheduler.Request, chan scheduler.Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.waiting == nil {
		r.waiting = make(map[scheduler.Request]chan scheduler.Reply)
	}
	r.next++
	answer := make(chan scheduler.Reply, 1)
	if r.closed {
		answer <- scheduler.Reply{Result: scheduler.Unknown}
		return r.next, answer
	}
	r.waiting[r.next] = answer
	return r.next, answer
}

func (r *requests) answer(reply scheduler.Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if answer := r.waiting[reply.Request]; answer != nil {
		delete(r.waiting, reply.Request)
		answer <- reply
	}
}

func (r *requests) drop(id scheduler.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.waiting, id)
}

// close answers all requests with Unknown.
func (r *requests) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for id, answer := range r.waiting {
		delete(r.waiting, id)
		answer <- scheduler.Reply{Request: id, Result: scheduler.Unknown}
	}
}

// ask hands a request to the core and waits for its answer.
func (p *Process) ask(ctx context.Context, f func(now clock.Millis, r scheduler.Request)) scheduler.Reply {
	id, answer := p.requests.add()
	p.push(func(now clock.Millis) { f(now, id) })
	select {
	case reply := <-answer:
		return reply
	case <-ctx.Done():
		p.requests.drop(id)
		return scheduler.Reply{Request: id, Result: scheduler.Unknown}
	}
}

// Submit takes a job. The result is Stored, NotStored or Unknown; for a
// best-effort job, which is given up when ctx ends, Ended, NotStored or Unknown.
func (p *Process) Submit(ctx context.Context, job batch.Job) scheduler.Reply {
	reply := p.ask(ctx, func(now clock.Millis, r scheduler.Request) { p.core.Submit(now, r, job) })
	if job.BestEffort && reply.Result == scheduler.Unknown && ctx.Err() != nil {
		p.push(func(now clock.Millis) { p.core.CallerDisconnected(now, reply.Request, job.ID) })
	}
	return reply
}

// Status returns the state of a job, from the store if this entry does not
// hold it.
func (p *Process) Status(ctx context.Context, id batch.JobID) (batch.State, error) {
	type answer struct {
		state batch.State
		known bool
	}
	answers := make(chan answer, 1)
	p.push(func(clock.Millis) {
		state, known := p.core.Status(id)
		answers <- answer{state, known}
	})
	select {
	case a := <-answers:
		if a.known {
			return a.state, nil
		}
	case <-ctx.Done():
		return "", ctx.Err()
	case <-p.control.Done():
	}
	state, _, err := jobstore.ReadState(ctx, p.deps.Store, p.settings.Keys, id)
	return state, err
}

// Cancel cancels a job and reports whether there is one. An error means that
// the cancellation is not stored.
func (p *Process) Cancel(ctx context.Context, id batch.JobID) (bool, error) {
	reply := p.ask(ctx, func(now clock.Millis, r scheduler.Request) { p.core.Cancel(now, r, id) })
	switch reply.Result {
	case scheduler.CancelStored:
		return true, nil
	case scheduler.NotHeld:
		return p.cancelElsewhere(ctx, id)
	}
	return false, &jobstore.Error{Op: "cancel", Kind: jobstore.Unavailable}
}

// cancelAttempts bounds the attempts against an owner that writes progress.
const cancelAttempts = 3

// cancelElsewhere cancels a job of another entry in the store and tells the
// others, so that the owner stops its runs.
func (p *Process) cancelElsewhere(ctx context.Context, id batch.JobID) (bool, error) {
	var err error
	for range cancelAttempts {
		var open *scheduler.OpenJob
		var state batch.State
		state, open, err = jobstore.ReadState(ctx, p.deps.Store, p.settings.Keys, id)
		if err != nil {
			return false, err
		}
		if open == nil {
			return state != batch.Absent, nil
		}
		end := &wire.StoredEnd{State: wire.StoredEnd_STATE_CANCELLED, EndedAtMs: int64(p.deps.Clock.Now()), Nonce: string(p.settings.Incarnation)}
		if err = jobstore.Cancel(ctx, p.deps.Store, p.settings.Keys, open, end); err == nil {
			p.deps.Log.Info("job cancelled for another entry", zap.String("job", string(id)), zap.String("owner", open.Record.GetOwner()))
			p.push(func(clock.Millis) { p.broadcast(&wire.EntryNote{Cancelled: []string{string(id)}}) })
			return true, nil
		}
	}
	return false, err
}

// Pending returns the number of accepted jobs of a route without a started
// task.
func (p *Process) Pending(ctx context.Context, route batch.Route) (int64, error) {
	answers := make(chan int64, 1)
	p.push(func(clock.Millis) { answers <- p.core.PendingJobs(route) })
	select {
	case n := <-answers:
		return n, nil
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-p.control.Done():
		return 0, ErrDeposed
	}
}
