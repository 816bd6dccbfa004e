package processtest

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/teaseltide/teaseltide/internal/platform"
)

// silenceLimit is the longest response of a job affected by a silent connection: a
// ping after 500 ms, 1 s without a reply, a new connection, and the job itself.
const silenceLimit = 5 * time.Second

// Guards against a connection between an entry and a sidecar that goes silent
// without an error: jobs that wait for it until their deadline, fail, or start
// again on the connection that replaces it.
func TestSilentConnection(t *testing.T) {
	t.Parallel()
	r := start(t, smallShape())
	victim := r.Shape.Workers - 1
	p := r.proxySidecar(victim)
	r.load()
	r.waitBusy(victim)
	old, silent := p.silence(), time.Now()
	if old == 0 {
		t.Fatal("no connection goes through the proxy, so the case was not met")
	}
	time.Sleep(silenceLimit)
	before := r.starts()
	time.Sleep(2 * time.Second)
	outcomes := r.finish()
	r.wantComplete(outcomes, nil)
	met, longest := 0, time.Duration(0)
	for i := range outcomes {
		o := &outcomes[i]
		if o.End.Before(silent) {
			continue
		}
		if o.Begin.Before(silent) {
			met++
		}
		longest = max(longest, o.End.Sub(maxTime(o.Begin, silent)))
	}
	again := startsOf(r.starts(), victim) - startsOf(before, victim)
	t.Logf("%d connections went silent under %d jobs, %d were opened since; the longest job since took %d ms; %d starts at the worker from %s after on",
		old, met, p.opened()-old, longest.Milliseconds(), again, silenceLimit)
	if met == 0 {
		t.Error("no job met the silent connections, so the case was not met")
	}
	if longest > silenceLimit {
		t.Errorf("a job took %s after the connections went silent, want at most %s", longest, silenceLimit)
	}
	if again == 0 {
		t.Error("the worker started no task on the new connections")
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// proxySidecar redirects the entries to a sidecar through a proxy by changing
// the sidecar's registration, and waits until all entries are connected to it.
func (r *run) proxySidecar(worker int) *proxy {
	r.Helper()
	p := newProxy(r.T, r.PeerAddress(worker), nil)
	gateway, err := platform.NewGateway(platform.GatewaySettings{Endpoints: []string{r.StoreURL()}})
	r.must(err)
	defer gateway.Close()
	directory := platform.NewDirectory(gateway, platform.DirectorySettings{})
	ctx, cancel := context.WithTimeout(r.ctx, startLimit)
	defer cancel()
	all, err := directory.ListSidecars(ctx)
	r.must(err)
	for _, s := range all.Registrations {
		if s.Address != r.PeerAddress(worker) {
			continue
		}
		r.must(directory.DeleteSidecar(ctx, s.Sidecar))
		s.Address = p.listener.Addr().String()
		r.must(directory.RegisterSidecar(ctx, s))
	}
	for p.opened() < r.Shape.Entries {
		if ctx.Err() != nil {
			r.Fatalf("%d of %d entries go through the proxy", p.opened(), r.Shape.Entries)
		}
		time.Sleep(20 * time.Millisecond)
	}
	r.ready(startLimit)
	return p
}

// proxy forwards TCP connections to one address until they are silenced.
type proxy struct {
	listener net.Listener
	target   string
	// cut, if not nil, blocks the connections of the entries in held.
	cut     *cutoff
	held    []int
	running sync.WaitGroup

	mu       sync.Mutex
	pairs    []*proxied
	accepted int
}

// proxied is an accepted connection and the connection to the target.
type proxied struct {
	sides [2]net.Conn
	// silent is closed to stop forwarding.
	silent chan struct{}
	// cut is the proxy's cut once the connection has been identified as that
	// of an entry in held.
	cut atomic.Pointer[cutoff]
}

func newProxy(t *testing.T, target string, cut *cutoff, held ...int) *proxy {
	t.Helper()
	var config net.ListenConfig
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: l, target: target, cut: cut, held: held}
	p.running.Go(p.accept)
	t.Cleanup(func() {
		_ = l.Close()
		p.mu.Lock()
		for _, pair := range p.pairs {
			pair.close()
		}
		p.mu.Unlock()
		p.running.Wait()
	})
	return p
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		var d net.Dialer
		to, err := d.DialContext(context.Background(), "tcp", p.target)
		if err != nil {
			_ = c.Close()
			continue
		}
		pair := &proxied{sides: [2]net.Conn{c, to}, silent: make(chan struct{})}
		p.mu.Lock()
		p.pairs = append(p.pairs, pair)
		p.accepted++
		p.mu.Unlock()
		p.running.Go(func() { pair.forward(c, to, pair.identify(p.cut, p.held)) })
		p.running.Go(func() { pair.forward(to, c, func([]byte) {}) })
	}
}

// forward copies in one direction. Data of a silent connection is read and
// discarded, and its end is not propagated. Data of a connection that is cut
// off is delayed until the cut ends, as TCP would retransmit it.
func (c *proxied) forward(from, to net.Conn, inspect func([]byte)) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-c.silent:
			if err != nil {
				return
			}
			continue
		default:
		}
		inspect(buffer[:n])
		c.cut.Load().wait()
		if err != nil {
			c.close()
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			c.close()
			return
		}
	}
}

func (c *proxied) close() {
	for _, side := range c.sides {
		_ = side.Close()
	}
}

// silence stops forwarding on the open connections without closing them and
// returns their number. New connections are forwarded.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, pair := range p.pairs {
		select {
		case <-pair.silent:
		default:
			close(pair.silent)
			n++
		}
	}
	return n
}

// opened returns the number of connections accepted and forwarded so far.
func (p *proxy) opened() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted
}
