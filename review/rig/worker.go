package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	maxHold           = time.Second
	maxListedEnds     = 500
)

// spec is the specification of the jobs of a case.
type spec struct {
	// Ms is how long a task of each step runs.
	Ms []int64 `json:"ms"`
	// Fail is how many runs of each task fail by its own fault before one succeeds.
	Fail int `json:"fail"`
	// FailMs is how long a run that fails takes, 0 for as long as others.
	FailMs int64 `json:"fail_ms"`
	// CPU is what a task requires, in millicores.
	CPU int64 `json:"cpu"`
}

type runKey struct {
	task    string
	attempt int64
}

type activeRun struct {
	*run
	length time.Duration
	fails  bool
	cpu    int64
}

type listedEnd struct {
	sequence int64
	*run
}

// worker is a stand-in of a worker (PROTOCOL.md) that starts whatever it is told to.
type worker struct {
	id, address, reportTo, zone string
	cpu                         int64
	labels                      []string
	record                      *record
	server                      *http.Server
	stop                        chan struct{}

	mu       sync.Mutex
	born     time.Time
	token    int64
	deadline time.Time
	active   map[runKey]*activeRun
	highest  map[string]int64
	ends     []listedEnd
	sequence int64
	beats    int64
	draining bool
	// gone is true once the worker has ended.
	gone    bool
	changed chan struct{}
	// late decides whether a start gets no answer and is carried out when the worker has
	// started again after a crash; overdue are such starts.
	late    func(c call) bool
	overdue []call
}

func newWorker(id, address, reportTo, zone string, cpu int64, labels []string, rec *record) (*worker, error) {
	w := &worker{
		id: id, address: address, reportTo: reportTo, zone: zone, cpu: cpu, labels: labels, record: rec, stop: make(chan struct{}), born: time.Now(),
		active: make(map[runKey]*activeRun), highest: make(map[string]int64), changed: make(chan struct{}),
	}
	w.server = &http.Server{Handler: w.handler()}
	return w, w.up()
}

func (w *worker) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", w.start)
	mux.HandleFunc("POST /api/run-stop", w.stopRun)
	mux.HandleFunc("POST /api/hold", w.hold)
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		mux.ServeHTTP(rw, r)
	})
}

// up makes the worker serve.
func (w *worker) up() error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.stop = make(chan struct{})
	go func() { _ = w.server.Serve(listener) }()
	go w.work(w.stop)
	go w.heartbeats(w.stop)
	return nil
}

// crash ends the worker and its runs; a new life begins after a time.
func (w *worker) crash(away time.Duration) {
	w.record.logf("fault  worker %s crashes", w.id)
	w.leave()
	time.AfterFunc(away, func() {
		next, err := newWorker(w.id+"x", w.address, w.reportTo, w.zone, w.cpu, w.labels, w.record)
		if err == nil {
			w.record.logf("fault  worker %s starts", next.id)
		}
	})
}

// leave ends the worker: everything that runs on it terminates.
func (w *worker) leave() {
	close(w.stop)
	_ = w.server.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gone = true
	for key, a := range w.active {
		delete(w.active, key)
		w.record.finished(a.run, "gone")
	}
}

func (w *worker) setDraining() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.draining = true
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

func (w *worker) work(stop chan struct{}) {
	ticker := time.NewTicker(2 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		w.mu.Lock()
		w.advance(time.Now())
		w.mu.Unlock()
	}
}

// advance ends the runs that are over or whose lease has expired.
func (w *worker) advance(now time.Time) {
	for _, a := range w.active {
		end := a.started.Add(a.length)
		switch {
		case w.deadline.Before(now) && w.deadline.Before(end):
			w.end(a, "lapsed")
		case end.After(now):
		case a.fails:
			w.end(a, "failed")
		default:
			w.end(a, "done")
		}
	}
}

func (w *worker) end(a *activeRun, how string) {
	delete(w.active, runKey{a.task, a.attempt})
	w.sequence++
	w.ends = append(w.ends, listedEnd{w.sequence, a.run})
	w.record.finished(a.run, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) heartbeats(stop chan struct{}) {
	for {
		pause := heartbeatInterval
		if !w.heartbeat() {
			pause = 300 * time.Millisecond
		}
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
	}
}

func (w *worker) heartbeat() bool {
	w.mu.Lock()
	w.beats++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"service": serviceName, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": state, "warmup_left_ms": 0,
		"capacity": map[string]int64{"cpu": w.cpu, "mem_mb": 262144, "gpu": 0}, "labels": w.labels,
		"clock_ms": w.clock(), "sequence": w.beats, "born": w.born.UnixMilli(),
	})
	w.mu.Unlock()
	return w.callSidecar(http.MethodPut, body)
}

func (w *worker) callSidecar(method string, body []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+w.reportTo+"/api/instances/"+w.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	r.Header.Set("Content-Type", "application/json")
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode/100 == 2
}

