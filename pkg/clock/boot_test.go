package clock_test

import (
	"testing"
	"time"

	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Guards against leases that expire at the wrong time, because the clock runs
// backwards or starts with an offset from the wall time.
func TestBootClock(t *testing.T) {
	b := clock.NewBoot()
	if difference := b.Now() - clock.Millis(time.Now().UnixMilli()); difference < -50 || difference > 50 {
		t.Errorf("difference to the wall time: got %d ms", difference)
	}
	last := b.Now()
	for range 1000 {
		if now := b.Now(); now < last {
			t.Fatalf("time went back from %d to %d", last, now)
		} else {
			last = now
		}
	}
}
