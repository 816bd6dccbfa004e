package httpd

import (
	"context"
	"time"

	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// quietTime is how long no request must arrive at a drained server before it
	// may close. A client that sends on an idle connection while the server
	// closes it gets no answer, and cannot tell whether the request was handled.
	quietTime clock.Millis = 500
	// quietLimit bounds the wait for quietTime when clients go on sending.
	quietLimit = 5 * time.Second
)

// DisableKeepAlives makes each further answer tell its client to send no other
// request on the connection.
func (s *Server) DisableKeepAlives() {
	s.noKeepAlives.Store(true)
}

// Drain waits until no request is being handled and all answers have been
// sent, at most until ctx ends, and reports whether that was reached. Then it
// stops listening and waits until clients have stopped sending on the
// connections that they still have. Meanwhile requests are served; the handler
// refuses them. In the end it closes the connections without a request, so that
// no request is read while the process ends.
func (s *Server) Drain(ctx context.Context) bool {
	s.DisableKeepAlives()
	defer s.closeIdle()
	if !s.awaitSettled(ctx) {
		return false
	}
	_ = s.listener.Close()
	quiet, cancel := context.WithTimeout(ctx, quietLimit)
	defer cancel()
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	closedAt := s.clk.Now()
	for s.clk.Now() < max(closedAt, clock.Millis(s.lastRequest.Load()))+quietTime {
		select {
		case <-quiet.Done():
			return s.awaitSettled(ctx)
		case <-ticker.C:
		}
	}
	return s.awaitSettled(ctx)
}

func (s *Server) awaitSettled(ctx context.Context) bool {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	// Between the return of a handler and the write of its answer a connection
	// looks settled, so two checks in a row decide.
	const checks = 2
	for settled := 0; ; {
		if !s.settled() {
			settled = 0
		} else if settled++; settled == checks {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
}

// closeIdle closes the connections on which no request is being received,
// handled or answered.
func (s *Server) closeIdle() {
	s.conns.Range(func(_, v any) bool {
		if c := v.(*client); c.isIdle() {
			c.abort()
		}
		return true
	})
}
