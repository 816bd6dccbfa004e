package httpd

import (
	"github.com/pkg/errors"

	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Limits bounds the resources that clients can use in a Server. Sizes are in
// bytes, durations in ms.
type Limits struct {
	MaxBody   int
	MaxHeader int
	// MaxConnections bounds the open connections; further ones are closed
	// immediately. It also bounds the concurrent handlers.
	MaxConnections int
	// MaxPipelined bounds the pending requests of one connection.
	MaxPipelined int
	// MaxBuffered bounds the bytes of all requests that are being received or
	// handled.
	MaxBuffered int64
	// ReadTimeout bounds the time from the first to the last byte of a request.
	ReadTimeout clock.Millis
	// IdleTimeout is how long a connection may have no request before it is
	// closed.
	IdleTimeout clock.Millis
	// WriteTimeout bounds the time that a client may take to read an answer,
	// from the return of the handler.
	WriteTimeout clock.Millis
	// HandleTimeout must exceed the longest time that the handler takes.
	HandleTimeout clock.Millis
}

// check rejects a limit that is not set, because nbhttp interprets 0 as its own
// default or as no limit.
func (l *Limits) check() error {
	for _, limit := range []struct {
		name  string
		value int64
	}{
		{"MaxBody", int64(l.MaxBody)},
		{"MaxHeader", int64(l.MaxHeader)},
		{"MaxConnections", int64(l.MaxConnections)},
		{"MaxPipelined", int64(l.MaxPipelined)},
		{"MaxBuffered", l.MaxBuffered},
		{"ReadTimeout", int64(l.ReadTimeout)},
		{"IdleTimeout", int64(l.IdleTimeout)},
		{"WriteTimeout", int64(l.WriteTimeout)},
		{"HandleTimeout", int64(l.HandleTimeout)},
	} {
		if limit.value <= 0 {
			return errors.Errorf("%s is %d, not greater than 0", limit.name, limit.value)
		}
	}
	return nil
}
