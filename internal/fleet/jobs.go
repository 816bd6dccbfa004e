package fleet

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/teaseltide/teaseltide/pkg/caller"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// shortestRun and longestRun are the default bounds of the run times on a
	// worker of speed 1, those of most tasks at the present customers.
	shortestRun clock.Millis = 50
	longestRun  clock.Millis = 1000
	// roundTrips is added to the ideal: caller to entry and entry to worker,
	// a round trip below 1 ms each.
	roundTrips clock.Millis = 1
	// declaredError is the largest factor by which a declared run time errs.
	declaredError = 10
)

// JobGenerator generates jobs whose true run times are known.
type JobGenerator struct {
	shape Shape
	rng   *rand.Rand
	count int
	name  string
	// Shortest and Longest bound the run times on a worker of speed 1.
	Shortest, Longest clock.Millis
}

// NewJobGenerator returns a generator. Keys begin with name.
func NewJobGenerator(shape Shape, name string, seed uint64) *JobGenerator {
	return &JobGenerator{shape: shape, rng: rand.New(rand.NewPCG(seed, 0)), name: name, Shortest: shortestRun, Longest: longestRun}
}

// Job is a generated job with its ideal response time.
type Job struct {
	*caller.Job
	Ideal clock.Millis
	// Work is the sum of the run times at speed 1.
	Work clock.Millis
	// ideal is Ideal before it is rounded down to whole milliseconds. Rounding
	// turns 2.75 ms, one task of 7 ms at speed 4, into 2.
	ideal time.Duration
}

// Next returns a job of the given number of tasks, with run times between
// Shortest and Longest, evenly on a logarithmic scale.
func (g *JobGenerator) Next(tasks int) Job {
	g.count++
	j := Job{Job: &caller.Job{Team: g.shape.Team, Service: g.shape.Service, Key: fmt.Sprintf("%s-%d", g.name, g.count)}}
	var total, longest float64
	for range tasks {
		run := float64(g.Shortest) * math.Pow(float64(g.Longest)/float64(g.Shortest), g.rng.Float64())
		declared := run * math.Pow(declaredError, 2*g.rng.Float64()-1)
		// Payloads have whole milliseconds.
		run = math.Floor(run)
		total += run
		longest = max(longest, run)
		payload, _ := json.Marshal(map[string]int64{"run-ms": int64(run)})
		j.Tasks = append(j.Tasks, caller.Task{Payload: payload, Declared: clock.Millis(max(1, declared))})
	}
	j.Work = clock.Millis(total)
	ideal := g.shape.ideal(total, longest)
	j.Ideal = clock.Millis(ideal)
	j.ideal = time.Duration(ideal * float64(time.Millisecond))
	return j
}

// NextSize returns a number of tasks: mostly few, sometimes up to 820.
func (g *JobGenerator) NextSize() int {
	const most = 820
	// A Pareto distribution with its mean near 20.
	return int(min(most, 7/math.Pow(1-g.rng.Float64(), 1/1.5)))
}

// ideal returns the time of a job alone on an empty installation with known
// run times: the greater of its longest task on the fastest worker and its
// work over all slots, and the round trips, in milliseconds.
func (s *Shape) ideal(total, longest float64) float64 {
	fastest := 0.0
	for i := range s.Workers {
		fastest = max(fastest, s.Speed(i))
	}
	return max(longest/fastest, total/s.Capacity()) + float64(roundTrips)
}

// Capacity returns the work that an installation can do, in ms of run time at
// speed 1 for each ms.
func (s *Shape) Capacity() float64 {
	capacity := 0.0
	for i := range s.Workers {
		capacity += s.Speed(i) * float64(s.Slots)
	}
	return capacity
}
