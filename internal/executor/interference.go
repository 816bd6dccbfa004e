package executor

import (
	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/interference"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// InterferenceChanged reports that a pair of kinds that slow each other down on the worker
// was detected or forgotten. It asks for no action.
type InterferenceChanged struct{ interference.Change }

func (InterferenceChanged) command() {}

// observations are the active runs from which the interference on the worker is learned.
type observations struct {
	learner *interference.Learner
	runs    []observedRun
}

type observedRun struct {
	run      *run
	observed *interference.Run
}

// observeRuns passes the starts and the ends since the last tick to the learner.
func (x *Executor) observeRuns(now clock.Millis) {
	o := &x.observations
	kept := o.runs[:0]
	for _, ob := range o.runs {
		r := ob.run
		if r.phase != ended && x.runs[r.id.TaskID] == r {
			kept = append(kept, ob)
			continue
		}
		o.learner.End(now, ob.observed, r.end == batch.OutcomeDone && r.phase == ended && !r.stopping && !r.cold)
	}
	clear(o.runs[len(kept):])
	o.runs = kept
	for _, r := range x.runs {
		if r.observed || r.kind == "" || r.phase == queued || r.phase == ended || x.worker.Capacity.CPU <= 0 {
			continue
		}
		r.observed = true
		declared := r.estimatedTime
		if r.discoveredAt != 0 {
			// The start of a run that was found on the worker is not known.
			declared = 0
		}
		share := float64(r.resources.CPU) / float64(x.worker.Capacity.CPU)
		o.runs = append(o.runs, observedRun{r, o.learner.Start(now, r.kind, interference.Group(r.id.Job), declared, share)})
	}
	for _, c := range o.learner.Evaluate(now) {
		x.loadVersion++
		x.commands = append(x.commands, InterferenceChanged{c})
	}
}

// slowdowns returns the kinds that would slow down the active runs, or be slowed down by
// them, for a report; nil as long as no interference is known.
func (x *Executor) slowdowns(now clock.Millis) []*wire.KindSlowdown {
	var list []*wire.KindSlowdown
	for _, s := range x.observations.learner.Slowdowns(now) {
		list = append(list, &wire.KindSlowdown{Kind: string(s.Kind), Percent: int32(s.Factor)}) //nolint:gosec // at most 400
	}
	return list
}
