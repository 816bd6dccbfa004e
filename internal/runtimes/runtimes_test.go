package runtimes_test

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"github.com/teaseltide/teaseltide/internal/runtimes"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Guards against incremental averages that differ from those of the run times
// observed: a new owner would start with wrong speeds and estimates.
func TestSummaryMatchesDirectCalculation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runs := rapid.SliceOfN(rapid.Int64Range(1, 10_000), 2, runtimes.Window).Draw(t, "runs")
		var s runtimes.Summary
		var meanRun, meanDeclared float64
		declared := make([]int64, len(runs))
		for i, run := range runs {
			declared[i] = rapid.Int64Range(1, 10_000).Draw(t, "declared")
			s.Observe(clock.Millis(declared[i]), clock.Millis(run))
			meanRun += math.Log(float64(run)) / float64(len(runs))
			meanDeclared += math.Log(float64(declared[i])) / float64(len(runs))
		}
		var runVar, declaredVar, covariance float64
		for i, run := range runs {
			dy, dx := math.Log(float64(run))-meanRun, math.Log(float64(declared[i]))-meanDeclared
			runVar += dy * dy / float64(len(runs))
			declaredVar += dx * dx / float64(len(runs))
			covariance += dx * dy / float64(len(runs))
		}
		for _, c := range []struct {
			name      string
			got, want float64
		}{
			{"runs", s.Runs, float64(len(runs))},
			{"mean run", s.MeanRun, meanRun},
			{"mean declared", s.MeanDeclared, meanDeclared},
			{"run variance", s.RunVariance, runVar},
			{"declared variance", s.DeclaredVariance, declaredVar},
			{"covariance", s.Covariance, covariance},
		} {
			if math.Abs(c.got-c.want) > 1e-9 {
				t.Errorf("%s: got %v, want %v", c.name, c.got, c.want)
			}
		}
		if !s.Valid() {
			t.Error("got an invalid summary")
		}
	})
}

// Guards against values from another process that would make every estimate NaN.
func TestInvalidSummariesAreRejected(t *testing.T) {
	for _, s := range []runtimes.Summary{
		{},
		{Runs: math.NaN()},
		{Runs: 1, MeanRun: math.Inf(1)},
		{Runs: 1, RunVariance: -1},
		{Runs: 1, DeclaredRuns: 2},
		{Runs: 1e9},
	} {
		if s.Valid() {
			t.Errorf("got %+v accepted, want it rejected", s)
		}
	}
}
