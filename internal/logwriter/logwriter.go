// Package logwriter writes log lines to an output that may be slow or stopped,
// without ever holding up who logs.
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
	// maxQueuedLines bounds the lines that wait for the output; at 300 bytes a line
	// they take about 300 KB.
	maxQueuedLines = 1024
	// closeTimeout bounds the wait for the output at the end.
	closeTimeout = 200 * time.Millisecond
)

// Writer is an io.Writer that hands lines to a goroutine and drops them while
// too many wait. The next line that is written after dropped ones tells their
// number.
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

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() int64 { return w.total.Load() }

// Close writes what waits, for a bounded time.
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

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if n := w.dropped.Swap(0); n > 0 {
			if _, err := fmt.Fprintf(w.out, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n); err != nil {
				w.total.Add(n)
			}
		}
		if _, err := w.out.Write(line); err != nil {
			// There is nowhere else to report it; the counter shows it.
			w.total.Add(1)
		}
	}
}
