package processtest

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/teaseltide/teaseltide/internal/dispatch"
	"github.com/teaseltide/teaseltide/internal/fleet"
	"github.com/teaseltide/teaseltide/pkg/caller"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// invoices is the number of jobs that are not repeatable in each group.
	invoices = 10
	// A task runs for invoiceShortest at least at speed 1 and for half of it on
	// the fastest worker. When the owner is killed after invoiceKill, some tasks
	// run, some are queued behind the load, and no job is complete.
	invoiceShortest clock.Millis = 1200
	invoiceLongest  clock.Millis = 2400
	invoiceKill                  = 400 * time.Millisecond
	// expiresSoon is later than servedWithin after the kill, when the successor
	// has to serve.
	expiresSoon = 4 * time.Second
	// expiresLate lets a resubmission be answered before the expires-at.
	expiresLate = 12 * time.Second
	// afterSkew is after the 5 s of clock skew for which a key is remembered
	// beyond its expires-at.
	afterSkew = 6 * time.Second
	// afterExpiry is below the time for which a key is remembered.
	afterExpiry = 100 * time.Millisecond
)

// invoice is a job that is not repeatable and the entry that it is submitted to.
type invoice struct {
	fleet.Job
	entry   int
	expires time.Time
}

// Guards against a second start of a job that must run at most once: its owner
// dies while it runs and its caller resubmits it under the same key, before or
// after its expires-at, when the sidecars may have discarded the key.
func TestNotRepeatableJobs(t *testing.T) {
	t.Parallel()
	r := start(t, smallShape())
	r.traffic = r.newTraffic("load", 0.4)
	// With the invoices the workers are overloaded for a while, and a job with
	// the default deadline and a wrong declaration could be refused as too late.
	r.traffic.Prepare = func(j *fleet.Job) { j.Deadline = clock.Millis(answerLimit.Milliseconds()) }
	r.traffic.Start(r.ctx)
	time.Sleep(warmUp)
	victim := r.owner()
	other := (victim + 1) % r.Shape.Entries
	third := (victim + 2) % r.Shape.Entries
	jobs := fleet.NewJobGenerator(r.Shape, "invoice", *seed)
	jobs.Shortest, jobs.Longest = invoiceShortest, invoiceLongest

	// The callers of direct and late lose their connection and do not submit
	// again by themselves; the entry that receives the forwarded jobs does.
	direct := r.invoices(jobs, victim, expiresLate)
	late := r.invoices(jobs, victim, expiresSoon)
	forwarded := r.invoices(jobs, other, expiresLate)
	first := r.submitAll(slices.Concat(direct, late, forwarded))
	time.Sleep(invoiceKill)
	before := r.starts()
	r.Entries[victim].Kill()
	lost := first()
	time.Sleep(invoiceKill)
	r.Logf("%d, %d and %d of %d direct, late and forwarded jobs had started when their owner was killed",
		started(direct, before), started(late, before), started(forwarded, before), invoices)
	if started(direct, before) == 0 || started(late, before) == 0 || started(forwarded, before) == 0 {
		t.Error("no job of some group had started, so the case was not met")
	}

	// In time: the answer is complete, because only the owner is gone.
	again := r.submitAll(resubmittedThrough(direct, third))()
	r.wantComplete(again, nil)
	r.wantComplete(lost[2*invoices:], nil)
	r.extra = append(r.extra, again...)
	r.extra = append(r.extra, lost[2*invoices:]...)
	for i := range again {
		if o := &again[i]; !o.End.Before(direct[i].expires) {
			t.Errorf("job %s was answered %s after its expires-at, so the case was not met", o.Key, o.End.Sub(direct[i].expires))
		}
	}

	// Expired, at the successor that knows the jobs from the sidecars only.
	sleepUntil(late[len(late)-1].expires.Add(afterExpiry))
	startsAtExpiry := r.starts()
	r.wantExpired(r.submitAll(resubmittedThrough(late, third))(), startsAtExpiry)
	// Expired jobs that the successor has answered. While it remembers them it
	// may return the recorded answer instead.
	sleepUntil(forwarded[len(forwarded)-1].expires.Add(afterExpiry))
	recorded := r.submitAll(resubmittedThrough(slices.Concat(direct, forwarded), third))()
	answers := slices.Concat(again, lost[2*invoices:])
	remembered := 0
	for i := range recorded {
		if o := &recorded[i]; o.Ran() != caller.Complete {
			r.wantExpired(recorded[i:i+1], startsAtExpiry)
		} else if remembered++; !sameResults(o.Answer, answers[i].Answer) {
			t.Errorf("job %s: got other results after its expires-at than before", o.Key)
		}
	}
	t.Logf("%d of %d submissions within the clock skew after expires-at got the recorded answer, the others were refused", remembered, len(recorded))
	// Expired, when no process remembers the jobs any longer.
	sleepUntil(forwarded[len(forwarded)-1].expires.Add(afterSkew))
	all := slices.Concat(direct, late, forwarded)
	r.wantExpired(r.submitAll(resubmittedThrough(all, other))(), startsAtExpiry)
	r.wantExpired(r.submitAll(resubmittedThrough(all, third))(), startsAtExpiry)

	r.wantComplete(r.finish(), func(o *fleet.Outcome) bool {
		return o.Entry == victim && o.Answer != nil
	})
	starts := r.starts()
	for i := range all {
		for k := range all[i].Tasks {
			id := fleet.TaskID(all[i].Job.Job, k)
			if len(starts[id]) > 1 || len(starts[id]) != len(startsAtExpiry[id]) {
				t.Errorf("task %s started %d times before the first expires-at and %d times in all, want the same and at most once",
					id, len(startsAtExpiry[id]), len(starts[id]))
			}
		}
	}
}

