package scheduler

import "github.com/teaseltide/teaseltide/internal/batch"

// maxInterference bounds the factor that a sidecar may report, in percent, so that no
// worker is left without tasks by one of another version.
const maxInterference = 400

// interference returns the factor by which a task of a route is expected to take longer on
// a worker, or to make others take longer, because of what runs there. It raises the cost
// of the worker only: a task that no other worker can take starts there nevertheless.
func (n *node) interference(route batch.Route) float64 {
	for _, d := range n.load.GetSlowdowns() {
		if d.GetKind() == string(route) {
			return float64(max(100, min(maxInterference, d.GetPercent()))) / 100
		}
	}
	return 1
}
