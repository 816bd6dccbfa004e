package scheduler

import (
	"slices"

	"github.com/teaseltide/teaseltide/internal/batch"
)

// rackFactor returns the factor of the run time of a step's tasks on a worker: that of
// Settings outside the rack of their data, else 1.
func (n *node) rackFactor(step *batch.Step) float64 {
	if step.DataRack == "" || n.load == nil || slices.Contains(n.load.GetLabels(), step.DataRack) {
		return 1
	}
	return n.remoteFactor
}
