package entry

import (
	"sync"
	"sync/atomic"

	"github.com/teaseltide/teaseltide/internal/dispatch"
	"github.com/teaseltide/teaseltide/internal/wire"
)

// requests tracks the pending requests of callers and operators.
type requests struct {
	// inFlight counts the callers' requests whose handler has not returned.
	inFlight atomic.Int64
	draining atomic.Bool
	limit    int

	mu      sync.Mutex
	next    dispatch.RequestID
	pending map[dispatch.RequestID]chan *wire.Answer
}

func newRequests(limit int) *requests {
	return &requests{pending: make(map[dispatch.RequestID]chan *wire.Answer), limit: limit}
}

// acquire counts a request in flight and returns false above the limit. Each call
// must be paired with one of release, also if it returned false.
func (r *requests) acquire() bool {
	return r.inFlight.Add(1) <= int64(r.limit)
}

func (r *requests) release() { r.inFlight.Add(-1) }

// add registers a request and returns the channel for its answer.
func (r *requests) add() (dispatch.RequestID, chan *wire.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next++
	answer := make(chan *wire.Answer, 1)
	r.pending[r.next] = answer
	return r.next, answer
}

// deliver passes an answer to its request if that is still pending. It does not
// block, because the channel holds the only answer of its request.
func (r *requests) deliver(id dispatch.RequestID, a *wire.Answer) {
	r.mu.Lock()
	waiting := r.pending[id]
	delete(r.pending, id)
	r.mu.Unlock()
	if waiting != nil {
		waiting <- a
	}
}

func (r *requests) remove(id dispatch.RequestID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pending, id)
}
