package httpd

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/teaseltide/teaseltide/pkg/clock"
)

// listener keeps the accept loop of nbhttp from spinning: nbio (v1.6.8) calls
// Accept again immediately after an error, until its engine has been told to
// stop. The busy loop would take a whole core from the requests that are still
// being served, and from the goroutines that stop the server.
type listener struct {
	net.Listener

	closeOnce sync.Once
	closed    chan struct{}
}

// acceptRetryInterval is the wait after a failed accept, for example when the
// process has no file descriptor left.
const acceptRetryInterval clock.Millis = 50

func newListener(l net.Listener) *listener {
	return &listener{Listener: l, closed: make(chan struct{})}
}

// Accept implements net.Listener. Once Drain has closed the wrapped listener, it
// blocks until nbhttp closes this one, which it does after it has told its accept
// loop to end.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	switch {
	case errors.Is(err, net.ErrClosed):
		<-l.closed
	case err != nil:
		select {
		case <-l.closed:
		case <-time.After(acceptRetryInterval.Duration()):
		}
	}
	return c, err
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
