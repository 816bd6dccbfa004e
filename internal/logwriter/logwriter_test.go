package logwriter_test

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/teaseltide/teaseltide/internal/logwriter"
)

// syncBuffer is a bytes.Buffer for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// Guards against a blocked log output that blocks control or traffic, and against
// dropped lines that are not counted in a later line.
func TestWriteDoesNotBlockOnStoppedReader(t *testing.T) {
	r, pipe := io.Pipe()
	w := logwriter.New(pipe)
	const lines = 5000
	start := time.Now()
	for range lines {
		if _, err := w.Write([]byte("{}\n")); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("%d lines to a blocked reader took %v", lines, took)
	}
	if w.Dropped() == 0 {
		t.Error("no line was dropped")
	}
	var out syncBuffer
	go func() { _, _ = io.Copy(&out, r) }()
	for deadline := time.Now().Add(5 * time.Second); !strings.Contains(out.String(), "log lines dropped"); {
		if time.Now().After(deadline) {
			t.Fatal("the dropped lines are not counted in a later line")
		}
		time.Sleep(time.Millisecond)
	}
	w.Close()
}

// Guards against lines that are lost because they are still queued when a process
// ends.
func TestCloseWritesQueuedLines(t *testing.T) {
	var out syncBuffer
	w := logwriter.New(&out)
	for range 100 {
		_, _ = w.Write([]byte("x\n"))
	}
	w.Close()
	if got, want := strings.Count(out.String(), "x\n"), 100; got != want {
		t.Errorf("lines: got %d, want %d", got, want)
	}
}
