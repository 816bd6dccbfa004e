package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const testWait = 10 * time.Second

// fakeProcess is a LocalProcess, Handler and FrameCounter that records the calls.
type fakeProcess struct {
	name          string
	revision      atomic.Int64
	connected     chan *Session
	messages      chan *wire.Envelope
	disconnected  chan error
	failures      chan error
	adopted       chan *wire.Text
	blockMessages chan struct{}
}

func newProcess(name string) *fakeProcess {
	return &fakeProcess{
		name:         name,
		connected:    make(chan *Session, 100),
		messages:     make(chan *wire.Envelope, 1000),
		disconnected: make(chan error, 100),
		failures:     make(chan error, 1000),
		adopted:      make(chan *wire.Text, 10),
	}
}

func (p *fakeProcess) Hello() *wire.Hello {
	return &wire.Hello{Incarnation: p.name, TextRevision: p.revision.Load()}
}
func (p *fakeProcess) Revisions() (int64, int64) { return 0, p.revision.Load() }
func (p *fakeProcess) Text() *wire.Text          { return &wire.Text{Revision: p.revision.Load()} }
func (p *fakeProcess) AdoptText(text *wire.Text) { p.adopted <- text }
func (p *fakeProcess) Connected(s *Session, _ *wire.Hello) error {
	p.connected <- s
	return nil
}
func (p *fakeProcess) Message(_ *Session, e *wire.Envelope) {
	if p.blockMessages != nil {
		<-p.blockMessages
	}
	p.messages <- e
}
func (p *fakeProcess) Disconnected(_ *Session, err error)     { p.disconnected <- err }
func (p *fakeProcess) CountFrame(MessageKind, Direction, int) {}
func (p *fakeProcess) start(t *testing.T, cfg Config) *Node   { return startNode(t, p, cfg) }

func (p *fakeProcess) PeerRevisions(*Session, int64, int64) {}

func startNode(t *testing.T, p *fakeProcess, cfg Config) *Node {
	t.Helper()
	cfg.Token = "secret"
	cfg.OnFailure = func(err error) {
		select {
		case p.failures <- err:
		default:
		}
	}
	n, err := New(cfg, clock.NewSystem(), p, p, p)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		n.Close(ctx)
	})
	return n
}

func testConfig() Config {
	cfg := DefaultConfig()
	cfg.PingAfter, cfg.PingTimeout = 100, 200
	return cfg
}

func withListener(cfg Config) Config {
	cfg.Listen = "127.0.0.1:0"
	return cfg
}

func receive[T any](t *testing.T, c chan T, what string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testWait):
		t.Fatalf("no %s within %v", what, testWait)
		panic("unreachable")
	}
}

func resultsEnvelope(data []byte) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Results{Results: &wire.Results{Tasks: []*wire.TaskResult{{Result: data}}}}}
}

