package httpd

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/teaseltide/teaseltide/pkg/clock"
)

func testLimits() Limits {
	return Limits{
		MaxBody:        1000,
		MaxHeader:      500,
		MaxConnections: 50,
		MaxPipelined:   3,
		MaxBuffered:    20000,
		ReadTimeout:    300,
		IdleTimeout:    600,
		WriteTimeout:   5000,
		HandleTimeout:  5000,
	}
}

func start(t *testing.T, limits Limits, handler http.HandlerFunc) *Server {
	t.Helper()
	s, err := New("127.0.0.1:0", limits, clock.NewSystem(), handler, func(r Refusal) (string, []byte) {
		return "text/plain", []byte(r.Reason)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// exchange sends raw bytes and returns the whole response.
func exchange(t *testing.T, s *Server, raw string) string {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Write([]byte(raw))
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	got, err := io.ReadAll(c)
	if err != nil {
		t.Errorf("%.40q: %v", raw, err)
	}
	return string(got)
}

func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if r.URL.Path == "/panic" {
		panic("fault")
	}
	text := fmt.Sprintf("%s %s %d", r.Method, r.URL.Path, len(body))
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	io.WriteString(w, text)
}

// Guards against connections that are closed without an answer, ambiguous
// requests (request smuggling), and limits without effect.
func TestRequests(t *testing.T) {
	s := start(t, testLimits(), echo)
	const head = "POST /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
	cases := []struct{ name, raw, status, body string }{
		{"body", head + "Content-Length: 3\r\n\r\nabc", "200", "POST /a 3"},
		{"chunked", head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "200", "POST /a 3"},
		{"largest body", head + "Content-Length: 1000\r\n\r\n" + strings.Repeat("x", 1000), "200", "POST /a 1000"},
		{"body too large", head + "Content-Length: 1001\r\n\r\n" + strings.Repeat("x", 1001), "413", string(BodyTooLarge)},
		{"declared too large", head + "Content-Length: 5000000000\r\n\r\nabc", "413", string(BodyTooLarge)},
		{"chunks too large", head + "Transfer-Encoding: chunked\r\n\r\n5DC\r\n" + strings.Repeat("x", 1500) + "\r\n0\r\n\r\n", "413", string(BodyTooLarge)},
		{"many headers", head + strings.Repeat("A: b\r\n", 100) + "\r\n", "431", string(HeaderTooLarge)},
		{"endless header", head + "A: " + strings.Repeat("b", 2000), "4", ""},
		{"endless URL", "GET /" + strings.Repeat("b", 2000), "4", ""},
		{"no HTTP", "\x16\x03\x01 hello\r\n\r\n", "400", string(Malformed)},
		{"negative length", head + "Content-Length: -5\r\n\r\nabc", "400", string(Malformed)},
		{"two lengths", head + "Content-Length: 3\r\nContent-Length: 5\r\n\r\nabcde", "400", string(Malformed)},
		{"length and chunks", head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400", string(Malformed)},
		{"invalid URL", "GET /%zz HTTP/1.1\r\nHost: x\r\n\r\n", "400", string(Malformed)},
		{"slow", head + "Content-Length: 10\r\n\r\nabc", "408", string(TooSlow)},
	}
	var all sync.WaitGroup
	for _, c := range cases {
		all.Go(func() {
			got := exchange(t, s, c.raw)
			if !strings.HasPrefix(got, "HTTP/1.1 "+c.status) || !strings.Contains(got, c.body) {
				t.Errorf("%s: got %.300q, want status %s and body %q", c.name, got, c.status, c.body)
			}
		})
	}
	all.Wait()
	if got := exchange(t, s, "GET /panic HTTP/1.1\r\nHost: x\r\n\r\n"); got != "" {
		t.Errorf("panic: got %q", got)
	}
	if got := exchange(t, s, ""); got != "" {
		t.Errorf("idle: got %q", got)
	}
	if got := exchange(t, s, head+"Expect: 100-continue\r\nContent-Length: 3\r\n\r\n"); !strings.HasPrefix(got, "HTTP/1.1 100") {
		t.Errorf("expect: got %q", got)
	}
	time.Sleep(50 * time.Millisecond)
	if got := exchange(t, s, head+"Content-Length: 3\r\n\r\nabc"); !strings.HasSuffix(got, "\r\n\r\nPOST /a 3") {
		t.Errorf("got %q, want one part", got)
	}
	if got := s.buffered.Load(); got != 0 {
		t.Errorf("got %d buffered bytes after all connections ended, want 0", got)
	}
}

// Guards against answers in the wrong order and unbounded pipelining.
func TestPipeline(t *testing.T) {
	s := start(t, testLimits(), func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(50 * time.Millisecond)
		echo(w, r)
	})
	request := func(i int) string { return fmt.Sprintf("GET /%d HTTP/1.1\r\nHost: x\r\n\r\n", i) }
	got := exchange(t, s, request(1)+request(2)+request(3)+request(4)+request(5))
	if strings.Count(got, "200 OK") != 3 || !strings.Contains(got, "GET /1") || !strings.Contains(got, "GET /3 0") {
		t.Errorf("got %q, want the answers to the first three", got)
	}
}

// Guards against handlers that keep waiting after their client has disconnected.
func TestContextEndsWithConnection(t *testing.T) {
	ended := make(chan struct{})
	started := make(chan struct{})
	s := start(t, testLimits(), func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(ended)
	})
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	c.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	<-started
	c.Close()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the context did not end")
	}
}

