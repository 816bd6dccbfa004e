package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// step is a step of a job: count tasks that need this much cpu.
type step struct {
	count, cpu int
	// after lists the numbers of earlier steps.
	after []int
}

// body returns the body of a job whose tasks each run for runMs.
func body(runMs int, bestEffort bool, steps ...step) string {
	spec, _ := json.Marshal(taskSpec{RunMs: runMs})
	var phases []map[string]any
	for _, s := range steps {
		phase := map[string]any{"count": s.count, "cpu": s.cpu, "mem_mb": 64, "estimated_ms": runMs}
		if len(s.after) > 0 {
			phase["after"] = s.after
		}
		phases = append(phases, phase)
	}
	job := map[string]any{"spec": string(spec), "phases": phases}
	if bestEffort {
		job["best_effort"] = true
	}
	data, _ := json.Marshal(job)
	return string(data)
}

var clients = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}

// send makes a client's call at an entry. The status is 0 without an answer.
func (s *system) send(m *machine, method, path, text string, deadline time.Duration) (status int, answered string, at time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addr(m.ip, frontPort)+path, strings.NewReader(text))
	if err != nil {
		return 0, err.Error(), time.Now()
	}
	request.Host = routeHost
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if text != "" {
		request.Header.Set("Content-Type", "application/json")
	}
	s.record.add("client sends", "to", m.name, "call", method+" "+path)
	response, err := clients.Do(request)
	if err != nil {
		s.record.add("client has no answer", "from", m.name, "call", method+" "+path)
		return 0, err.Error(), time.Now()
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	at = time.Now()
	s.record.add("client is answered", "from", m.name, "call", method+" "+path, "status", response.StatusCode, "body", strings.TrimSpace(string(data)))
	return response.StatusCode, string(data), at
}

// state returns the state of a job as an entry shows it, or the status of the answer.
func (s *system) state(m *machine, id string) string {
	status, text, _ := s.send(m, http.MethodGet, routePrefix+id, "", 2*time.Second)
	var b struct {
		State string `json:"state"`
	}
	if status == http.StatusOK && json.Unmarshal([]byte(text), &b) == nil {
		return b.State
	}
	return strconv.Itoa(status)
}

// awaitServing waits until every entry has run a job with more tasks than there are
// workers.
func (s *system) awaitServing(limit time.Duration) error {
	until := time.Now().Add(limit)
	for i, m := range s.entries {
		for n := 0; ; n++ {
			status, _, _ := s.send(m, http.MethodPost, routePrefix+jobID(0xf000+i*256+n), body(20, true, step{count: 2 * len(s.workers), cpu: 100}), 2*time.Second)
			if status == http.StatusOK {
				break
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s does not serve", m.name)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	return nil
}

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

// await waits until a condition holds.
func await(limit time.Duration, condition func() bool) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}
