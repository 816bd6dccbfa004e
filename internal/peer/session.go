package peer

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// maxWrite is the size at which queued frames are no longer joined into one
// write.
const maxWrite = 256 << 10

// Session is a connection to another process on which both Hellos have been
// exchanged.
type Session struct {
	node    *Node
	conn    *conn
	mux     *yamux.Session
	stream  *yamux.Stream
	handler Handler
	hello   *wire.Hello
	queue   *queue

	// lastIn is when the last frame arrived, pinged when the Ping was sent
	// that no frame has followed, 0 for none.
	lastIn      atomic.Int64
	pinged      atomic.Int64
	sequence    atomic.Uint64
	delivering  atomic.Bool
	outstanding atomic.Bool
	idlePing    atomic.Int64
	sentText    atomic.Int64

	once sync.Once
	err  error
}

func (n *Node) newSession(c *conn, mux *yamux.Session, stream *yamux.Stream, handler Handler, hello *wire.Hello) *Session {
	s := &Session{
		node:    n,
		conn:    c,
		mux:     mux,
		stream:  stream,
		handler: handler,
		hello:   hello,
		queue:   newQueue(n.cfg.QueueBytes),
	}
	s.lastIn.Store(int64(n.clk.Now()))
	s.idlePing.Store(int64(n.cfg.IdlePingAfter))
	return s
}

// Peer returns the incarnation of the other side.
func (s *Session) Peer() ownership.Incarnation {
	return ownership.Incarnation(s.hello.GetIncarnation())
}

// Hello returns what the other side said of itself, without the token.
func (s *Session) Hello() *wire.Hello { return s.hello }

// SetOutstanding tells whether an answer from the peer is expected, so that a
// silent connection has to be detected soon.
func (s *Session) SetOutstanding(outstanding bool) {
	s.outstanding.Store(outstanding)
}

// SetIdlePingAfter sets the time without an inbound frame after which Ping is sent
// while nothing is outstanding, for a peer that sends frames of its own accord.
func (s *Session) SetIdlePingAfter(within clock.Millis) {
	s.idlePing.Store(int64(within))
}

// Send queues an envelope and never blocks. The envelope must not be changed
// afterwards; the same envelope may be sent on several sessions. An envelope
// above the frame limit is not sent and the session stays open (kind
// TooLarge). A full queue closes the session (kind QueueFull). On a closed
// session the envelope is dropped without an error; Disconnected tells.
func (s *Session) Send(e *wire.Envelope) error {
	size := proto.Size(e)
	if size > s.node.cfg.MaxFrame {
		return &Error{Op: "send", Kind: TooLarge, Peer: s.name(), Err: errors.Errorf("%s of %d bytes exceeds %d", MessageKindOf(e), size, s.node.cfg.MaxFrame)}
	}
	if s.queue.put(queued{envelope: e, size: size + prefixBytes}) {
		return nil
	}
	err := &Error{Op: "send", Kind: QueueFull, Peer: s.name()}
	s.close(err)
	return err
}

// SendPing sends SendPing, by which the peer learns of the revisions in force.
func (s *Session) SendPing() { s.ping(s.node.clk.Now()) }

// Close ends the session; what is queued is dropped.
func (s *Session) Close() {
	s.close(&Error{Op: "close", Kind: Closed, Peer: s.name()})
}

func (s *Session) name() string { return s.hello.GetIncarnation() }

// close records the first error and ends the connection. It does not block:
// the shutdown of yamux waits for its goroutines.
func (s *Session) close(err error) {
	s.once.Do(func() {
		s.err = err
		s.queue.close()
		_ = s.conn.Close()
		go func() { _ = s.mux.Close() }()
	})
}

// flush waits until the queue has been written or ctx ends.
func (s *Session) flush(ctx context.Context) {
	stop := context.AfterFunc(ctx, s.Close)
	defer stop()
	s.queue.flush()
}

// run serves the session until it ends and returns why.
func (s *Session) run() error {
	if err := s.handler.Connected(s, s.hello); err != nil {
		refused := &Error{Op: "connect", Kind: Refused, Peer: s.name(), Err: err}
		s.close(refused)
		return refused
	}
	s.node.mu.Lock()
	s.node.sessions[s] = struct{}{}
	s.node.mu.Unlock()

	done := make(chan struct{})
	go func() {
		defer close(done)
		s.write()
	}()
	s.peerRevisions(s.hello.GetRecordRevision(), s.hello.GetTextRevision())
	s.close(s.read())
	<-done

	s.node.mu.Lock()
	delete(s.node.sessions, s)
	s.node.mu.Unlock()
	s.handler.Disconnected(s, s.err)
	return s.err
}

