package sidecarnode

import (
	"sync"
	"time"
)

const (
	// maxStartTimeout bounds the wait for the answer to a start. A start without an
	// answer, even a merely slow one, is resolved by a listing under a higher token. The
	// objective of the shortest jobs leaves 100 ms for both and for a start on another
	// worker.
	maxStartTimeout = 40 * time.Millisecond
	// minStartTimeout is several times the usual answer of a worker and longer than the
	// time for which a busy VM does not run this process: a false timeout voids the other
	// starts in flight.
	minStartTimeout = 12 * time.Millisecond
	// abandonTimeout is when the call of a start without an answer is given up and its
	// connection closed.
	abandonTimeout = 140 * time.Millisecond
	// startTimeoutDeviations is the number of mean deviations above the mean answer time.
	startTimeoutDeviations = 8
)

// startTimeout is the time that a sidecar waits for the answer to a start. It follows the
// worker's answer times as the retransmission timeout of TCP follows round-trip times: a
// fixed one would either delay the tasks of each lost answer or give up starts of a slow
// worker. It doubles with each start without an answer until the next answer. The zero
// value has seen no answer. It is safe for concurrent use.
type startTimeout struct {
	mu              sync.Mutex
	mean, deviation time.Duration
	// unanswered is the number of starts without an answer since the last one.
	unanswered int
}

// Current returns the timeout of the next start.
func (t *startTimeout) Current() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mean == 0 {
		return maxStartTimeout
	}
	timeout := max(minStartTimeout, t.mean+startTimeoutDeviations*t.deviation)
	return min(timeout<<min(t.unanswered, 4), maxStartTimeout)
}

// RecordAnswer records the time after which a start was answered.
func (t *startTimeout) RecordAnswer(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unanswered = 0
	took = max(took, 1)
	if t.mean == 0 {
		t.mean, t.deviation = took, took/2
		return
	}
	// The weights of RFC 6298.
	t.deviation += ((took - t.mean).Abs() - t.deviation) / 4
	t.mean += (took - t.mean) / 8
}

// RecordTimeout records a start without an answer.
func (t *startTimeout) RecordTimeout() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unanswered++
}
