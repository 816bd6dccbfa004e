package cli

import (
	"github.com/teaseltide/teaseltide/internal/httpd"
	"github.com/teaseltide/teaseltide/internal/settings"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 16 << 10
	// maxPipelined bounds the pending requests of a connection.
	maxPipelined = 4
	// maxBufferedBodies is the number of request bodies of maximum size that
	// may be buffered at the same time.
	maxBufferedBodies = 32
	idleTimeout       = clock.Minute
	writeTimeout      = 30 * clock.Second
	// handleTimeout exceeds the longest deadline of a job.
	handleTimeout = 15 * clock.Minute
)

// callerLimits returns the limits of the listener for callers.
func callerLimits(s *settings.EntryLimits) httpd.Limits {
	return httpd.Limits{
		MaxBody:        int(s.MaxBody),
		MaxHeader:      maxHeaderBytes,
		MaxConnections: s.MaxConnections,
		MaxPipelined:   maxPipelined,
		MaxBuffered:    maxBufferedBodies * int64(s.MaxBody),
		ReadTimeout:    s.ReadTimeout.Millis(),
		IdleTimeout:    idleTimeout,
		WriteTimeout:   writeTimeout,
		HandleTimeout:  handleTimeout,
	}
}

// operatorLimits are the limits of the listener for operators, which has few
// clients. Its requests have no body, and its handlers wait only for the control
// loop.
var operatorLimits = httpd.Limits{
	MaxBody:        1<<20 - maxHeaderBytes,
	MaxHeader:      maxHeaderBytes,
	MaxConnections: 256,
	MaxPipelined:   maxPipelined,
	MaxBuffered:    8 << 20,
	ReadTimeout:    10 * clock.Second,
	IdleTimeout:    2 * clock.Minute,
	WriteTimeout:   writeTimeout,
	HandleTimeout:  clock.Minute,
}
