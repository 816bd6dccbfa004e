package scheduler

import (
	"slices"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// attemptsPerOwner separates the attempts of a job's successive owners: a
	// successor's attempts are higher than those of its predecessor that it does not
	// know.
	attemptsPerOwner = 1000
	// attemptReserve is the number of attempts that an owner has left when it raises the
	// base in the job's record, so that a start seldom waits for that write.
	attemptReserve = 100
	// freeRefusals is the number of consecutive refusals of a stored task's starts after
	// which it is placed again without delay: entries compete for room.
	freeRefusals = 3
	// minRefusalDelay is the delay after one more refusal; it doubles with each. A worker
	// that refuses at once was tried about a thousand times a second.
	minRefusalDelay = 5 * clock.Millis(1)
	// maxRefusalDelay leaves several tries in the 3 s after which a task must have started.
	maxRefusalDelay = 500 * clock.Millis(1)
	// refusedCost is added to the cost of a worker that refuses a stored task's starts, in
	// ms, so that one that does not is preferred if it has room. A sidecar behind a slow
	// link reports room and refuses each start as too old. It exceeds coldCost and is below
	// suspectCost.
	refusedCost = 1e8
)

// highestAttempt returns the highest attempt of any run of the job, as far as known.
func (j *job) highestAttempt() batch.Attempt {
	highest := j.baseAttempt
	for i := range j.tasks {
		highest = max(highest, j.tasks[i].attempt, j.tasks[i].attemptFloor)
	}
	return highest
}

// recordedBase returns the base for a write of the job's record: the current one, or a
// higher one if most attempts above it are used up.
func (j *job) recordedBase() batch.Attempt {
	if highest := j.highestAttempt(); highest-j.baseAttempt >= attemptsPerOwner-attemptReserve {
		return highest
	}
	return j.baseAttempt
}

// hasAttempt reports whether a task has an attempt left that a successor will not use. If
// not, it waits for a write with a higher base.
func (s *Scheduler) hasAttempt(j *job, t *task) bool {
	return j.BestEffort || s.nextAttempt(j, t)-j.baseAttempt <= attemptsPerOwner
}

// saveBase writes the record of a stored job that has nearly used up its attempts.
func (s *Scheduler) saveBase(j *job) {
	if !j.BestEffort && j.recordedBase() != j.baseAttempt {
		s.writeProgress(j)
	}
}

// delayAfterRefusal puts off the next start of a stored task whose starts are refused one
// after the other. Those of best-effort jobs are not delayed: their attempts are not limited,
// entries compete for room all the time under overload, and 20 ms made refusals of their
// jobs late there (TestRefusalsAreSoonBesideSlowWorkers). The worker is avoided from then on.
func (t *task) delayAfterRefusal(now clock.Millis, n *node) {
	if t.refusals++; t.refusals > freeRefusals {
		if !slices.Contains(t.refusedBy, n.address) {
			t.refusedBy = append(t.refusedBy, n.address)
		}
		t.notBefore = max(t.notBefore, now+min(minRefusalDelay<<min(t.refusals-freeRefusals-1, 8), maxRefusalDelay))
	}
}

// refusalCost returns the cost of a worker for a task that comes from refused starts.
func (t *task) refusalCost(n *node) float64 {
	if slices.Contains(t.refusedBy, n.address) {
		return refusedCost
	}
	return 0
}
