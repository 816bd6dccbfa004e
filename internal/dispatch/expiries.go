package dispatch

import (
	"container/heap"

	"github.com/teaseltide/teaseltide/pkg/clock"
)

// expiryQueue is a priority queue of items by expiry time. It stores T itself
// rather than a pointer to a heap item, because an entry keeps ten minutes of
// jobs in it.
type expiryQueue[T any] struct {
	heap expiryHeap[T]
}

type expiry[T any] struct {
	at   clock.Millis
	item T
}

// Len returns the number of items.
func (e *expiryQueue[T]) Len() int {
	return len(e.heap)
}

func (e *expiryQueue[T]) add(at clock.Millis, item T) {
	heap.Push(&e.heap, expiry[T]{at: at, item: item})
}

// popDue removes and returns the earliest item that expires at or before now.
func (e *expiryQueue[T]) popDue(now clock.Millis) (item T, ok bool) {
	if len(e.heap) == 0 || e.heap[0].at > now {
		return item, false
	}
	return heap.Pop(&e.heap).(expiry[T]).item, true
}

// All iterates over the items in heap order, which is deterministic.
func (e *expiryQueue[T]) All() func(yield func(T) bool) {
	return func(yield func(T) bool) {
		for _, x := range e.heap {
			if !yield(x.item) {
				return
			}
		}
	}
}

type expiryHeap[T any] []expiry[T]

func (h expiryHeap[T]) Len() int           { return len(h) }
func (h expiryHeap[T]) Less(i, j int) bool { return h[i].at < h[j].at }
func (h expiryHeap[T]) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiryHeap[T]) Push(x any)        { *h = append(*h, x.(expiry[T])) }

func (h *expiryHeap[T]) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = expiry[T]{}
	*h = old[:len(old)-1]
	return last
}
