package httpd

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Guards against a graceful shutdown that leaves a request unanswered because it
// arrives on an idle connection while the server closes.
func TestDrainAnswersLateRequests(t *testing.T) {
	limits := testLimits()
	limits.IdleTimeout = 10_000
	s := start(t, limits, echo)
	conns := make([]net.Conn, 3)
	ask := func(i int) (closes bool) {
		t.Helper()
		io.WriteString(conns[i], "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(conns[i]), nil)
		if err != nil {
			t.Fatalf("request on connection %d: %v", i, err)
		}
		defer resp.Body.Close()
		io.Copy(io.Discard, resp.Body)
		return resp.Close
	}
	for i := range conns {
		c, err := net.Dial("tcp", s.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		conns[i] = c
		if ask(i) {
			t.Errorf("connection %d is to be closed before the drain", i)
		}
	}
	drained := make(chan bool, 1)
	go func() { drained <- s.Drain(context.Background()) }()
	for i := range conns {
		time.Sleep(quietPeriod.Duration() * 3 / 4)
		if !ask(i) {
			t.Errorf("connection %d is kept alive during the drain", i)
		}
	}
	if c, err := net.Dial("tcp", s.Addr()); err == nil {
		c.Close()
		t.Error("got a new connection after all requests had ended, want none")
	}
	if !<-drained {
		t.Error("got not drained, want drained")
	}
}

// Guards against nbio retrying accept in a busy loop after Drain has closed the
// listener. On a VM with a fraction of a core, the loop left the remaining
// requests without an answer before the process ended.
func TestDrainLeavesTheProcessorToRequests(t *testing.T) {
	s := start(t, testLimits(), echo)
	var before, after unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &before); err != nil {
		t.Fatal(err)
	}
	begun := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	s.Drain(ctx)
	wall := time.Since(begun)
	if err := unix.Getrusage(unix.RUSAGE_SELF, &after); err != nil {
		t.Fatal(err)
	}
	used := time.Duration(after.Utime.Nano() - before.Utime.Nano() + after.Stime.Nano() - before.Stime.Nano())
	if used > wall/2 {
		t.Errorf("processor time of an idle drain of %v: got %v, want less than half of it", wall, used)
	}
}

// Guards against a request that arrives on an idle connection while the process
// ends, and is read but never answered.
func TestDrainedServerReadsNoRequest(t *testing.T) {
	handled := make(chan struct{}, 1)
	limits := testLimits()
	limits.IdleTimeout = 10_000
	s := start(t, limits, func(http.ResponseWriter, *http.Request) { handled <- struct{}{} })
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if !s.Drain(context.Background()) {
		t.Fatal("got not drained, want drained")
	}
	io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	select {
	case <-handled:
		t.Error("got a request handled after the drain, want the connection closed before")
	case <-time.After(200 * time.Millisecond):
	}
}
