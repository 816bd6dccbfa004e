package processtest

import (
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/teaseltide/teaseltide/internal/fleet"
	"github.com/teaseltide/teaseltide/internal/standin/store"
)

const (
	// outage is how long the service must run under load without the store, and
	// the length of the reference period before.
	outage = 30 * time.Second
	// slowPeriod is how long the store is slow. It spans several calls of
	// slowStore and lets the 2 s leases of the entries lapse.
	slowPeriod = 15 * time.Second
	// slowStore is the delay of each call to the slow store.
	slowStore = 5 * time.Second
	// slowdownLimit is the highest ratio of the p99 of response over ideal during
	// a fault to that of the reference period, as the failure table of docs/design.md bounds it.
	slowdownLimit = 1.1
)

// timing turns on bounds on response times. They compare two periods of one run
// and hold on a machine without other load; a CI run must have the same verdict
// each time.
var timing = flag.Bool("timing", false, "check bounds on response times")

// Guards against a call to the store on the path of a job: with the store down
// or slow, jobs would be rejected, fail or take longer. It is not parallel, as
// other tests would disturb the comparison.
func TestStoreFaults(t *testing.T) {
	r := start(t, smallShape())
	r.load()
	r.extra = r.traffic.Stop()
	reference := r.steady("reference", outage)
	for _, c := range []struct {
		name   string
		faults store.Faults
		period time.Duration
	}{
		{"down", store.Faults{Down: true}, outage},
		{"slow", store.Faults{DelayMs: int(slowStore.Milliseconds())}, slowPeriod},
	} {
		r.must(r.SetFaults(r.ctx, c.faults))
		during := r.steady(c.name, c.period)
		r.must(r.SetFaults(r.ctx, store.Faults{}))
		r.ready(startLimit)
		r.extra = append(r.extra, during...)
		was, is := p99(inFirstPeriod(reference, c.period)), p99(during)
		t.Logf("p99 of response over ideal: %.2f in the %s before, %.2f with the store %s (%d jobs), ratio %.3f",
			was, c.period, is, c.name, len(during), is/was)
		if *timing && is > slowdownLimit*was {
			t.Errorf("got a p99 %.3f times that of the period before, want at most %.1f times", is/was, slowdownLimit)
		}
		// The bound on the number of jobs must not end the load early.
		if last, least := lastBegin(during), c.period-time.Second; last < least {
			t.Errorf("the last job came %s after the store went %s, want at least %s, so the case was not met", last, c.name, least)
		}
	}
	r.extra = append(r.extra, reference...)
	r.wantComplete(r.finish(), nil)
}

// steady submits the same sequence of jobs at the same times in each call, for
// a period, and returns the outcomes.
func (r *run) steady(name string, period time.Duration) []fleet.Outcome {
	r.traffic = r.newTraffic(name, 0.5)
	r.traffic.Start(r.ctx)
	time.Sleep(period)
	return r.traffic.Stop()
}

// inFirstPeriod returns the outcomes of the jobs submitted within a period from
// the first one.
func inFirstPeriod(outcomes []fleet.Outcome, period time.Duration) []fleet.Outcome {
	first := firstBegin(outcomes)
	var early []fleet.Outcome
	for _, o := range outcomes {
		if o.Begin.Sub(first) < period {
			early = append(early, o)
		}
	}
	return early
}

func firstBegin(outcomes []fleet.Outcome) time.Time {
	return slices.MinFunc(outcomes, byBegin).Begin
}

// lastBegin returns the time between the first and the last submission.
func lastBegin(outcomes []fleet.Outcome) time.Duration {
	return slices.MaxFunc(outcomes, byBegin).Begin.Sub(firstBegin(outcomes))
}

func byBegin(a, b fleet.Outcome) int {
	return a.Begin.Compare(b.Begin)
}

// p99 returns the 99th percentile of response over ideal.
func p99(outcomes []fleet.Outcome) float64 {
	over := make([]float64, 0, len(outcomes))
	for i := range outcomes {
		over = append(over, outcomes[i].OverIdeal())
	}
	slices.Sort(over)
	return over[len(over)*99/100]
}
