package admission

// creditsPerRetry is the cost of one reassignment. An accepted task earns as
// many credits as the budget has percent.
const creditsPerRetry = 100

// retryBudget bounds reassignments to a percentage of the accepted tasks. The
// limit is set in percent of starts: a rate limiter would have to follow the
// rate of starts, and would let a failing service retry at the rate of its
// busiest hour.
type retryBudget struct {
	percent int
	credits int
	// burst is the maximum number of saved reassignments.
	burst int
}

// newRetryBudget returns a full budget, so that a service can reassign tasks
// before it has accepted many.
func newRetryBudget(burst int) retryBudget {
	return retryBudget{credits: burst * creditsPerRetry, burst: burst}
}

// credit adds the credits of accepted tasks. They stand for starts, as each of
// them starts at most once.
func (b *retryBudget) credit(tasks int) {
	b.credits = min(b.credits+tasks*b.percent, b.burst*creditsPerRetry)
}

// take spends one reassignment and reports whether the budget allowed it.
func (b *retryBudget) take() bool {
	if b.percent == 0 || b.credits < creditsPerRetry {
		return false
	}
	b.credits -= creditsPerRetry
	return true
}