// Guards against memory that grows with the number of unfinished requests.
func TestBufferedBytesAreBounded(t *testing.T) {
	limits := testLimits()
	limits.MaxBuffered, limits.ReadTimeout = 2000, 10_000
	s := start(t, limits, echo)
	const raw = "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n"
	for range 2 {
		c, err := net.Dial("tcp", s.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.Write([]byte(raw + strings.Repeat("x", 900)))
	}
	time.Sleep(100 * time.Millisecond)
	if got := exchange(t, s, raw+strings.Repeat("x", 500)); !strings.HasPrefix(got, "HTTP/1.1 503") {
		t.Errorf("got %q, want status 503", got)
	}
}

// Guards against truncated answers to a client that reads slowly, after its own
// Connection: close or during a graceful shutdown.
func TestSlowReader(t *testing.T) {
	const size = 16 << 20
	for _, connection := range []string{"close", "keep-alive"} {
		s := start(t, testLimits(), func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", fmt.Sprint(size))
			w.Write(make([]byte, size))
		})
		c, err := net.Dial("tcp", s.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: x\r\nConnection: %s\r\n\r\n", connection)
		time.Sleep(300 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		if s.Drain(ctx) {
			t.Errorf("%s: got drained while the answer is unread", connection)
		}
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		n, err := io.Copy(io.Discard, res.Body)
		if n != size || err != nil {
			t.Errorf("%s: got %d bytes (%v), want %d", connection, n, err, size)
		}
		if !s.Drain(t.Context()) {
			t.Errorf("%s: got not drained after the answer was read", connection)
		}
	}
}

// Guards against a server that starts with a limit unset.
func TestLimitsAreRequired(t *testing.T) {
	for i := range reflect.TypeFor[Limits]().NumField() {
		limits := testLimits()
		reflect.ValueOf(&limits).Elem().Field(i).SetZero()
		s, err := New("127.0.0.1:0", limits, clock.NewSystem(), http.HandlerFunc(echo), EncodePlainText)
		if err == nil {
			s.Close()
		}
		name := reflect.TypeFor[Limits]().Field(i).Name
		if err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("got error %v without %s, want one that names it", err, name)
		}
	}
}

// Guards against clients that exhaust the file descriptors.
func TestConnectionsAreBounded(t *testing.T) {
	limits := testLimits()
	limits.IdleTimeout = 10_000
	s := start(t, limits, echo)
	const request = "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
	for range limits.MaxConnections {
		c, err := net.Dial("tcp", s.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	time.Sleep(100 * time.Millisecond)
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Write([]byte(request))
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	// The connection may be reset, because it is closed with unread input.
	got, err := io.ReadAll(c)
	if len(got) != 0 || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got %q, %v on one connection too many, want it closed", got, err)
	}
}

// Guards against answers that stay buffered for a client that does not read them.
func TestUnreadAnswerIsDropped(t *testing.T) {
	limits := testLimits()
	// A short idle timeout would close the connection even without the write
	// timeout.
	limits.WriteTimeout, limits.IdleTimeout = 300, 60_000
	s := start(t, limits, func(w http.ResponseWriter, _ *http.Request) {
		w.Write(make([]byte, 16<<20))
	})
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	time.Sleep(100 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if !s.Drain(ctx) {
		t.Error("got not drained, want the connection closed by the write timeout")
	}
}

// Guards against a write timeout that ends a request while its handler runs: a
// job may take longer than the time allowed for reading its answer.
func TestHandlerOutlastsWriteTimeout(t *testing.T) {
	limits := testLimits()
	limits.WriteTimeout = 200
	s := start(t, limits, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Second)
		echo(w, r)
	})
	got := exchange(t, s, "GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	if !strings.HasPrefix(got, "HTTP/1.1 200") || !strings.HasSuffix(got, "GET /a 0") {
		t.Errorf("got %q, want the answer", got)
	}
}
