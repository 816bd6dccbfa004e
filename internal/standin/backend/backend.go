// Package backend is a stand-in for a backend server, for tests and the demo
// only. It announces itself to a sidecar, runs tasks by waiting for the time
// that their payload names, and counts the starts of every task, so that a
// test can check at-most-once execution by a count that teaseltide does not
// keep itself.
//
// A task's payload is JSON, see Input, such as {"run-ms": 200}; its result is
// JSON, see Output.
//
//	err := backend.Run(ctx, backend.Settings{
//		Name:     "worker-1",
//		Services: []string{"quoting"},
//		Slots:    8,
//		Sidecar:  "127.0.0.1:7070",
//		Listen:   "127.0.0.1:0",
//	})
package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"

	"github.com/teaseltide/teaseltide/internal/backend"
	"github.com/teaseltide/teaseltide/internal/httpd"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Mode is how the stand-in behaves.
type Mode string

// Modes of the stand-in.
const (
	// Serve runs tasks.
	Serve Mode = "serve"
	// FailAll starts every task and fails it at once.
	FailAll Mode = "fail-all"
	// Freeze accepts connections, answers nothing and announces nothing, as a
	// paused process would. Tasks that arrived continue with the next mode.
	Freeze Mode = "freeze"
	// Leave announces that the server leaves and keeps running tasks.
	Leave Mode = "leave"
)

func (m Mode) valid() bool {
	return m == Serve || m == FailAll || m == Freeze || m == Leave
}

const (
	// leaveGrace is the time after which a leaving server must get no task.
	leaveGrace = 3 * clock.Second
	// maxBodyBytes bounds the payload of a task and the padding of its result.
	maxBodyBytes = 16 << 20
)

// limits of the listener. Waiting tasks hold a connection and a handler each,
// and requests to /mode and /counts must not wait behind them.
var limits = httpd.Limits{
	MaxBody:        maxBodyBytes,
	MaxHeader:      16 << 10,
	MaxConnections: 8192,
	MaxPipelined:   4,
	MaxBuffered:    32 * maxBodyBytes,
	ReadTimeout:    10 * clock.Second,
	IdleTimeout:    2 * clock.Minute,
	WriteTimeout:   30 * clock.Second,
	// HandleTimeout is above the longest deadline of a task.
	HandleTimeout: 15 * clock.Minute,
}

// Settings configure a stand-in.
type Settings struct {
	Name     string
	Services []string
	Slots    int
	// Connections announced; 0 means one for each slot.
	Connections int
	// Speed divides the run time of every task; 0 means 1.
	Speed        float64
	MemoryMiB    int64
	CPUs         int
	Accelerators int
	// Sidecar is the address that takes the announcements.
	Sidecar string
	// Listen is the address to serve on, an IP address and a port.
	Listen string
	// Journal, if set, is a file to which the id of every task is appended
	// before its start, so that the starts can be counted after a crash.
	Journal string
	// Mode at the start; empty means Serve.
	Mode Mode
	// OnListen, if set, gets the address that the stand-in is bound to.
	OnListen func(address string)
}

// Input is the payload of a task.
type Input struct {
	RunMillis clock.Millis `json:"run-ms"`
	// ResultBytes is the length of Output.Padding.
	ResultBytes int `json:"result-bytes"`
}

// Output is the result of a task.
type Output struct {
	Task   string `json:"task"`
	Worker string `json:"worker"`
	// Padding makes a result as large as its task asks for.
	Padding string `json:"padding,omitempty"`
}

// Counts is the body of GET /counts.
type Counts struct {
	// Starts holds the number of starts of every task by its id.
	Starts map[string]int `json:"starts"`
	Total  int            `json:"total"`
	// MaxRunning is the highest number of tasks that ran at once.
	MaxRunning int `json:"most-running"`
	// LateStarts counts the starts later than 3 s after Leave was set.
	LateStarts int `json:"late-starts"`
	// Refused counts the tasks refused as not run for want of a slot.
	Refused int `json:"refused"`
	// Stopped counts the running tasks that were stopped by a request.
	Stopped int `json:"stopped"`
}

