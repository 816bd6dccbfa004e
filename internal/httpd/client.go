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

// lingerTime is how long input is discarded after a refusal. Closing a connection
// with unread input resets it, and the client may lose the answer.
const lingerTime = clock.Second

// connection is the state of one client connection.
type connection struct {
	srv    *Server
	conn   net.Conn
	out    *unsentConn
	ctx    context.Context
	cancel context.CancelFunc
	// guard is used by the reading goroutine only.
	guard  *guard
	parser atomic.Pointer[nbhttp.Parser]

	mu sync.Mutex
	// requestStarted is when the first byte of an incomplete request arrived, 0
	// without one; lastActive is when the last request arrived or ended.
	requestStarted  clock.Millis
	lastActive      clock.Millis
	bufferedBytes   int64
	pendingRequests int
	// closeAt is when a refused connection is closed, 0 if nothing was refused.
	closeAt clock.Millis
}

func newConnection(s *Server, c net.Conn) *connection {
	ctx, cancel := context.WithCancel(context.Background())
	in := &connection{
		srv:        s,
		conn:       c,
		out:        &unsentConn{Conn: c},
		cancel:     cancel,
		lastActive: s.clk.Now(),
	}
	in.ctx = context.WithValue(ctx, connectionKey{}, in)
	return in
}

// handleData passes received bytes to the parser and answers refused requests.
func (c *connection) handleData(parser *nbhttp.Parser, data []byte) {
	if !c.reserveBuffer(len(data)) {
		return
	}
	if c.guard == nil {
		c.guard = &guard{Processor: parser.Processor, conn: c}
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
	case c.guard.expectsContinue:
		c.guard.expectsContinue = false
		_, _ = c.out.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}

// reserveBuffer counts received bytes as buffered and reports whether to parse
// them.
func (c *connection) reserveBuffer(n int) bool {
	c.mu.Lock()
	refused := c.closeAt != 0
	if !refused {
		c.bufferedBytes += int64(n)
		if c.requestStarted == 0 {
			c.requestStarted = c.srv.clk.Now()
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

// refuse sends the refusal and discards further input. If earlier requests of the
// connection are pending, it sends nothing, because the client would match the
// refusal with one of them; the connection is closed after their answers.
func (c *connection) refuse(r Refusal) {
	c.mu.Lock()
	first := c.closeAt == 0
	if first {
		c.closeAt = c.srv.clk.Now() + lingerTime
	}
	hasPending := c.pendingRequests > 0
	c.mu.Unlock()
	if first && !hasPending {
		_, _ = c.out.Write(c.srv.response(r))
	}
}

// beginRequest records a complete request as pending. It reports false if the
// connection has too many pending requests.
func (c *connection) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestStarted = 0
	c.lastActive = c.srv.clk.Now()
	c.srv.lastRequest.Store(int64(c.lastActive))
	if c.pendingRequests >= c.srv.limits.MaxPipelined {
		return false
	}
	c.pendingRequests++
	return true
}

// endRequest records that the handler of a request has returned.
func (c *connection) endRequest() {
	c.mu.Lock()
	c.pendingRequests--
	c.lastActive = c.srv.clk.Now()
	if c.closeAt != 0 {
		c.closeAt = c.lastActive + lingerTime
	}
	released := c.releaseBuffered()
	c.mu.Unlock()
	c.srv.buffered.Add(-released)
}

// releaseBuffered resets bufferedBytes and returns the former value. It includes
// the bytes of pipelined requests that are still buffered; the limits of a
// connection bound their number.
func (c *connection) releaseBuffered() int64 {
	held := c.bufferedBytes
	c.bufferedBytes = 0
	return held
}

// onClosed cancels the context of a closed connection and releases its buffered
// bytes, even while a handler runs: nbhttp drops the requests whose handler has
// not started, so endRequest is not called for them.
func (c *connection) onClosed() {
	c.cancel()
	if parser := c.parser.Load(); parser != nil {
		c.srv.parsers.Delete(parser)
	}
	c.mu.Lock()
	released := c.releaseBuffered()
	c.mu.Unlock()
	c.srv.buffered.Add(-released)
}

// isIdle reports whether no request is being received, handled or answered.
func (c *connection) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requestStarted == 0 && c.pendingRequests == 0 && c.out.unsent.Load() == 0
}

func (c *connection) abort() { _ = c.conn.Close() }

// checkTimeouts applies the timeouts and cancels the context of a closed
// connection.
func (c *connection) checkTimeouts(now clock.Millis) {
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
	expired := refused && c.pendingRequests == 0 && now >= c.closeAt
	slow := !refused && c.requestStarted != 0 && now-c.requestStarted > limits.ReadTimeout
	waiting := !refused && c.requestStarted == 0 && c.pendingRequests == 0
	unsent := c.out.unsent.Load() > 0
	idle := waiting && !unsent && now-c.lastActive > limits.IdleTimeout
	unread := c.pendingRequests == 0 && unsent && now-c.lastActive > limits.WriteTimeout
	c.mu.Unlock()
	switch {
	case expired, idle, unread:
		c.abort()
	case slow:
		c.refuse(Refusal{Status: http.StatusRequestTimeout, Reason: TooSlow, Message: "the request did not arrive in time"})
	}
}