// invoices makes jobs of two tasks that are not repeatable.
func (r *run) invoices(jobs *fleet.JobGenerator, entry int, lifetime time.Duration) []invoice {
	made := make([]invoice, 0, invoices)
	expires := time.Now().Add(lifetime).Truncate(time.Millisecond)
	once := true
	for range invoices {
		j := jobs.Next(2)
		j.NotRepeatable = &once
		j.Deadline = clock.Millis(answerLimit.Milliseconds())
		for k := range j.Tasks {
			j.Tasks[k].Declared = invoiceLongest
		}
		j.ExpiresAt = clock.Millis(expires.UnixMilli())
		made = append(made, invoice{Job: j, entry: entry, expires: expires})
	}
	return made
}

// resubmittedThrough returns copies of the jobs for submission through another
// entry.
func resubmittedThrough(jobs []invoice, entry int) []invoice {
	again := slices.Clone(jobs)
	for i := range again {
		again[i].entry = entry
	}
	return again
}

// submitAll submits jobs concurrently, each through its entry only, and returns
// a function that waits for the outcomes.
func (r *run) submitAll(jobs []invoice) func() []fleet.Outcome {
	outcomes := make([]fleet.Outcome, len(jobs))
	var all sync.WaitGroup
	for i := range jobs {
		all.Go(func() {
			ctx, cancel := context.WithTimeout(r.ctx, answerLimit)
			defer cancel()
			o := fleet.Outcome{Job: jobs[i].Job, Entry: jobs[i].entry, Begin: time.Now()}
			o.Answer, o.Err = caller.New(r.CallerURL(o.Entry)).Submit(ctx, o.Job.Job)
			o.End = time.Now()
			outcomes[i] = o
		})
	}
	return func() []fleet.Outcome {
		all.Wait()
		return outcomes
	}
}

// wantExpired fails the test unless the jobs were rejected as expired, and as
// not run only if none of their tasks had started.
func (r *run) wantExpired(outcomes []fleet.Outcome, starts map[string][]int) {
	r.Helper()
	for i := range outcomes {
		o := &outcomes[i]
		if o.Answer == nil || o.Answer.Code != dispatch.CodeExpired {
			r.Errorf("job %s through entry %d: got %s, want code %s", o.Key, o.Entry, reason(o), dispatch.CodeExpired)
			continue
		}
		r.checkAnswer(o, starts)
	}
}

// started returns the number of jobs with a started task.
func started(jobs []invoice, starts map[string][]int) int {
	n := 0
	for i := range jobs {
		if slices.ContainsFunc([]int{0, 1}, func(k int) bool { return len(starts[fleet.TaskID(jobs[i].Job.Job, k)]) > 0 }) {
			n++
		}
	}
	return n
}

func sameResults(a, b *caller.Answer) bool {
	return b != nil && slices.EqualFunc(a.Results, b.Results, func(x, y json.RawMessage) bool { return bytes.Equal(x, y) })
}

func sleepUntil(t time.Time) {
	time.Sleep(time.Until(t))
}
