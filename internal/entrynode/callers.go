package entrynode

import (
	"context"
	"sync"

	"go.uber.org/zap"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/jobstore"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// requests tracks the pending requests of callers.
type requests struct {
	mu      sync.Mutex
	next    scheduler.Request
	pending map[scheduler.Request]pendingRequest
	closed  bool
}

// pendingRequest is a request that awaits its reply.
type pendingRequest struct {
	answer chan scheduler.Reply
	caller Caller
}

// Caller is the caller of a request.
type Caller interface {
	// Gone reports whether the caller has closed its connection.
	Gone() bool
}

// add registers a request and returns the channel for its reply. After close the
// reply is Unknown.
func (r *requests) add(c Caller) (scheduler.Request, chan scheduler.Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending == nil {
		r.pending = make(map[scheduler.Request]pendingRequest)
	}
	r.next++
	answer := make(chan scheduler.Reply, 1)
	if r.closed {
		answer <- scheduler.Reply{Result: scheduler.Unknown}
		return r.next, answer
	}
	r.pending[r.next] = pendingRequest{answer, c}
	return r.next, answer
}

// gone reports whether a request is no longer pending or its caller has closed its
// connection.
func (r *requests) gone(id scheduler.Request) bool {
	r.mu.Lock()
	p, ok := r.pending[id]
	r.mu.Unlock()
	return !ok || p.caller != nil && p.caller.Gone()
}

func (r *requests) deliver(reply scheduler.Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p, ok := r.pending[reply.Request]; ok {
		delete(r.pending, reply.Request)
		p.answer <- reply
	}
}

func (r *requests) remove(id scheduler.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pending, id)
}

// close answers all pending and later requests with Unknown.
func (r *requests) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for id, p := range r.pending {
		delete(r.pending, id)
		p.answer <- scheduler.Reply{Request: id, Result: scheduler.Unknown}
	}
}

// awaitReply submits a request to the core and waits for its reply, which is
// Unknown if ctx ends first. caller may be nil.
func (p *Process) awaitReply(ctx context.Context, caller Caller, submit func(now clock.Millis, r scheduler.Request)) scheduler.Reply {
	id, answer := p.requests.add(caller)
	p.push(func(now clock.Millis) { submit(now, id) })
	select {
	case reply := <-answer:
		return reply
	case <-ctx.Done():
		p.requests.remove(id)
		return scheduler.Reply{Request: id, Result: scheduler.Unknown}
	}
}

// Submit submits a job. The result is Stored, NotStored or Unknown; for a
// best-effort job, which is abandoned when ctx ends or its caller is gone, Ended,
// NotStored or Unknown.
func (p *Process) Submit(ctx context.Context, job batch.Job, caller Caller) scheduler.Reply {
	submittedAt := p.deps.Clock.Now()
	reply := p.awaitReply(ctx, caller, func(now clock.Millis, r scheduler.Request) {
		if job.BestEffort && p.requests.gone(r) {
			p.deps.Log.Info("caller left before its job was accepted", zap.String("job", string(job.ID)))
			p.requests.deliver(scheduler.Reply{Request: r, Result: scheduler.Unknown})
			return
		}
		p.core.Submit(now, r, job)
	})
	if job.BestEffort && reply.Result == scheduler.Unknown && ctx.Err() != nil {
		p.recordCallerLeft(ctx.Err(), job.ID, p.deps.Clock.Now()-submittedAt)
		p.push(func(now clock.Millis) { p.core.CallerDisconnected(now, reply.Request, job.ID) })
	}
	if !job.BestEffort && reply.Result == scheduler.NotStored {
		return p.confirmRefusal(ctx, job.ID, reply)
	}
	return reply
}

// confirmRefusal looks a stored job up that this entry refuses: its caller may have lost
// the answer of another entry that accepted it, and must not be told that the job never
// runs. While the store fails all calls, the refusal does not wait for them.
func (p *Process) confirmRefusal(ctx context.Context, id batch.JobID, refusal scheduler.Reply) scheduler.Reply {
	if p.deps.StoreHealth.Failing(p.deps.Clock.Now()) {
		return refusal
	}
	state, _, err := jobstore.ReadState(ctx, p.deps.Store, p.settings.Keys, id)
	switch {
	case err != nil:
		p.deps.Log.Info("refusal not confirmed", zap.String("job", string(id)), zap.Error(err))
		return scheduler.Reply{Request: refusal.Request, Result: scheduler.Unknown}
	case state != batch.Absent:
		return scheduler.Reply{Request: refusal.Request, Result: scheduler.Stored}
	}
	return refusal
}

// checkCaller tells the core whether the caller of a request is still connected.
func (p *Process) checkCaller(c scheduler.CheckCaller) {
	now := p.deps.Clock.Now()
	if p.requests.gone(c.Request) {
		p.callerFoundGone = true
		p.core.CallerDisconnected(now, c.Request, c.Job)
		return
	}
	p.core.CallerConnected(now, c.Request, c.Job)
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

// Cancel cancels a job and reports whether the job exists. An error means that
// the cancellation is not stored.
func (p *Process) Cancel(ctx context.Context, id batch.JobID) (bool, error) {
	reply := p.awaitReply(ctx, nil, func(now clock.Millis, r scheduler.Request) { p.core.Cancel(now, r, id) })
	switch reply.Result {
	case scheduler.CancelStored:
		return true, nil
	case scheduler.NotHeld:
		return p.cancelElsewhere(ctx, id)
	}
	return false, &jobstore.Error{Op: "cancel", Kind: jobstore.Unavailable}
}

// cancelAttempts bounds the attempts to cancel a job whose owner concurrently
// writes its progress.
const cancelAttempts = 3

// cancelElsewhere cancels a job of another entry in the store and notifies the other
// entries, so that the owner stops its runs. It also does so for a job that it finds
// cancelled: the entry that cancelled it may have ended before it told the owner, or the
// answer to an attempt was lost.
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
			if state == batch.Cancelled {
				p.push(func(now clock.Millis) { p.core.RecordCancelledElsewhere(now, id, "", true) })
			}
			return state != batch.Absent, nil
		}
		end := &wire.StoredEnd{State: wire.StoredEnd_STATE_CANCELLED, EndedAtMs: int64(p.deps.Clock.Now()), Nonce: string(p.settings.Incarnation)}
		if err = jobstore.Cancel(ctx, p.deps.Store, p.settings.Keys, open, end); err == nil {
			p.deps.Log.Info("job cancelled for another entry", zap.String("job", string(id)), zap.String("owner", open.Record.GetOwner()))
			owner := ownership.Incarnation(open.Record.GetOwner())
			p.push(func(now clock.Millis) { p.core.RecordCancelledElsewhere(now, id, owner, p.entrySessions[owner] == nil) })
			return true, nil
		}
	}
	return false, err
}

// Pending returns the number of accepted jobs of a route that have no started
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
