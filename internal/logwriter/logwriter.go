// Package logwriter writes log lines to an output that may be slow or blocked,
// without blocking the code that logs.
//
//	w := logwriter.New(os.Stdout)
//	defer w.Close()
package logwriter

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the lines queued for the output; at 300 bytes per
	// line they take about 300 KB.
	maxQueuedLines = 1024
	// closeTimeout bounds the wait for the queued lines in Close.
	closeTimeout = 200 * time.Millisecond
)

// Writer is an io.Writer that queues lines for a goroutine and drops them while the
// queue is full. After dropped lines, the goroutine writes their number before the
// next line.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	total   atomic.Int64
	done    chan struct{}

	mu     sync.Mutex
	closed bool
}

// New returns a Writer over out.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
		w.total.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped or could not be written.
func (w *Writer) Dropped() int64 { return w.total.Load() }

// Close waits until the queued lines are written, at most closeTimeout. Later lines
// are discarded.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

// run writes the queued lines until Close.
func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if n := w.dropped.Swap(0); n > 0 {
			if _, err := fmt.Fprintf(w.out, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n); err != nil {
				w.total.Add(n)
			}
		}
		if _, err := w.out.Write(line); err != nil {
			// The error cannot be reported elsewhere; Dropped counts the line.
			w.total.Add(1)
		}
	}
}
