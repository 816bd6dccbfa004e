package httpd

import (
	"net"
	"sync/atomic"

	"github.com/lesismal/nbio"
)

// unsentConn counts the bytes that nbio buffers because the client has not read
// them yet. Closing an nbio connection drops them, so Close is delayed until they
// are sent: a client that reads slowly and asked for Connection: close would
// otherwise lose the end of a large answer. The write timeout bounds the delay.
type unsentConn struct {
	net.Conn

	unsent  atomic.Int64
	closing atomic.Bool
}

// Write implements net.Conn.
func (c *unsentConn) Write(b []byte) (int, error) {
	c.unsent.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *unsentConn) Close() error {
	c.closing.Store(true)
	if c.unsent.Load() > 0 {
		return nil
	}
	return c.Conn.Close()
}

// onSent records bytes that the kernel has accepted. nbio calls it with the lock
// of the connection held.
func (c *unsentConn) onSent(n int) {
	if c.unsent.Add(-int64(n)) <= 0 && c.closing.Load() {
		go func() { _ = c.Conn.Close() }()
	}
}

func (s *Server) onWritten(nb *nbio.Conn, _ []byte, n int) {
	if conn := s.connection(nb); conn != nil {
		conn.out.onSent(n)
	}
}

// isSettled reports whether all connections are settled.
func (s *Server) isSettled() bool {
	settled := true
	s.conns.Range(func(_, v any) bool {
		settled = v.(*connection).isSettled()
		return settled
	})
	return settled
}

// isSettled reports whether the connection has neither a pending request nor
// unsent bytes. A closed connection cannot send its unsent bytes.
func (c *connection) isSettled() bool {
	if nb, ok := c.conn.(*nbio.Conn); ok {
		if closed, _ := nb.IsClosed(); closed {
			return true
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pendingRequests == 0 && c.out.unsent.Load() <= 0
}
