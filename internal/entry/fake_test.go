package entry

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/teaseltide/teaseltide/internal/dispatch"
	"github.com/teaseltide/teaseltide/internal/httpd"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/peer"
	"github.com/teaseltide/teaseltide/internal/platform"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const testWait = 10 * time.Second

// fakeCore records events and returns the commands that a test queues. It
// answers submitted jobs of the service "echo" with their payloads.
type fakeCore struct {
	mu       sync.Mutex
	commands []dispatch.Command
	status   dispatch.Status
	// stall, if set, blocks the control thread in Tick: Tick sends a value on it
	// and then waits until it is closed.
	stall  chan struct{}
	events chan dispatch.Event
}

func newFakeCore() *fakeCore { return &fakeCore{events: make(chan dispatch.Event, 10000)} }

func (c *fakeCore) Handle(_ clock.Millis, event dispatch.Event) {
	if s, ok := event.(dispatch.Submit); ok && s.Job.GetService() == "echo" {
		a := &wire.Answer{Service: "echo", Key: s.Job.GetKey(), Ran: wire.Ran_RAN_COMPLETE}
		for _, t := range s.Job.GetTasks() {
			a.Results = append(a.Results, t.GetPayload())
		}
		c.queue(dispatch.Reply{Request: s.Request, Answer: a})
	}
	if _, ok := event.(dispatch.MembersChanged); !ok {
		c.events <- event
	}
}

func (c *fakeCore) Tick(clock.Millis) []dispatch.Command {
	c.mu.Lock()
	stall := c.stall
	commands := c.commands
	c.commands = nil
	c.mu.Unlock()
	if stall != nil {
		stall <- struct{}{}
		<-stall
	}
	return commands
}

func (c *fakeCore) queue(command dispatch.Command) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.commands = append(c.commands, command)
}

func (c *fakeCore) AwaitsReply(ownership.Incarnation) bool { return false }
func (c *fakeCore) Counters() dispatch.Counters            { return dispatch.Counters{} }

func (c *fakeCore) Status() dispatch.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.status
}

// nextEvent returns the next event of a type and discards those before it.
func nextEvent[T dispatch.Event](t *testing.T, c *fakeCore) T {
	t.Helper()
	limit := time.After(testWait)
	for {
		select {
		case event := <-c.events:
			if got, ok := event.(T); ok {
				return got
			}
		case <-limit:
			var want T
			t.Fatalf("no %T within %v", want, testWait)
		}
	}
}

// fakeStore is an in-memory store. Its watches poll.
type fakeStore struct {
	mu               sync.Mutex
	record           ownership.Record
	entries          []platform.EntryRegistration
	sidecars         platform.SidecarListing
	text             platform.Text
	loseNextResponse bool
	unavailable      bool
	listCalls        int
	leaseRevoked     bool
}

var errUnavailable = errors.New("the store is down")

func (s *fakeStore) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	s.sidecars.Revision++
}

func (s *fakeStore) ReadRecord(context.Context) (ownership.Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record, nil
}

func (s *fakeStore) WriteRecord(_ context.Context, r ownership.Record) (ownership.Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Revision != s.record.Revision {
		return ownership.Record{}, errors.New("conflict")
	}
	r.Revision++
	s.record = r
	if s.loseNextResponse {
		s.loseNextResponse = false
		return ownership.Record{}, errors.New("response lost")
	}
	return r, nil
}

func (s *fakeStore) ListSidecars(context.Context) (platform.SidecarListing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listCalls++
	if s.unavailable {
		return platform.SidecarListing{}, errUnavailable
	}
	return s.sidecars, nil
}

func (s *fakeStore) DeleteSidecar(_ context.Context, id ownership.Incarnation) error {
	if s.isUnavailable() {
		return errUnavailable
	}
	s.update(func() {
		var kept []platform.SidecarRegistration
		for _, r := range s.sidecars.Registrations {
			if r.Sidecar != id {
				kept = append(kept, r)
			}
		}
		s.sidecars.Registrations = kept
	})
	return nil
}

func (s *fakeStore) isUnavailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unavailable
}

func (s *fakeStore) KeepEntry(ctx context.Context, e platform.EntryRegistration, registered func(bool)) {
	s.update(func() { s.entries = append(s.entries, e) })
	registered(true)
	<-ctx.Done()
	s.update(func() { s.leaseRevoked = true })
}