// Guards against loss, reordering and corruption of frames: frames above the
// yamux window, many small ones, and the joined yamux headers.
func TestRoundTrip(t *testing.T) {
	a, b := newProcess("a"), newProcess("b")
	server := a.start(t, withListener(testConfig()))
	client := b.start(t, testConfig())
	pool := client.NewPool(b)
	defer pool.Close()
	pool.Set([]Target{{Incarnation: "a", Address: server.Addr()}})
	out, in := receive(t, b.connected, "session"), receive(t, a.connected, "session")

	for i, size := range []int{0, 1, 12, 5 << 20, 100, 15 << 20, 300} {
		data := bytes.Repeat([]byte{byte(i + 1)}, size)
		for s, to := range map[*Session]*fakeProcess{out: a, in: b} {
			if err := s.Send(resultsEnvelope(data)); err != nil {
				t.Fatal(err)
			}
			got := receive(t, to.messages, "message").GetResults().GetTasks()[0].GetResult()
			if !bytes.Equal(got, data) {
				t.Fatalf("got %d bytes, want %d", len(got), len(data))
			}
		}
	}
	for i := range 500 {
		if err := out.Send(resultsEnvelope([]byte{byte(i)})); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 500 {
		if got := receive(t, a.messages, "message").GetResults().GetTasks()[0].GetResult()[0]; got != byte(i) {
			t.Fatalf("message %d: got %d", i, got)
		}
	}
	if got := KindOf(out.Send(resultsEnvelope(make([]byte, 17<<20)))); got != TooLarge {
		t.Fatalf("got kind %q, want %q", got, TooLarge)
	}
	pool.Set(nil)
	receive(t, a.disconnected, "end of the session")
}

// Guards against a peer that keeps an old services text.
func TestTextReachesOlderPeer(t *testing.T) {
	a, b := newProcess("a"), newProcess("b")
	b.revision.Store(4)
	server := a.start(t, withListener(testConfig()))
	client := b.start(t, testConfig())
	d := client.Dial(Target{Incarnation: "a", Address: server.Addr()}, b)
	defer d.Close()
	if got := receive(t, a.adopted, "text").GetRevision(); got != 4 {
		t.Fatalf("got revision %d, want 4", got)
	}
	b.revision.Store(5)
	client.PingAll(0)
	if got := receive(t, a.adopted, "text").GetRevision(); got != 5 {
		t.Fatalf("got revision %d, want 5", got)
	}
}

// Guards against a node that sends a new text to all peers at once: while the
// texts are in flight, other nodes ping the same peers, find their texts old and
// send them the new one again.
func TestTextsAreSpread(t *testing.T) {
	const sessions = 40
	const within = 800 * clock.Millis(1)
	a, b := newProcess("a"), newProcess("b")
	a.adopted = make(chan *wire.Text, 2*sessions)
	server := a.start(t, withListener(testConfig()))
	client := b.start(t, testConfig())
	for range sessions {
		d := client.Dial(Target{Incarnation: "a", Address: server.Addr()}, b)
		defer d.Close()
		receive(t, b.connected, "session")
		receive(t, a.connected, "session")
	}
	b.revision.Store(5)
	begin := time.Now()
	client.PingAll(within)
	time.Sleep((within / 4).Duration())
	got, passed := len(a.adopted), time.Since(begin)
	// The expected number is proportional to the time that has passed, a quarter
	// unless the machine is busy; half of the sessions more is not plausible by
	// chance.
	if most := sessions*int(passed/time.Millisecond)/int(within) + sessions/2; got > most {
		t.Errorf("got %d of %d texts after %d of %d ms, want at most %d", got, sessions, passed.Milliseconds(), within, most)
	}
	for range sessions {
		receive(t, a.adopted, "text")
	}
}

// proxy forwards connections until silent is set; then it discards all data, like
// a network that drops the packets of established connections.
type proxy struct {
	addr   string
	silent atomic.Bool
}

func startProxy(t *testing.T, target string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	p := &proxy{addr: l.Addr().String()}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				in.Close()
				continue
			}
			go p.forward(in, out)
			go p.forward(out, in)
		}
	}()
	return p
}

func (p *proxy) forward(from, to net.Conn) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			to.Close()
			return
		}
		if p.silent.Load() {
			continue
		}
		if _, err = to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// Guards against a session that stays on a silent connection, against pings that
// close a live one, and against a dialer that does not dial again after a loss.
func TestSilentConnectionIsReplaced(t *testing.T) {
	testSilentConnection(t, func(s *Session) { s.SetOutstanding(true) })
}

// Guards against a silent connection that is not detected while nothing is
// outstanding, to a peer that sends frames unprompted.
func TestSilentConnectionWithoutOutstandingWorkIsReplaced(t *testing.T) {
	testSilentConnection(t, func(s *Session) { s.SetIdlePingAfter(150) })
}

func testSilentConnection(t *testing.T, expect func(s *Session)) {
	t.Helper()
	a, b := newProcess("a"), newProcess("b")
	server := a.start(t, withListener(testConfig()))
	client := b.start(t, testConfig())
	p := startProxy(t, server.Addr())
	d := client.Dial(Target{Incarnation: "a", Address: p.addr}, b)
	defer d.Close()
	s := receive(t, b.connected, "session")
	expect(s)
	select {
	case err := <-b.disconnected:
		t.Fatalf("live session closed: %v", err)
	case <-time.After(700 * time.Millisecond):
	}
	p.silent.Store(true)
	start := time.Now()
	if err := receive(t, b.disconnected, "end of the session"); KindOf(err) != Silent {
		t.Fatalf("got %v, want kind %q", err, Silent)
	}
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("silence was found after %v", took)
	}
	p.silent.Store(false)
	receive(t, b.connected, "new session")
}

