package dispatch

import (
	"container/heap"

	"github.com/teaseltide/teaseltide/pkg/clock"
)

// jobTimer is the timer of a job and its position in the heap.
type jobTimer struct {
	at    clock.Millis
	index int
	set   bool
}

// jobTimers orders jobs by their earliest timer, so that a tick visits only
// due jobs. A job is removed when it is compacted, so that no timer stays for
// ten minutes.
type jobTimers struct {
	heap jobHeap
}

// updateTimer sets the timer of a job to its earliest due time.
func (c *Core) updateTimer(j *job) {
	at := j.expiresAt() + c.cfg.ClockSkew
	if j.answer == nil {
		at = min(at, j.deadlineAt)
		if j.recheckAt > 0 {
			at = min(at, j.recheckAt)
		}
		if j.graceAt > 0 {
			at = min(at, j.graceAt)
		}
	}
	c.timers.set(j, at)
}

func (t *jobTimers) set(j *job, at clock.Millis) {
	j.timer.at = at
	if j.timer.set {
		heap.Fix(&t.heap, j.timer.index)
		return
	}
	j.timer.set = true
	heap.Push(&t.heap, j)
}

func (t *jobTimers) remove(j *job) {
	if !j.timer.set {
		return
	}
	heap.Remove(&t.heap, j.timer.index)
	j.timer.set = false
}

// due returns the job with the earliest timer at or before now, or nil. The
// caller sets its timer again or removes it.
func (t *jobTimers) due(now clock.Millis) *job {
	if len(t.heap) == 0 || t.heap[0].timer.at > now {
		return nil
	}
	return t.heap[0]
}

type jobHeap []*job

func (h jobHeap) Len() int           { return len(h) }
func (h jobHeap) Less(i, j int) bool { return h[i].timer.at < h[j].timer.at }

func (h jobHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].timer.index, h[j].timer.index = i, j
}

func (h *jobHeap) Push(x any) {
	j := x.(*job)
	j.timer.index = len(*h)
	*h = append(*h, j)
}

func (h *jobHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
