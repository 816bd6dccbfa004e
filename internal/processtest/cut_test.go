package processtest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/teaseltide/teaseltide/internal/etcdjson"
	"github.com/teaseltide/teaseltide/internal/fleet"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/platform"
	"github.com/teaseltide/teaseltide/pkg/caller"
)

const (
	entryKeys = platform.DefaultPrefix + "entries/"
	// cutTime is longer than the 5 s for which a request waits for an owner.
	cutTime = 8 * time.Second
	// rejoinTime is the time in which an entry serves its callers again after a
	// cut: a silent session is redialled within 1 s, and the entry then has to
	// learn its successor.
	rejoinTime = 3 * time.Second
)

// Guards against an owner that is cut off from the other entries and from the
// sidecars and is not replaced, because its callers and the store still reach
// it, and against one that reconnects and starts tasks that its successor has
// started, or leaves its callers without an answer.
func TestOwnerCutOff(t *testing.T) {
	t.Parallel()
	r := start(t, smallShape())
	victim := r.owner()
	cut := r.proxyAll(func(ownership.Domain) []int { return []int{victim} })
	r.wantOwner(victim)
	r.load()
	r.busyOwner()
	cut.begin()
	began := time.Now()
	time.Sleep(cutTime)
	successor := r.servedBy(victim)
	cut.end()
	ended := time.Now()
	time.Sleep(rejoinTime)
	rejoined := time.Now()
	time.Sleep(3 * time.Second)
	outcomes := r.finish()
	t.Logf("entry %d was cut off; others that serve: %v", victim, successor)
	if len(successor) != 1 {
		t.Errorf("got entries %v that serve beside entry %d, want one", successor, victim)
	}
	r.servedAfter(exceptEntry(outcomes, victim), began)
	waited := 0
	r.wantComplete(outcomes, func(o *fleet.Outcome) bool {
		met := o.Entry == victim && o.Answer != nil && o.End.After(began) && o.Begin.Before(rejoined)
		return met && (o.Ran() == caller.Failed || o.Ran() == caller.Unknown)
	})
	for i := range outcomes {
		if o := &outcomes[i]; o.Entry == victim && o.Begin.Before(ended) && o.End.After(began) {
			waited++
		}
	}
	t.Logf("%d callers of the entry met the cut", waited)
	if waited == 0 {
		t.Error("no caller waited at the entry during the cut, so the case was not met")
	}
}

// Guards against an owner whose failure domain is cut off from the others by a
// switch: it reaches the workers of its domain and the store, so that it keeps
// its lease, but it can start no job with a caller's key, and the entries of the
// other domains cannot reach it.
func TestDomainCutOff(t *testing.T) {
	t.Parallel()
	r := start(t, smallShape())
	victim := r.owner()
	domain := ownership.Domain(fmt.Sprintf("domain-%d", victim%r.Shape.Domains))
	var outside []int
	for i := range r.Shape.Entries {
		if i%r.Shape.Domains != victim%r.Shape.Domains {
			outside = append(outside, i)
		}
	}
	cut := r.proxyAll(func(d ownership.Domain) []int {
		if d == domain {
			return outside
		}
		return []int{victim}
	})
	r.wantOwner(victim)
	// A third of the workers is out of reach during the cut.
	r.traffic = r.newTraffic("load", 0.35)
	r.traffic.Start(r.ctx)
	time.Sleep(warmUp)
	r.busyOwner()
	cut.begin()
	began := time.Now()
	time.Sleep(cutTime)
	successor := r.servedBy(victim)
	healthy := r.healthy(victim)
	cut.end()
	time.Sleep(rejoinTime)
	rejoined := time.Now()
	r.ready(startLimit)
	outcomes := r.finish()
	if len(successor) != 1 {
		t.Errorf("got entries %v that serve beside entry %d, want one", successor, victim)
	}
	if healthy {
		t.Errorf("entry %d was healthy during the cut, want 503 for the balancer", victim)
	}
	if !r.healthy(victim) {
		t.Errorf("entry %d is not healthy after the cut", victim)
	}
	r.servedAfter(exceptEntry(outcomes, victim), began)
	r.wantComplete(outcomes, func(o *fleet.Outcome) bool {
		if o.Answer == nil || !o.End.After(began) || !o.Begin.Before(rejoined) || o.Ran() == caller.NotRun {
			return false
		}
		// Jobs in progress may have tasks in the domain that was cut off.
		return o.Entry == victim || o.Begin.Before(began.Add(servedWithin))
	})
}

