package dispatch

import (
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/runtimes"
	"github.com/teaseltide/teaseltide/internal/wire"
)

// restoreRunTimes passes the run times that a sidecar recorded under former
// owners to placement. Without them, a new owner took declared run times at
// face value: after a takeover of 1.6 s it overestimated its queue tenfold and
// refused jobs with a deadline of a minute as too late.
func (c *Core) restoreRunTimes(s *sidecar, m *wire.FenceAck) {
	for _, t := range m.GetRunTimes() {
		summary := summaryOf(t)
		if c.partitionOf(t.GetService()).id == ownership.Partition(m.GetPartition()) && summary.Valid() {
			c.placement.Restore(t.GetService(), s.worker().Name, summary)
		}
	}
}

func summaryOf(t *wire.RunTimes) runtimes.Summary {
	return runtimes.Summary{
		Runs:             t.GetRuns(),
		DeclaredRuns:     t.GetDeclared(),
		MeanRun:          t.GetMeanRun(),
		MeanDeclared:     t.GetMeanDeclared(),
		RunVariance:      t.GetRunVariance(),
		DeclaredVariance: t.GetDeclaredVariance(),
		Covariance:       t.GetCovariance(),
	}
}
