package cli

import (
	"github.com/teaseltide/teaseltide/internal/httpd"
	"github.com/teaseltide/teaseltide/internal/settings"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// maxHeaderBytes bounds the header of a request in bytes.
	maxHeaderBytes = 16 << 10
	// maxPipelined bounds the requests of a connection that wait for their
	// answers.
	maxPipelined = 4
	// maxBufferedBodies is the number of the largest bodies that may be held at
	// once.
	maxBufferedBodies = 32
	idleTimeout       = clock.Minute
	writeTimeout      = 30 * clock.Second
	// handleTimeout is above the longest deadline of a job.
	handleTimeout = 15 * clock.Minute
)

// callerLimits bound the listener for callers.
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

// operatorLimits bound a listener for a few scrapers and people. Its requests
// have no body, and their handlers wait for the control loop at most.
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
