// Package clock represents time as milliseconds in a named integer and provides
// clocks: the operating system's, one that counts suspended time, and one that
// tests set by hand.
package clock

import (
	"sync/atomic"
	"time"
)

// Millis is a point in time in milliseconds since the Unix epoch, or a duration
// in milliseconds.
type Millis int64

// Common durations.
const (
	Second Millis = 1000
	Minute        = 60 * Second
)

// Duration converts m, taken as a duration, to a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// FromDuration converts d to milliseconds, rounded down.
func FromDuration(d time.Duration) Millis {
	return Millis(d.Milliseconds())
}

// Clock is a source of the current time.
type Clock interface {
	Now() Millis
}

// System is the operating system's clock. Within a process it never runs
// backwards, because it adds the monotonic time since start to the wall time
// at start.
type System struct {
	start time.Time
}

// NewSystem returns a System clock that starts from the current wall time.
func NewSystem() *System {
	return &System{start: time.Now()}
}

// Now returns the current time.
func (s *System) Now() Millis {
	return Millis(s.start.UnixMilli()) + FromDuration(time.Since(s.start))
}

// Manual is a clock that moves only by Advance. It is safe for concurrent use.
type Manual struct {
	now atomic.Int64
}

// NewManual returns a Manual clock set to start.
func NewManual(start Millis) *Manual {
	m := &Manual{}
	m.now.Store(int64(start))
	return m
}

// Now returns the current time of the clock.
func (m *Manual) Now() Millis {
	return Millis(m.now.Load())
}

// Advance moves the clock forward by d and returns the new time.
func (m *Manual) Advance(d Millis) Millis {
	return Millis(m.now.Add(int64(d)))
}
