// Package runtimes summarizes the run times of tasks, so that a new owner need
// not learn the speeds of a service's workers again: each sidecar summarizes the
// runs on its worker and sends the summary to the next owner. It does no I/O.
package runtimes

import (
	"math"

	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Window is the largest number of run times in an average of a summary. It is
// bounded so that the summary follows changes of a worker or of its load.
const Window = 400

// Summary describes the run times of a service's tasks on one worker and their
// dependence on the declared run times. Means, variances and the covariance are
// those of natural logarithms of milliseconds. The zero value has no run times.
type Summary struct {
	// Runs is the number of run times in the averages, at most Window.
	// DeclaredRuns is the number of those with a declared run time.
	Runs, DeclaredRuns float64
	// MeanRun is the mean of all run times, MeanDeclared that of the declared run
	// times.
	MeanRun, MeanDeclared float64
	// RunVariance is the variance of all run times, DeclaredVariance that of the
	// declared run times, and Covariance the covariance of both.
	RunVariance, DeclaredVariance, Covariance float64
}

// Observe adds a run time, which counts as at least 1 ms, and the declared run
// time, which is 0 if the caller declared none.
func (s *Summary) Observe(declared, run clock.Millis) {
	y := math.Log(float64(max(run, 1)))
	s.Runs = min(s.Runs+1, Window)
	dy := y - s.MeanRun
	s.MeanRun += dy / s.Runs
	s.RunVariance += (dy*(y-s.MeanRun) - s.RunVariance) / s.Runs
	if declared <= 0 {
		return
	}
	s.DeclaredRuns = min(s.DeclaredRuns+1, Window)
	dx := math.Log(float64(declared)) - s.MeanDeclared
	s.MeanDeclared += dx / s.DeclaredRuns
	previousWeight := 1 - 1/s.DeclaredRuns
	s.DeclaredVariance += (dx*dx*previousWeight - s.DeclaredVariance) / s.DeclaredRuns
	s.Covariance += (dx*(y-s.MeanRun) - s.Covariance) / s.DeclaredRuns
}

// Valid reports whether the values are finite and plausible: a summary from
// another process could hold any number.
func (s *Summary) Valid() bool {
	for _, v := range []float64{s.Runs, s.DeclaredRuns, s.MeanRun, s.MeanDeclared, s.RunVariance, s.DeclaredVariance, s.Covariance} {
		if math.IsNaN(v) || math.Abs(v) > Window {
			return false
		}
	}
	return s.Runs >= 1 && s.DeclaredRuns >= 0 && s.DeclaredRuns <= s.Runs && s.RunVariance >= 0 && s.DeclaredVariance >= 0
}
