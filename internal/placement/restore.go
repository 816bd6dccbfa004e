package placement

import "github.com/teaseltide/teaseltide/internal/runtimes"

// restoredRuns is what a worker has run under other owners.
type restoredRuns struct {
	worker string
	runtimes.Summary
}

// restore notes what a worker has run under other owners. The runs of all
// workers are adopted together when an estimate is needed, because the speed of
// one worker is relative to the others.
func (s *service) restore(worker string, runs runtimes.Summary) {
	if v := s.speeds[worker]; v != nil && min(v.n, runtimes.Window) > runs.Runs {
		return
	}
	s.restored = append(s.restored, restoredRuns{worker: worker, Summary: runs})
}

// adoptRestored learns from the restored runs. If they are more than the model
// has seen, they replace it; otherwise they only tell the speeds of their
// workers.
func (s *service) adoptRestored() {
	if len(s.restored) == 0 {
		return
	}
	if m, weight := s.restoredModel(); weight >= min(s.model.weight-priorWeight, modelWindow) {
		s.model = m
	}
	for i := range s.restored {
		r := &s.restored[i]
		v := s.speed(r.worker)
		v.n = r.Runs
		v.log = (r.MeanRun - s.model.logMean(&r.Summary)) * r.Runs / (r.Runs + speedPrior)
	}
	s.restored = nil
	for _, l := range s.links {
		l.update()
	}
}

// logMean returns the logarithm of the mean run time expected on an average
// worker for tasks with the declared times of a summary.
func (m *model) logMean(r *runtimes.Summary) float64 {
	if r.DeclaredRuns == 0 {
		return m.meanRun
	}
	return m.meanRun + m.slope()*(r.MeanDeclared-m.meanDeclared)*r.DeclaredRuns/r.Runs
}

// restoredModel returns the model that follows from the restored runs, and their
// number, at most modelWindow. The slope comes from the deviations within each
// worker: between workers the run times differ by the speeds as well.
func (s *service) restoredModel() (m model, weight float64) {
	all := s.restored
	m = newModel()
	// The prior counts as priorWeight runs.
	var declared float64
	meanDeclared := m.meanDeclared * priorWeight
	declaredVar := m.declaredVar * priorWeight
	covariance := m.covariance * priorWeight
	for i := range all {
		r := &all[i]
		weight += r.Runs
		declared += r.DeclaredRuns
		meanDeclared += r.MeanDeclared * r.DeclaredRuns
		declaredVar += r.DeclaredVariance * r.DeclaredRuns
		covariance += r.Covariance * r.DeclaredRuns
	}
	m.meanDeclared = meanDeclared / (declared + priorWeight)
	m.declaredVar = declaredVar / (declared + priorWeight)
	m.covariance = covariance / (declared + priorWeight)

	slope := m.slope()
	meanRun := m.meanRun * priorWeight
	errorVar := m.errorVar * priorWeight
	for i := range all {
		r := &all[i]
		atMean := r.MeanRun
		if r.DeclaredRuns > 0 {
			atMean -= slope * (r.MeanDeclared - m.meanDeclared) * r.DeclaredRuns / r.Runs
		}
		if v := s.speeds[r.worker]; v != nil {
			// Speeds are relative to the model, also those that are not restored.
			atMean -= v.log
		}
		meanRun += atMean * r.Runs
		explained := (2*slope*r.Covariance - slope*slope*r.DeclaredVariance) * r.DeclaredRuns
		errorVar += max(r.RunVariance*r.Runs-explained, 0)
	}
	m.meanRun = meanRun / (weight + priorWeight)
	m.errorVar = errorVar / (weight + priorWeight)
	m.weight = min(weight, modelWindow) + priorWeight
	return m, min(weight, modelWindow)
}
