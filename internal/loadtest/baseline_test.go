package loadtest

import (
	"math"

	"github.com/teaseltide/teaseltide/pkg/clock"
)

// baseline is a common policy for choosing the worker of a task. Tasks are sent to
// the worker at once and queue there in FIFO order.
type baseline struct {
	name   string
	choose func(f *queueModel) int
}

var baselines = []baseline{
	{"random", func(q *queueModel) int { return q.rand.IntN(len(q.slotsFreeAt)) }},
	{"round robin", func(q *queueModel) int { q.nextWorker++; return q.nextWorker % len(q.slotsFreeAt) }},
	{"least loaded", func(q *queueModel) int {
		best := 0
		for i := range q.knownLoads {
			if q.knownLoads[i]*float64(q.workers[best].cpu) < q.knownLoads[best]*float64(q.workers[i].cpu) {
				best = i
			}
		}
		q.knownLoads[best]++
		return best
	}},
}

// loadReportInterval is the time between two load reports of a worker, and so the
// maximum age of the loads that the "least loaded" policy uses.
const loadReportInterval = 25 * clock.Millis(1)

// queueModel models workers with a queue each.
type queueModel struct {
	*fleet
	nextWorker int
	// slotsFreeAt holds the time at which each slot of each worker becomes free.
	slotsFreeAt [][]clock.Millis
	// knownLoads holds the last reported load of each worker, plus one for each task
	// placed since, under the "least loaded" policy.
	knownLoads []float64
}

// runBaseline runs a workload with a baseline policy at one entry instead of the
// decision cores, and returns the value share.
func runBaseline(p workload, b baseline) float64 {
	q := &queueModel{fleet: newFleet(p), knownLoads: make([]float64, len(p.workers))}
	for _, w := range p.workers {
		q.slotsFreeAt = append(q.slotsFreeAt, make([]clock.Millis, max(1, w.cpu/p.kinds[0].cpu)))
	}
	q.submitHook = func(s *submission, tasks []float64) { q.enqueue(b, s, tasks) }
	q.every(loadReportInterval, q.updateKnownLoads)
	q.run()
	return q.valueShare()
}

// enqueue queues the tasks of a job and records when the last one ends.
func (q *queueModel) enqueue(b baseline, s *submission, tasks []float64) {
	var end clock.Millis
	for _, work := range tasks {
		w := b.choose(q)
		slot := 0
		for i, free := range q.slotsFreeAt[w] {
			if free < q.slotsFreeAt[w][slot] {
				slot = i
			}
		}
		q.slotsFreeAt[w][slot] = max(q.now, q.slotsFreeAt[w][slot]) + clock.Millis(math.Max(1, work/q.workers[w].speed))
		end = max(end, q.slotsFreeAt[w][slot])
	}
	if s.counted {
		q.outcomes[s.kind.name].recordCompletion(end-s.submittedAt+callerRoundTrip, s.objective)
	}
}

// updateKnownLoads sets the load of each worker to the remaining time of its slots,
// including queued tasks, in units of 100 ms.
func (q *queueModel) updateKnownLoads() {
	for i, slots := range q.slotsFreeAt {
		q.knownLoads[i] = 0
		for _, free := range slots {
			q.knownLoads[i] += float64(max(0, free-q.now)) / 100
		}
	}
}
