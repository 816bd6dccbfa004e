package peer

import (
	"encoding/binary"
	"io"
	"net"
	"sync"

	"github.com/lesismal/nbio"
	"github.com/pkg/errors"
)

const (
	// maxWindow is the receive window of the yamux stream in bytes: how much the
	// peer may send before this side has read it.
	maxWindow = 1 << 20
	// maxUnread bounds the received bytes that yamux has not read yet. yamux
	// reads without waiting for the reader of the stream, so only a peer that
	// ignores the window, or a process short of CPU time, reaches it.
	maxUnread = 4 * maxWindow
	// maxUnsent bounds the bytes that nbio buffers for a slow peer. The window
	// of the peer keeps the amount below it.
	maxUnsent = 8 * maxWindow
	// maxReusedBuffer is the capacity above which a buffer is not reused.
	maxReusedBuffer = 256 << 10
)

// Layout of a yamux frame header, from the specification: version, type, flags,
// stream and length.
const (
	muxHeaderBytes = 12
	muxTypeOffset  = 1
	muxLenOffset   = 8
	muxTypeData    = 0
)

// conn adapts an nbio connection to the blocking io.ReadWriteCloser that yamux
// needs.
type conn struct {
	nb *nbio.Conn

	mu       sync.Mutex
	readable *sync.Cond
	unread   []byte
	offset   int
	err      error

	// pendingHeader is the header of a yamux data frame whose body has not been
	// written yet. yamux writes header and body separately; joining them saves a
	// system call and a packet.
	pendingHeader []byte
}

func newConn(nb *nbio.Conn) *conn {
	c := &conn{nb: nb, pendingHeader: make([]byte, 0, muxHeaderBytes)}
	c.readable = sync.NewCond(&c.mu)
	return c
}

// appendReceived appends bytes that an nbio poller has read. It does not block.
func (c *conn) appendReceived(data []byte) {
	c.mu.Lock()
	c.unread = append(c.unread, data...)
	overflow := len(c.unread)-c.offset > maxUnread
	c.mu.Unlock()
	c.readable.Signal()
	if overflow {
		c.markClosed(errors.New("the peer sent more than the receive window"))
		_ = c.nb.Close()
	}
}

// markClosed marks the connection as closed. Bytes already received stay readable.
func (c *conn) markClosed(err error) {
	if err == nil {
		err = io.EOF
	}
	c.mu.Lock()
	if c.err == nil {
		c.err = err
	}
	c.mu.Unlock()
	c.readable.Broadcast()
}

// Read implements io.Reader.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.offset == len(c.unread) && c.err == nil {
		c.readable.Wait()
	}
	if c.offset == len(c.unread) {
		return 0, c.err
	}
	n := copy(p, c.unread[c.offset:])
	c.offset += n
	if c.offset == len(c.unread) {
		c.unread = c.unread[:0]
		c.offset = 0
		if cap(c.unread) > maxReusedBuffer {
			c.unread = nil
		}
	}
	return n, nil
}

// Write implements io.Writer. yamux calls it from one goroutine.
func (c *conn) Write(p []byte) (int, error) {
	if len(c.pendingHeader) == 0 && isHeaderWithBody(p) {
		c.pendingHeader = append(c.pendingHeader, p...)
		return len(p), nil
	}
	if len(c.pendingHeader) == 0 {
		n, err := c.nb.Write(p)
		return n, errors.WithStack(err)
	}
	joined := make([]byte, 0, muxHeaderBytes+len(p))
	joined = append(joined, c.pendingHeader...)
	joined = append(joined, p...)
	c.pendingHeader = c.pendingHeader[:0]
	if _, err := c.nb.Write(joined); err != nil {
		return 0, errors.WithStack(err)
	}
	return len(p), nil
}

// isHeaderWithBody reports whether p is the header of a data frame with a body.
func isHeaderWithBody(p []byte) bool {
	return len(p) == muxHeaderBytes &&
		p[muxTypeOffset] == muxTypeData &&
		binary.BigEndian.Uint32(p[muxLenOffset:]) > 0
}

// Close implements io.Closer.
func (c *conn) Close() error {
	c.markClosed(net.ErrClosed)
	return errors.WithStack(c.nb.Close())
}

// LocalAddr returns the local address. yamux uses it in error messages.
func (c *conn) LocalAddr() net.Addr { return c.nb.LocalAddr() }

// RemoteAddr returns the address of the peer. yamux uses it in error messages.
func (c *conn) RemoteAddr() net.Addr { return c.nb.RemoteAddr() }
