// Package runtimes summarizes the run times of tasks, so that what an owner has
// learned of a service's workers survives the owner: each sidecar summarizes
// what ran beside it and tells the next owner. It does no I/O.
package runtimes

import (
	"math"

	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Window is the number of run times that a summary averages, so that it follows
// changes of a worker or of its load.
const Window = 400

// Summary describes the run times of a service's tasks on one worker, and how
// they depend on the declared ones. Means and deviations are those of natural
// logarithms of milliseconds. The zero value has no run times.
type Summary struct {
	// Runs is the number of run times that the averages weigh, at most Window.
	// DeclaredRuns is that of the run times with a declared one.
	Runs, DeclaredRuns float64
	// MeanRun is the mean of all run times, MeanDeclared that of the declared
	// ones.
	MeanRun, MeanDeclared float64
	// RunVariance is that of all run times, DeclaredVariance that of the
	// declared ones, and Covariance that of both.
	RunVariance, DeclaredVariance, Covariance float64
}

// Observe adds a run time of at least 1 ms and the declared one, which is 0 if
// the caller declared none.
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
	rest := 1 - 1/s.DeclaredRuns
	s.DeclaredVariance += (dx*dx*rest - s.DeclaredVariance) / s.DeclaredRuns
	s.Covariance += (dx*(y-s.MeanRun) - s.Covariance) / s.DeclaredRuns
}

// Valid tells whether the figures can be used: a summary from another process
// could hold any number.
func (s *Summary) Valid() bool {
	for _, v := range []float64{s.Runs, s.DeclaredRuns, s.MeanRun, s.MeanDeclared, s.RunVariance, s.DeclaredVariance, s.Covariance} {
		if math.IsNaN(v) || math.Abs(v) > Window {
			return false
		}
	}
	return s.Runs >= 1 && s.DeclaredRuns >= 0 && s.DeclaredRuns <= s.Runs && s.RunVariance >= 0 && s.DeclaredVariance >= 0
}
