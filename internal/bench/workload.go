// Package bench measures placement policies over a small fake of the workers
// with a manual clock. The fake is a list of events for the ends of tasks; it
// has no network but a fixed round trip. All policies of a run see the same
// jobs.
package bench

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/teaseltide/teaseltide/internal/placement"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// service is the only service of the benchmark.
const service = "quoting"

// Fleet describes the workers of a run.
type Fleet struct {
	Name    string
	Workers int
	Slots   int
	Size    placement.Resources
	// RoundTrip between the entry and a worker.
	RoundTrip float64
	TaskSize  placement.Resources
}

// Kavango returns the fleet of region khomas in docs/design.md.
func Kavango() Fleet {
	return Fleet{
		Name: "kavango", Workers: 11, Slots: 8, RoundTrip: 1,
		Size:     placement.Resources{MemoryMiB: 256 << 10, CPUs: 64},
		TaskSize: placement.Resources{MemoryMiB: 512, CPUs: 1},
	}
}

// Consorcio returns the fleet of region santiago.
func Consorcio() Fleet {
	return Fleet{
		Name: "consorcio", Workers: 11, Slots: 8, RoundTrip: 2,
		Size:     placement.Resources{MemoryMiB: 64 << 10, CPUs: 16},
		TaskSize: placement.Resources{MemoryMiB: 512, CPUs: 2},
	}
}

// Full returns a fleet with the number of workers of the design scale.
func Full() Fleet {
	f := Kavango()
	f.Name = "full"
	f.Workers = 780
	return f
}

// speedSpread is the ratio between the slowest and the fastest worker.
const speedSpread = 4.0

// factors returns the run time of each worker relative to the middle one.
// They are spread evenly on the logarithmic scale and shuffled.
func (f Fleet) factors(seed uint64) []float64 {
	out := make([]float64, f.Workers)
	for i := range out {
		at := float64(i)/float64(max(f.Workers-1, 1)) - 0.5
		out[i] = math.Pow(speedSpread, at)
	}
	random := rand.New(rand.NewPCG(seed, 1))
	random.Shuffle(len(out), func(i, k int) { out[i], out[k] = out[k], out[i] })
	return out
}

func (f Fleet) worker(i int) placement.Worker {
	return placement.Worker{
		ID: placement.WorkerID(fmt.Sprintf("w%d-1", i)), Name: fmt.Sprintf("w%d", i),
		Services: []string{service}, Slots: f.Slots, Capacity: f.Size,
	}
}

// Properties of the jobs, from docs/design.md.
const (
	maxTasks     = 820
	meanTasks    = 20.0
	minRun       = 50.0
	maxRun       = 1000.0
	longPart     = 0.01
	minLong      = 2000.0
	maxLong      = 8000.0
	straggleEach = 0.01
	straggleBy   = 5.0
	declareError = 10.0
)

// Bursts of arrivals: the rate rises by half for one second of every ten. The
// mean rate is not changed.
const (
	burstPeriod = 10_000.0
	burstLength = 1_000.0
	burstFactor = 1.5
)

// job is a job of the workload with its true run times.
type job struct {
	id       placement.JobID
	arrival  float64
	deadline float64
	tasks    []task
	work     float64
	longest  float64
}

// task has its true run time on the middle worker in milliseconds.
type task struct {
	work     float64
	declared clock.Millis
}

// generator makes jobs from a seed.
type generator struct {
	random *rand.Rand
	shape  float64
	teams  []string
	made   int
}

func newGenerator(seed uint64, teams []string) *generator {
	return &generator{random: rand.New(rand.NewPCG(seed, 2)), shape: paretoShape(), teams: teams}
}

// paretoShape returns the shape of the bounded Pareto distribution with the
// mean size of a job.
func paretoShape() float64 {
	low, high := 0.01, 3.0
	for range 60 {
		a := (low + high) / 2
		if paretoMean(a) > meanTasks {
			low = a
		} else {
			high = a
		}
	}
	return (low + high) / 2
}

func paretoMean(a float64) float64 {
	h := float64(maxTasks)
	return a / (1 - math.Pow(1/h, a)) * (math.Pow(h, 1-a) - 1) / (1 - a)
}

// meanWork is the expected run time of a task on the middle worker.
func meanWork() float64 {
	usual := (maxRun - minRun) / math.Log(maxRun/minRun)
	mean := (1-longPart)*usual + longPart*(minLong+maxLong)/2
	return mean * (1 + straggleEach*(straggleBy-1))
}

func (g *generator) size() int {
	u := g.random.Float64()
	h := float64(maxTasks)
	x := math.Pow(1-u*(1-math.Pow(1/h, g.shape)), -1/g.shape)
	return min(max(int(math.Round(x)), 1), maxTasks)
}

func (g *generator) logUniform(low, high float64) float64 {
	return low * math.Pow(high/low, g.random.Float64())
}

func (g *generator) task() task {
	work := g.logUniform(minRun, maxRun)
	if g.random.Float64() < longPart {
		work = minLong + g.random.Float64()*(maxLong-minLong)
	}
	declared := work * g.logUniform(1/declareError, declareError)
	if g.random.Float64() < straggleEach {
		work *= straggleBy
	}
	return task{work: work, declared: max(clock.Millis(declared), 1)}
}

func (g *generator) job(arrival float64) *job {
	team := g.teams[g.random.IntN(len(g.teams))]
	g.made++
	j := &job{id: placement.JobID{Service: service, Team: team, Key: fmt.Sprint(g.made)}, arrival: arrival}
	for range g.size() {
		t := g.task()
		j.tasks = append(j.tasks, t)
		j.work += t.work
		j.longest = max(j.longest, t.work)
	}
	return j
}

// jobs returns the jobs that arrive from start to end at a load relative to the
// capacity of the fleet in work per millisecond.
func (g *generator) jobs(load, capacity, start, end float64) []*job {
	rate := load * capacity / (g.meanTasks() * meanWork())
	base := (burstPeriod - burstFactor*burstLength) / (burstPeriod - burstLength)
	var out []*job
	at := start
	for {
		factor := base
		if math.Mod(at, burstPeriod) < burstLength {
			factor = burstFactor
		}
		at += g.random.ExpFloat64() / (rate * factor)
		if at >= end {
			return out
		}
		out = append(out, g.job(at))
	}
}

// meanTasks is the mean size after rounding.
func (g *generator) meanTasks() float64 {
	sample := &generator{random: rand.New(rand.NewPCG(1, 1)), shape: g.shape}
	const n = 200_000
	sum := 0
	for range n {
		sum += sample.size()
	}
	return float64(sum) / n
}
