package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

func newTestClient(address string, connections int) *Client {
	c := NewClient(ClientConfig{Clock: clock.NewSystem(), MaxResultBytes: 64})
	c.SetServer(State{Announcement: Announcement{Address: address, Connections: connections}})
	return c
}

// rawServer starts a server that reads once from every connection, writes reply
// and closes it. It returns its address.
func rawServer(t *testing.T, reply string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			conn.Read(make([]byte, 4096))
			io.WriteString(conn, reply)
			conn.Close()
		}
	}()
	return ln.Addr().String()
}

// Guards against an outcome that permits a second start of a task that may have
// run, and against a truncated response that passes for a result.
func TestOutcomes(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	for _, tc := range []struct {
		name, address string
		want          wire.Outcome
	}{
		{"refused", closed.Addr().String(), wire.Outcome_OUTCOME_NOT_STARTED},
		{"no response", rawServer(t, ""), wire.Outcome_OUTCOME_UNKNOWN},
		{"truncated body", rawServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc"), wire.Outcome_OUTCOME_UNKNOWN},
		{"body without a length", rawServer(t, "HTTP/1.0 200 OK\r\n\r\nabc"), wire.Outcome_OUTCOME_DONE},
		{"not run", rawServer(t, "HTTP/1.1 503 Busy\r\nTeaseltide-Ran: not-run\r\nContent-Length: 0\r\n\r\n"), wire.Outcome_OUTCOME_NOT_STARTED},
		{"busy", rawServer(t, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"), wire.Outcome_OUTCOME_ERROR},
		{"redirect", rawServer(t, "HTTP/1.1 307 Go\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n"), wire.Outcome_OUTCOME_UNKNOWN},
		{"too long", rawServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 65\r\n\r\n"+strings.Repeat("x", 65)), wire.Outcome_OUTCOME_ERROR},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newTestClient(tc.address, 4)
			got := c.Run(context.Background(), &Task{Service: "s", Key: "k"})
			if got.Outcome != tc.want {
				t.Errorf("got %v (%s), want %v", got.Outcome, got.Message, tc.want)
			}
			if got.Outcome == wire.Outcome_OUTCOME_DONE && string(got.Body) != "abc" {
				t.Errorf("got body %q, want abc", got.Body)
			}
		})
	}
}

// Guards against a request that is not cancelled at its deadline or at the loss
// of the backend server, and against more connections than announced.
func TestAbandonedRequests(t *testing.T) {
	var open, maxOpen atomic.Int32
	unfreeze := make(chan struct{})
	ts := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			<-unfreeze
		}
	}))
	ts.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		switch s {
		case http.StateNew:
			maxOpen.Store(max(maxOpen.Load(), open.Add(1)))
		case http.StateClosed:
			open.Add(-1)
		}
	}
	ts.Start()
	defer ts.Close()
	defer close(unfreeze)
	c := newTestClient(ts.Listener.Addr().String(), 2)
	results := make(chan wire.Outcome, 4)
	for range 4 {
		go func() { results <- c.Run(context.Background(), &Task{}).Outcome }()
	}
	time.Sleep(100 * time.Millisecond)
	// The server still counts a connection that the client has closed while its
	// handler blocks, so the count is valid only before a request is cancelled.
	if got := maxOpen.Load(); got > 2 {
		t.Errorf("got %d connections, want at most 2", got)
	}
	c.SetServer(State{Lost: true})
	count := map[wire.Outcome]int{}
	for range 4 {
		count[<-results]++
	}
	if count[wire.Outcome_OUTCOME_UNKNOWN] != 2 || count[wire.Outcome_OUTCOME_NOT_STARTED] != 2 {
		t.Errorf("got %v, want 2 UNKNOWN and 2 NOT_STARTED", count)
	}
	c.SetServer(State{Announcement: Announcement{Address: ts.Listener.Addr().String(), Connections: 2}})
	at := clock.NewSystem().Now() + 100
	if got := c.Run(context.Background(), &Task{DeadlineAt: at}).Outcome; got != wire.Outcome_OUTCOME_UNKNOWN {
		t.Errorf("got %v after the deadline, want UNKNOWN", got)
	}
}

