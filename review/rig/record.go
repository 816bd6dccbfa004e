package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record collects what was sent, answered and run. Each line is also written to
// record.txt.
type record struct {
	mu     sync.Mutex
	file   *os.File
	began  time.Time
	runs   map[string][]*run
	broken []string
}

// run is one run of a task at a worker.
type run struct {
	worker  string
	task    string
	attempt int64
	started time.Time
	ended   time.Time
	how     string
	// noted is when ack_cursor reached the end.
	noted time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now(), runs: make(map[string][]*run)}, nil
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

func (r *record) write(format string, args ...any) {
	fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// breakf records that a rule was broken.
func (r *record) breakf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	r.broken = append(r.broken, text)
	r.write("RULE BROKEN: %s", text)
}

func (r *record) started(n *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[n.task] = append(r.runs[n.task], n)
	r.write("run    %s attempt %d started on %s", n.task, n.attempt, n.worker)
}

func (r *record) finished(n *run, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n.ended, n.how = time.Now(), how
	r.write("run    %s attempt %d ended %s on %s", n.task, n.attempt, how, n.worker)
}

func (r *record) acknowledged(n *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n.noted = time.Now()
	r.write("run    %s attempt %d: end %s taken note of on %s", n.task, n.attempt, n.how, n.worker)
}

// runsOf returns copies of the runs of a task.
func (r *record) runsOf(task string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []run
	for _, n := range r.runs[task] {
		out = append(out, *n)
	}
	return out
}

// idleSince returns since when no run of the tasks is active, at the earliest since
// begin. It is the zero time if one is active.
func (r *record) idleSince(tasks []string, begin time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := begin
	for _, task := range tasks {
		for _, n := range r.runs[task] {
			if n.ended.IsZero() {
				return time.Time{}
			}
			if n.ended.After(last) {
				last = n.ended
			}
		}
	}
	return last
}

func (r *record) isDone(task string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range r.runs[task] {
		if n.how == "done" {
			return true
		}
	}
	return false
}

func (r *record) hasBegun(task string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs[task]) > 0
}
