package peer

import (
	"crypto/sha256"
	"crypto/subtle"
	"io"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
)

// maxHelloBytes bounds the first frame, which comes from a peer that has not been
// authenticated yet. A Hello with all partitions and a sidecar's state fits.
const maxHelloBytes = 256 << 10

// muxConfig returns the settings of yamux. Keep-alive is off because Ping replaces
// it and also carries revisions. Only one stream is used; an accept backlog of one
// bounds the streams that a peer can open.
func muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false
	c.AcceptBacklog = 1
	c.MaxStreamWindowSize = maxWindow
	c.StreamOpenTimeout = 0
	c.LogOutput = io.Discard
	return c
}

// serveAccepted runs an accepted connection until it ends.
func (n *Node) serveAccepted(c *conn) {
	defer func() { _ = c.Close() }()
	mux, err := yamux.Server(c, muxConfig())
	if err != nil {
		return
	}
	defer func() { _ = mux.Close() }()
	timer := time.AfterFunc(n.cfg.HelloTimeout.Duration(), func() { _ = c.Close() })
	defer timer.Stop()
	stream, err := mux.AcceptStream()
	if err != nil {
		n.reportFailure(&Error{Op: "accept", Kind: Network, Err: errors.WithStack(err)})
		return
	}
	hello, err := n.readHello(stream)
	if err != nil {
		n.reportFailure(err)
		return
	}
	if err = n.answerHello(stream, hello); err != nil {
		n.reportFailure(err)
		return
	}
	timer.Stop()
	s := n.newSession(c, mux, stream, n.acceptHandler, hello)
	_ = s.run()
}

// answerHello answers the Hello of a process that dialled. If that process
// expects another incarnation at this address, it gets the answer, from which it
// learns this incarnation, but no session: the session would replace the one that
// it has with this incarnation, and end immediately.
func (n *Node) answerHello(w io.Writer, hello *wire.Hello) error {
	own, err := n.writeHello(w, "")
	if err != nil {
		return err
	}
	expected := hello.GetExpected()
	if expected != "" && expected != own {
		return &Error{Op: "accept", Kind: WrongPeer, Peer: hello.GetIncarnation(), Err: errors.Errorf("the peer expects incarnation %q", expected)}
	}
	return nil
}

// openSession opens the stream and exchanges Hellos on a dialled connection.
func (n *Node) openSession(c *conn, expected ownership.Incarnation, handler Handler) (*Session, error) {
	mux, err := yamux.Client(c, muxConfig())
	if err != nil {
		return nil, &Error{Op: "open", Kind: Network, Err: errors.WithStack(err)}
	}
	timer := time.AfterFunc(n.cfg.HelloTimeout.Duration(), func() { _ = c.Close() })
	defer timer.Stop()
	s, err := n.openStream(c, mux, expected, handler)
	if err != nil {
		_ = mux.Close()
		return nil, err
	}
	return s, nil
}

func (n *Node) openStream(c *conn, mux *yamux.Session, expected ownership.Incarnation, handler Handler) (*Session, error) {
	stream, err := mux.OpenStream()
	if err != nil {
		return nil, &Error{Op: "open", Kind: Network, Err: errors.WithStack(err)}
	}
	if _, err = n.writeHello(stream, expected); err != nil {
		return nil, err
	}
	hello, err := n.readHello(stream)
	if err != nil {
		return nil, err
	}
	return n.newSession(c, mux, stream, handler, hello), nil
}

// writeHello sends the Hello of this process and returns the incarnation that
// it names.
func (n *Node) writeHello(w io.Writer, expected ownership.Incarnation) (string, error) {
	hello := n.local.Hello()
	hello.Token = n.cfg.Token
	hello.Expected = string(expected)
	frame, err := appendFrame(nil, &wire.Envelope{Body: &wire.Envelope_Hello{Hello: hello}})
	if err != nil {
		return "", err
	}
	if _, err = w.Write(frame); err != nil {
		return "", &Error{Op: "hello", Kind: Network, Err: errors.WithStack(err)}
	}
	n.counters.CountFrame(KindHello, Outbound, len(frame))
	return hello.GetIncarnation(), nil
}

func (n *Node) readHello(r io.Reader) (*wire.Hello, error) {
	e, size, err := readFrame(r, min(maxHelloBytes, n.cfg.MaxFrame))
	if err != nil {
		return nil, err
	}
	hello := e.GetHello()
	if hello == nil {
		return nil, &Error{Op: "hello", Kind: Malformed, Err: errors.Errorf("the first frame is %s", MessageKindOf(e))}
	}
	if !sameToken(hello.GetToken(), n.cfg.Token) {
		return nil, &Error{Op: "hello", Kind: WrongToken, Peer: hello.GetIncarnation(), Err: errors.New("the token differs")}
	}
	if hello.GetIncarnation() == "" {
		return nil, &Error{Op: "hello", Kind: Malformed, Err: errors.New("the incarnation is empty")}
	}
	hello.Token = ""
	n.counters.CountFrame(KindHello, Inbound, size)
	return hello, nil
}

// sameToken compares tokens in constant time; hashing them hides their lengths.
func sameToken(got, want string) bool {
	g := sha256.Sum256([]byte(got))
	w := sha256.Sum256([]byte(want))
	return subtle.ConstantTimeCompare(g[:], w[:]) == 1
}