// server is a running stand-in.
type server struct {
	settings Settings
	clock    clock.Clock
	address  string
	stop     context.Context
	journal  *os.File

	mu      sync.Mutex
	mode    Mode
	changed chan struct{}
	leaveAt clock.Millis
	counts  Counts
	running map[string]context.CancelFunc
}

// Run serves and announces until ctx ends. It then stops at once, as a crashed
// server would.
func Run(ctx context.Context, settings Settings) error {
	s, err := newServer(ctx, settings)
	if err != nil {
		return err
	}
	if s.journal != nil {
		defer func() { _ = s.journal.Close() }()
	}
	web, err := httpd.New(settings.Listen, limits, s.clock, s.routes(), httpd.EncodePlainText)
	if err != nil {
		return fmt.Errorf("stand-in %s: %w", settings.Name, err)
	}
	defer web.Close()
	s.address = web.Addr()
	if settings.OnListen != nil {
		settings.OnListen(s.address)
	}
	s.announceLoop(ctx)
	return nil
}

func newServer(ctx context.Context, settings Settings) (*server, error) {
	if settings.Speed == 0 {
		settings.Speed = 1
	}
	if settings.Mode == "" {
		settings.Mode = Serve
	}
	if settings.Speed < 0 || settings.Slots < 1 || !settings.Mode.valid() {
		return nil, fmt.Errorf("stand-in %s: speed %v, slots %d or mode %q is not valid", settings.Name, settings.Speed, settings.Slots, settings.Mode)
	}
	s := &server{
		settings: settings,
		clock:    clock.NewSystem(),
		stop:     ctx,
		changed:  make(chan struct{}),
		running:  make(map[string]context.CancelFunc),
	}
	if settings.Journal != "" {
		var err error
		if s.journal, err = os.OpenFile(settings.Journal, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
			return nil, fmt.Errorf("stand-in %s: %w", settings.Name, err)
		}
	}
	s.counts.Starts = make(map[string]int)
	s.setMode(settings.Mode)
	return s, nil
}

func (s *server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/tasks/{id}", s.serveTask)
	mux.HandleFunc("DELETE /v1/tasks/{id}", s.serveStop)
	mux.HandleFunc("GET /counts", s.serveCounts)
	mux.HandleFunc("POST /mode", s.serveMode)
	return mux
}

// serveMode sets the mode that the body names, as plain text.
func (s *server) serveMode(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || !Mode(body).valid() {
		http.Error(w, fmt.Sprintf("mode %q is not valid", body), http.StatusBadRequest)
		return
	}
	s.setMode(Mode(body))
	w.WriteHeader(http.StatusNoContent)
}

func (s *server) setMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m == Leave && s.mode != Leave {
		s.leaveAt = s.clock.Now()
	}
	s.mode = m
	close(s.changed)
	s.changed = make(chan struct{})
}

// current returns the mode and a channel that closes when it changes.
func (s *server) current() (Mode, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode, s.changed
}

func (s *server) serveCounts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	body, err := json.Marshal(s.counts)
	s.mu.Unlock()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeJSON(w, body)
}

func writeJSON(w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	// The peer sees a cut response if this fails.
	_, _ = w.Write(body)
}

func (s *server) announcement(m Mode) backend.Announcement {
	a := backend.Announcement{
		Services:     s.settings.Services,
		Slots:        s.settings.Slots,
		Connections:  s.settings.Connections,
		MemoryMiB:    s.settings.MemoryMiB,
		CPUs:         s.settings.CPUs,
		Accelerators: s.settings.Accelerators,
		Address:      s.address,
		State:        backend.Serving,
	}
	if m == Leave {
		a.State = backend.Leaving
	}
	return a
}
