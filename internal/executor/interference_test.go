package executor_test

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/executor"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// runKinds runs rounds of one scan each, with an export and a backup beside it half of the
// time. It returns the changes and the slowdowns of the last report with any.
func (h *harness) runKinds(rounds int, factor float64) (changes []executor.InterferenceChanged, last []*wire.KindSlowdown) {
	random := rand.New(rand.NewPCG(1, 1))
	for round := range rounds {
		type active struct {
			id   batch.RunID
			took clock.Millis
		}
		var runs []active
		var orders []*wire.TaskStart
		add := func(kind string, took clock.Millis) {
			id := runID(kind + strconv.Itoa(round))
			s := start(id, 2000, true)
			s.Kind, s.EstimatedMs = kind, 50
			orders, runs = append(orders, s), append(runs, active{id, took})
		}
		took := float64(40 + random.IntN(20))
		if random.IntN(2) == 0 {
			add("export", 120)
			took *= factor
		}
		if random.IntN(2) == 0 {
			add("backup", 120)
		}
		add("scan", clock.Millis(took))
		h.x.OrdersReceived(h.now, entryA, h.orders(orders...))
		h.tick()
		for _, r := range runs {
			h.x.StartAnswered(h.now, r.id, firstToken, executor.StartAccepted)
		}
		slices.SortFunc(runs, func(a, b active) int { return int(a.took - b.took) })
		began := h.now
		for i, r := range runs {
			h.now = began + r.took
			h.sequence++
			var running []executor.ListedRun
			for _, other := range runs[i+1:] {
				running = append(running, executor.ListedRun{Run: other.id, Percent: i + 1})
			}
			h.list(firstToken, 1, running, []executor.ListedEnd{{Sequence: h.sequence, Run: r.id, End: batch.OutcomeDone}})
			stored := h.orders()
			stored.Stored = []*wire.TaskRun{r.id.Wire()}
			h.x.OrdersReceived(h.now, entryA, stored)
			h.tick()
		}
		h.advance(20)
		for _, c := range h.take() {
			switch c := c.(type) {
			case executor.InterferenceChanged:
				changes = append(changes, c)
			case executor.Report:
				if s := c.Report.GetLoad().GetSlowdowns(); len(s) > 0 {
					last = s
				}
			}
		}
	}
	return changes, last
}

// Guards against starts and ends that do not reach the learner, and slowdowns that do not
// reach the entries.
func TestInterferenceIsReported(t *testing.T) {
	h := newHarness(t)
	changes, reported := h.runKinds(600, 2)
	if len(changes) != 1 || changes[0].Pair.Slowed != "scan" || changes[0].Pair.By != "export" || !changes[0].Detected {
		t.Errorf("changes: got %+v, want scan beside export detected", changes)
	}
	if len(reported) == 0 || reported[0].GetPercent() < 150 {
		t.Errorf("reported slowdowns: got %v, want a factor of about 200", reported)
	}
}

// Guards against reports of interference where there is none.
func TestNoInterferenceIsReported(t *testing.T) {
	h := newHarness(t)
	if changes, reported := h.runKinds(600, 1); len(changes)+len(reported) > 0 {
		t.Errorf("got changes %+v and slowdowns %v, want none", changes, reported)
	}
}
