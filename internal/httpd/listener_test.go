package httpd

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// failingListener fails every Accept and counts the calls.
type failingListener struct {
	net.Listener

	err   error
	calls chan struct{}
}

func (l *failingListener) Accept() (net.Conn, error) {
	select {
	case l.calls <- struct{}{}:
	default:
	}
	return nil, l.err
}

func (l *failingListener) Close() error { return nil }

// startAcceptLoop calls Accept until stop is closed, like nbhttp, and returns the
// channel on which the loop's end is reported.
func startAcceptLoop(l net.Listener, stop <-chan struct{}) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-stop:
				return
			default:
				_, _ = l.Accept()
			}
		}
	}()
	return ended
}

// Guards against an accept loop that spins on a drained listener and takes the
// processor from the goroutines that stop the server.
func TestAcceptLoopOfDrainedServer(t *testing.T) {
	inner := &failingListener{err: net.ErrClosed, calls: make(chan struct{}, 1000)}
	l := newListener(inner)
	stop := make(chan struct{})
	ended := startAcceptLoop(l, stop)
	select {
	case <-ended:
		t.Fatal("the accept loop ended before it was told to")
	case <-time.After(20 * time.Millisecond):
	}
	if got := len(inner.calls); got != 1 {
		t.Errorf("got %d calls of Accept on a drained listener, want 1", got)
	}
	close(stop)
	l.Close()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the accept loop did not end after Close")
	}
}

// Guards against an accept loop that spins while the process has no file
// descriptor left.
func TestAcceptLoopWithoutDescriptors(t *testing.T) {
	inner := &failingListener{err: syscall.EMFILE, calls: make(chan struct{}, 1000)}
	l := newListener(inner)
	stop := make(chan struct{})
	ended := startAcceptLoop(l, stop)
	const intervals = 2
	time.Sleep(intervals * acceptRetryInterval.Duration())
	if got := len(inner.calls); got == 0 || got > intervals+1 {
		t.Errorf("got %d calls of Accept in %d retry intervals, want 1 to %d", got, intervals, intervals+1)
	}
	close(stop)
	l.Close()
	<-ended
}