// Guards against sessions with a process that lacks the token, and with another
// incarnation than expected at an address.
func TestDialRefused(t *testing.T) {
	a, b := newProcess("a"), newProcess("b")
	server := a.start(t, withListener(testConfig()))
	client := b.start(t, testConfig())
	client.cfg.Token = "wrong"
	d := client.Dial(Target{Incarnation: "a", Address: server.Addr()}, b)
	if err := receive(t, a.failures, "failure"); KindOf(err) != WrongToken {
		t.Fatalf("got %v, want kind %q", err, WrongToken)
	}
	d.Close()
	<-d.Done()
	client.cfg.Token = "secret"
	d = client.Dial(Target{Incarnation: "other", Address: server.Addr()}, b)
	defer d.Close()
	for {
		if err := receive(t, b.failures, "failure"); KindOf(err) == Refused {
			break
		}
	}
	if len(b.connected) != 0 {
		t.Fatal("a session was reported")
	}
	// A sidecar that reported one would replace its session with this entry by
	// one that ends immediately.
	if len(a.connected) != 0 {
		t.Fatal("a session was reported on the accepting side")
	}
}

// Guards against malformed frames of a faulty peer, before and after Hello.
func TestMalformedPeer(t *testing.T) {
	a := newProcess("a")
	server := a.start(t, withListener(testConfig()))
	hello, _ := appendFrame(nil, &wire.Envelope{Body: &wire.Envelope_Hello{Hello: &wire.Hello{Incarnation: "x", Token: "secret"}}})
	open := func(frames ...[]byte) io.Closer {
		c, err := net.Dial("tcp", server.Addr())
		if err != nil {
			t.Fatal(err)
		}
		mux, err := yamux.Client(c, muxConfig())
		if err != nil {
			t.Fatal(err)
		}
		stream, err := mux.Open()
		if err != nil {
			t.Fatal(err)
		}
		stream.Write(bytes.Join(frames, nil))
		return mux
	}
	defer open(withPrefix(maxHelloBytes+1, nil)).Close()
	if err := receive(t, a.failures, "failure"); KindOf(err) != TooLarge {
		t.Errorf("oversized hello: got %v", err)
	}
	for _, bad := range [][]byte{withPrefix(17<<20, nil), withPrefix(1, []byte{0xff}), hello} {
		defer open(hello, bad).Close()
		if err := receive(t, a.disconnected, "end of the session"); KindOf(err) != TooLarge && KindOf(err) != Malformed {
			t.Errorf("got %v, want kind %q or %q", err, TooLarge, Malformed)
		}
	}
	raw, err := net.Dial("tcp", server.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	raw.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	if err = receive(t, a.failures, "failure"); KindOf(err) != Network {
		t.Errorf("no yamux: got %v", err)
	}
}

// Guards against a slow peer that blocks the sender or exhausts its memory.
func TestFullQueueClosesSession(t *testing.T) {
	a, b := newProcess("a"), newProcess("b")
	a.blockMessages = make(chan struct{})
	server := a.start(t, withListener(testConfig()))
	cfg := testConfig()
	cfg.QueueBytes = 4 << 20
	client := b.start(t, cfg)
	d := client.Dial(Target{Incarnation: "a", Address: server.Addr()}, b)
	defer d.Close()
	s := receive(t, b.connected, "session")
	var err error
	for range 20 {
		if err = s.Send(resultsEnvelope(make([]byte, 1<<20))); err != nil {
			break
		}
	}
	if KindOf(err) != QueueFull {
		t.Fatalf("got %v, want kind %q", err, QueueFull)
	}
	if err = receive(t, b.disconnected, "end of the session"); KindOf(err) != QueueFull {
		t.Fatalf("got %v, want kind %q", err, QueueFull)
	}
	close(a.blockMessages)
}
