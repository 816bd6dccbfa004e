package fleet

import (
	"context"
	"os"
	"time"
)

// readings are the counters of a fleet at one time, and the time after they
// were read. The differences of two give the cost of a step.
type readings struct {
	at                                   time.Time
	starts                               int
	entries, sidecars, backends, callers time.Duration
	peerTraffic
}

func (f *Fleet) read(ctx context.Context) (readings, error) {
	var r readings
	var err error
	if r.starts, err = f.countStarts(); err != nil {
		return r, err
	}
	for _, group := range []struct {
		pids []int
		used *time.Duration
	}{
		{pids(f.Entries), &r.entries},
		{pids(f.Sidecars), &r.sidecars},
		{pids(f.Backends), &r.backends},
		{[]int{os.Getpid()}, &r.callers},
	} {
		if *group.used, err = cpuTime(group.pids...); err != nil {
			return r, err
		}
	}
	r.peerTraffic, err = f.peerTraffic(ctx)
	r.at = time.Now()
	return r, err
}