// Guards against a task that is reported as not started while the transport's
// writer still sends it: no task that starts may have this outcome.
func TestNotStartedRunIsNeverSent(t *testing.T) {
	var mu sync.Mutex
	started := map[string]bool{}
	ts := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		started[r.Header.Get(HeaderJob)] = true
	}))
	defer ts.Close()
	c := newTestClient(ts.Listener.Addr().String(), 8)
	var notStarted sync.Map
	var wg sync.WaitGroup
	for i := range 400 {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(i%20)*50*time.Microsecond)
			defer cancel()
			task := &Task{Service: "s", Key: time.Duration(i).String()}
			if c.Run(ctx, task).Outcome == wire.Outcome_OUTCOME_NOT_STARTED {
				notStarted.Store(task.JobID(), true)
			}
		})
	}
	wg.Wait()
	time.Sleep(50 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	for job := range started {
		if _, ok := notStarted.Load(job); ok {
			t.Errorf("task %s was started and reported as not started", job)
		}
	}
}

// Guards against a silent backend server that keeps its slots, repeated
// announcements that are reported as changes, and malformed ones that are
// accepted.
func TestAnnouncements(t *testing.T) {
	states := make(chan State, 10)
	l, err := Listen(ListenerConfig{
		Address:          "127.0.0.1:0",
		OnState:          func(s State) { states <- s },
		Clock:            clock.NewSystem(),
		HeartbeatTimeout: 300,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	post := func(body string) (int, string) {
		resp, err := http.Post("http://"+l.Addr()+"/v1/announce", "application/json", strings.NewReader(body))
		if err != nil {
			return 0, ""
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(text)
	}
	valid := `{"services":["quoting"],"slots":8,"address":"127.0.0.1:9","state":"serving"}`
	for range 3 {
		if code, _ := post(valid); code != http.StatusNoContent {
			t.Fatalf("got status %d, want 204", code)
		}
	}
	for _, invalid := range []string{"", "{}", strings.Replace(valid, "8", "-8", 1), strings.Replace(valid, "127.0.0.1:9", "host:9", 1)} {
		if code, text := post(invalid); code != http.StatusBadRequest || !strings.Contains(text, "malformed-announcement") {
			t.Errorf("got status %d %q for %q, want 400 malformed-announcement", code, text, invalid)
		}
	}
	if code, text := post(strings.Repeat(" ", maxAnnounceBytes+1)); code != http.StatusRequestEntityTooLarge || !strings.Contains(text, `"code":"body-too-large"`) {
		t.Errorf("got status %d %q for an oversized body, want 413 body-too-large", code, text)
	}
	if s := <-states; s.Lost || s.Slots != 8 || s.Connections != 8 {
		t.Errorf("got %+v, want 8 slots and connections", s)
	}
	if s := <-states; !s.Lost {
		t.Errorf("got %+v, want lost", s)
	}
}

// Guards against an announce listener that does not bound header size,
// connections and read time.
func TestAnnounceLimits(t *testing.T) {
	listen := func() *Listener {
		l, err := Listen(ListenerConfig{Address: "127.0.0.1:0", OnState: func(State) {}, Clock: clock.NewSystem()})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		return l
	}
	dial := func(l *Listener, raw string) net.Conn {
		c, err := net.Dial("tcp", l.Addr())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		io.WriteString(c, raw)
		c.SetReadDeadline(time.Now().Add(8 * time.Second))
		return c
	}
	const requestHead = "POST /v1/announce HTTP/1.1\r\nHost: x\r\n"
	l := listen()
	slow := dial(l, requestHead+"Content-Length: 10\r\n\r\nabc")
	// On a listener of its own, because a closed connection counts until the server
	// has handled its end, and would take the place of one below.
	large, _ := io.ReadAll(dial(listen(), requestHead+strings.Repeat("A: b\r\n", maxHeaderBytes/6)+"\r\n"))
	if !strings.HasPrefix(string(large), "HTTP/1.1 431") || !strings.Contains(string(large), `"code":"header-too-large"`) {
		t.Errorf("got %q for an oversized header, want 431 header-too-large", large)
	}
	for range maxAnnounceConnections - 1 {
		dial(l, "")
	}
	time.Sleep(100 * time.Millisecond)
	// The connection may be reset, because it is closed with unread input.
	if got, err := io.ReadAll(dial(l, requestHead)); len(got) != 0 || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got %q, %v on a connection beyond the limit, want it closed", got, err)
	}
	if got, _ := io.ReadAll(slow); !strings.HasPrefix(string(got), "HTTP/1.1 408") {
		t.Errorf("got %q for a slow request, want 408", got)
	}
}
