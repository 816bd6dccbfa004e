package peer

import (
	"sync"

	"github.com/teaseltide/teaseltide/internal/wire"
)

// queued is an envelope to be written and the size of its frame in bytes.
type queued struct {
	envelope *wire.Envelope
	size     int
}

// queue holds the outbound envelopes of a session. limit bounds their frames in
// bytes.
type queue struct {
	limit int

	mu       sync.Mutex
	nonEmpty *sync.Cond
	idle     *sync.Cond
	items    []queued
	bytes    int
	writing  bool
	closed   bool
}

func newQueue(limit int) *queue {
	q := &queue{limit: limit}
	q.nonEmpty = sync.NewCond(&q.mu)
	q.idle = sync.NewCond(&q.mu)
	return q
}

// put appends an envelope without blocking. It reports false if the queue is
// full. A closed queue drops the envelope.
func (q *queue) put(item queued) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return true
	}
	if q.bytes+item.size > q.limit {
		return false
	}
	q.items = append(q.items, item)
	q.bytes += item.size
	q.nonEmpty.Signal()
	return true
}

// take waits for envelopes and returns all of them; the caller passes the slice of
// the last call for reuse. It reports false once the queue is closed. The bytes
// count against the limit until release is called.
func (q *queue) take(reuse []queued) ([]queued, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.writing = false
	q.idle.Broadcast()
	for len(q.items) == 0 && !q.closed {
		q.nonEmpty.Wait()
	}
	if q.closed {
		return nil, false
	}
	batch := q.items
	q.items = reuse[:0]
	q.writing = true
	return batch, true
}

// release subtracts written bytes from the count.
func (q *queue) release(bytes int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.bytes -= bytes
}

// flush waits until all envelopes have been written or the queue is closed.
func (q *queue) flush() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for (q.writing || len(q.items) > 0) && !q.closed {
		q.idle.Wait()
	}
}

func (q *queue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.items = nil
	q.nonEmpty.Broadcast()
	q.idle.Broadcast()
}
