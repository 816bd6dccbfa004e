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

// maxWrite is the size in bytes from which no further queued frame is joined into
// one write.
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

	// lastInboundAt is when the last frame arrived, pingedAt when the first Ping
	// since then was sent, 0 for none.
	lastInboundAt    atomic.Int64
	pingedAt         atomic.Int64
	pingSequence     atomic.Uint64
	delivering       atomic.Bool
	outstanding      atomic.Bool
	idlePingAfter    atomic.Int64
	sentTextRevision atomic.Int64

	closeOnce sync.Once
	closeErr  error
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
	s.lastInboundAt.Store(int64(n.clk.Now()))
	s.idlePingAfter.Store(int64(n.cfg.IdlePingAfter))
	return s
}

// Peer returns the incarnation of the other side.
func (s *Session) Peer() ownership.Incarnation {
	return ownership.Incarnation(s.hello.GetIncarnation())
}

// Hello returns the Hello of the other side, without the token.
func (s *Session) Hello() *wire.Hello { return s.hello }

// SetOutstanding sets whether an answer from the peer is expected. If it is, Ping
// is sent after Config.PingAfter, so that a silent connection is detected soon.
func (s *Session) SetOutstanding(outstanding bool) {
	s.outstanding.Store(outstanding)
}

// SetIdlePingAfter sets the time without an inbound frame after which Ping is sent
// while nothing is outstanding, for a peer that sends frames unprompted.
func (s *Session) SetIdlePingAfter(within clock.Millis) {
	s.idlePingAfter.Store(int64(within))
}

// Send queues an envelope and never blocks. The envelope must not be changed
// afterwards; the same envelope may be sent on several sessions. An envelope
// above the frame limit is not sent and the session stays open (kind
// TooLarge). A full queue closes the session (kind QueueFull). On a closed
// session the envelope is dropped without an error; Disconnected reports the end.
func (s *Session) Send(e *wire.Envelope) error {
	size := proto.Size(e)
	if size > s.node.cfg.MaxFrame {
		return &Error{Op: "send", Kind: TooLarge, Peer: s.peerName(), Err: errors.Errorf("%s of %d bytes exceeds %d", MessageKindOf(e), size, s.node.cfg.MaxFrame)}
	}
	if s.queue.put(queued{envelope: e, size: size + prefixBytes}) {
		return nil
	}
	err := &Error{Op: "send", Kind: QueueFull, Peer: s.peerName()}
	s.close(err)
	return err
}

// SendPing sends SendPing, by which the peer learns of the revisions in force.
func (s *Session) SendPing() { s.ping(s.node.clk.Now()) }

// Close ends the session. Queued envelopes are dropped.
func (s *Session) Close() {
	s.close(&Error{Op: "close", Kind: Closed, Peer: s.peerName()})
}

func (s *Session) peerName() string { return s.hello.GetIncarnation() }

// close records the first error and ends the connection. It does not block:
// the shutdown of yamux waits for its goroutines.
func (s *Session) close(err error) {
	s.closeOnce.Do(func() {
		s.closeErr = err
		s.queue.close()
		_ = s.conn.Close()
		go func() { _ = s.mux.Close() }()
	})
}

// flush waits until the queue has been written. When ctx ends, it closes the
// session.
func (s *Session) flush(ctx context.Context) {
	stop := context.AfterFunc(ctx, s.Close)
	defer stop()
	s.queue.flush()
}

// run serves the session until it ends and returns the reason.
func (s *Session) run() error {
	if err := s.handler.Connected(s, s.hello); err != nil {
		refused := &Error{Op: "connect", Kind: Refused, Peer: s.peerName(), Err: err}
		s.close(refused)
		return refused
	}
	s.node.mu.Lock()
	s.node.sessions[s] = struct{}{}
	s.node.mu.Unlock()

	done := make(chan struct{})
	go func() {
		defer close(done)
		s.writeFrames()
	}()
	s.handlePeerRevisions(s.hello.GetRecordRevision(), s.hello.GetTextRevision())
	s.close(s.readFrames())
	<-done

	s.node.mu.Lock()
	delete(s.node.sessions, s)
	s.node.mu.Unlock()
	s.handler.Disconnected(s, s.closeErr)
	return s.closeErr
}

