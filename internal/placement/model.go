package placement

import (
	"math"

	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Constants of the run-time model. All logarithms are natural.
const (
	// priorRunMillis is the run time assumed for a service without observations;
	// the middle of the usual 50 ms to 1 s.
	priorRunMillis = 250.0
	// priorWeight is the number of observations that the prior is worth. It is
	// small because declared times are often wrong by a factor of 10.
	priorWeight = 3.0
	// priorSlope is the slope before run times are observed. Errors of declared
	// times that are symmetric on a logarithmic scale raise the mean: with a
	// slope of 1, a new fleet overestimated its queue several times over and
	// refused jobs that it could finish.
	priorSlope = 0.5
	// modelWindow and speedWindow are the most observations that an estimate
	// averages, so that it follows changes.
	modelWindow = 2000.0
	speedWindow = 400.0
	// speedPrior is the weight, in observations, of the service's mean in a
	// worker's speed.
	speedPrior = 4.0
	// maxLogError bounds the effect of one straggler on the estimates.
	maxLogError = 2.5
)

// model estimates the run time of a service's tasks on an average worker by a
// regression of the logarithm of the run time on that of the declared time.
// The slope measures how well the declared time predicts the run time.
type model struct {
	weight       float64
	meanRun      float64
	meanDeclared float64
	// Averages of squares and products of the deviations from the means.
	declaredVar float64
	covariance  float64
	// errorVar is the variance of the logarithmic error.
	errorVar float64
}

// speed is the learned logarithm of a worker's run time relative to the
// average worker of a service.
type speed struct {
	logFactor    float64
	observations float64
}

func newModel() model {
	return model{
		weight:       priorWeight,
		meanRun:      math.Log(priorRunMillis),
		meanDeclared: math.Log(priorRunMillis),
		declaredVar:  1,
		covariance:   priorSlope,
		errorVar:     0.5,
	}
}

// slope returns the expected deviation of the logarithmic run time per unit of
// deviation of the logarithmic declared time, from 0 to 1.
func (m *model) slope() float64 {
	return min(max(m.covariance/(m.declaredVar+1e-6), 0), 1)
}

// expectedLogRun returns the expected logarithm of the run time on an average
// worker.
func (m *model) expectedLogRun(declared clock.Millis) float64 {
	if declared <= 0 {
		return m.meanRun
	}
	return m.meanRun + m.slope()*(math.Log(float64(declared))-m.meanDeclared)
}

// expectedRun returns the expected run time on an average worker in milliseconds.
func (m *model) expectedRun(declared clock.Millis) float64 {
	return math.Exp(m.expectedLogRun(declared) + min(m.errorVar, 2)/2)
}

// observe updates the model and the speed of a worker with a run time on it.
func (m *model) observe(declared, run clock.Millis, s *speed) {
	y := math.Log(float64(max(run, 1)))
	e := y - m.expectedLogRun(declared) - s.logFactor
	e = min(max(e, -maxLogError), maxLogError)
	y = m.expectedLogRun(declared) + s.logFactor + e

	s.observations++
	adjusted := y - s.logFactor
	s.logFactor += max(1/(s.observations+speedPrior), 1/speedWindow) * e

	m.weight++
	step := max(1/m.weight, 1/modelWindow)
	m.errorVar += step * (e*e - m.errorVar)
	dy := adjusted - m.meanRun
	m.meanRun += step * dy
	if declared <= 0 {
		return
	}
	dx := math.Log(float64(declared)) - m.meanDeclared
	m.meanDeclared += step * dx
	m.declaredVar += step * (dx*dx - m.declaredVar)
	m.covariance += step * (dx*dy - m.covariance)
}

// expectedMax returns the expected largest of n run times relative to the
// expected run time of each, by Blom's approximation of normal order statistics.
func (m *model) expectedMax(n int) float64 {
	p := (float64(n) - 0.375) / (float64(n) + 0.25)
	return m.quantile(math.Sqrt2 * math.Erfinv(2*p-1))
}

// quantile returns the run time that lies z standard deviations above the
// expected one, relative to it.
func (m *model) quantile(z float64) float64 {
	return math.Exp(z * math.Sqrt(min(m.errorVar, 2)))
}
