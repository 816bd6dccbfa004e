package loadtest

import (
	"flag"
	"testing"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/executor"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

var lifecycleSeeds = flag.Uint64("lifecycle-seeds", 3, "paired seeds of the tests of cold and of draining workers")

// lifecycle describes the start and the end of a worker, in times since the first arrivals.
type lifecycle struct {
	// coldUntil is when the worker has warmed up, 0 for a warm one. Before coldFrom it is
	// warm, and after it its runs take up to 2.5 times as long.
	coldFrom, coldUntil clock.Millis
	// drainsAt is when it begins to drain, leavesAt when it ends, 0 for never. It is ready
	// again a second later.
	drainsAt, leavesAt clock.Millis
	// silent is true if it announces neither.
	silent bool
}

// workerReportInterval is the interval of the reports of a worker.
const workerReportInterval = 300 * clock.Millis(1)

func (l *lifecycle) coldFactor(at clock.Millis) float64 {
	if at < l.coldFrom || at >= l.coldUntil {
		return 1
	}
	return 1 + 1.5*float64(l.coldUntil-at)/float64(l.coldUntil-l.coldFrom)
}

// scheduleLifecycle sends the reports of a worker and ends its runs when it leaves.
func (f *fleet) scheduleLifecycle(c *sidecar) {
	l := c.spec.lifecycle
	if l == (lifecycle{}) {
		return
	}
	start, sequence := f.now, int64(1)
	f.every(workerReportInterval, func() {
		at := f.now - start
		sequence++
		w := executor.Worker{
			ID: string(c.address), Incarnation: 1, Sequence: sequence, Service: service, Capacity: batch.Resources{CPU: c.spec.cpu, MemoryMB: 1 << 20},
			Draining: l.leavesAt != 0 && at >= l.drainsAt && at < l.leavesAt+clock.Second,
		}
		if !l.silent && at >= l.coldFrom {
			w.WarmupLeft = max(0, l.coldUntil-at)
		}
		if !l.silent && w.Draining {
			w.Remaining = max(1, l.leavesAt-at)
		}
		c.core.WorkerReported(f.now, w)
		c.dirty = true
	})
	if l.leavesAt != 0 {
		f.after(l.leavesAt, func() {
			for _, r := range c.running {
				f.lostWork += f.now - r.startedAt
			}
			clear(c.running)
		})
	}
}

// comparison holds the differences, for each seed, that announcements of the workers make
// to the shares of a kind's jobs on time and of the value of all, and the sums of the lost
// work with and without them.
type comparison struct {
	onTime, value             []float64
	lostWork, lostWorkWithout clock.Millis
}

func compareAnnouncements(t *testing.T, kind string, load func(seed uint64) workload) (c comparison) {
	t.Helper()
	for seed := range *lifecycleSeeds {
		p := load(100 + seed)
		with := newFleet(p)
		with.run()
		for i := range p.workers {
			p.workers[i].silent = true
		}
		without := newFleet(p)
		without.run()
		c.onTime = append(c.onTime, with.outcomes[kind].onTimeShare()-without.outcomes[kind].onTimeShare())
		c.value = append(c.value, with.valueShare()-without.valueShare())
		c.lostWork += with.lostWork
		c.lostWorkWithout += without.lostWork
	}
	return c
}

// A third of the workers start, one after the other, and are cold for 10 s each. Guards
// against urgent jobs that are late on cold workers although warm ones have room.
func TestColdWorkers(t *testing.T) {
	c := compareAnnouncements(t, "alarm", func(seed uint64) workload {
		p := pumpCheckLoad(0.6, mixedWorkers())
		p.seed = seed
		for i := range 4 {
			p.workers[3*i+1].coldFrom = 4000 * clock.Millis(i+1)
			p.workers[3*i+1].coldUntil = p.workers[3*i+1].coldFrom + 10_000
		}
		return p
	})
	mean, half := interval(c.onTime)
	all, allHalf := interval(c.value)
	t.Logf("urgent jobs on time %+.4f (±%.4f), value share %+.4f (±%.4f)", mean, half, all, allHalf)
	if mean <= 0 {
		t.Errorf("share of urgent jobs on time: got %+.4f, want more with announcements of the warm-up than without", mean)
	}
}

// Each worker is terminated once with an announcement of 600 ms. Guards against long runs
// that are lost at the end of the worker instead of being started elsewhere before.
func TestWorkersThatLeave(t *testing.T) {
	c := compareAnnouncements(t, "verdict", func(seed uint64) workload {
		p := pumpCheckLoad(0.5, mixedWorkers())
		p.seed = seed
		for i := range p.workers {
			p.workers[i].drainsAt = 3000 + 1500*clock.Millis(i)
			p.workers[i].leavesAt = p.workers[i].drainsAt + 600
		}
		return p
	})
	mean, half := interval(c.onTime)
	all, allHalf := interval(c.value)
	t.Logf("long jobs on time %+.4f (±%.4f), value share %+.4f (±%.4f)", mean, half, all, allHalf)
	t.Logf("lost work: %d ms, without announcements %d ms", c.lostWork, c.lostWorkWithout)
	if c.lostWork > c.lostWorkWithout/2 {
		t.Errorf("lost work: got %d ms, want at most half of the %d ms without announcements", c.lostWork, c.lostWorkWithout)
	}
}
