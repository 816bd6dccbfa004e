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

// Ends of runs, as a worker lists them.
const (
	endDone    = "done"
	endFailed  = "failed"
	endStopped = "stopped"
	endLapsed  = "lapsed"
	// endCrashed is that of a run whose worker crashed; it is never listed.
	endCrashed = "crashed"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	// holdMax, stopTimeout are hold_max_ms and stop_timeout_ms of the settings.
	holdMax     = 1000 * time.Millisecond
	stopTimeout = 50 * time.Millisecond
	// listedEnds is the number of ends in one answer ("500 at a time").
	listedEnds = 500
)

// plan is what becomes of a run that is left alone.
type plan struct {
	takes time.Duration
	end   string
}

// worker is a stand-in of a worker. It does not guard its capacity.
type worker struct {
	id, address, reportTo string
	service, zone         string
	cpu, gpu              int64
	labels                []string
	// decide returns the plan of a run.
	decide func(w *worker, task string, attempt int64) plan
	record *record

	mu       sync.Mutex
	listener net.Listener
	server   *http.Server
	up       bool
	life     int
	born     time.Time
	token    int64
	deadline time.Time
	running  map[string]*activeRun
	// highest is the highest attempt of each task that was stopped or ended here.
	highest  map[string]int64
	ends     []*endedRun
	sequence int64
	reports  int64
	changed  chan struct{}
}

type activeRun struct {
	run     *run
	started time.Time
	plan    plan
	// stopBy is when a stop takes effect, zero for no stop.
	stopBy time.Time
}

type endedRun struct {
	number int64
	run    *run
	how    string
}

// start brings the worker up with nothing of before.
func (w *worker) start() error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", w.runStart)
	mux.HandleFunc("POST /api/run-stop", w.runStop)
	mux.HandleFunc("POST /api/hold", w.hold)
	w.mu.Lock()
	w.life++
	life := w.life
	w.listener, w.up, w.born, w.token, w.deadline = l, true, time.Now(), 0, time.Time{}
	w.running, w.highest, w.ends, w.sequence, w.reports = map[string]*activeRun{}, map[string]int64{}, nil, 0, 0
	w.changed = make(chan struct{})
	w.server = &http.Server{Handler: mux}
	server := w.server
	w.mu.Unlock()
	w.record.note("worker %s up, life %d", w.id, life)
	go func() { _ = server.Serve(l) }()
	go w.loop(life)
	return nil
}

// crash ends the worker: connections end, and new ones are refused.
func (w *worker) crash() {
	w.mu.Lock()
	w.advance(time.Now())
	w.up = false
	for _, r := range w.running {
		w.record.ended(r.run, endCrashed, time.Now())
	}
	w.running = map[string]*activeRun{}
	w.ends = nil
	server := w.server
	w.mu.Unlock()
	_ = server.Close()
	w.record.note("worker %s crashed", w.id)
}

func (w *worker) close() {
	w.mu.Lock()
	w.up = false
	server := w.server
	w.mu.Unlock()
	_ = server.Close()
}

func (w *worker) loop(life int) {
	var reported time.Time
	for {
		time.Sleep(2 * time.Millisecond)
		w.mu.Lock()
		if !w.up || w.life != life {
			w.mu.Unlock()
			return
		}
		now := time.Now()
		w.advance(now)
		w.mu.Unlock()
		if now.Sub(reported) >= heartbeatInterval {
			reported = now
			go w.report()
		}
	}
}

// advance ends the runs whose time has come. The caller holds the lock.
func (w *worker) advance(now time.Time) {
	if !w.deadline.IsZero() && !now.Before(w.deadline) {
		for _, r := range w.running {
			w.end(r, endLapsed, now)
		}
		for _, e := range w.ends {
			e.run.lapsed = true
		}
	}
	for _, r := range w.running {
		switch {
		case !now.Before(r.started.Add(r.plan.takes)):
			w.end(r, r.plan.end, now)
		case !r.stopBy.IsZero() && !now.Before(r.stopBy):
			w.end(r, endStopped, now)
		}
	}
}

func (w *worker) end(r *activeRun, how string, now time.Time) {
	delete(w.running, r.run.key())
	w.sequence++
	w.ends = append(w.ends, &endedRun{w.sequence, r.run, how})
	w.highest[r.run.task] = max(w.highest[r.run.task], r.run.attempt)
	w.record.ended(r.run, how, now)
	close(w.changed)
	w.changed = make(chan struct{})
}

// clock returns the worker's clock. The caller holds the lock.
func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1000 }

