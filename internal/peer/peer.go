// Package peer maintains sessions between the processes of teaseltide. A session
// is one yamux stream over an nbio connection. It carries frames, each a length
// prefix of four bytes in network order and a wire.Envelope. Both sides first send
// Hello with the shared token. The package answers Ping, detects silent
// connections, dials again after a loss and sends the services text to peers that
// have an older one; all other frames are delivered to the Handler.
package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/pkg/errors"

	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Config holds the settings of a Node. Durations are in ms, sizes in bytes.
type Config struct {
	// Listen is the address to accept sessions on; empty for none.
	Listen string
	// Token is the secret that all processes share.
	Token string
	// PingAfter is the time without an inbound frame after which a session
	// with outstanding work sends Ping; IdlePingAfter applies to other sessions.
	PingAfter     clock.Millis
	IdlePingAfter clock.Millis
	// PingTimeout is the time after Ping without any inbound frame after which
	// the session is closed.
	PingTimeout clock.Millis
	// HelloTimeout bounds the exchange of Hello, DialTimeout the TCP dial.
	HelloTimeout clock.Millis
	DialTimeout  clock.Millis
	// BackoffMin and BackoffMax bound the wait before the next dial.
	BackoffMin clock.Millis
	BackoffMax clock.Millis
	// MaxFrame bounds the encoded size of one envelope.
	MaxFrame int
	// QueueBytes bounds the encoded envelopes queued for writing on one session. A
	// session whose queue is full is closed.
	QueueBytes int
	// MaxAcceptedConns bounds the accepted connections, with or without Hello.
	MaxAcceptedConns int
	// OnFailure, if set, is called for dials and Hello exchanges that fail, from
	// several goroutines.
	OnFailure func(err error)
	// Pollers is the number of threads that read from connections.
	Pollers int
}

// Default sizes, in bytes.
const (
	// DefaultMaxFrame fits a caller's request body of 8 MiB with encoding overhead.
	DefaultMaxFrame = 16 << 20
	// DefaultQueueBytes fits four frames of the maximum size.
	DefaultQueueBytes = 64 << 20
)

// DefaultConfig returns the settings of docs/design.md without Listen and Token.
func DefaultConfig() Config {
	return Config{
		PingAfter:        500,
		IdlePingAfter:    20 * clock.Second,
		PingTimeout:      clock.Second,
		HelloTimeout:     2 * clock.Second,
		DialTimeout:      clock.Second,
		BackoffMin:       50,
		BackoffMax:       clock.Second,
		MaxFrame:         DefaultMaxFrame,
		QueueBytes:       DefaultQueueBytes,
		MaxAcceptedConns: 4096,
		Pollers:          2,
	}
}

// LocalProcess gives a Node access to the state of its own process. Its methods
// are called from several goroutines.
type LocalProcess interface {
	// Hello returns a new Hello without the token.
	Hello() *wire.Hello
	// Revisions returns the revisions of the ownership record and of the
	// services text in force, 0 for none.
	Revisions() (record, text int64)
	// Text returns the services text in force, or nil.
	Text() *wire.Text
	// AdoptText receives a text from a peer. It ignores a text whose revision is
	// not higher than that of the text in force.
	AdoptText(text *wire.Text)
}

// Handler receives the events of sessions. The calls for one session are
// sequential: Connected, then Message and PeerRevisions, then Disconnected. A
// Message call that blocks slows down the peer and counts as activity.
type Handler interface {
	// Connected reports a session whose Hello has been checked. An error
	// refuses the session; Disconnected is not called then.
	Connected(s *Session, hello *wire.Hello) error
	// Message delivers a frame other than Hello, Ping, Pong and Text.
	Message(s *Session, envelope *wire.Envelope)
	// PeerRevisions delivers the revisions that the peer sent in Hello, Ping or Pong.
	PeerRevisions(s *Session, record, text int64)
	// Disconnected reports the end of a session.
	Disconnected(s *Session, err error)
}

// Direction is whether a frame was received or sent.
type Direction string

// Directions of a frame.
const (
	Inbound  Direction = "in"
	Outbound Direction = "out"
)

// FrameCounter counts frames. Bytes include the length prefix.
type FrameCounter interface {
	CountFrame(kind MessageKind, direction Direction, bytes int)
}

// Node manages the sessions of one process.
type Node struct {
	cfg           Config
	clk           clock.Clock
	local         LocalProcess
	acceptHandler Handler
	counters      FrameCounter
	engine        *nbio.Engine
	addr          string

	acceptedConns atomic.Int64
	// byConn maps *nbio.Conn to *conn. The session field of nbio's Conn is not
	// synchronized between the goroutines that accept and that read.
	byConn sync.Map
	stop   chan struct{}
	active sync.WaitGroup

	mu       sync.Mutex
	closed   bool
	sessions map[*Session]struct{}
	conns    map[*conn]struct{}
}

