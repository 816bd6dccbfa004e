package dispatch

import (
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/caller"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Explanation is the state of a job without its results, and the decisions
// that led to it, for operators.
type Explanation struct {
	caller.Answer
	Decisions []Decision `json:"decisions"`
}

// Decision is a recorded step of a job at its owner. At is Unix time in ms.
type Decision struct {
	At     clock.Millis `json:"at-ms"`
	Step   string       `json:"step"`
	Detail string       `json:"detail,omitempty"`
}

// ExplanationOf converts the answer to a FetchRequest with Explain.
func ExplanationOf(a *wire.Answer) *Explanation {
	e := &Explanation{Answer: *caller.AnswerOf(a)}
	e.Results = nil
	for _, d := range a.GetDecisions() {
		e.Decisions = append(e.Decisions, Decision{At: clock.Millis(d.GetAtMs()), Step: d.GetStep(), Detail: d.GetDetail()})
	}
	return e
}

// Detail returns the detail of the first decision with this step, or "".
func (e *Explanation) Detail(step string) string {
	for _, d := range e.Decisions {
		if d.Step == step {
			return d.Detail
		}
	}
	return ""
}