// read delivers frames until the session ends.
func (s *Session) read() error {
	for {
		e, size, err := readFrame(s.stream, s.node.cfg.MaxFrame)
		if err != nil {
			return err
		}
		s.heard(s.node.clk.Now())
		s.node.counters.CountFrame(MessageKindOf(e), Inbound, size)
		if err = s.deliver(e); err != nil {
			return err
		}
	}
}

func (s *Session) deliver(e *wire.Envelope) error {
	switch b := e.GetBody().(type) {
	case *wire.Envelope_Hello:
		return &Error{Op: "read", Kind: Malformed, Peer: s.name(), Err: errors.New("a second hello")}
	case *wire.Envelope_Ping:
		s.pong(b.Ping.GetSequence())
		s.peerRevisions(b.Ping.GetRecordRevision(), b.Ping.GetTextRevision())
	case *wire.Envelope_Pong:
		s.peerRevisions(b.Pong.GetRecordRevision(), b.Pong.GetTextRevision())
	case *wire.Envelope_Text:
		s.node.local.AdoptText(b.Text)
	default:
		s.delivering.Store(true)
		s.handler.Message(s, e)
		s.heard(s.node.clk.Now())
		s.delivering.Store(false)
	}
	return nil
}

// peerRevisions reports the revisions of the peer and sends it the services
// text if its own is older, each revision at most once.
func (s *Session) peerRevisions(record, text int64) {
	s.handler.PeerRevisions(s, record, text)
	_, own := s.node.local.Revisions()
	if text >= own || s.sentText.Load() >= own {
		return
	}
	t := s.node.local.Text()
	if t == nil {
		return
	}
	s.sentText.Store(t.GetRevision())
	_ = s.Send(&wire.Envelope{Body: &wire.Envelope_Text{Text: t}})
}

// write joins queued frames into writes until the queue is closed.
func (s *Session) write() {
	var batch []queued
	var buf []byte
	for {
		var ok bool
		batch, ok = s.queue.take(batch)
		if !ok {
			return
		}
		var err error
		if buf, err = s.writeBatch(buf[:0], batch); err != nil {
			s.close(err)
			return
		}
		clear(batch)
		if cap(buf) > keepCapacity {
			buf = nil
		}
	}
}

func (s *Session) writeBatch(buf []byte, batch []queued) ([]byte, error) {
	pending := 0
	for i, item := range batch {
		var err error
		if buf, err = appendFrame(buf, item.envelope); err != nil {
			return buf, err
		}
		pending += item.size
		s.node.counters.CountFrame(MessageKindOf(item.envelope), Outbound, item.size)
		if len(buf) < maxWrite && i < len(batch)-1 {
			continue
		}
		if _, err = s.stream.Write(buf); err != nil {
			return buf, &Error{Op: "write", Kind: Network, Peer: s.name(), Err: errors.WithStack(err)}
		}
		s.queue.written(pending)
		pending = 0
		buf = buf[:0]
	}
	return buf, nil
}

// heard notes an inbound frame.
func (s *Session) heard(now clock.Millis) {
	s.lastIn.Store(int64(now))
	s.pinged.Store(0)
}

// check sends Ping or closes the session when the peer has been silent.
func (s *Session) check(now clock.Millis) {
	if s.delivering.Load() {
		return
	}
	cfg := &s.node.cfg
	if pinged := clock.Millis(s.pinged.Load()); pinged != 0 {
		if now-pinged >= cfg.PingTimeout {
			s.close(&Error{Op: "ping", Kind: Silent, Peer: s.name(), Err: errors.Errorf("no frame for %d ms after a ping", now-pinged)})
		}
		return
	}
	wait := clock.Millis(s.idlePing.Load())
	if s.outstanding.Load() {
		wait = cfg.PingAfter
	}
	if now-clock.Millis(s.lastIn.Load()) >= wait {
		s.ping(now)
	}
}

// ping sends Ping. The time of an earlier one that is still unanswered stays.
func (s *Session) ping(now clock.Millis) {
	s.pinged.CompareAndSwap(0, int64(now))
	record, text := s.node.local.Revisions()
	_ = s.Send(&wire.Envelope{Body: &wire.Envelope_Ping{Ping: &wire.Ping{
		Sequence:       s.sequence.Add(1),
		RecordRevision: record,
		TextRevision:   text,
	}}})
}

func (s *Session) pong(sequence uint64) {
	record, text := s.node.local.Revisions()
	_ = s.Send(&wire.Envelope{Body: &wire.Envelope_Pong{Pong: &wire.Pong{
		Sequence:       sequence,
		RecordRevision: record,
		TextRevision:   text,
	}}})
}
