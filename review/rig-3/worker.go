package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	holdMax      = time.Second             // hold_max_ms
	stopTime     = 20 * time.Millisecond   // below stop_timeout_ms
	beatInterval = 1500 * time.Millisecond // heartbeat_interval_ms
)

// taskSpec is the specification of the tasks of a case.
type taskSpec struct {
	RunMs int `json:"run_ms"`
}

// run is one run of a task on a worker.
type run struct {
	worker  string
	task    string
	attempt int64
	started time.Time
	// ended is zero while the run is active.
	ended    time.Time
	how      string
	due      time.Time
	sequence int64
	stopAt   time.Time
	// noted is when ack_cursor reached the end, zero before.
	noted time.Time
}

// worker is a stand-in of a worker. It follows the page on running tasks: it starts
// what it is told to, unless the token or the number of the run is too low, and kills
// everything when its lease runs out.
type worker struct {
	id, address, control, zone string
	cpu                        int
	record                     *record
	server                     *http.Server

	mu       sync.Mutex
	born     time.Time
	token    int64
	lease    time.Time
	runs     []*run
	highest  map[string]int64
	sequence int64
	beats    int64
	changed  chan struct{}
	gone     bool
	stop     chan struct{}
}

func newWorker(r *record, id, address, control, zone string, cpu int) (*worker, error) {
	w := &worker{
		id: id, address: address, control: control, zone: zone, cpu: cpu, record: r,
		born: time.Now(), highest: make(map[string]int64), changed: make(chan struct{}), stop: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", w.start)
	mux.HandleFunc("POST /api/run-stop", w.stopRun)
	mux.HandleFunc("POST /api/hold", w.hold)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		mux.ServeHTTP(rw, r)
	}), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = w.server.Serve(l) }()
	go w.work()
	go w.beat()
	return w, nil
}

// crashForGood ends the worker with all that it runs.
func (w *worker) crashForGood() {
	w.mu.Lock()
	if w.gone {
		w.mu.Unlock()
		return
	}
	w.gone = true
	for _, r := range w.runs {
		if r.ended.IsZero() {
			w.endRun(r, "crashed", time.Now())
		}
	}
	close(w.stop)
	w.mu.Unlock()
	_ = w.server.Close()
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// work ends runs that are done, stopped or without a lease.
func (w *worker) work() {
	ticker := time.NewTicker(2 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-ticker.C:
		}
		w.mu.Lock()
		now := time.Now()
		for _, r := range w.runs {
			switch {
			case !r.ended.IsZero():
			case now.After(w.lease):
				w.endRun(r, "lapsed", now)
			case !r.stopAt.IsZero() && now.After(r.stopAt):
				w.endRun(r, "stopped", now)
			case now.After(r.due):
				w.endRun(r, "done", now)
			}
		}
		w.mu.Unlock()
	}
}

func (w *worker) endRun(r *run, how string, now time.Time) {
	w.sequence++
	r.ended, r.how, r.sequence = now, how, w.sequence
	w.record.add("run ended", "worker", w.id, "task", r.task, "attempt", r.attempt, "how", how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// beat reports the worker to the process on its machine.
func (w *worker) beat() {
	pause := time.Duration(0)
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(pause):
		}
		pause = beatInterval
		if !w.sendBeat() {
			pause = 200 * time.Millisecond
		}
	}
}

