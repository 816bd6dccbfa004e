package loadtest

import (
	"flag"
	"math"
	"strings"
	"testing"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

var interferenceSeeds = flag.Uint64("interference-seeds", 2, "paired seeds of TestKindsThatSlowEachOtherDown; with more, also at other loads")

// progress is that of a run whose speed depends on the runs beside it: work is left, which
// takes that long at rate 1.
type progress struct {
	work      float64
	rate      float64
	updatedAt clock.Millis
	version   int
}

// updateProgress updates the runs of a worker and their ends after its active runs have
// changed.
func (f *fleet) updateProgress(c *sidecar) {
	active := make(map[string]int)
	for _, r := range c.running {
		active[kindOf(r.run.Job)]++
	}
	for _, r := range c.running {
		r.work = max(0, r.work-r.rate*float64(f.now-r.updatedAt))
		r.updatedAt = f.now
		rate := 1 / f.slowdown(kindOf(r.run.Job), active)
		if rate == r.rate {
			continue
		}
		r.rate = rate
		r.version++
		version := r.version
		left := clock.Millis(math.Max(1, math.Round(r.work/rate)))
		r.endsAt = f.now + left
		f.after(left, func() {
			if c.running[r.run.TaskID] == r && r.version == version {
				f.endRun(c, r, batch.OutcomeDone)
			}
		})
	}
}

func kindOf(id batch.JobID) string {
	kind, _, _ := strings.Cut(string(id), "-")
	return kind
}

// interferingLoad returns a load whose short urgent tasks take twice as long beside long
// ones. The workers are as large as those of the users' installations.
func interferingLoad(load float64, seed uint64) workload {
	var workers []workerSpec
	for i := range 12 {
		workers = append(workers, workerSpec{cpu: 32_000, speed: []float64{1, 1, 1.3}[i%3]})
	}
	p := pumpCheckLoad(load, workers)
	for i := range p.kinds {
		p.kinds[i].cpu = 3200
	}
	p.scale(load)
	p.seed = seed
	p.duration, p.warmUp = 80_000, 40_000
	p.slowdown = func(kind string, active map[string]int) float64 {
		if kind == "alarm" && active["verdict"] > 0 {
			return 2
		}
		return 1
	}
	return p
}

// interval returns the mean of differences and half the width of its 95% interval.
func interval(differences []float64) (mean, half float64) {
	// studentT holds the 97.5% quantiles by degrees of freedom.
	studentT := []float64{0, 12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23}
	n := float64(len(differences))
	for _, d := range differences {
		mean += d / n
	}
	sum := 0.0
	for _, d := range differences {
		sum += (d - mean) * (d - mean)
	}
	t := 1.96
	if len(differences)-1 < len(studentT) {
		t = studentT[len(differences)-1]
	}
	return mean, t * math.Sqrt(sum/(n-1)/n)
}

// One kind slows down another one. Guards against interference that is learned and then of
// no use to callers: entries that know it must serve more jobs in time than those that
// don't.
func TestKindsThatSlowEachOtherDown(t *testing.T) {
	loads := []float64{0.6}
	if *interferenceSeeds > 2 {
		loads = []float64{0.4, 0.6, 0.8}
	}
	for _, load := range loads {
		var gains, alarmGains []float64
		for seed := range *interferenceSeeds {
			p := interferingLoad(load, 100+seed)
			p.hidesSlowdowns = true
			without := newFleet(p)
			without.run()
			p.hidesSlowdowns = false
			with := newFleet(p)
			with.run()
			if with.pairsChanged == 0 {
				t.Errorf("load %.1f, seed %d: got no detected pair, want some", load, seed)
			}
			gains = append(gains, with.valueShare()-without.valueShare())
			alarmGains = append(alarmGains, with.outcomes["alarm"].onTimeShare()-without.outcomes["alarm"].onTimeShare())
		}
		gain, half := interval(gains)
		alarm, alarmHalf := interval(alarmGains)
		t.Logf("load %.1f: value share %+.4f (±%.4f), urgent jobs on time %+.4f (±%.4f)", load, gain, half, alarm, alarmHalf)
		if load == 0.6 && alarm <= 0 {
			t.Errorf("share of urgent jobs on time: got %+.4f, want more with reports of the interference than without", alarm)
		}
	}
}

// Kinds that do not slow each other down, on workers of unequal speed. Guards against
// pairs that are detected nevertheless, which would change the placement.
func TestUnrelatedKindsAreNotSeparated(t *testing.T) {
	for seed := range uint64(2) {
		p := pumpCheckLoad(0.8, mixedWorkers())
		p.seed = seed
		f := newFleet(p)
		f.run()
		if f.pairsChanged > 0 {
			t.Errorf("seed %d: got %d changes of pairs, want none", seed, f.pairsChanged)
		}
	}
}
