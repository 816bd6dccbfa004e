package capacity

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/teaseltide/teaseltide/internal/peer"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	roleSessions = "sessions"
	// sessionLimit bounds the wait for sessions and frames.
	sessionLimit = 30 * time.Second
)

// sessionEnd is one end of the measured sessions. The end that is dialled stands for
// many sidecars: it never adopts a text, as if each session led to another one.
type sessionEnd struct {
	hello     *wire.Hello
	text      atomic.Pointer[wire.Text]
	connected atomic.Int64
	frames    atomic.Int64
	bytes     atomic.Int64
	messages  atomic.Int64
	texts     atomic.Int64
	pongs     atomic.Int64
	sessions  chan *peer.Session
}

func newSessionEnd(hello *wire.Hello) *sessionEnd {
	return &sessionEnd{hello: hello, sessions: make(chan *peer.Session, workerSizes[len(workerSizes)-1])}
}

func (e *sessionEnd) Hello() *wire.Hello {
	return &wire.Hello{Role: e.hello.GetRole(), Incarnation: e.hello.GetIncarnation(), Domain: e.hello.GetDomain(), Sidecar: e.hello.GetSidecar()}
}
func (e *sessionEnd) Revisions() (record, text int64) { return 1, e.text.Load().GetRevision() }
func (e *sessionEnd) Text() *wire.Text                { return e.text.Load() }
func (e *sessionEnd) AdoptText(*wire.Text)            { e.texts.Add(1) }

func (e *sessionEnd) Connected(s *peer.Session, _ *wire.Hello) error {
	e.connected.Add(1)
	e.sessions <- s
	return nil
}
func (e *sessionEnd) Message(*peer.Session, *wire.Envelope)     { e.messages.Add(1) }
func (e *sessionEnd) PeerRevisions(*peer.Session, int64, int64) {}
func (e *sessionEnd) Disconnected(*peer.Session, error)         { e.connected.Add(-1) }

func (e *sessionEnd) CountFrame(kind peer.MessageKind, d peer.Direction, bytes int) {
	e.frames.Add(1)
	e.bytes.Add(int64(bytes))
	if kind == peer.KindPong && d == peer.Inbound {
		e.pongs.Add(1)
	}
}

func (e *sessionEnd) node(listen string) (*peer.Node, error) {
	cfg := peer.DefaultConfig()
	cfg.Listen = listen
	cfg.Token = "secret"
	// Only the measurement itself sends pings.
	cfg.PingAfter, cfg.IdlePingAfter = clock.Minute, clock.Minute
	return peer.New(cfg, clock.NewSystem(), e, e, e)
}

// waitUntil polls a condition, at most for sessionLimit.
func waitUntil(what string, ok func() bool) error {
	for limit := time.Now().Add(sessionLimit); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			return errors.Errorf("capacity: %s not within %s", what, sessionLimit)
		}
	}
	return nil
}

// sessions measures real sessions over loopback. Both ends are in this
// process, so that CPU time and memory are those of both.
func sessions(r *Report) error {
	sidecars := newSessionEnd(sidecarHello(0))
	entry := newSessionEnd(&wire.Hello{Role: wire.Hello_ROLE_ENTRY, Incarnation: string(self), Domain: "domain-0"})
	server, err := sidecars.node("127.0.0.1:0")
	if err != nil {
		return err
	}
	client, err := entry.node("")
	if err != nil {
		return err
	}
	defer func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		client.Close(ctx)
		server.Close(ctx)
	}()
	m := &sessionRun{client: client, address: server.Addr(), entry: entry, sidecars: sidecars}
	defer m.close()
	if err := m.grow(r); err != nil {
		return err
	}
	return m.texts(r)
}

// sessionRun holds the sessions of one measurement.
type sessionRun struct {
	client          *peer.Node
	address         string
	entry, sidecars *sessionEnd
	dialers         []*peer.Dialer
	open            []*peer.Session
}

