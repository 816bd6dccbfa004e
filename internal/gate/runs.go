package gate

import (
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/runtimes"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// observeRun adds the run time of a task that succeeded. Owners come and go;
// the next one learns from this what the service's tasks take on this worker.
func (g *Gate) observeRun(service string, t *task) {
	s := g.runs.Get(service)
	if s == nil {
		s = &runtimes.Summary{}
		g.runs.Put(service, s)
	}
	s.Observe(clock.Millis(t.declaredMs), t.run)
}

// runTimes returns the summaries of the services of a partition.
func (g *Gate) runTimes(p ownership.Partition) []*wire.RunTimes {
	var out []*wire.RunTimes
	for name, s := range g.runs.All() {
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
