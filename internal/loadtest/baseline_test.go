package loadtest

import (
	"math"

	"github.com/teaseltide/teaseltide/pkg/clock"
)

// baseline is a common policy of choosing the worker of a task. Tasks leave for
// it at once and wait there, first come, first served.
type baseline struct {
	name   string
	choose func(f *queues) int
}

var baselines = []baseline{
	{"random", func(q *queues) int { return q.rand.IntN(len(q.busy)) }},
	{"round robin", func(q *queues) int { q.next++; return q.next % len(q.busy) }},
	{"least loaded", func(q *queues) int {
		best := 0
		for i := range q.known {
			if q.known[i]*float64(q.workers[best].cpu) < q.known[best]*float64(q.workers[i].cpu) {
				best = i
			}
		}
		q.known[best]++
		return best
	}},
}

// knownInterval is how old the loads are that the least loaded worker is chosen
// by: the time between two reports.
const knownInterval = 25 * clock.Millis(1)

// queues are workers with a queue each, every slot with the time at which it is
// free.
type queues struct {
	*fleet
	next  int
	busy  [][]clock.Millis
	known []float64
}

// playBaseline plays a pattern with a policy for one entry without the cores and
// returns the share of the worth.
func playBaseline(p pattern, b baseline) float64 {
	q := &queues{fleet: newFleet(p), known: make([]float64, len(p.workers))}
	for _, w := range p.workers {
		q.busy = append(q.busy, make([]clock.Millis, max(1, w.cpu/p.kinds[0].cpu)))
	}
	q.submitted = func(s *submission, tasks []float64) { q.place(b, s, tasks) }
	q.every(knownInterval, q.observe)
	q.run()
	return q.share()
}

// place queues the tasks of a job and counts when the last one ends.
func (q *queues) place(b baseline, s *submission, tasks []float64) {
	var end clock.Millis
	for _, work := range tasks {
		w := b.choose(q)
		slot := 0
		for i, free := range q.busy[w] {
			if free < q.busy[w][slot] {
				slot = i
			}
		}
		q.busy[w][slot] = max(q.now, q.busy[w][slot]) + clock.Millis(math.Max(1, work/q.workers[w].speed))
		end = max(end, q.busy[w][slot])
	}
	if s.counts {
		q.outcomes[s.kind.name].ended(end-s.at+callerTrip, s.objective)
	}
}

// observe takes how many slots of each worker are busy or waited for.
func (q *queues) observe() {
	for i, slots := range q.busy {
		q.known[i] = 0
		for _, free := range slots {
			q.known[i] += float64(max(0, free-q.now)) / 100
		}
	}
}
