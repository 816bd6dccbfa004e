package clock

import (
	"golang.org/x/sys/unix"
)

// Boot is a clock that starts from the wall time and then counts the time since
// the machine started, including the time for which it was suspended. It suits
// leases: after a suspension it shows that a lease has expired, whereas the
// monotonic clock of System does not count the suspended time.
type Boot struct {
	offset Millis
	system *System
}

// NewBoot returns a Boot clock that starts from the current wall time.
func NewBoot() *Boot {
	b := &Boot{system: NewSystem()}
	if boot, ok := bootTime(); ok {
		b.offset = b.system.Now() - boot
	}
	return b
}

// Now returns the current time.
func (b *Boot) Now() Millis {
	boot, ok := bootTime()
	if !ok || b.offset == 0 {
		return b.system.Now()
	}
	return b.offset + boot
}

// bootTime returns the time since the machine started, and false if the system
// has no CLOCK_BOOTTIME.
func bootTime() (Millis, bool) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, false
	}
	return Millis(ts.Nano() / int64(1e6)), true
}
