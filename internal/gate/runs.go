package gate

import (
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/runtimes"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// observeRun adds the run time of a task that succeeded. A new owner learns
// from the summary how long the service's tasks take on this worker.
func (g *Gate) observeRun(service string, t *task) {
	s := g.runSummaries.Get(service)
	if s == nil {
		s = &runtimes.Summary{}
		g.runSummaries.Put(service, s)
	}
	s.Observe(clock.Millis(t.declaredMs), t.runTime)
}

// runTimes returns the summaries of the services of a partition.
func (g *Gate) runTimes(p ownership.Partition) []*wire.RunTimes {
	var out []*wire.RunTimes
	for name, s := range g.runSummaries.All() {
		if ownership.PartitionOf(name) == p {
			out = append(out, runTimesOf(name, s))
		}
	}
	return out
}

func runTimesOf(service string, s *runtimes.Summary) *wire.RunTimes {
	return &wire.RunTimes{
		Service:          service,
		Runs:             s.Runs,
		Declared:         s.DeclaredRuns,
		MeanRun:          s.MeanRun,
		MeanDeclared:     s.MeanDeclared,
		RunVariance:      s.RunVariance,
		DeclaredVariance: s.DeclaredVariance,
		Covariance:       s.Covariance,
	}
}
