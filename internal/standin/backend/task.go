package backend

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/teaseltide/teaseltide/internal/backend"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

func (s *server) serveTask(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	mode := s.thaw()
	if mode == Freeze {
		return
	}
	id := r.PathValue("id")
	ctx, ok, err := s.begin(id)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if !ok {
		w.Header().Set(backend.HeaderRan, backend.RanNotRun)
		http.Error(w, "no free slot", http.StatusServiceUnavailable)
		return
	}
	defer s.end(id)
	if mode == FailAll {
		http.Error(w, "the server fails every task", http.StatusInternalServerError)
		return
	}
	s.runTask(ctx, w, id, body)
}

// thaw waits while the server is frozen and returns the mode. It returns
// Freeze if the server stops.
func (s *server) thaw() Mode {
	for {
		mode, changed := s.current()
		if mode != Freeze {
			return mode
		}
		select {
		case <-changed:
		case <-s.stop.Done():
			return Freeze
		}
	}
}

// begin counts the start of a task and takes a slot for it. It returns false
// if no slot is free.
func (s *server) begin(id string) (context.Context, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.running) >= s.settings.Slots && s.running[id] == nil {
		s.counts.Refused++
		return nil, false, nil
	}
	if s.journal != nil {
		if _, err := s.journal.WriteString(id + "\n"); err != nil {
			return nil, false, err
		}
	}
	s.counts.Starts[id]++
	s.counts.Total++
	if s.mode == Leave && s.clock.Now() > s.leaveAt+leaveGrace {
		s.counts.LateStarts++
	}
	ctx, cancel := context.WithCancel(s.stop)
	s.running[id] = cancel
	s.counts.MaxRunning = max(s.counts.MaxRunning, len(s.running))
	return ctx, true, nil
}

func (s *server) end(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancel := s.running[id]; cancel != nil {
		cancel()
	}
	delete(s.running, id)
}

func (s *server) runTask(ctx context.Context, w http.ResponseWriter, id string, body []byte) {
	var in Input
	if err := json.Unmarshal(body, &in); err != nil || in.RunMillis < 0 || in.ResultBytes < 0 || in.ResultBytes > maxBodyBytes {
		http.Error(w, `the payload is not {"run-ms": N, "result-bytes": N}`, http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(scale(in.RunMillis, s.settings.Speed))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		http.Error(w, "stopped", http.StatusInternalServerError)
		return
	case <-timer.C:
	}
	// A task that ended while the server was frozen is answered later.
	if s.thaw() == Freeze {
		return
	}
	out, err := json.Marshal(Output{Task: id, Worker: s.settings.Name, Padding: strings.Repeat("r", in.ResultBytes)})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeJSON(w, out)
}

func scale(run clock.Millis, speed float64) time.Duration {
	return time.Duration(float64(run.Duration()) / speed)
}

func (s *server) serveStop(w http.ResponseWriter, r *http.Request) {
	if s.thaw() == Freeze {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	cancel := s.running[r.PathValue("id")]
	if cancel == nil {
		http.Error(w, "the task does not run", http.StatusNotFound)
		return
	}
	s.counts.Stopped++
	cancel()
	w.WriteHeader(http.StatusNoContent)
}
