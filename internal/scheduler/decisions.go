package scheduler

import (
	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Summaries of Decisions on jobs and runs without trouble. Their log lines are
// sampled by job; all others are written.
const (
	JobAccepted = "job accepted"
	RunOrdered  = "run ordered"
	// JobEnded has the state as its reason and the time since acceptance in ms as
	// its value.
	JobEnded = "job ended"
)

// Summaries of Decisions that the process counts by reason.
const (
	JobRefused = "job refused"
	JobGivenUp = "job given up"
)

// reasonOverload is the reason to refuse or give up a job that would wait too long.
const reasonOverload = "overload"

// Decision is a log line about a decision on a job, run or sidecar and its cause.
type Decision struct {
	Summary string
	Job     batch.JobID
	Route   batch.Route
	Run     batch.RunID
	Sidecar Address
	Reason  string
	Value   int64
	Details Details
	// FreeShare is the share of the service's capacity that was free when a job was refused
	// or given up.
	FreeShare float64
}

func (Decision) command() {}

// maxDetails is the number of inputs of the Decision that has the most.
const maxDetails = 5

// Details are the inputs of a Decision. Unused elements have no name.
type Details [maxDetails]Detail

// Detail is an input of a Decision. Its name is that of a field in the log.
type Detail struct {
	Name  string
	Value int64
}

// logs reports whether the Decisions of a job without trouble are written.
func (s *Scheduler) logs(id batch.JobID) bool {
	return s.settings.LogsJob == nil || s.settings.LogsJob(id)
}

func (s *Scheduler) logAccepted(now clock.Millis, j *job) {
	if !s.logs(j.ID) {
		return
	}
	d := Decision{Summary: JobAccepted, Job: j.ID, Route: j.Route, Details: Details{
		{"tasks", int64(len(j.tasks))}, {"waiting-jobs", int64(len(s.queue))}, {"open-jobs", int64(len(s.jobs))},
	}}
	if j.BestEffort {
		d.Details[3] = Detail{"remaining-ms", int64(j.Deadline - now)}
		d.Details[4] = Detail{"since-sent-ms", int64(now - j.sentAt)}
	}
	s.pendingCommands = append(s.pendingCommands, d)
}

// logOrdered logs the order of a run, before its resources are subtracted from the
// worker's free ones.
func (s *Scheduler) logOrdered(now clock.Millis, j *job, t *task, n *node) {
	if !s.logs(j.ID) {
		return
	}
	s.pendingCommands = append(s.pendingCommands, Decision{Summary: RunOrdered, Job: j.ID, Run: j.runID(t), Sidecar: n.address, Details: Details{
		{"report-age-ms", int64(now - n.reportReceivedAt)}, {"report-ms", n.reportSentAt}, {"free-cpu", n.free.CPU},
	}})
}

// refusalInputs returns the inputs of the decision to refuse a job.
func (s *Scheduler) refusalInputs(service, reason string) Details {
	d := Details{{"open-jobs", int64(len(s.jobs))}, {"waiting-jobs", int64(len(s.queue))}}
	if p := s.pools[service]; p != nil {
		d[2] = Detail{"free-cpu", int64(p.free)}
	}
	if reason == reasonOverload {
		d[3] = Detail{"expected-wait-ms", int64(s.lastExpectedWait)}
	}
	return d
}

// freeShare returns the share of a service's capacity that is free, as this entry knows it.
func (s *Scheduler) freeShare(service string) float64 {
	if p := s.pools[service]; p != nil {
		return max(0, 1-p.utilization())
	}
	return 0
}

// givenUpInputs returns the inputs of the decision to give up a job, with the
// number of runs that are told to stop.
func (s *Scheduler) givenUpInputs(j *job, reason string) Details {
	d := s.refusalInputs(j.Service, reason)
	d[4].Name = "runs-stopped"
	s.forEachBoundTask(j, func(*node, *task) { d[4].Value++ })
	return d
}
