package interference

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/teaseltide/teaseltide/pkg/clock"
)

// simKind describes jobs of a kind on a simulated worker.
type simKind struct {
	kind   Kind
	tasks  int
	work   float64
	perSec float64
}

// simulation is one worker whose runs progress in steps of a millisecond. A run that finds
// no free slot waits.
type simulation struct {
	kinds []simKind
	slots int
	// speed returns the worker's speed at a time, for a number of active runs.
	speed func(at clock.Millis, active int) float64
	// factor returns by how much a run of a kind is slowed down by the active runs.
	factor func(at clock.Millis, k Kind, active map[Kind]int) float64
	// follows submits a job of the second kind when a job of the first starts, after a delay.
	follows      [2]Kind
	followsAfter clock.Millis
	// rate modulates the arrivals.
	rate func(at clock.Millis) float64

	rand    *rand.Rand
	learner *Learner
	now     clock.Millis
	jobs    int
	queue   []*simRun
	active  []*simRun
	delayed map[clock.Millis][]simKind
	// ended counts the runs that ended, by kind.
	ended   map[Kind]int
	changes []Change
	// changedAt holds the number of runs of the slowed kind at each change, changedTime the
	// time.
	changedAt   []int
	changedTime []clock.Millis
}

type simRun struct {
	kind     Kind
	job      Group
	declared clock.Millis
	left     float64
	observed *Run
}

// usualKinds is the load of a worker of an installation: 40 runs per second in the mean.
func usualKinds(load float64) []simKind {
	return []simKind{
		{"short", 3, 50, 7 * load}, {"middle", 2, 170, 9 * load}, {"long", 1, 760, 2.6 * load},
	}
}

func newSimulation(seed uint64, kinds []simKind) *simulation {
	return &simulation{
		kinds: kinds, slots: 10, rand: rand.New(rand.NewPCG(seed, 7)), learner: New(), now: 1,
		delayed: make(map[clock.Millis][]simKind), ended: make(map[Kind]int),
		speed:  func(clock.Millis, int) float64 { return 1 },
		factor: func(clock.Millis, Kind, map[Kind]int) float64 { return 1 },
		rate:   func(clock.Millis) float64 { return 1 },
	}
}

func (s *simulation) submit(k simKind) {
	s.jobs++
	id := Group(fmt.Sprint(s.jobs))
	work := k.work * math.Exp(0.3*s.rand.NormFloat64())
	declared := clock.Millis(work * (1 + 0.4*(2*s.rand.Float64()-1)))
	for range k.tasks {
		actual := work * math.Exp(0.4*s.rand.NormFloat64())
		if s.rand.Float64() < 0.03 {
			actual *= 7
		}
		s.queue = append(s.queue, &simRun{kind: k.kind, job: id, declared: declared, left: actual})
	}
	if k.kind == s.follows[0] {
		for _, other := range s.kinds {
			if other.kind == s.follows[1] {
				at := s.now + s.followsAfter
				s.delayed[at] = append(s.delayed[at], other)
			}
		}
	}
}

// run simulates the worker for some time.
func (s *simulation) run(duration clock.Millis) {
	for end := s.now + duration; s.now < end; s.now++ {
		for _, k := range s.kinds {
			if s.rand.Float64() < k.perSec*s.rate(s.now)/1000 {
				s.submit(k)
			}
		}
		for _, k := range s.delayed[s.now] {
			s.submit(k)
		}
		delete(s.delayed, s.now)
		s.step()
		for _, c := range s.learner.Evaluate(s.now) {
			s.changes = append(s.changes, c)
			s.changedAt = append(s.changedAt, s.ended[c.Pair.Slowed])
			s.changedTime = append(s.changedTime, s.now)
		}
	}
}

// step advances the active runs by a millisecond and starts queued ones.
func (s *simulation) step() {
	count := make(map[Kind]int, 4)
	for _, r := range s.active {
		count[r.kind]++
	}
	left := s.active[:0]
	for _, r := range s.active {
		r.left -= s.speed(s.now, len(s.active)) / s.factor(s.now, r.kind, count)
		if r.left > 0 {
			left = append(left, r)
			continue
		}
		s.ended[r.kind]++
		s.learner.End(s.now, r.observed, true)
	}
	s.active = left
	for len(s.queue) > 0 && len(s.active) < s.slots {
		r := s.queue[0]
		s.queue = s.queue[1:]
		r.observed = s.learner.Start(s.now, r.kind, r.job, r.declared, 1/float64(s.slots))
		s.active = append(s.active, r)
	}
}
