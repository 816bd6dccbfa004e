package scheduler

import (
	"slices"
	"strconv"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// inFlightWrite is the write of a job's record that is in flight.
type inFlightWrite int

const (
	noWrite inFlightWrite = iota
	newJobWrite
	progressWrite
	endWrite
)

type unstoredEnd struct {
	node Address
	run  batch.RunID
}

// nextNonce returns a nonce that is unique among the writes of all entries.
func (s *Scheduler) nextNonce() string {
	s.nonce++
	return string(s.settings.Self) + "/" + strconv.FormatUint(s.nonce, 36)
}

// SaveResult is the result of a write.
type SaveResult int

// Results of writes.
const (
	// SaveDone means that the store has the record.
	SaveDone SaveResult = iota
	// SaveRefused means that the record is not in the store and never will be.
	SaveRefused
	// SaveConflict means that another entry has written the job's record.
	SaveConflict
)

// HandleSaveResult handles the result of a write.
func (s *Scheduler) HandleSaveResult(now clock.Millis, id batch.JobID, kind SaveKind, result SaveResult, revision int64) {
	j := s.jobs[id]
	if j == nil {
		return
	}
	j.inFlight = noWrite
	if result == SaveDone {
		j.revision = revision
		j.nonce = j.nextNonce
		j.confirmedAt = now
		s.acknowledgeStoredEnds(j)
		j.markCrashesStored()
		j.baseAttempt = max(j.baseAttempt, j.baseInWrite)
	}
	switch kind {
	case SaveNew:
		s.handleNewJobSaved(now, j, result)
	case SaveProgress:
		if result == SaveConflict {
			s.relinquish(j, "another entry changed its record")
			return
		}
	case SaveEnd:
		s.handleEndSaved(now, j, result)
		return
	}
	s.advance(now, j)
	if kind == SaveProgress && result == SaveDone && j.inFlight == noWrite {
		s.saveCrashes(j)
	}
}

func (s *Scheduler) handleNewJobSaved(now clock.Millis, j *job, result SaveResult) {
	answer := Stored
	if result == SaveRefused {
		answer = NotStored
	}
	for _, r := range j.submitters {
		s.pendingCommands = append(s.pendingCommands, Reply{Request: r, Result: answer, RetryAfter: storeRetryAfter})
	}
	j.submitters = nil
	switch result {
	case SaveDone:
		s.counters.Accepted++
		s.enqueue(j)
		s.logAccepted(j.acceptedAt, j)
		if j.cancelledByPeer {
			s.jobCancelledByPeer(now, j.ID)
		}
	case SaveRefused:
		s.counters.Refused++
		s.pendingCommands = append(s.pendingCommands, Decision{Summary: JobRefused, Job: j.ID, Route: j.Route, Reason: "store", Value: int64(storeRetryAfter)})
		s.removeJob(j)
	case SaveConflict:
		// The caller's earlier request reached another entry. If this one succeeded that
		// entry during the write, it did not recover the job.
		s.removeJob(j)
		if s.listings.isSuccessor {
			s.requestListing()
		}
	}
}

// storeRetryAfter is the Retry-After while the store accepts no jobs: outages
// last for seconds.
const storeRetryAfter = 2 * clock.Second

func (s *Scheduler) handleEndSaved(now clock.Millis, j *job, result SaveResult) {
	if result == SaveConflict {
		s.relinquish(j, "another entry changed its record")
		return
	}
	s.recordEnd(now, j)
}

func (s *Scheduler) saveEnd(now clock.Millis, j *job, state batch.State) {
	j.finalState = state
	j.inFlight = endWrite
	j.endsInWrite = len(j.unstoredEnds)
	s.pendingCommands = append(s.pendingCommands, Save{Kind: SaveEnd, ID: j.ID, Revision: j.revision, Nonce: j.nonce, End: &wire.StoredEnd{
		State: endState(state), EndedAtMs: int64(now), Nonce: s.nextNonce(),
	}})
}

func endState(s batch.State) wire.StoredEnd_State {
	switch s {
	case batch.Complete:
		return wire.StoredEnd_STATE_COMPLETE
	case batch.Failed:
		return wire.StoredEnd_STATE_FAILED
	}
	return wire.StoredEnd_STATE_CANCELLED
}

// progressDelay is how long the end of a run waits for the end of its job before
// the job's progress is written, so that the worker's list of ends stays short.
const progressDelay = 1500 * clock.Millis(1)

// saveProgress writes the progress of a job with an unstored crash, with an end
// that has been unstored for progressDelay or holds up the ends behind it, or with
// few attempts left.
func (s *Scheduler) saveProgress(now clock.Millis, j *job) {
	if len(j.unstoredEnds) > 0 && (now-j.unstoredSince >= progressDelay || s.holdsUpEnds(j)) {
		s.writeProgress(j)
		return
	}
	s.saveCrashes(j)
	s.saveBase(j)
}

// writeProgress writes the progress of a job, unless a write is in flight.
func (s *Scheduler) writeProgress(j *job) {
	if j.inFlight != noWrite || j.recovering && !s.holdsUpEnds(j) || s.jobs[j.ID] != j {
		return
	}
	j.inFlight = progressWrite
	j.endsInWrite = len(j.unstoredEnds)
	s.pendingCommands = append(s.pendingCommands, Save{Kind: SaveProgress, ID: j.ID, Revision: j.revision, Nonce: j.nonce, Job: s.storedRecord(j)})
}

// acknowledgeStoredEnds acknowledges the ends that are now in the store to their
// sidecars.
func (s *Scheduler) acknowledgeStoredEnds(j *job) {
	for _, u := range j.unstoredEnds[:j.endsInWrite] {
		if n := s.nodes[u.node]; n != nil && n.connected {
			n.orders().Stored = append(n.orders().Stored, u.run.Wire())
		}
	}
	j.unstoredEnds = slices.Clone(j.unstoredEnds[j.endsInWrite:])
	j.endsInWrite = 0
}
