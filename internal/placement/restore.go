package placement

import "github.com/teaseltide/teaseltide/internal/runtimes"

// restoredRuns summarizes a worker's run times under other owners.
type restoredRuns struct {
	worker string
	runtimes.Summary
}

// addRestored records run times observed under other owners, unless this planner
// has observed more on that worker. The runs of all workers are adopted together
// when an estimate is needed, because the speed of one worker is relative to the
// others.
func (s *service) addRestored(worker string, runs runtimes.Summary) {
	if v := s.speeds[worker]; v != nil && min(v.observations, runtimes.Window) > runs.Runs {
		return
	}
	s.restored = append(s.restored, restoredRuns{worker: worker, Summary: runs})
}

// adoptRestored includes the restored runs in the estimates. If they are at least
// as many as the model has observed, they replace the model; otherwise they only
// set the speeds of their workers.
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
		v.observations = r.Runs
		v.logFactor = (r.MeanRun - s.model.expectedLogMean(&r.Summary)) * r.Runs / (r.Runs + speedPrior)
	}
	s.restored = nil
	for _, l := range s.links {
		l.reindex()
	}
}

// expectedLogMean returns the logarithm of the mean run time expected on an average
// worker for tasks with the declared times of a summary.
func (m *model) expectedLogMean(r *runtimes.Summary) float64 {
	if r.DeclaredRuns == 0 {
		return m.meanRun
	}
	return m.meanRun + m.slope()*(r.MeanDeclared-m.meanDeclared)*r.DeclaredRuns/r.Runs
}

// restoredModel returns a model fitted to the restored runs, and their number, at
// most modelWindow. The slope is fitted to the deviations within each worker,
// because between workers the run times also differ by speed.
func (s *service) restoredModel() (m model, weight float64) {
	summaries := s.restored
	m = newModel()
	// The prior counts as priorWeight runs.
	var declared float64
	meanDeclared := m.meanDeclared * priorWeight
	declaredVar := m.declaredVar * priorWeight
	covariance := m.covariance * priorWeight
	for i := range summaries {
		r := &summaries[i]
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
	for i := range summaries {
		r := &summaries[i]
		atMean := r.MeanRun
		if r.DeclaredRuns > 0 {
			atMean -= slope * (r.MeanDeclared - m.meanDeclared) * r.DeclaredRuns / r.Runs
		}
		if v := s.speeds[r.worker]; v != nil {
			// Speeds are relative to the model, including those not restored.
			atMean -= v.logFactor
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