func (w *worker) sendBeat() bool {
	w.mu.Lock()
	w.beats++
	body, _ := json.Marshal(map[string]any{
		"service": serviceName, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
		"capacity": map[string]int{"cpu": w.cpu, "mem_mb": 262144, "gpu": 0}, "labels": []string{"a", "r-" + w.id},
		"clock_ms": w.clock(), "sequence": w.beats, "born": w.born.UnixMilli(), "warmup_left_ms": 0,
	})
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+w.control+"/api/instances/"+w.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

// call is the body of all calls to a worker.
type call struct {
	Task     string `json:"task"`
	Attempt  int64  `json:"attempt"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    int64  `json:"fencing_token"`
	Cursor   int64  `json:"ack_cursor"`
	Wait     int64  `json:"wait_ms"`
}

func (w *worker) reject(rw http.ResponseWriter, reason string) {
	answer(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": reason})
}

// admit decodes a call and checks its token. It returns with the lock held if it is true.
func (w *worker) admit(rw http.ResponseWriter, r *http.Request, c *call) bool {
	if json.NewDecoder(r.Body).Decode(c) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return false
	}
	w.mu.Lock()
	if c.Token < w.token {
		w.reject(rw, "fence")
		w.mu.Unlock()
		return false
	}
	w.token = c.Token
	return true
}

// extend prolongs the lease; it never shortens.
func (w *worker) extend(deadline int64) {
	now := time.Now()
	until := w.born.Add(time.Duration(deadline) * time.Millisecond)
	if longest := now.Add(holdMax); until.After(longest) {
		until = longest
	}
	if until.After(w.lease) {
		w.lease = until
	}
}

func (w *worker) start(rw http.ResponseWriter, r *http.Request) {
	var c call
	if !w.admit(rw, r, &c) {
		return
	}
	defer w.mu.Unlock()
	for _, known := range w.runs {
		if known.task == c.Task && known.attempt == c.Attempt && known.ended.IsZero() {
			answer(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()})
			return
		}
	}
	switch {
	case c.Attempt <= w.highest[c.Task]:
		w.extend(c.Deadline)
		w.reject(rw, "old")
		return
	case c.Deadline != 0 && c.Deadline < w.clock():
		w.reject(rw, "late")
		return
	}
	if c.Deadline == 0 {
		c.Deadline = w.clock() + holdMax.Milliseconds()
	}
	w.extend(c.Deadline)
	var spec taskSpec
	_ = json.Unmarshal([]byte(c.Spec), &spec)
	now := time.Now()
	w.highest[c.Task] = c.Attempt
	w.runs = append(w.runs, &run{worker: w.id, task: c.Task, attempt: c.Attempt, started: now, due: now.Add(time.Duration(spec.RunMs) * time.Millisecond)})
	w.record.add("run started", "worker", w.id, "task", c.Task, "attempt", c.Attempt)
	answer(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()})
}

func (w *worker) stopRun(rw http.ResponseWriter, r *http.Request) {
	var c call
	if !w.admit(rw, r, &c) {
		return
	}
	defer w.mu.Unlock()
	w.record.add("stop received", "worker", w.id, "task", c.Task, "attempt", c.Attempt)
	w.highest[c.Task] = max(w.highest[c.Task], c.Attempt)
	for _, known := range w.runs {
		if known.task == c.Task && known.attempt == c.Attempt && known.ended.IsZero() && known.stopAt.IsZero() {
			known.stopAt = time.Now().Add(stopTime)
		}
	}
	answer(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()})
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	var c call
	if !w.admit(rw, r, &c) {
		return
	}
	if c.Deadline != 0 {
		w.extend(c.Deadline)
	}
	now := time.Now()
	for _, known := range w.runs {
		if known.sequence != 0 && known.sequence <= c.Cursor && known.noted.IsZero() {
			known.noted = now
		}
	}
	until := now.Add(time.Duration(min(c.Wait, 2000)) * time.Millisecond)
	for !w.hasUnnoted() && time.Now().Before(until) {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(until)):
		case <-r.Context().Done():
			return
		}
		w.mu.Lock()
	}
	defer w.mu.Unlock()
	running, finished := [][]any{}, [][]any{}
	for _, known := range w.runs {
		switch {
		case known.ended.IsZero():
			total := max(known.due.Sub(known.started), time.Millisecond)
			running = append(running, []any{known.task, known.attempt, "", int(100 * time.Since(known.started) / total), 1000})
		case known.noted.IsZero() && len(finished) < 500:
			finished = append(finished, []any{known.sequence, known.task, known.attempt, known.how, ""})
		}
	}
	answer(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli(), "running": running, "finished": finished})
}

func (w *worker) hasUnnoted() bool {
	for _, r := range w.runs {
		if !r.ended.IsZero() && r.noted.IsZero() {
			return true
		}
	}
	return false
}

// allRuns returns copies of the runs of a job on some workers.
func allRuns(workers []*worker, job string) []run {
	var runs []run
	for _, w := range workers {
		w.mu.Lock()
		for _, r := range w.runs {
			if len(r.task) >= len(job) && r.task[:len(job)] == job {
				runs = append(runs, *r)
			}
		}
		w.mu.Unlock()
	}
	return runs
}

func (r run) String() string { return fmt.Sprintf("%s attempt %d on %s", r.task, r.attempt, r.worker) }
