package scheduler

import (
	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// callerCheckInterval is the interval at which the callers of a best-effort job
	// are checked to be connected.
	callerCheckInterval = 150 * clock.Millis(1)
	// callerCheckValidity is how long after a check the tasks of a best-effort job
	// may be started. A caller that leaves right after the check submits the job
	// again 1.3 s later at the earliest. By then the run must be over, also if it
	// can't be stopped: its worker's lease ends 1 s after the order at the latest.
	callerCheckValidity = 250 * clock.Millis(1)
)

// CheckCaller asks whether the caller of a request is still connected. The answer
// is CallerConnected or CallerDisconnected.
type CheckCaller struct {
	Request Request
	Job     batch.JobID
}

func (CheckCaller) command() {}

// CallerConnected records that the caller of a best-effort job was connected at a
// time.
func (s *Scheduler) CallerConnected(at clock.Millis, r Request, id batch.JobID) {
	j := s.jobs[id]
	if j == nil || !j.BestEffort {
		return
	}
	for _, other := range j.submitters {
		if other == r {
			j.callerSeenAt = max(j.callerSeenAt, at)
		}
	}
}

// checkCallers asks for the callers of a best-effort job if the last check was
// callerCheckInterval ago. Without the check, an entry that was paused would start
// tasks for callers that have left and submitted their jobs elsewhere.
func (s *Scheduler) checkCallers(now clock.Millis, j *job) {
	if now-max(j.callerSeenAt, j.callerCheckedAt) < callerCheckInterval {
		return
	}
	j.callerCheckedAt = now
	for _, r := range j.submitters {
		s.pendingCommands = append(s.pendingCommands, CheckCaller{Request: r, Job: j.ID})
	}
}

// callerPresent reports whether a caller of a best-effort job was connected
// recently enough for a start.
func (j *job) callerPresent(now clock.Millis) bool {
	return !j.BestEffort || now-j.callerSeenAt < callerCheckValidity
}
