// Package httpd serves HTTP with nbhttp for every listener: callers, operators,
// announcements and the simulated backend server. It bounds headers, bodies,
// connections, buffered bytes and times. A request that exceeds a limit gets an
// answer before its connection is closed; nbhttp alone closes the connection
// without an answer.
//
//	s, err := httpd.New("127.0.0.1:0", limits, clock.NewSystem(), mux, httpd.PlainBody)
package httpd

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"

	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Error is the error type of this package.
type Error struct {
	Op      string
	Address string
	Err     error
}

// Error implements error.
func (e *Error) Error() string { return "httpd: " + e.Op + " " + e.Address + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Server is an HTTP server with one listening address.
type Server struct {
	limits        Limits
	clk           clock.Clock
	handler       http.Handler
	encodeRefusal RefusalEncoder
	srv           *nbhttp.Server
	addr          string
	// listener is closed by Drain, or by nbhttp when the server stops.
	listener net.Listener
	// keepAlivesDisabled is true when answers carry Connection: close.
	keepAlivesDisabled atomic.Bool
	// lastRequest is when the last complete request arrived, in ms.
	lastRequest atomic.Int64

	conns    sync.Map // of net.Conn to *client
	parsers  sync.Map // of *nbhttp.Parser to *client
	buffered atomic.Int64
	stop     chan struct{}
	stopped  sync.WaitGroup
}

// New starts a Server. Every limit must be greater than 0. The context of a
// request ends with its connection. The handler runs in a goroutine of its own
// and may block; the requests of one connection are handled one at a time.
func New(address string, limits Limits, clk clock.Clock, handler http.Handler, encodeRefusal RefusalEncoder) (*Server, error) {
	if err := limits.check(); err != nil {
		return nil, &Error{Op: "check limits of", Address: address, Err: err}
	}
	s := &Server{
		limits:        limits,
		clk:           clk,
		handler:       handler,
		encodeRefusal: encodeRefusal,
		stop:          make(chan struct{}),
	}
	// nbio logs to standard output by default.
	logging.SetLevel(logging.LevelNone)
	s.srv = nbhttp.NewServer(nbhttp.Config{
		Name:    "httpd",
		Network: "tcp",
		Addrs:   []string{address},
		NPoller: pollerThreads,
		MaxLoad: limits.MaxConnections,
		// The guard refuses a Content-Length above MaxBody; this limit applies to
		// chunked bodies.
		MaxHTTPBodySize: limits.MaxBody,
		ReadLimit:       limits.MaxBody + limits.MaxHeader,
		// checkTimeouts applies WriteTimeout. The write timeout of nbhttp (nbio
		// v1.6.8) starts when the request arrives, so it closes the connection
		// during a longer handler, and a complete write of a part of the answer
		// cancels it.
		KeepaliveTime:  (limits.IdleTimeout + limits.ReadTimeout + limits.HandleTimeout).Duration(),
		ServerExecutor: func(f func()) { go f() },
		Listen:         s.listen,
		Handler:        http.HandlerFunc(s.serve),
	})
	s.srv.OnOpen(s.onOpen)
	s.srv.OnClose(s.onClose)
	s.srv.OnData(s.onData)
	s.srv.OnWrittenSize(s.onWritten)
	if err := s.srv.Start(); err != nil {
		return nil, &Error{Op: "listen", Address: address, Err: errors.WithStack(err)}
	}
	s.stopped.Add(1)
	go s.checkConnections()
	return s, nil
}

// pollerThreads is the number of threads that read from connections; handlers
// run in goroutines of their own.
const pollerThreads = 2

func (s *Server) listen(network, address string) (net.Listener, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(context.Background(), network, address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	s.addr = l.Addr().String()
	s.listener = l
	return newListener(l), nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.addr }

// Close stops listening and closes all connections.
func (s *Server) Close() {
	close(s.stop)
	s.stopped.Wait()
	s.srv.Stop()
}

// onOpen stores the connection in a map, from which the reading goroutine loads
// it: nbio passes a connection from the accepting to the reading goroutine by
// epoll only, which the race detector cannot observe. Without the map, about 1 of
// 40 test runs reported a race on the remote address.
func (s *Server) onOpen(c net.Conn) {
	s.conns.Store(c, newConnection(s, c))
}

func (s *Server) onClose(c net.Conn, _ error) {
	if v, ok := s.conns.LoadAndDelete(c); ok {
		v.(*connection).onClosed()
	}
}

func (s *Server) connection(c net.Conn) *connection {
	v, ok := s.conns.Load(c)
	if !ok {
		return nil
	}
	return v.(*connection)
}

// onData replaces nbhttp's data handler, so that parser errors can be answered.
func (s *Server) onData(nb *nbio.Conn, data []byte) {
	conn := s.connection(nb)
	parser, ok := nb.Session().(*nbhttp.Parser)
	if conn == nil || !ok {
		_ = nb.Close()
		return
	}
	conn.handleData(parser, data)
}

// serve runs the handler with a context that is cancelled when the connection
// closes.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	res, ok := w.(*nbhttp.Response)
	if !ok {
		return
	}
	v, ok := s.parsers.Load(res.Parser)
	if !ok {
		return
	}
	conn := v.(*connection)
	defer conn.endRequest()
	defer func() {
		// A panic in a handler must not end the process.
		if reason := recover(); reason != nil {
			conn.abort()
		}
	}()
	if s.keepAlivesDisabled.Load() {
		w.Header().Set("Connection", "close")
	}
	s.handler.ServeHTTP(w, r.WithContext(conn.ctx))
}

// checkInterval is the resolution of timeouts.
const checkInterval = 100 * time.Millisecond

// checkConnections applies the timeouts of all connections until the server stops.
func (s *Server) checkConnections() {
	defer s.stopped.Done()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
		}
		now := s.clk.Now()
		s.conns.Range(func(_, v any) bool {
			v.(*connection).checkTimeouts(now)
			return true
		})
	}
}
