package httpd

import (
	"context"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// tcpEstablished is the state of an open connection in the kernel's TCP_INFO.
const tcpEstablished = 1

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// PeerClosed reports whether the client of a request has closed or reset its
// connection. It asks the kernel, because the context of the request ends only after
// the server has read the end of the connection, which is late in a process that was
// paused or lacks CPU time. ctx is the request's context or derived from it.
func PeerClosed(ctx context.Context) bool {
	c, ok := ctx.Value(connectionKey{}).(*connection)
	if !ok || ctx.Err() != nil {
		return ctx.Err() != nil
	}
	nb, ok := c.conn.(*nbio.Conn)
	if !ok {
		return false
	}
	ended := !isEstablished(nb)
	// nbhttp reports the end of a connection only after the handler has returned.
	// After it, the kernel may have reused the descriptor.
	closed, _ := nb.IsClosed()
	return ended || closed
}

// isEstablished reports whether both directions of a connection are open. It is true
// if the kernel doesn't tell.
func isEstablished(nb *nbio.Conn) bool {
	raw, err := nb.SyscallConn()
	if err != nil {
		return true
	}
	established := true
	err = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		established = infoErr != nil || info.State == tcpEstablished
	})
	return err != nil || established
}
