package httpd

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"

	"github.com/teaseltide/teaseltide/pkg/clock"
)

// linger is how long input is discarded after a refusal. Closing at once with
// unread input resets the connection, and the client may lose the answer.
const linger = clock.Second

// client is the state of one connection.
type client struct {
	srv    *Server
	conn   net.Conn
	out    *unsentConn
	ctx    context.Context
	cancel context.CancelFunc
	// guard is used by the reading goroutine only.
	guard  *guard
	parser atomic.Pointer[nbhttp.Parser]

	mu sync.Mutex
	// started is when the first byte of an incomplete request arrived, 0
	// without one; active is when the last request arrived or ended.
	started clock.Millis
	active  clock.Millis
	held    int64
	pending int
	// closeAt is when a refused connection is closed, 0 if it is not refused.
	closeAt clock.Millis
}

func newClient(s *Server, c net.Conn) *client {
	ctx, cancel := context.WithCancel(context.Background())
	return &client{
		srv:    s,
		conn:   c,
		out:    &unsentConn{Conn: c},
		ctx:    ctx,
		cancel: cancel,
		active: s.clk.Now(),
	}
}

// received passes bytes to the parser and answers what it refuses.
func (c *client) received(parser *nbhttp.Parser, data []byte) {
	if !c.hold(len(data)) {
		return
	}
	if c.guard == nil {
		c.guard = &guard{Processor: parser.Processor, client: c}
		parser.Processor = c.guard
		parser.Conn = c.out
		c.parser.Store(parser)
		c.srv.parsers.Store(parser, c)
	}
	err := parser.Parse(data)
	switch {
	case c.guard.refusal != nil:
		c.refuse(*c.guard.refusal)
	case errors.Is(err, nbhttp.ErrTooLong):
		c.refuse(Refusal{Status: http.StatusRequestEntityTooLarge, Reason: BodyTooLarge, Message: "the request is too large"})
	case err != nil:
		c.refuse(Refusal{Status: http.StatusBadRequest, Reason: Malformed, Message: err.Error()})
	case c.guard.expects:
		c.guard.expects = false
		_, _ = c.out.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}

// hold counts received bytes and reports whether they are to be parsed.
func (c *client) hold(n int) bool {
	c.mu.Lock()
	refused := c.closeAt != 0
	if !refused {
		c.held += int64(n)
		if c.started == 0 {
			c.started = c.srv.clk.Now()
		}
	}
	c.mu.Unlock()
	if refused {
		return false
	}
	if c.srv.buffered.Add(int64(n)) <= c.srv.limits.MaxBuffered {
		return true
	}
	c.refuse(Refusal{Status: http.StatusServiceUnavailable, Reason: Overloaded, Message: "too many requests are being received"})
	return false
}

// refuse answers and discards further input. A connection whose earlier
// requests still wait is closed when they have been answered, because an
// answer now would be taken for one of theirs.
func (c *client) refuse(r Refusal) {
	c.mu.Lock()
	first := c.closeAt == 0
	if first {
		c.closeAt = c.srv.clk.Now() + linger
	}
	waiting := c.pending > 0
	c.mu.Unlock()
	if first && !waiting {
		_, _ = c.out.Write(c.srv.response(r))
	}
}

// completed notes a whole request. It reports false if the client has too many.
func (c *client) completed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started = 0
	c.active = c.srv.clk.Now()
	c.srv.lastRequest.Store(int64(c.active))
	if c.pending >= c.srv.limits.MaxPipelined {
		return false
	}
	c.pending++
	return true
}

// finished notes that the handler of a request has returned.
func (c *client) finished() {
	c.mu.Lock()
	c.pending--
	c.active = c.srv.clk.Now()
	if c.closeAt != 0 {
		c.closeAt = c.active + linger
	}
	released := c.release()
	c.mu.Unlock()
	c.srv.buffered.Add(-released)
}

// release returns the bytes that are no longer held. The bytes of a pipelined
// request go with those of the one before it; their number is bounded by the
// limits of one connection.
func (c *client) release() int64 {
	held := c.held
	c.held = 0
	return held
}

// ended notes the end of the connection. Its bytes are released even while a
// handler runs, because nbhttp drops requests whose handler has not started.
func (c *client) ended() {
	c.cancel()
	if parser := c.parser.Load(); parser != nil {
		c.srv.parsers.Delete(parser)
	}
	c.mu.Lock()
	released := c.release()
	c.mu.Unlock()
	c.srv.buffered.Add(-released)
}

// isIdle reports whether no request is being received, handled or answered.
func (c *client) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.started == 0 && c.pending == 0 && c.out.unsent.Load() == 0
}

func (c *client) abort() { _ = c.conn.Close() }

// check applies the timeouts and ends the context of a closed connection.
func (c *client) check(now clock.Millis) {
	// nbhttp delays its close callback until the handler has returned.
	if nb, ok := c.conn.(*nbio.Conn); ok {
		if closed, _ := nb.IsClosed(); closed {
			c.cancel()
			return
		}
	}
	c.mu.Lock()
	limits := &c.srv.limits
	refused := c.closeAt != 0
	expired := refused && c.pending == 0 && now >= c.closeAt
	slow := !refused && c.started != 0 && now-c.started > limits.ReadTimeout
	waiting := !refused && c.started == 0 && c.pending == 0
	unsent := c.out.unsent.Load() > 0
	idle := waiting && !unsent && now-c.active > limits.IdleTimeout
	unread := c.pending == 0 && unsent && now-c.active > limits.WriteTimeout
	c.mu.Unlock()
	switch {
	case expired, idle, unread:
		c.abort()
	case slow:
		c.refuse(Refusal{Status: http.StatusRequestTimeout, Reason: TooSlow, Message: "the request did not arrive in time"})
	}
}