// readFrames delivers frames until the session ends.
func (s *Session) readFrames() error {
	for {
		e, size, err := readFrame(s.stream, s.node.cfg.MaxFrame)
		if err != nil {
			return err
		}
		s.recordInbound(s.node.clk.Now())
		s.node.counters.CountFrame(MessageKindOf(e), Inbound, size)
		if err = s.deliver(e); err != nil {
			return err
		}
	}
}

func (s *Session) deliver(e *wire.Envelope) error {
	switch b := e.GetBody().(type) {
	case *wire.Envelope_Hello:
		return &Error{Op: "read", Kind: Malformed, Peer: s.peerName(), Err: errors.New("unexpected second hello")}
	case *wire.Envelope_Ping:
		s.pong(b.Ping.GetSequence())
		s.handlePeerRevisions(b.Ping.GetRecordRevision(), b.Ping.GetTextRevision())
	case *wire.Envelope_Pong:
		s.handlePeerRevisions(b.Pong.GetRecordRevision(), b.Pong.GetTextRevision())
	case *wire.Envelope_Text:
		s.node.local.AdoptText(b.Text)
	default:
		s.delivering.Store(true)
		s.handler.Message(s, e)
		s.recordInbound(s.node.clk.Now())
		s.delivering.Store(false)
	}
	return nil
}

// handlePeerRevisions reports the revisions of the peer and sends it the services
// text if that of the peer is older, each revision at most once.
func (s *Session) handlePeerRevisions(record, text int64) {
	s.handler.PeerRevisions(s, record, text)
	_, own := s.node.local.Revisions()
	if text >= own || s.sentTextRevision.Load() >= own {
		return
	}
	t := s.node.local.Text()
	if t == nil {
		return
	}
	s.sentTextRevision.Store(t.GetRevision())
	_ = s.Send(&wire.Envelope{Body: &wire.Envelope_Text{Text: t}})
}

// writeFrames joins queued frames into writes until the queue is closed.
func (s *Session) writeFrames() {
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
		if cap(buf) > maxReusedBuffer {
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
			return buf, &Error{Op: "write", Kind: Network, Peer: s.peerName(), Err: errors.WithStack(err)}
		}
		s.queue.release(pending)
		pending = 0
		buf = buf[:0]
	}
	return buf, nil
}

// recordInbound records the time of an inbound frame.
func (s *Session) recordInbound(now clock.Millis) {
	s.lastInboundAt.Store(int64(now))
	s.pingedAt.Store(0)
}

// checkLiveness sends Ping if the peer has been silent, and closes the session if no
// frame has followed Ping within PingTimeout.
func (s *Session) checkLiveness(now clock.Millis) {
	if s.delivering.Load() {
		return
	}
	cfg := &s.node.cfg
	if pinged := clock.Millis(s.pingedAt.Load()); pinged != 0 {
		if now-pinged >= cfg.PingTimeout {
			s.close(&Error{Op: "ping", Kind: Silent, Peer: s.peerName(), Err: errors.Errorf("no frame for %d ms after a ping", now-pinged)})
		}
		return
	}
	wait := clock.Millis(s.idlePingAfter.Load())
	if s.outstanding.Load() {
		wait = cfg.PingAfter
	}
	if now-clock.Millis(s.lastInboundAt.Load()) >= wait {
		s.ping(now)
	}
}

// ping sends Ping. If an earlier Ping is unanswered, its time is kept.
func (s *Session) ping(now clock.Millis) {
	s.pingedAt.CompareAndSwap(0, int64(now))
	record, text := s.node.local.Revisions()
	_ = s.Send(&wire.Envelope{Body: &wire.Envelope_Ping{Ping: &wire.Ping{
		Sequence:       s.pingSequence.Add(1),
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
