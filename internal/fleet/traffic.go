package fleet

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/teaseltide/teaseltide/pkg/caller"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Traffic submits jobs at a steady rate through all entries and keeps every
// outcome. Each job has a key and comes from its own caller, who submits it
// again through the next entry when a connection breaks.
type Traffic struct {
	Fleet *Fleet
	Jobs  *JobGenerator
	// Utilization is the work that arrives over the capacity of the fleet.
	Utilization float64
	// MaxTasks bounds the size of a job, MaxJobs the number of jobs.
	MaxTasks int
	MaxJobs  int
	// AnswerTimeout bounds the wait for one answer.
	AnswerTimeout time.Duration
	// Seed determines the times of arrival.
	Seed uint64
	// Prepare, if set, changes a job before it is submitted.
	Prepare func(*Job)

	cancel context.CancelFunc
	// arrivals ends with the last submission, running with the last answer.
	arrivals sync.WaitGroup
	running  sync.WaitGroup

	mu       sync.Mutex
	outcomes []Outcome
}

// Outcome is what the caller of a job got: an answer, or an error after which
// nothing is known beyond its Ran.
type Outcome struct {
	Job
	// Entry is the one that got the job first.
	Entry      int
	Begin, End time.Time
	Answer     *caller.Answer
	Err        error
}

// Ran tells what the caller knows of the job.
func (o *Outcome) Ran() caller.Ran {
	if o.Answer != nil {
		return o.Answer.Ran
	}
	var e *caller.Error
	if errors.As(o.Err, &e) {
		return e.Ran
	}
	return caller.Unknown
}

// ResponseTime returns the response time.
func (o *Outcome) ResponseTime() time.Duration {
	return o.End.Sub(o.Begin)
}

// OverIdeal returns the response time divided by the ideal one.
func (o *Outcome) OverIdeal() float64 {
	return float64(o.ResponseTime()) / float64(o.Ideal.Duration())
}

// Start begins to submit jobs.
func (t *Traffic) Start(ctx context.Context) {
	ctx, t.cancel = context.WithCancel(ctx)
	t.arrivals.Add(1)
	go t.arrive(ctx)
}

// Stop ends the submissions, waits for the answers and returns all outcomes.
func (t *Traffic) Stop() []Outcome {
	t.cancel()
	return t.Wait()
}

// Wait waits until MaxJobs have been answered and returns all outcomes.
func (t *Traffic) Wait() []Outcome {
	t.arrivals.Wait()
	t.running.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.outcomes
}

// arrive submits jobs as a Poisson process whose mean interval is the time that
// the fleet needs for the mean job at the given utilization. A late wake-up is
// made up for, so that the rate holds on a busy machine.
func (t *Traffic) arrive(ctx context.Context) {
	defer t.arrivals.Done()
	rng := rand.New(rand.NewPCG(t.Seed, 1))
	capacity := t.Fleet.Shape.Capacity()
	due := time.Now()
	for n := range t.MaxJobs {
		j := t.Jobs.Next(min(t.Jobs.NextSize(), t.MaxTasks))
		if t.Prepare != nil {
			t.Prepare(&j)
		}
		t.running.Add(1)
		// The end of the arrivals does not end the wait for answers.
		go t.submit(context.WithoutCancel(ctx), j, n%t.Fleet.Shape.Entries)
		wait := float64(j.Work) / (t.Utilization * capacity) * rng.ExpFloat64()
		due = due.Add(time.Duration(wait * float64(clock.Millis(1).Duration())))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(due)):
		}
	}
}

func (t *Traffic) submit(ctx context.Context, j Job, entry int) {
	defer t.running.Done()
	ctx, cancel := context.WithTimeout(ctx, t.AnswerTimeout)
	defer cancel()
	o := Outcome{Job: j, Entry: entry, Begin: time.Now()}
	o.Answer, o.Err = t.Fleet.Caller(entry).Submit(ctx, j.Job)
	o.End = time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes = append(t.outcomes, o)
}

// Caller returns a client that prefers an entry and goes to the next ones when
// that one cannot be reached.
func (f *Fleet) Caller(entry int) *caller.Client {
	urls := make([]string, 0, f.Shape.Entries)
	for i := range f.Shape.Entries {
		urls = append(urls, f.CallerURL((entry+i)%f.Shape.Entries))
	}
	return caller.New(urls...)
}

// SetMaxIdleConnsPerHost lets the callers of this process keep more idle connections
// to each entry than the default of net/http, 2, so that jobs do not wait for
// new connections.
func SetMaxIdleConnsPerHost(n int) {
	if t, ok := http.DefaultTransport.(*http.Transport); ok {
		t.MaxIdleConns = 0
		t.MaxIdleConnsPerHost = n
	}
}
