package backend

import (
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// guardedConn checks every write with the writeGuard of its current request.
type guardedConn struct {
	net.Conn
	request atomic.Pointer[writeGuard]
}

// Write sends b unless the guard of the current request is sealed.
func (c *guardedConn) Write(b []byte) (int, error) {
	if g := c.request.Load(); g != nil && !g.allowWrite() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// writeGuard records whether bytes of one request may have been sent and can
// prevent that any are sent later. It belongs to the request and not to the
// connection, which may serve the next request before the round trip of a
// cancelled one has returned.
type writeGuard struct {
	mu     sync.Mutex
	wrote  bool
	sealed bool
}

// gotConn assigns the guard to the connection of its request. It implements
// httptrace.ClientTrace.GotConn, which is called before the transport's writer
// gets the request.
func (g *writeGuard) gotConn(info httptrace.GotConnInfo) {
	if c, ok := info.Conn.(*guardedConn); ok {
		c.request.Store(g)
	}
}

// allowWrite reports whether a write may begin and records it.
func (g *writeGuard) allowWrite() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sealed {
		return false
	}
	g.wrote = true
	return true
}

// seal rejects further writes and reports whether one has begun. The transport's
// writer may still hold the request when a round trip fails, so without the seal
// the result could be stale at once.
func (g *writeGuard) seal() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sealed = true
	return g.wrote
}
