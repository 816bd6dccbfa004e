package scheduler

import (
	"slices"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// maxCrashes is the number of workers that may crash under a task before its job ends
// as failed. Crashes have other causes too, and every task on the worker counts them: a
// job that harms nothing meets two within seconds where many workers crash.
const maxCrashes = 3

// crashes are the crashes of workers under runs of a task.
type crashes struct {
	// crashedAttempts holds the attempts under which a worker crashed. A crash may be
	// reported several times.
	crashedAttempts []batch.Attempt
	// storedCrashes is the number of crashedAttempts in the store, crashesInWrite that
	// in the newest write.
	storedCrashes, crashesInWrite int
	// crashedWorkers holds the workers that crashed under the task, as far as this entry
	// knows.
	crashedWorkers []Address
	// lastCrashAt is when the newest crash was reported to this entry.
	lastCrashAt clock.Millis
}

// hasUnstoredCrash reports whether a crash is not in the store. A stored task must not
// start again before it is: a successor would not count the crash.
func (c *crashes) hasUnstoredCrash() bool { return len(c.crashedAttempts) > c.storedCrashes }

func crashesFromRecord(t *wire.StoredTask) crashes {
	attempts := attemptsFromRecord(t.GetCrashedAttempts())
	return crashes{crashedAttempts: attempts, storedCrashes: len(attempts)}
}

// recordCrash counts the crash of a worker under a run. The worker's health is not
// charged with it.
func (s *Scheduler) recordCrash(n *node, j *job, t *task, id batch.RunID) {
	if t.state == taskDone || slices.Contains(t.crashedAttempts, id.Attempt) {
		return
	}
	t.crashedAttempts = append(t.crashedAttempts, id.Attempt)
	t.lastCrashAt = s.now
	if !slices.Contains(t.crashedWorkers, n.address) {
		t.crashedWorkers = append(t.crashedWorkers, n.address)
	}
	if len(t.crashedAttempts) == 1 {
		s.suspects.tasks = append(s.suspects.tasks, boundTask{j, t})
	}
	s.counters.Crashes++
	s.pendingCommands = append(s.pendingCommands, Decision{Summary: "worker crashed under run", Job: j.ID, Run: id, Sidecar: n.address, Value: int64(len(t.crashedAttempts))})
}

// recordCrashOfAbandoned counts the crash of a worker under a run of a best-effort job
// that was abandoned, in case the job is submitted again.
func (s *Scheduler) recordCrashOfAbandoned(id batch.RunID) {
	a, ok := s.abandonedAfterStart[id.Job]
	if !ok || slices.Contains(a.crashedAttempts[id.TaskID], id.Attempt) {
		return
	}
	s.counters.Crashes++
	a.crashedAttempts[id.TaskID] = append(a.crashedAttempts[id.TaskID], id.Attempt)
}

// crashedAttempts returns the attempts of each task under which a worker crashed.
func (j *job) crashedAttempts() map[batch.TaskID][]batch.Attempt {
	attempts := make(map[batch.TaskID][]batch.Attempt)
	for i := range j.tasks {
		if t := &j.tasks[i]; len(t.crashedAttempts) > 0 {
			attempts[j.runID(t).TaskID] = t.crashedAttempts
		}
	}
	return attempts
}

// restoreCrashes sets the crashes of an earlier submission of a best-effort job and
// reports whether there were any.
func (j *job) restoreCrashes(a abandonedJob) bool {
	for i := range j.tasks {
		t := &j.tasks[i]
		t.crashedAttempts = slices.Clone(a.crashedAttempts[j.runID(t).TaskID])
	}
	return len(a.crashedAttempts) > 0
}

// saveCrashes writes the progress of a stored job with an unstored crash. It does not
// wait for progressDelay because the task waits for the write.
func (s *Scheduler) saveCrashes(j *job) {
	if j.BestEffort {
		return
	}
	for i := range j.tasks {
		if j.tasks[i].hasUnstoredCrash() {
			s.writeProgress(j)
			return
		}
	}
}

// markCrashesStored records that the crashes of the newest write are in the store.
func (j *job) markCrashesStored() {
	for i := range j.tasks {
		j.tasks[i].storedCrashes = j.tasks[i].crashesInWrite
	}
}