// New starts a Node. The handler receives accepted sessions; it may be nil if
// cfg.Listen is empty. The error is of kind InvalidConfig or Network.
func New(cfg Config, clk clock.Clock, local LocalProcess, accept Handler, counters FrameCounter) (*Node, error) {
	if cfg.Token == "" {
		return nil, &Error{Op: "start", Kind: InvalidConfig, Err: errors.New("the token is empty")}
	}
	n := &Node{
		cfg:           cfg,
		clk:           clk,
		local:         local,
		acceptHandler: accept,
		counters:      counters,
		stop:          make(chan struct{}),
		sessions:      make(map[*Session]struct{}),
		conns:         make(map[*conn]struct{}),
	}
	n.engine = n.newEngine()
	if err := n.engine.Start(); err != nil {
		return nil, &Error{Op: "listen", Kind: Network, Peer: cfg.Listen, Err: errors.WithStack(err)}
	}
	n.active.Add(1)
	go n.monitor()
	return n, nil
}

func (n *Node) newEngine() *nbio.Engine {
	// nbio logs to the standard output by default.
	logging.SetLevel(logging.LevelNone)
	conf := nbio.Config{
		Name:               "peer",
		Network:            "tcp",
		NPoller:            n.cfg.Pollers,
		MaxWriteBufferSize: maxUnsent,
		Listen:             n.listen,
	}
	if n.cfg.Listen != "" {
		conf.Addrs = []string{n.cfg.Listen}
	}
	engine := nbio.NewEngine(conf)
	engine.OnOpen(n.onOpen)
	engine.OnData(func(c *nbio.Conn, data []byte) {
		if in := n.connOf(c); in != nil {
			in.appendReceived(data)
		}
	})
	engine.OnClose(func(c *nbio.Conn, err error) {
		if in := n.connOf(c); in != nil {
			n.byConn.Delete(c)
			in.markClosed(err)
		}
	})
	return engine
}

func (n *Node) listen(network, address string) (net.Listener, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(context.Background(), network, address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	n.addr = l.Addr().String()
	return l, nil
}

// Addr returns the address that the node listens on, empty for none.
func (n *Node) Addr() string { return n.addr }

// onOpen is called by nbio for accepted and for dialled connections. Dialled
// ones already have a conn.
func (n *Node) onOpen(c *nbio.Conn) {
	if n.connOf(c) != nil {
		return
	}
	in := n.addConn(c)
	if n.acceptedConns.Add(1) > int64(n.cfg.MaxAcceptedConns) || !n.track(in) {
		n.acceptedConns.Add(-1)
		_ = c.Close()
		return
	}
	go func() {
		defer n.active.Done()
		defer n.acceptedConns.Add(-1)
		defer n.untrack(in)
		n.serveAccepted(in)
	}()
}

// addConn creates the conn of an nbio connection, to which the callbacks of nbio
// refer.
func (n *Node) addConn(c *nbio.Conn) *conn {
	in := newConn(c)
	n.byConn.Store(c, in)
	return in
}

// connOf returns the conn of an nbio connection, or nil.
func (n *Node) connOf(c *nbio.Conn) *conn {
	in, ok := n.byConn.Load(c)
	if !ok {
		return nil
	}
	return in.(*conn)
}

// track registers a connection, so that Close ends it and waits for it. It
// reports false if the node is closed.
func (n *Node) track(c *conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.conns[c] = struct{}{}
	n.active.Add(1)
	return true
}

func (n *Node) untrack(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

func (n *Node) reportFailure(err error) {
	if n.cfg.OnFailure != nil {
		n.cfg.OnFailure(err)
	}
}

// PingAll sends Ping on every session, so that peers learn of new revisions
// before the idle ping. Each session is pinged at a random time within the given
// duration, immediately if it is 0. Several nodes that learn of a new text at the
// same time then rarely ping a peer while the text of another node is in flight.
func (n *Node) PingAll(within clock.Millis) {
	for _, s := range n.liveSessions() {
		if within <= 0 {
			s.ping(n.clk.Now())
			continue
		}
		time.AfterFunc(rand.N(within).Duration(), func() { s.ping(n.clk.Now()) })
	}
}

func (n *Node) liveSessions() []*Session {
	n.mu.Lock()
	defer n.mu.Unlock()
	all := make([]*Session, 0, len(n.sessions))
	for s := range n.sessions {
		all = append(all, s)
	}
	return all
}

// Close writes the queued frames until the context ends, closes all sessions and
// stops listening. Pools and dialers must be closed before.
func (n *Node) Close(ctx context.Context) {
	for _, s := range n.liveSessions() {
		s.flush(ctx)
	}
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return
	}
	n.closed = true
	close(n.stop)
	conns := make([]*conn, 0, len(n.conns))
	for c := range n.conns {
		conns = append(conns, c)
	}
	n.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
	n.active.Wait()
	n.engine.Stop()
}

// monitorInterval is the resolution of the liveness checks. One goroutine
// checks all sessions, because a timer for each of several hundred sessions
// wakes the process more often than their traffic does.
const monitorInterval = 50 * time.Millisecond

func (n *Node) monitor() {
	defer n.active.Done()
	ticker := time.NewTicker(monitorInterval)
	defer ticker.Stop()
	last := n.clk.Now()
	for {
		select {
		case <-n.stop:
			return
		case <-ticker.C:
		}
		now := n.clk.Now()
		// After a pause of this process the frames that arrived meanwhile are
		// still unread, so the peers are not silent.
		paused := now-last > n.cfg.PingTimeout/2
		last = now
		for _, s := range n.liveSessions() {
			if paused {
				s.recordInbound(now)
			}
			s.checkLiveness(now)
		}
	}
}
