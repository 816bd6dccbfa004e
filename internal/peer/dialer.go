package peer

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/lesismal/nbio"
	"github.com/pkg/errors"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Target is a process to maintain a session with.
type Target struct {
	// Incarnation is the expected incarnation. Another process at the address is
	// refused, because the registration that named the address is stale.
	Incarnation ownership.Incarnation
	// Address is the host:port to dial.
	Address string
}

// Dialer maintains one session to a target and dials again after each loss.
type Dialer struct {
	node    *Node
	target  Target
	handler Handler
	cancel  context.CancelFunc
	done    chan struct{}

	mu      sync.Mutex
	session *Session
}

// Dial starts a Dialer. It does not block; sessions are reported to the handler.
func (n *Node) Dial(target Target, handler Handler) *Dialer {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Dialer{
		node:    n,
		target:  target,
		handler: handler,
		cancel:  cancel,
		done:    make(chan struct{}),
	}
	go d.loop(ctx)
	return d
}

// Close ends the session and the attempts to dial. It does not wait for them.
func (d *Dialer) Close() {
	d.cancel()
	d.mu.Lock()
	s := d.session
	d.mu.Unlock()
	if s != nil {
		s.Close()
	}
}

// Done is closed after the last callback.
func (d *Dialer) Done() <-chan struct{} { return d.done }

func (d *Dialer) loop(ctx context.Context) {
	defer close(d.done)
	delay := newBackoff(&d.node.cfg)
	for ctx.Err() == nil {
		start := d.node.clk.Now()
		if err := d.dialOnce(ctx); err != nil && ctx.Err() == nil {
			d.node.reportFailure(err)
		}
		// Only a longer attempt resets the backoff, so that a peer that accepts and
		// closes immediately is not dialled in a tight loop.
		if d.node.clk.Now()-start > d.node.cfg.BackoffMax {
			delay.Reset()
		}
		pause := min(delay.NextBackOff(), d.node.cfg.BackoffMax.Duration())
		select {
		case <-ctx.Done():
		case <-d.node.stop:
			return
		case <-time.After(pause):
		}
	}
}

func newBackoff(cfg *Config) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = cfg.BackoffMin.Duration()
	b.MaxInterval = cfg.BackoffMax.Duration()
	b.Multiplier = 2
	b.RandomizationFactor = 0.5
	b.Reset()
	return b
}

// dialOnce dials and serves one session until it ends. It returns an error if no
// session was established.
func (d *Dialer) dialOnce(ctx context.Context) error {
	c, err := d.dialTCP()
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	if !d.node.track(c) {
		return &Error{Op: "dial", Kind: Closed, Peer: d.target.Address}
	}
	defer d.node.active.Done()
	defer d.node.untrack(c)
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	s, err := d.node.openSession(c, d.target.Incarnation, d)
	stop()
	if err != nil {
		return err
	}
	d.setSession(s)
	defer d.setSession(nil)
	if ctx.Err() != nil {
		s.Close()
	}
	err = s.run()
	if KindOf(err) == Refused {
		return err
	}
	return nil
}

func (d *Dialer) dialTCP() (*conn, error) {
	nb, err := nbio.DialTimeout("tcp", d.target.Address, d.node.cfg.DialTimeout.Duration())
	if err != nil {
		return nil, &Error{Op: "dial", Kind: Network, Peer: d.target.Address, Err: errors.WithStack(err)}
	}
	c := d.node.addConn(nb)
	if _, err = d.node.engine.AddConn(nb); err != nil {
		d.node.byConn.Delete(nb)
		_ = nb.Close()
		return nil, &Error{Op: "dial", Kind: Network, Peer: d.target.Address, Err: errors.WithStack(err)}
	}
	return c, nil
}

func (d *Dialer) setSession(s *Session) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.session = s
}

// Connected implements Handler. It refuses an unexpected incarnation.
func (d *Dialer) Connected(s *Session, hello *wire.Hello) error {
	if s.Peer() != d.target.Incarnation {
		return &Error{Op: "dial", Kind: WrongPeer, Peer: d.target.Address, Err: errors.Errorf("got incarnation %q, want %q", s.Peer(), d.target.Incarnation)}
	}
	return d.handler.Connected(s, hello)
}

// Message implements Handler.
func (d *Dialer) Message(s *Session, e *wire.Envelope) { d.handler.Message(s, e) }

// PeerRevisions implements Handler.
func (d *Dialer) PeerRevisions(s *Session, record, text int64) {
	d.handler.PeerRevisions(s, record, text)
}

// Disconnected implements Handler.
func (d *Dialer) Disconnected(s *Session, err error) { d.handler.Disconnected(s, err) }

// poolCloseTimeout bounds how long Pool.Close waits for dials in progress and for the
// last callbacks.
const poolCloseTimeout = 2 * clock.Second