// wantOwner fails the test if the service has another owner.
func (r *run) wantOwner(entry int) {
	r.Helper()
	if got := r.owner(); got != entry {
		r.Fatalf("the service moved from entry %d to %d when the proxies were put in, so the case was not met", entry, got)
	}
}

// healthy reports whether an entry passes the load balancer's health check.
func (r *run) healthy(entry int) bool {
	r.Helper()
	request, err := http.NewRequestWithContext(r.ctx, http.MethodGet, r.CallerURL(entry)+"/v1/healthz", http.NoBody)
	r.must(err)
	response, err := http.DefaultClient.Do(request)
	r.must(err)
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// servedBy returns the entries, other than one, that report themselves as the
// owner of the service.
func (r *run) servedBy(except int) []int {
	r.Helper()
	var serving []int
	for i := range r.Entries {
		s, err := r.Status(r.ctx, i)
		r.must(err)
		for _, service := range s.Services {
			if i != except && service.Service == r.Shape.Service && service.Owner == s.Entry {
				serving = append(serving, i)
			}
		}
	}
	return serving
}

// cutoff blocks the connections across a simulated network partition.
type cutoff struct {
	mu   sync.Mutex
	over chan struct{}
}

func (c *cutoff) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.over = make(chan struct{})
}

func (c *cutoff) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.over != nil {
		close(c.over)
	}
	c.over = nil
}

// wait blocks while a cut is in force. A nil cutoff never blocks.
func (c *cutoff) wait() {
	if c == nil {
		return
	}
	c.mu.Lock()
	over := c.over
	c.mu.Unlock()
	if over != nil {
		<-over
	}
}

// helloBytes is the number of bytes that are searched for the first frame.
const helloBytes = 4 << 10

// identify returns a function that inspects the data of the dialling side and
// identifies the connections of entries that are to be cut off. The first frame
// names the incarnations of both ends.
func (c *proxied) identify(cut *cutoff, entries []int) func([]byte) {
	var head []byte
	return func(data []byte) {
		if cut == nil || len(head) >= helloBytes || c.cut.Load() != nil {
			return
		}
		head = append(head, data...)
		for _, entry := range entries {
			if bytes.Contains(head, fmt.Appendf(nil, "entry-%d-", entry)) {
				c.cut.Store(cut)
			}
		}
	}
}

// proxyAll redirects the sessions between entries and those between entries and
// sidecars through proxies by changing the registrations, and waits until all
// are established. The cut that it returns blocks the connections of the entries
// that held returns for the failure domain of the process that they dial.
func (r *run) proxyAll(held func(ownership.Domain) []int) *cutoff {
	r.Helper()
	cut := &cutoff{}
	gateway, err := platform.NewGateway(platform.GatewaySettings{Endpoints: []string{r.StoreURL()}})
	r.must(err)
	defer gateway.Close()
	ctx, cancel := context.WithTimeout(r.ctx, startLimit)
	defer cancel()
	var proxies []*proxy
	redirect := func(kv etcdjson.KeyValue, registration any, address *string, domain *ownership.Domain) {
		r.must(json.Unmarshal(kv.Value, registration))
		p := newProxy(r.T, *address, cut, held(*domain)...)
		*address = p.listener.Addr().String()
		value, err := json.Marshal(registration)
		r.must(err)
		_, err = gateway.CompareAndSwap(ctx, string(kv.Key), platform.Revision(kv.ModRevision), value, platform.LeaseID(kv.Lease))
		r.must(err)
		proxies = append(proxies, p)
	}
	for _, kv := range r.storeKeys(prefixRange(entryKeys)) {
		var e platform.EntryRegistration
		redirect(kv, &e, &e.PeerAddress, &e.Domain)
	}
	for _, kv := range r.storeKeys(prefixRange(sidecarKeys)) {
		var s platform.SidecarRegistration
		redirect(kv, &s, &s.Address, &s.Domain)
	}
	for i, p := range proxies {
		// An entry is dialled by those with a higher name, and its key follows
		// the keys of those with a lower one.
		want := r.Shape.Entries
		if i < r.Shape.Entries {
			want -= i + 1
		}
		for p.opened() < want {
			if ctx.Err() != nil {
				r.Fatalf("%d of %d sessions go through proxy %d", p.opened(), want, i)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	r.ready(startLimit)
	// The proxies close only when no connection is blocked.
	r.Cleanup(cut.end)
	return cut
}

func prefixRange(prefix string) etcdjson.RangeRequest {
	return etcdjson.RangeRequest{Key: []byte(prefix), RangeEnd: etcdjson.PrefixEnd(prefix)}
}
