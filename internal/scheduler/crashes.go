package scheduler

import (
	"slices"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// maxCrashes is the number of workers that may crash under a task of a best-effort
	// job before the job ends as failed. Crashes have other causes too, and every task on
	// the worker counts them: a job that harms nothing meets two within seconds where many
	// workers crash. A stored job fails by failed runs only.
	maxCrashes = 3
	// minCrashPause is the pause of a stored task after its second crash; it doubles with
	// each further one up to maxCrashPause. The first crash is mostly that of another
	// task, so that there is none.
	minCrashPause = 250 * clock.Millis(1)
	// maxCrashPause and isolationTime together are below the 3 s after which a task must
	// have started.
	maxCrashPause = 2 * clock.Second
	// isolationTime is how long after its pause a stored task still waits for a worker
	// of its own.
	isolationTime = 500 * clock.Millis(1)
	// maxCrashWriteWait is how long a stored task waits for the write of its crash: with
	// it, a successor keeps to the pause. The store may fail for longer.
	maxCrashWriteWait = 1 * clock.Second
	// maxCrashRecords bounds the attempts in crashedAttempts. It exceeds the number of
	// crashes with different pauses, and no more reports than one are open for a task.
	maxCrashRecords = 16
)

// crashes are the crashes of workers under runs of a task.
type crashes struct {
	// crashedAttempts holds the newest attempts under which a worker crashed. A crash may
	// be reported several times.
	crashedAttempts []batch.Attempt
	// crashCount is the number of crashes, storedCrashes that in the store,
	// crashesInWrite that in the newest write.
	crashCount, storedCrashes, crashesInWrite int
	// crashedWorkers holds the workers that crashed under the task, as far as this entry
	// knows.
	crashedWorkers []Address
	// lastCrashAt is when the newest crash was reported to this entry.
	lastCrashAt clock.Millis
}

// hasUnstoredCrash reports whether a crash is not in the store.
func (c *crashes) hasUnstoredCrash() bool { return c.crashCount > c.storedCrashes }

// mayStartAfterCrash reports whether the pause of a stored task is over and its newest
// crash is in the store, for which it waits briefly.
func (c *crashes) mayStartAfterCrash(now clock.Millis) bool {
	sinceCrash := now - c.lastCrashAt
	return sinceCrash >= c.pause() && (!c.hasUnstoredCrash() || sinceCrash >= maxCrashWriteWait)
}

// pause is how long a stored task waits after its newest crash.
func (c *crashes) pause() clock.Millis {
	if c.crashCount < 2 {
		return 0
	}
	return min(minCrashPause<<min(c.crashCount-2, 8), maxCrashPause)
}

// hasCounted reports whether the crash under an attempt was counted, or is older than
// those that are kept.
func (c *crashes) hasCounted(a batch.Attempt) bool {
	return slices.Contains(c.crashedAttempts, a) || len(c.crashedAttempts) == maxCrashRecords && a < slices.Min(c.crashedAttempts)
}

// count counts the crash under an attempt.
func (c *crashes) count(now clock.Millis, a batch.Attempt) {
	c.crashCount++
	c.crashedAttempts = append(c.crashedAttempts, a)
	if len(c.crashedAttempts) > maxCrashRecords {
		oldest := slices.Index(c.crashedAttempts, slices.Min(c.crashedAttempts))
		c.crashedAttempts = slices.Delete(c.crashedAttempts, oldest, oldest+1)
	}
	c.lastCrashAt = now
}

func crashesFromRecord(t *wire.StoredTask) crashes {
	attempts := attemptsFromRecord(t.GetCrashedAttempts())
	return crashes{crashedAttempts: attempts, crashCount: len(attempts), storedCrashes: len(attempts)}
}

// recordCrash counts the crash of a worker under a run. The worker's health is not
// charged with it.
func (s *Scheduler) recordCrash(n *node, j *job, t *task, id batch.RunID) {
	if t.state == taskDone || t.hasCounted(id.Attempt) {
		return
	}
	t.count(s.now, id.Attempt)
	if !slices.Contains(t.crashedWorkers, n.address) {
		t.crashedWorkers = append(t.crashedWorkers, n.address)
	}
	if t.crashCount == 1 {
		s.suspects.tasks = append(s.suspects.tasks, boundTask{j, t})
	}
	s.counters.Crashes++
	s.pendingCommands = append(s.pendingCommands, Decision{Summary: "worker crashed under run", Job: j.ID, Run: id, Sidecar: n.address, Value: int64(t.crashCount)})
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
		t.crashCount = len(t.crashedAttempts)
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