type call struct {
	Task     string `json:"task"`
	Attempt  int64  `json:"attempt"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    int64  `json:"fencing_token"`
	Cursor   int64  `json:"ack_cursor"`
	Wait     int64  `json:"wait_ms"`
}

func respondJSON(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	respondJSON(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": reason, "born": w.born.UnixMilli()})
}

// admit decodes a call and checks its fencing token. The caller holds the lock.
func (w *worker) admit(rw http.ResponseWriter, c call) bool {
	if c.Token < w.token {
		w.refuse(rw, "fence")
		return false
	}
	w.token = c.Token
	return true
}

func (w *worker) extend(deadline int64) {
	if deadline == 0 {
		return
	}
	at := w.born.Add(time.Duration(deadline) * time.Millisecond)
	if limit := time.Now().Add(maxHold); at.After(limit) {
		at = limit
	}
	if at.After(w.deadline) {
		w.deadline = at
	}
}

func (w *worker) start(rw http.ResponseWriter, r *http.Request) {
	var c call
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	if w.late != nil && w.late(c) {
		w.record.logf("fault  start of %s attempt %d at %s gets no answer", c.Task, c.Attempt, w.id)
		w.overdue = append(w.overdue, c)
		w.mu.Unlock()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	defer w.mu.Unlock()
	w.execute(rw, c)
}

// execute carries out a start. The caller holds the lock.
func (w *worker) execute(rw http.ResponseWriter, c call) {
	w.advance(time.Now())
	if !w.admit(rw, c) {
		return
	}
	if w.active[runKey{c.Task, c.Attempt}] != nil {
		respondJSON(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()})
		return
	}
	if c.Attempt <= w.highest[c.Task] {
		w.extend(c.Deadline)
		w.refuse(rw, "old")
		return
	}
	if c.Deadline != 0 && c.Deadline < w.clock() {
		w.refuse(rw, "late")
		return
	}
	w.extend(c.Deadline)
	w.highest[c.Task] = c.Attempt
	var s spec
	_ = json.Unmarshal([]byte(c.Spec), &s)
	a := &activeRun{
		run: &run{worker: w.id, task: c.Task, attempt: c.Attempt, started: time.Now()}, length: time.Duration(s.Ms[stepOf(c.Task)]) * time.Millisecond,
		fails: len(w.record.runsOf(c.Task)) < s.Fail, cpu: s.CPU,
	}
	if a.fails && s.FailMs > 0 {
		a.length = time.Duration(s.FailMs) * time.Millisecond
	}
	w.active[runKey{c.Task, c.Attempt}] = a
	w.record.started(a.run)
	respondJSON(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()})
}

func (w *worker) stopRun(rw http.ResponseWriter, r *http.Request) {
	var c call
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(time.Now())
	if !w.admit(rw, c) {
		return
	}
	if a := w.active[runKey{c.Task, c.Attempt}]; a != nil {
		w.end(a, "stopped")
	}
	w.highest[c.Task] = max(w.highest[c.Task], c.Attempt)
	respondJSON(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()})
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	var c call
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(time.Now())
	if !w.admit(rw, c) {
		return
	}
	w.extend(c.Deadline)
	for len(w.ends) > 0 && w.ends[0].sequence <= c.Cursor {
		w.record.acknowledged(w.ends[0].run)
		w.ends = w.ends[1:]
	}
	timeout := time.After(time.Duration(min(c.Wait, 2000)) * time.Millisecond)
	for waiting := true; waiting && len(w.ends) == 0; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		w.mu.Lock()
	}
	running, finished := []any{}, []any{}
	for _, a := range w.active {
		percent := min(99, int(100*time.Since(a.started)/max(a.length, time.Millisecond)))
		running = append(running, []any{a.task, a.attempt, "", percent, 6200})
	}
	for _, e := range w.ends[:min(len(w.ends), maxListedEnds)] {
		finished = append(finished, []any{e.sequence, e.task, e.attempt, e.how, ""})
	}
	respondJSON(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli(), "running": running, "finished": finished})
}

// rebirth ends the worker and its runs; after a time it starts again under its id,
// knows nothing of before and carries out the starts that are overdue.
func (w *worker) rebirth(away time.Duration) {
	w.record.logf("fault  worker %s crashes", w.id)
	w.leave()
	time.AfterFunc(away, func() {
		next := &worker{
			id: w.id, address: w.address, reportTo: w.reportTo, zone: w.zone, cpu: w.cpu, labels: w.labels, record: w.record, born: time.Now(),
			active: make(map[runKey]*activeRun), highest: make(map[string]int64), changed: make(chan struct{}),
		}
		next.server = &http.Server{Handler: next.handler()}
		next.mu.Lock()
		defer next.mu.Unlock()
		if next.up() != nil {
			return
		}
		w.record.logf("fault  worker %s starts again", next.id)
		for _, c := range w.overdue {
			next.execute(httptest.NewRecorder(), c)
		}
	})
}
