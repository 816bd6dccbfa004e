package proptest

import (
	"fmt"
	"testing"
)

const (
	// busyJobs is the number of jobs of a schedule, enough to keep some queued for
	// slots at any time, so that cancellations reach jobs before their first start.
	busyJobs = 80
	// busySchedules is the number of schedules in each part.
	busySchedules = 60
)

// withdrawalFaults are waves of cancellations with faults that lose messages, owners
// and the sidecars that hold claims.
var withdrawalFaults = []string{
	"cancel-wave", "cancel-wave", "cancel-wave", "cancel-wave", "kill-entry", "pause-entry", "drain-entry",
	"kill-sidecar", "pause-sidecar", "leave-sidecar", "cut", "close", "silent-one-way", "lapse-lease",
}

func runBusy(seed uint64, m mutant) *world {
	w := newWorld(seed)
	w.mutant = m
	w.jobCount = busyJobs
	faults := randomFaults(seed, withdrawalFaults)
	w.run(append(faults, randomFaults(seed+1<<32, withdrawalFaults)...))
	return w
}

// TestWithdrawnJobsNeverStart guards against a start of a job after a request was
// answered that it was cancelled and did not run: by the same owner for a later
// submission, or by a later owner without a record of the cancellation.
func TestWithdrawnJobsNeverStart(t *testing.T) {
	for part := range uint64(8) {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			t.Parallel()
			cancelled, withdrawn, repeated := 0, 0, 0
			for i := range uint64(busySchedules) {
				seed := part*busySchedules + i
				w := runBusy(seed, 0)
				if len(w.violations) > 0 {
					t.Errorf("got violations %v in schedule %d, want none", w.violations, seed)
				}
				for _, j := range w.callers.jobs {
					if j.cancelled {
						cancelled++
					}
					if j.withdrawn {
						withdrawn++
					}
				}
				repeated += w.callers.repeatedNotRun
			}
			t.Logf("%d cancelled jobs, %d of them answered as not run, %d later requests answered the same", cancelled, withdrawn, repeated)
			if withdrawn < busySchedules || repeated < busySchedules/4 {
				t.Errorf("got %d withdrawn jobs and %d later answers, too few to test the case", withdrawn, repeated)
			}
		})
	}
}

// TestWithdrawalMutantIsFound guards against schedules that would pass without the
// withdrawn mark at the sidecars, as TestMutantsAreFound does for the other rules.
func TestWithdrawalMutantIsFound(t *testing.T) {
	const maxSchedules = 300
	for seed := range uint64(maxSchedules) {
		got := runBusy(seed, lostWithdrawal).violations
		if len(got) == 0 {
			continue
		}
		t.Logf("schedule %d: %s", seed, got[0])
		if got := runBusy(seed, 0).violations; len(got) > 0 {
			t.Errorf("got violations %v in schedule %d with the rule in place, want none", got, seed)
		}
		return
	}
	t.Errorf("got no violation in %d schedules, want one", maxSchedules)
}
