package bench

import (
	"math/rand/v2"

	"github.com/teaseltide/teaseltide/internal/placement"
	"github.com/teaseltide/teaseltide/internal/runtimes"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// baseline binds every task as soon as it is queued, to a worker chosen by
// choose. The workers queue what exceeds their slots.
type baseline struct {
	workers []placement.Worker
	index   map[placement.WorkerID]int
	bound   []int
	queue   []waiting
	choose  func(now clock.Millis) int
}

type waiting struct {
	job   placement.JobID
	tasks []placement.Task
}

var _ placement.Policy = (*baseline)(nil)

func newBaseline() *baseline {
	return &baseline{index: map[placement.WorkerID]int{}}
}

// NewRandom returns a policy that chooses each worker at random.
func NewRandom(seed uint64) placement.Policy {
	b := newBaseline()
	random := rand.New(rand.NewPCG(seed, 3))
	b.choose = func(clock.Millis) int { return random.IntN(len(b.workers)) }
	return b
}

// NewRoundRobin returns a policy that uses the workers in turn.
func NewRoundRobin() placement.Policy {
	b := newBaseline()
	next := -1
	b.choose = func(clock.Millis) int {
		next = (next + 1) % len(b.workers)
		return next
	}
	return b
}

// staleAfter is the age at which the view of the least loaded policy is
// renewed.
const staleAfter = 100 * clock.Millis(1)

// NewLeastLoaded returns a policy that uses the worker with the fewest tasks
// in a view that is renewed every 100 ms. It knows the tasks that it has sent
// since then, but not those that have ended.
func NewLeastLoaded() placement.Policy {
	b := newBaseline()
	var view []int
	var renewed clock.Millis
	next := 0
	b.choose = func(now clock.Millis) int {
		if len(view) != len(b.bound) || now-renewed >= staleAfter {
			view = append(view[:0], b.bound...)
			renewed = now
		}
		best := -1
		for k := range view {
			i := (next + k) % len(view)
			if best < 0 || view[i] < view[best] {
				best = i
			}
		}
		next = (best + 1) % len(view)
		view[best]++
		return best
	}
	return b
}

// SetWorker implements placement.Policy.
func (b *baseline) SetWorker(_ clock.Millis, w placement.Worker) {
	b.index[w.ID] = len(b.workers)
	b.workers = append(b.workers, w)
	b.bound = append(b.bound, 0)
}

// RemoveWorker implements placement.Policy; the runs remove no workers.
func (b *baseline) RemoveWorker(placement.WorkerID) {}

// SetPrefetch implements placement.Policy; the baselines bind everything at once.
func (b *baseline) SetPrefetch(map[string]int) {}

// SetShares implements placement.Policy; the baselines share nothing.
func (b *baseline) SetShares(map[string]int) {}

// Enqueue implements placement.Policy.
func (b *baseline) Enqueue(_ clock.Millis, job placement.JobID, tasks []placement.Task) {
	b.queue = append(b.queue, waiting{job: job, tasks: tasks})
}

// RemoveQueued implements placement.Policy; nothing stays queued after Plan.
func (b *baseline) RemoveQueued(placement.JobID) []placement.TaskIndex { return nil }

// RecordBound implements placement.Policy.
func (b *baseline) RecordBound(_ clock.Millis, _ placement.JobID, w placement.WorkerID, _ placement.TaskIndex) {
	b.bound[b.index[w]]++
}

// RecordOutcome implements placement.Policy.
func (b *baseline) RecordOutcome(_ clock.Millis, _ placement.JobID, w placement.WorkerID, _ placement.TaskIndex, _ placement.Outcome, _ clock.Millis) {
	b.bound[b.index[w]]--
}

// Restore implements placement.Policy; the baselines learn nothing.
func (b *baseline) Restore(string, string, runtimes.Summary) {}

// Plan implements placement.Policy.
func (b *baseline) Plan(now clock.Millis) []placement.Binding {
	var out []placement.Binding
	for _, q := range b.queue {
		first := len(out)
		at := map[int]int{}
		for _, t := range q.tasks {
			w := b.choose(now)
			b.bound[w]++
			i, ok := at[w]
			if !ok {
				i = len(out) - first
				at[w] = i
				out = append(out, placement.Binding{Job: q.job, Worker: b.workers[w].ID})
			}
			out[first+i].Tasks = append(out[first+i].Tasks, placement.BoundTask{Index: t.Index})
		}
	}
	b.queue = b.queue[:0]
	return out
}

// Fits implements placement.Policy.
func (b *baseline) Fits(string, placement.Resources) bool { return true }

// WorkerCount implements placement.Policy.
func (b *baseline) WorkerCount(string) int { return len(b.workers) }

// Estimate implements placement.Policy; the baselines know no run times.
func (b *baseline) Estimate(clock.Millis, string, []placement.Task) clock.Millis { return 0 }

// Workers implements placement.Policy.
func (b *baseline) Workers(clock.Millis) []placement.WorkerStatus { return nil }
