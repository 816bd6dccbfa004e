package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// run is a run of a task on a worker, as the worker saw it.
type run struct {
	worker, task string
	attempt      int64
	startedAt    time.Time
	endedAt      time.Time
	how          string
	// lapsed is true if the worker's lease lapsed between the end and its
	// acknowledgement; notedAt is when the acknowledgement reached it.
	lapsed  bool
	notedAt time.Time
}

func (r *run) key() string { return fmt.Sprint(r.task, "/", r.attempt) }

// counts reports whether an end is taken note of.
func (r *run) counts() bool { return !r.notedAt.IsZero() && !r.lapsed }

// record writes record.txt and keeps all runs.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
	runs  []*run
	// quiet leaves the lines of single runs out, for cases with thousands.
	quiet bool
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, begin: time.Now()}, err
}

func (r *record) line(format string, args ...any) {
	fmt.Fprintf(r.file, "%9.3f ", time.Since(r.begin).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

func (r *record) started(worker, task string, attempt int64, at time.Time) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := &run{worker: worker, task: task, attempt: attempt, startedAt: at}
	r.runs = append(r.runs, run)
	if !r.quiet {
		r.line("run     %s attempt %d on %s", task, attempt, worker)
	}
	return run
}

func (r *record) ended(run *run, how string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.how, run.endedAt = how, at
	if !r.quiet {
		r.line("ended   %s attempt %d on %s: %s", run.task, run.attempt, run.worker, how)
	}
}

func (r *record) noted(run *run, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.notedAt = at
	if !r.quiet {
		r.line("noted   %s attempt %d on %s: %s, lapsed %v", run.task, run.attempt, run.worker, run.how, run.lapsed)
	}
}

// all returns all runs.
func (r *record) all() []*run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs
}

// byTask returns copies of the runs of each task, in the order of their starts.
func (r *record) byTask() map[string][]run {
	r.mu.Lock()
	defer r.mu.Unlock()
	tasks := make(map[string][]run)
	for _, run := range r.runs {
		tasks[run.task] = append(tasks[run.task], *run)
	}
	return tasks
}

// at returns a time as seconds since the beginning.
func (r *record) at(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return fmt.Sprintf("%.3f", t.Sub(r.begin).Seconds())
}

// describe returns a run in one line.
func (r *record) describe(run run) string {
	return fmt.Sprintf("%s attempt %d on %s: started %s, ended %s %s, noted %s, lapsed %v",
		run.task, run.attempt, run.worker, r.at(run.startedAt), r.at(run.endedAt), run.how, r.at(run.notedAt), run.lapsed)
}

// checkTwice returns the breaks of rule TWICE: two runs at one time, or a start after a
// run has ended done, if that end is taken note of then or later.
func (r *record) checkTwice() []string {
	var broken []string
	for _, runs := range r.byTask() {
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				switch {
				case a.endedAt.IsZero() || b.startedAt.Before(a.endedAt):
					broken = append(broken, "two runs at one time: "+r.describe(a)+"; "+r.describe(b))
				case a.how == endDone && a.counts() && b.startedAt.After(a.endedAt):
					broken = append(broken, "started after its end done: "+r.describe(a)+"; "+r.describe(b))
				}
			}
		}
	}
	return broken
}

// checkBudget returns the breaks of rule BUDGET: a start after maxAttempts runs of the
// task have ended failed, if these ends are taken note of then or later.
func (r *record) checkBudget(maxAttempts int) []string {
	var broken []string
	for _, runs := range r.byTask() {
		for i, b := range runs {
			failed := 0
			for _, a := range runs[:i] {
				if a.how == endFailed && a.counts() && a.endedAt.Before(b.startedAt) {
					failed++
				}
			}
			if failed >= maxAttempts {
				broken = append(broken, fmt.Sprintf("started after %d failed runs: %s", failed, r.describe(b)))
			}
		}
	}
	return broken
}
