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

// Guards against a request that is cut off by a planned stop, because it is sent
// on an idle connection while the server closes.
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
			t.Errorf("connection %d is to be closed before the stop", i)
		}
	}
	drained := make(chan bool, 1)
	go func() { drained <- s.Drain(context.Background()) }()
	for i := range conns {
		time.Sleep(quietTime.Duration() * 3 / 4)
		if !ask(i) {
			t.Errorf("connection %d is kept alive during the stop", i)
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

// Found on kee-quotes (hunt-4737-23): once Drain had closed the listener, nbio
// accepted again and again without a pause. On a VM with part of a core the
// requests that were still served got no answer before the process ended.
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

// Found on cbsa-bombas-grown, trouble-2: a request that came on an idle
// connection while the process ended was read and never answered.
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
