package scheduler

import (
	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// recordEnd removes a job whose end is in the store.
func (s *Scheduler) recordEnd(now clock.Millis, j *job) {
	switch j.finalState {
	case batch.Complete:
		s.counters.Completed++
	case batch.Failed:
		s.counters.FailedJobs++
	case batch.Cancelled:
		s.counters.CancelledJobs++
	}
	s.pendingCommands = append(s.pendingCommands, Decision{Summary: JobEnded, Job: j.ID, Reason: string(j.finalState), Value: int64(now - j.acceptedAt)})
	s.ended[j.ID] = endedJob{state: j.finalState, at: now}
	s.endedOrder = append(s.endedOrder, j.ID)
	s.releaseJobRuns(j)
	s.removeJob(j)
}

// relinquish removes a job that another entry has taken over, ended or cancelled.
func (s *Scheduler) relinquish(j *job, reason string) {
	s.pendingCommands = append(s.pendingCommands, Decision{Summary: "job dropped", Job: j.ID, Reason: reason})
	s.releaseJobRuns(j)
	s.removeJob(j)
}

// removeJob removes a job and replies to its cancellers.
func (s *Scheduler) removeJob(j *job) {
	for _, r := range j.cancellers {
		result := NotHeld
		if _, ok := s.ended[j.ID]; ok {
			result = CancelStored
		}
		s.reply(r, result)
	}
	j.cancellers = nil
	s.dequeue(j)
	delete(s.jobs, j.ID)
	if !j.BestEffort {
		s.stored--
	}
}

// Cancel handles the cancellation of a job by a caller.
func (s *Scheduler) Cancel(now clock.Millis, r Request, id batch.JobID) {
	j := s.jobs[id]
	if j == nil {
		if _, ok := s.ended[id]; ok {
			s.reply(r, CancelStored)
			return
		}
		s.reply(r, NotHeld)
		return
	}
	j.cancellers = append(j.cancellers, r)
	if !j.cancelled {
		j.cancelled = true
		s.dequeue(j)
		s.stopRuns(j)
	}
	s.advance(now, j)
}

// advance writes the end of a stored job that is cancelled, failed or complete,
// unless a write is in flight.
func (s *Scheduler) advance(now clock.Millis, j *job) {
	if s.jobs[j.ID] != j || j.inFlight != noWrite || j.recovering {
		return
	}
	if j.BestEffort {
		s.advanceBestEffort(now, j)
		return
	}
	switch {
	case j.cancelled:
		s.saveEnd(now, j, batch.Cancelled)
	case j.hasFailed():
		s.dequeue(j)
		s.stopRuns(j)
		s.saveEnd(now, j, batch.Failed)
	case j.allTasksDone():
		s.saveEnd(now, j, batch.Complete)
	}
}

func (j *job) allTasksDone() bool {
	for _, left := range j.remaining {
		if left > 0 {
			return false
		}
	}
	return true
}

func (j *job) hasFailed() bool {
	for i := range j.tasks {
		if j.isExhausted(&j.tasks[i]) {
			return true
		}
	}
	return false
}
