// Package httpd serves HTTP by nbhttp for every listener: callers, operators,
// announcements and the stand-in of a backend server. All of them have bounded
// headers, bodies, connections, buffered bytes and times. A request beyond a
// limit gets an answer and its connection is closed; nbhttp alone closes the
// connection without an answer.
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

// Server is a listener.
type Server struct {
	limits  Limits
	clk     clock.Clock
	handler http.Handler
	body    RefusalEncoder
	srv     *nbhttp.Server
	addr    string
	// listener is closed by Drain, or by nbhttp when the server stops.
	listener net.Listener
	// noKeepAlives is true when answers ask clients to close their connections.
	noKeepAlives atomic.Bool
	// lastRequest is when the last whole request arrived.
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
func New(address string, limits Limits, clk clock.Clock, handler http.Handler, body RefusalEncoder) (*Server, error) {
	if err := limits.check(); err != nil {
		return nil, &Error{Op: "check limits of", Address: address, Err: err}
	}
	s := &Server{
		limits:  limits,
		clk:     clk,
		handler: handler,
		body:    body,
		stop:    make(chan struct{}),
	}
	// nbio logs to the standard output by default.
	logging.SetLevel(logging.LevelNone)
	s.srv = nbhttp.NewServer(nbhttp.Config{
		Name:    "httpd",
		Network: "tcp",
		Addrs:   []string{address},
		NPoller: pollers,
		MaxLoad: limits.MaxConnections,
		// The guard refuses above MaxBody first; this bound catches chunked
		// bodies.
		MaxHTTPBodySize: limits.MaxBody,
		ReadLimit:       limits.MaxBody + limits.MaxHeader,
		// The client's check applies WriteTimeout. That of nbhttp (nbio v1.6.8)
		// runs from the arrival of the request, so it closes the connection
		// while a handler takes longer, and a whole write of a part of the
		// answer ends it.
		KeepaliveTime:  (limits.IdleTimeout + limits.ReadTimeout + limits.HandleTimeout).Duration(),
		ServerExecutor: func(f func()) { go f() },
		Listen:         s.listen,
		Handler:        http.HandlerFunc(s.serve),
	})
	s.srv.OnOpen(s.opened)
	s.srv.OnClose(s.closed)
	s.srv.OnData(s.data)
	s.srv.OnWrittenSize(s.written)
	if err := s.srv.Start(); err != nil {
		return nil, &Error{Op: "listen", Address: address, Err: errors.WithStack(err)}
	}
	s.stopped.Add(1)
	go s.sweep()
	return s, nil
}

// pollers is the number of threads that read from connections; the handlers
// run elsewhere.
const pollers = 2

func (s *Server) listen(network, address string) (net.Listener, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(context.Background(), network, address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	s.addr = l.Addr().String()
	s.listener = l
	return &listener{Listener: l, stop: s.stop}, nil
}

// listener blocks in Accept after it was closed by Drain, until the server
// stops. nbio (v1.6.8) accepts again at once after an error, which takes a
// whole core from the requests that are still served.
type listener struct {
	net.Listener

	stop chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if errors.Is(err, net.ErrClosed) {
		<-l.stop
	}
	return c, err
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.addr }

// Close stops listening and closes all connections.
func (s *Server) Close() {
	close(s.stop)
	s.stopped.Wait()
	s.srv.Stop()
}

// opened and client meet at the map of connections. nbio hands a connection
// from the accepting to the reading goroutine through epoll only, which the race
// detector cannot follow; without the map, about 1 of 40 test runs reported a
// race on the remote address.
func (s *Server) opened(c net.Conn) {
	s.conns.Store(c, newClient(s, c))
}

func (s *Server) closed(c net.Conn, _ error) {
	if v, ok := s.conns.LoadAndDelete(c); ok {
		v.(*client).ended()
	}
}

func (s *Server) client(c net.Conn) *client {
	v, ok := s.conns.Load(c)
	if !ok {
		return nil
	}
	return v.(*client)
}

// data replaces nbhttp's reader, so that errors of its parser can be answered.
func (s *Server) data(nb *nbio.Conn, data []byte) {
	cl := s.client(nb)
	parser, ok := nb.Session().(*nbhttp.Parser)
	if cl == nil || !ok {
		_ = nb.Close()
		return
	}
	cl.received(parser, data)
}

// serve runs the handler with a context that ends with the connection.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	res, ok := w.(*nbhttp.Response)
	if !ok {
		return
	}
	v, ok := s.parsers.Load(res.Parser)
	if !ok {
		return
	}
	cl := v.(*client)
	defer cl.finished()
	defer func() {
		// A fault in a handler must not end the process.
		if fault := recover(); fault != nil {
			cl.abort()
		}
	}()
	if s.noKeepAlives.Load() {
		w.Header().Set("Connection", "close")
	}
	s.handler.ServeHTTP(w, r.WithContext(cl.ctx))
}

// sweepInterval is the resolution of timeouts.
const sweepInterval = 100 * time.Millisecond

func (s *Server) sweep() {
	defer s.stopped.Done()
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
		}
		now := s.clk.Now()
		s.conns.Range(func(_, v any) bool {
			v.(*client).check(now)
			return true
		})
	}
}