func (m *sessionRun) close() {
	for _, d := range m.dialers {
		d.Close()
	}
	for _, d := range m.dialers {
		<-d.Done()
	}
}

// dial brings the number of sessions to n.
func (m *sessionRun) dial(n int) error {
	for len(m.dialers) < n {
		m.dialers = append(m.dialers, m.client.Dial(peer.Target{Incarnation: sidecarName(0), Address: m.address}, m.entry))
		m.open = append(m.open, <-m.entry.sessions)
		<-m.sidecars.sessions
	}
	return waitUntil("sessions", func() bool {
		return m.entry.connected.Load() == int64(n) && m.sidecars.connected.Load() == int64(n)
	})
}

// grow measures the sessions at each number of workers.
func (m *sessionRun) grow(r *Report) error {
	const exchanges = 20
	var memory, pings, frames []Point
	before := heap()
	for _, n := range workerSizes {
		x := float64(n)
		if err := m.dial(n); err != nil {
			return err
		}
		memory = append(memory, Point{x, heap() - before})
		cpu, err := m.ping(exchanges)
		if err != nil {
			return err
		}
		pings = append(pings, Point{x, cpu / exchanges})
		cpu, err = m.send(exchanges)
		if err != nil {
			return err
		}
		frames = append(frames, Point{x, cpu / exchanges})
	}
	r.add(roleSessions, "memory of both ends", "B", "session", memory...)
	r.add(roleSessions, "ping and pong on each session, process CPU of both ends", "us", "session", pings...)
	r.add(roleSessions, "dispatch of one task on each session, process CPU of both ends", "us", "session", frames...)
	return nil
}

// ping exchanges heartbeats on all sessions and returns the CPU time in us.
func (m *sessionRun) ping(rounds int) (float64, error) {
	start := processTime()
	for range rounds {
		want := m.entry.pongs.Load() + int64(len(m.open))
		m.client.PingAll(0)
		if err := waitUntil("pongs", func() bool { return m.entry.pongs.Load() >= want }); err != nil {
			return 0, err
		}
	}
	return micros(processTime() - start), nil
}

// send sends a dispatch of one task on all sessions and returns the CPU time in
// us.
func (m *sessionRun) send(rounds int) (float64, error) {
	start := processTime()
	for n := range rounds {
		want := m.sidecars.messages.Load() + int64(len(m.open))
		for _, s := range m.open {
			if err := s.Send(wire.Wrap(newDispatch(n, 1, startTime))); err != nil {
				return 0, err
			}
		}
		if err := waitUntil("messages", func() bool { return m.sidecars.messages.Load() >= want }); err != nil {
			return 0, err
		}
	}
	return micros(processTime() - start), nil
}

// texts measures a change of the services text as one entry hands it to all
// sidecars.
func (m *sessionRun) texts(r *Report) error {
	var cpu, bytes, elapsed []Point
	for i, size := range []int{16 << 10, 64 << 10, 512 << 10} {
		x := float64(size)
		m.entry.text.Store(&wire.Text{Revision: int64(i + 2), Text: make([]byte, size)})
		want := m.sidecars.texts.Load() + int64(len(m.open))
		sent := m.entry.bytes.Load()
		start := processTime()
		wall := time.Now()
		m.client.PingAll(0)
		if err := waitUntil("texts", func() bool { return m.sidecars.texts.Load() >= want }); err != nil {
			return err
		}
		elapsed = append(elapsed, Point{x, micros(time.Since(wall)) / 1000})
		cpu = append(cpu, Point{x, micros(processTime()-start) / 1000})
		bytes = append(bytes, Point{x, float64(m.entry.bytes.Load() - sent)})
	}
	r.add(roleSessions, "text to 780 sidecars by one entry, process CPU of both ends", "ms", "byte of text", cpu...)
	r.add(roleSessions, "text to 780 sidecars by one entry, bytes", "B", "byte of text", bytes...)
	r.add(roleSessions, "text to 780 sidecars by one entry, wall time on loopback", "ms", "byte of text", elapsed...)
	return nil
}