func poll(ctx context.Context, f func()) {
	for ctx.Err() == nil {
		f()
		sleep(ctx, 20*time.Millisecond)
	}
}

func (s *fakeStore) WatchRecord(ctx context.Context, _ func(ownership.Record)) { <-ctx.Done() }

func (s *fakeStore) WatchEntries(ctx context.Context, deliver func(platform.EntryListing)) {
	poll(ctx, func() {
		s.mu.Lock()
		entries := s.entries
		s.mu.Unlock()
		deliver(platform.EntryListing{Registrations: entries})
	})
}

// WatchSidecars delivers only changes, so that tests can distinguish lists from
// watches.
func (s *fakeStore) WatchSidecars(ctx context.Context, deliver func(platform.SidecarListing)) {
	last := platform.Revision(-1)
	poll(ctx, func() {
		s.mu.Lock()
		sidecars := s.sidecars
		s.mu.Unlock()
		if sidecars.Revision != last {
			last = sidecars.Revision
			deliver(sidecars)
		}
	})
}

func (s *fakeStore) WatchText(ctx context.Context, deliver func(platform.Text)) {
	poll(ctx, func() {
		s.mu.Lock()
		text := s.text
		s.mu.Unlock()
		deliver(text)
	})
}

type noFrames struct{}

func (noFrames) CountFrame(peer.MessageKind, peer.Direction, int) {}

func testSettings(name string) Settings {
	s := Settings{
		Incarnation:    ownership.Incarnation(name),
		CallersAddress: "127.0.0.1:0",
		Peer:           peer.DefaultConfig(),
		Limits: httpd.Limits{
			MaxBody:        2000,
			MaxHeader:      4096,
			MaxConnections: 3000,
			MaxPipelined:   4,
			MaxBuffered:    64 << 20,
			ReadTimeout:    10 * clock.Second,
			IdleTimeout:    clock.Minute,
			WriteTimeout:   30 * clock.Second,
			HandleTimeout:  clock.Minute,
		},
		MaxPendingRequests: 2000,
		DrainTimeout:       10 * clock.Second,
	}
	s.Peer.Listen, s.Peer.Token = "127.0.0.1:0", "peers"
	return s
}

// testEntry is an entry under test.
type testEntry struct {
	*Process
	core *fakeCore
	// stop requests a graceful shutdown; ended receives its result.
	stop     context.CancelFunc
	ended    chan error
	registry *prometheus.Registry
}

func startEntry(t *testing.T, s Settings, store Store) *testEntry {
	t.Helper()
	core := newFakeCore()
	ctx, cancel := context.WithCancel(context.Background())
	r := &testEntry{core: core, stop: cancel, ended: make(chan error, 1), registry: prometheus.NewRegistry()}
	started := make(chan *Process, 1)
	go func() {
		r.ended <- run(ctx, s, Deps{
			Store: store, Clock: clock.NewSystem(), Log: zap.NewNop(), Metrics: r.registry, Frames: noFrames{},
			OnStarted: func(p *Process) { started <- p },
		}, core)
	}()
	select {
	case r.Process = <-started:
	case err := <-r.ended:
		t.Fatal(err)
	}
	t.Cleanup(func() {
		core.queue(dispatch.Drained{})
		cancel()
		select {
		case <-r.ended:
		case <-time.After(testWait):
			t.Error("the entry did not stop")
		}
	})
	return r
}

func (r *testEntry) url() string { return "http://" + r.callers.Addr() }

// metric returns the sum of a counter or gauge over its labels.
func (r *testEntry) metric(t *testing.T, name string) float64 {
	t.Helper()
	families, err := r.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	sum := 0.0
	for _, f := range families {
		if f.GetName() != "teaseltide_entry_"+name {
			continue
		}
		for _, m := range f.GetMetric() {
			sum += m.GetCounter().GetValue() + m.GetGauge().GetValue()
		}
	}
	return sum
}

// eventually fails the test if a condition is not met within 10 s.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for range 500 {
		if f() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Errorf("condition not met within 10 s: %s", what)
}

// sendRequest sends an HTTP request and returns the status and the body.
func sendRequest(t *testing.T, method, url, body string, header ...string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		t.Error(err)
	}
	return res.StatusCode, string(data)
}