// extend takes the deadline of a call. The caller holds the lock.
func (w *worker) extend(deadline int64) {
	if deadline == 0 {
		return
	}
	until := w.born.Add(time.Duration(deadline-1000) * time.Millisecond)
	if latest := time.Now().Add(holdMax); until.After(latest) {
		until = latest
	}
	if until.After(w.deadline) {
		w.deadline = until
	}
}

type workerCall struct {
	Task     string `json:"task"`
	Attempt  int64  `json:"attempt"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    int64  `json:"fencing_token"`
	Cursor   int64  `json:"ack_cursor"`
	Wait     int64  `json:"wait_ms"`
}

// receive decodes a call and takes the lock, unless it has answered the call.
func (w *worker) receive(rw http.ResponseWriter, r *http.Request) (workerCall, bool) {
	var c workerCall
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return c, false
	}
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		w.mu.Unlock()
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return c, false
	}
	w.advance(time.Now())
	if c.Token < w.token {
		w.reject(rw, "fence")
		w.mu.Unlock()
		return c, false
	}
	w.token = c.Token
	return c, true
}

func (w *worker) reject(rw http.ResponseWriter, reason string) {
	respond(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": reason})
}

func (w *worker) runStart(rw http.ResponseWriter, r *http.Request) {
	c, ok := w.receive(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	now := time.Now()
	w.extend(c.Deadline)
	key := fmt.Sprint(c.Task, "/", c.Attempt)
	switch {
	case w.running[key] != nil:
	case c.Attempt <= w.highest[c.Task]:
		w.record.note("worker %s rejects %s attempt %d as old", w.id, c.Task, c.Attempt)
		w.reject(rw, "old")
		return
	case !now.Before(w.deadline):
		w.reject(rw, "late")
		return
	default:
		started := w.record.started(w.id, c.Task, c.Attempt, now)
		w.running[key] = &activeRun{run: started, started: now, plan: w.decide(w, c.Task, c.Attempt)}
	}
	respond(rw, http.StatusOK, map[string]int64{"clock_ms": w.clock()})
}

func (w *worker) runStop(rw http.ResponseWriter, r *http.Request) {
	c, ok := w.receive(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	if a := w.running[fmt.Sprint(c.Task, "/", c.Attempt)]; a != nil {
		if a.stopBy.IsZero() {
			a.stopBy = time.Now().Add(stopTimeout / 2)
			w.record.note("worker %s stops %s attempt %d", w.id, c.Task, c.Attempt)
		}
	} else {
		w.highest[c.Task] = max(w.highest[c.Task], c.Attempt)
	}
	respond(rw, http.StatusOK, map[string]int64{"clock_ms": w.clock()})
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	c, ok := w.receive(rw, r)
	if !ok {
		return
	}
	w.extend(c.Deadline)
	for len(w.ends) > 0 && w.ends[0].number <= c.Cursor {
		w.record.noted(w.ends[0].run, time.Now())
		w.ends = w.ends[1:]
	}
	life := w.life
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(min(c.Wait, 2000))*time.Millisecond)
	defer cancel()
	for len(w.ends) == 0 && ctx.Err() == nil && w.up && w.life == life {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		w.mu.Lock()
	}
	defer w.mu.Unlock()
	if !w.up || w.life != life {
		panic(http.ErrAbortHandler)
	}
	running, finished := []any{}, []any{}
	for _, a := range w.running {
		percent := int(100 * time.Since(a.started) / max(a.plan.takes, time.Millisecond))
		running = append(running, []any{a.run.task, a.run.attempt, "", min(percent, 99), 100})
	}
	for _, e := range w.ends[:min(len(w.ends), listedEnds)] {
		finished = append(finished, []any{e.number, e.run.task, e.run.attempt, e.how, ""})
	}
	respond(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli(), "running": running, "finished": finished})
}

// unacknowledged returns the number of ends that are not acknowledged.
func (w *worker) unacknowledged() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.ends)
}

// active returns the number of active runs.
func (w *worker) active() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running)
}

func (w *worker) report() {
	w.mu.Lock()
	w.reports++
	body, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "warmup_left_ms": 0,
		"capacity": map[string]int64{"cpu": w.cpu, "mem_mb": 262144, "gpu": w.gpu}, "labels": w.labels, "clock_ms": w.clock(),
		"sequence": w.reports, "born": w.born.UnixMilli(),
	})
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+w.reportTo+"/api/instances/"+w.id, bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", "application/json")
	request.Close = true
	if response, err := http.DefaultClient.Do(request); err == nil {
		_ = response.Body.Close()
	}
}
