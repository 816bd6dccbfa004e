package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/teaseltide/teaseltide/internal/runtimes"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	restoredService = "quoting"
	// maxDeclaredOnSlow is the longest declared run time, in milliseconds, of the
	// tasks that slow workers run.
	maxDeclaredOnSlow = 200
)

// summariesOfFleet returns the summaries of workers with these factors. Run times
// are from 50 ms to 1 s at factor 1, declared times are wrong by a factor of up to
// 10, and tasks with long declared times run on the fast workers, as placement
// assigns them.
func summariesOfFleet(factors []float64, runs int) []runtimes.Summary {
	random := rand.New(rand.NewPCG(1, 2))
	out := make([]runtimes.Summary, len(factors))
	for i, f := range factors {
		for range runs {
			work, declared := 0.0, math.Inf(1)
			for f > 1 && declared > maxDeclaredOnSlow || work == 0 {
				work = 50 * math.Pow(20, random.Float64())
				declared = work * math.Pow(10, 2*random.Float64()-1)
			}
			out[i].Observe(clock.Millis(declared), clock.Millis(work*f))
		}
	}
	return out
}

func restoredPlanner(factors []float64, all []runtimes.Summary) *Planner {
	p := New(Config{})
	for i := range factors {
		name := fmt.Sprint("w", i)
		p.SetWorker(0, Worker{ID: WorkerID(name), Name: name, Services: []string{restoredService}, Slots: 8})
	}
	for i := range all {
		p.Restore(restoredService, fmt.Sprint("w", i), all[i])
	}
	return p
}

// Guards against restored speeds that mistake long tasks for a slow worker, and
// against estimates that still assume exact declared times.
func TestRestoredModel(t *testing.T) {
	factors := []float64{0.5, 0.7, 1, 1.4, 2}
	p := restoredPlanner(factors, summariesOfFleet(factors, runtimes.Window))
	s := p.service(restoredService)
	s.adoptRestored()
	for i := range factors[1:] {
		got := math.Exp(s.links[i+1].speed.logFactor - s.links[i].speed.logFactor)
		want := factors[i+1] / factors[i]
		if got < want/1.25 || got > want*1.25 {
			t.Errorf("workers %d and %d: got a ratio of %.2f, want about %.2f", i, i+1, got, want)
		}
	}
	// Normalize to a worker of factor 1; the model is relative to its average worker.
	level := math.Exp(s.links[2].speed.logFactor)
	got := s.model.expectedRun(0) * level
	if got < 100 || got > 500 {
		t.Errorf("got %.0f ms for a task without a declared time, want 100 to 500", got)
	}
	ratio := s.model.expectedRun(5000) / s.model.expectedRun(500)
	if ratio > 4 {
		t.Errorf("got a ratio of %.1f for declared times that differ by 10, want at most 4", ratio)
	}
}

// Guards against summaries of fewer runs than this planner has observed, such as
// those of restarted sidecars, that replace its estimates.
func TestRestoreIgnoresSummaryOfFewerRuns(t *testing.T) {
	factors := []float64{0.5, 2}
	all := summariesOfFleet(factors, runtimes.Window)
	p := restoredPlanner(factors, all)
	s := p.service(restoredService)
	s.adoptRestored()
	model, slow := s.model, *s.links[1].speed
	var few runtimes.Summary
	few.Observe(100, 1)
	p.Restore(restoredService, "w1", few)
	s.adoptRestored()
	if s.model != model || *s.links[1].speed != slow {
		t.Errorf("got model %+v and speed %+v, want %+v and %+v", s.model, *s.links[1].speed, model, slow)
	}
}

// Guards against a wrong speed of a worker whose summary arrives after the others
// have been adopted: it must fit the model that they determined.
func TestLateRestore(t *testing.T) {
	factors := []float64{0.5, 0.7, 1, 1.4, 2}
	all := summariesOfFleet(factors, runtimes.Window)
	together := restoredPlanner(factors, all)
	late := restoredPlanner(factors, all[:4])
	late.service(restoredService).adoptRestored()
	late.Restore(restoredService, "w4", all[4])
	ratio := func(p *Planner) float64 {
		s := p.service(restoredService)
		s.adoptRestored()
		return math.Exp(s.links[4].speed.logFactor - s.links[0].speed.logFactor)
	}
	if got, want := ratio(late), ratio(together); got < want/1.15 || got > want*1.15 {
		t.Errorf("got a ratio of %.2f to the fastest worker, want about %.2f", got, want)
	}
}
