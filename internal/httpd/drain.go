package httpd

import (
	"context"
	"time"

	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// quietPeriod is how long a drained server must receive no request before it
	// closes connections. A client that sends on an idle connection while the
	// server closes it gets no answer, and cannot tell whether the request was
	// handled.
	quietPeriod clock.Millis = 500
	// maxQuietWait bounds the wait for quietPeriod while clients keep sending.
	maxQuietWait = 5 * time.Second
)

// DisableKeepAlives adds Connection: close to all further answers.
func (s *Server) DisableKeepAlives() {
	s.keepAlivesDisabled.Store(true)
}

// Drain waits until no request is in flight and all answers have been sent, at
// most until ctx ends, and reports whether that was reached. Then it stops
// listening and waits until clients have stopped sending on their open
// connections. Requests are still passed to the handler, which is expected to
// refuse them. Finally it closes the idle connections, so that no request is read
// while the process ends.
func (s *Server) Drain(ctx context.Context) bool {
	s.DisableKeepAlives()
	defer s.closeIdle()
	if !s.awaitSettled(ctx) {
		return false
	}
	_ = s.listener.Close()
	quiet, cancel := context.WithTimeout(ctx, maxQuietWait)
	defer cancel()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	closedAt := s.clk.Now()
	for s.clk.Now() < max(closedAt, clock.Millis(s.lastRequest.Load()))+quietPeriod {
		select {
		case <-quiet.Done():
			return s.awaitSettled(ctx)
		case <-ticker.C:
		}
	}
	return s.awaitSettled(ctx)
}

// awaitSettled waits until all connections are settled and reports whether that
// was reached before ctx ended.
func (s *Server) awaitSettled(ctx context.Context) bool {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	// A connection appears settled between the return of a handler and the write
	// of its answer, so two checks in a row are required.
	const requiredChecks = 2
	for settled := 0; ; {
		if !s.isSettled() {
			settled = 0
		} else if settled++; settled == requiredChecks {
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
		if c := v.(*connection); c.isIdle() {
			c.abort()
		}
		return true
	})
}
