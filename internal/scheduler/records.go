package scheduler

import (
	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// storedRecord returns the store record of an open job, with a new nonce.
func (s *Scheduler) storedRecord(j *job) *wire.StoredJob {
	j.nextNonce = s.nextNonce()
	j.baseInWrite = j.recordedBase()
	r := &wire.StoredJob{
		Owner: string(s.settings.Self), Nonce: j.nextNonce, Route: string(j.Route), Service: j.Service, Spec: j.Spec,
		Priority: int32(j.Priority), MaxFailures: int32(j.MaxFailures), AcceptedAtMs: int64(j.acceptedAt), ObjectiveMs: int64(j.Objective),
		BaseAttempt: int64(j.baseInWrite),
	}
	for _, step := range j.Steps {
		stored := &wire.StoredStep{
			Count: uint32(step.Count), Cpu: step.Required.CPU, MemoryMb: step.Required.MemoryMB, Accelerators: step.Required.Accelerators,
			EstimatedMs: int64(step.EstimatedRunTime), Label: step.RequiredLabel, Rack: step.DataRack, MaxPerWorker: uint32(step.MaxPerWorker),
		}
		for _, after := range step.DependsOn {
			stored.After = append(stored.After, uint32(after))
		}
		r.Steps = append(r.Steps, stored)
	}
	if j.revision == 0 {
		return r
	}
	for i := range j.tasks {
		t := &j.tasks[i]
		t.crashesInWrite = t.crashCount
		r.Tasks = append(r.Tasks, &wire.StoredTask{
			Done: t.state == taskDone, Failures: int32(t.failures),
			FailedAttempts: storedAttempts(t.failedAttempts), CrashedAttempts: storedAttempts(t.crashedAttempts),
		})
	}
	return r
}

// storedAttempts returns attempts in the form of the store record.
func storedAttempts(attempts []batch.Attempt) []int64 {
	var stored []int64
	for _, a := range attempts {
		stored = append(stored, int64(a))
	}
	return stored
}

// jobFromRecord returns the job of a store record, in recovery.
func jobFromRecord(o OpenJob) *job {
	r := o.Record
	b := batch.Job{
		ID: o.ID, Route: batch.Route(r.GetRoute()), Service: r.GetService(), Spec: r.GetSpec(), Priority: int(r.GetPriority()),
		MaxFailures: int(r.GetMaxFailures()), Objective: clock.Millis(r.GetObjectiveMs()),
	}
	for _, st := range r.GetSteps() {
		step := batch.Step{
			Count: int(st.GetCount()), EstimatedRunTime: clock.Millis(st.GetEstimatedMs()), RequiredLabel: st.GetLabel(), DataRack: st.GetRack(),
			Required:     batch.Resources{CPU: st.GetCpu(), MemoryMB: st.GetMemoryMb(), Accelerators: st.GetAccelerators()},
			MaxPerWorker: int(st.GetMaxPerWorker()),
		}
		for _, after := range st.GetAfter() {
			step.DependsOn = append(step.DependsOn, int(after))
		}
		b.Steps = append(b.Steps, step)
	}
	j := newJob(clock.Millis(r.GetAcceptedAtMs()), b)
	j.revision = o.Revision
	j.nonce = r.GetNonce()
	j.recovering = true
	// Records of versions that stored no base have 0.
	j.baseAttempt = batch.Attempt(r.GetBaseAttempt()) + batch.Attempt(o.PreviousOwners)*attemptsPerOwner
	for i, t := range r.GetTasks() {
		if i >= len(j.tasks) {
			break
		}
		j.tasks[i].failures = int(t.GetFailures())
		j.tasks[i].failedAttempts = attemptsFromRecord(t.GetFailedAttempts())
		j.tasks[i].crashes = crashesFromRecord(t)
		if t.GetDone() {
			j.tasks[i].state = taskDone
			j.remaining[j.tasks[i].step]--
			j.started = true
		}
	}
	return j
}

// attemptsFromRecord returns attempts of a task's store record.
func attemptsFromRecord(stored []int64) []batch.Attempt {
	attempts := make([]batch.Attempt, 0, len(stored))
	for _, a := range stored {
		attempts = append(attempts, batch.Attempt(a))
	}
	return attempts
}
