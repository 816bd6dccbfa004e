package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"

	"github.com/teaseltide/teaseltide/internal/etcdjson"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// DefaultTimeout bounds a call. The store normally answers within
	// milliseconds.
	DefaultTimeout = 2 * clock.Second
	// maxConnections bounds the connections to one endpoint. A process has a
	// handful of calls in flight at most.
	maxConnections = 8
	// idleTimeout closes unused connections before servers usually do, so
	// that a call seldom finds its connection closed.
	idleTimeout = 30 * clock.Second
	// maxErrorBytes bounds how much of an unreadable answer an error quotes.
	maxErrorBytes = 200
)

// GatewaySettings configures a Gateway.
type GatewaySettings struct {
	// Endpoints are URLs of the form http://ip:port. The client stays with
	// one until a call gets no answer and then uses the next.
	Endpoints []string
	// Timeout bounds each call; 0 means DefaultTimeout.
	Timeout clock.Millis
	// Engine runs the connections. If nil, all such Gateways of the process
	// share one.
	Engine *nbhttp.Engine
	// Observe, if not nil, is told of every finished call. It must not block.
	Observe func(Call)
}

// Call describes a finished call for metrics.
type Call struct {
	Operation Operation
	// Result is the kind of the error, or "ok".
	Result  string
	Elapsed clock.Millis
}

// ResultOK is the Result of a successful Call.
const ResultOK = "ok"

// Gateway is a Store that is reached through the etcd v3 JSON gateway.
type Gateway struct {
	settings GatewaySettings
	clock    clock.Clock
	client   *nbhttp.Client
	streams  *http.Client
	current  atomic.Uint32
}

// sharedEngine starts the engine of Gateways without their own. It is never
// stopped: Stop of nbio 1.6.8 hangs if it precedes the first run of the poller
// goroutine that Start creates, which happens on a busy machine.
var sharedEngine = sync.OnceValues(func() (*nbhttp.Engine, error) {
	engine := nbhttp.NewEngine(nbhttp.Config{Name: "store", NPoller: 1})
	return engine, engine.Start()
})

// NewGateway returns a client that connects on its first call.
func NewGateway(settings GatewaySettings) (*Gateway, error) {
	if err := checkEndpoints(settings.Endpoints); err != nil {
		return nil, err
	}
	if settings.Timeout <= 0 {
		settings.Timeout = DefaultTimeout
	}
	g := &Gateway{settings: settings, clock: clock.NewSystem()}
	if settings.Engine == nil {
		engine, err := sharedEngine()
		if err != nil {
			return nil, &Error{Operation: "start", Kind: Refused, Err: err}
		}
		g.settings.Engine = engine
	}
	g.client = &nbhttp.Client{
		Engine:          g.settings.Engine,
		Timeout:         settings.Timeout.Duration(),
		MaxConnsPerHost: maxConnections,
		IdleConnTimeout: idleTimeout.Duration(),
	}
	g.streams = newStreamClient(settings.Timeout)
	return g, nil
}

func checkEndpoints(endpoints []string) error {
	if len(endpoints) == 0 {
		return &Error{Operation: "start", Kind: Refused, Err: errors.New("no endpoints")}
	}
	for _, e := range endpoints {
		u, err := url.Parse(e)
		if err != nil || u.Scheme != "http" || u.Port() == "" || u.Path != "" {
			return &Error{Operation: "start", Kind: Refused, Err: errors.Errorf("endpoint %q is not of the form http://ip:port", e)}
		}
	}
	return nil
}

// Close closes the connections. Calls in flight fail.
func (g *Gateway) Close() {
	g.client.Close()
	g.streams.CloseIdleConnections()
}

// Get implements Store.
func (g *Gateway) Get(ctx context.Context, key string) (KeyValue, error) {
	listing, err := g.Range(ctx, Single(key), 0)
	if err != nil || len(listing.KeyValues) == 0 {
		return KeyValue{Key: key}, err
	}
	return listing.KeyValues[0], nil
}

// Range implements Store.
func (g *Gateway) Range(ctx context.Context, scope Scope, since Revision) (Listing, error) {
	request := etcdjson.RangeRequest{
		Key:            []byte(scope.key),
		RangeEnd:       scope.end(),
		MinModRevision: int64(since),
	}
	var response etcdjson.RangeResponse
	if err := g.call(ctx, OpRange, scope.key, etcdjson.PathRange, request, &response); err != nil {
		return Listing{}, err
	}
	listing := Listing{Revision: Revision(response.Header.Revision), Count: int(response.Count)}
	for _, kv := range response.KeyValues {
		listing.KeyValues = append(listing.KeyValues, keyValue(kv))
	}
	return listing, nil
}

// CompareAndSwap implements Store.
func (g *Gateway) CompareAndSwap(ctx context.Context, key string, expected Revision, value []byte, lease LeaseID) (Revision, error) {
	name := []byte(key)
	request := etcdjson.TxnRequest{
		Compare: []etcdjson.Compare{{
			Key: name, Result: etcdjson.CompareEqual, Target: etcdjson.CompareMod, ModRevision: int64(expected),
		}},
		Success: []etcdjson.RequestOp{{Put: &etcdjson.PutRequest{Key: name, Value: value, Lease: int64(lease)}}},
		Failure: []etcdjson.RequestOp{{Range: &etcdjson.RangeRequest{Key: name, KeysOnly: true}}},
	}
	var response etcdjson.TxnResponse
	check := func() *Error {
		if response.Succeeded {
			return nil
		}
		return &Error{Kind: Conflict, Revision: conflicting(response)}
	}
	if err := g.checkedCall(ctx, OpTxn, key, etcdjson.PathTxn, request, &response, check); err != nil {
		return 0, err
	}
	return Revision(response.Header.Revision), nil
}

// conflicting returns the mod revision that a failed comparison found.
func conflicting(response etcdjson.TxnResponse) Revision {
	for _, r := range response.Responses {
		if r.Range != nil && len(r.Range.KeyValues) > 0 {
			return Revision(r.Range.KeyValues[0].ModRevision)
		}
	}
	return 0
}

// Delete implements Store.
func (g *Gateway) Delete(ctx context.Context, key string) error {
	request := etcdjson.TxnRequest{
		Success: []etcdjson.RequestOp{{DeleteRange: &etcdjson.DeleteRangeRequest{Key: []byte(key)}}},
	}
	return g.call(ctx, OpTxn, key, etcdjson.PathTxn, request, &etcdjson.TxnResponse{})
}

// Grant implements Store.
func (g *Gateway) Grant(ctx context.Context, ttl clock.Millis) (LeaseID, error) {
	seconds := (ttl + clock.Second - 1) / clock.Second
	var response etcdjson.Lease
	err := g.call(ctx, OpGrant, "", etcdjson.PathGrant, etcdjson.Lease{TTL: int64(seconds)}, &response)
	return LeaseID(response.ID), err
}

// KeepAlive implements Store.
func (g *Gateway) KeepAlive(ctx context.Context, lease LeaseID) error {
	var response etcdjson.KeepAliveResponse
	check := func() *Error {
		switch {
		case response.Error != nil:
			return &Error{Kind: Unknown, Err: errors.New(response.Error.Message)}
		case response.Result == nil || response.Result.TTL <= 0:
			return &Error{Kind: NotFound}
		}
		return nil
	}
	request := etcdjson.Lease{ID: int64(lease)}
	return g.checkedCall(ctx, OpKeepAlive, "", etcdjson.PathKeepAlive, request, &response, check)
}

// Revoke implements Store.
func (g *Gateway) Revoke(ctx context.Context, lease LeaseID) error {
	return g.call(ctx, OpRevoke, "", etcdjson.PathRevoke, etcdjson.Lease{ID: int64(lease)}, &etcdjson.Lease{})
}

func (g *Gateway) call(ctx context.Context, op Operation, key, path string, request, response any) error {
	return g.checkedCall(ctx, op, key, path, request, response, func() *Error { return nil })
}

// checkedCall makes one call, derives an error from its response with check,
// and reports the outcome to the observer.
func (g *Gateway) checkedCall(ctx context.Context, op Operation, key, path string, request, response any, check func() *Error) error {
	start := g.clock.Now()
	err := g.exchange(ctx, path, request, response)
	if err == nil {
		err = check()
	}
	if err == nil {
		g.observe(op, ResultOK, start)
		return nil
	}
	err.Operation = op
	err.Key = key
	g.observe(op, string(err.Kind), start)
	return err
}

func (g *Gateway) observe(op Operation, result string, start clock.Millis) {
	if g.settings.Observe != nil {
		g.settings.Observe(Call{Operation: op, Result: result, Elapsed: g.clock.Now() - start})
	}
}

// answer is a complete HTTP response or the reason for its absence.
type answer struct {
	status int
	body   []byte
	err    error
}

// exchange sends a request and decodes its response. The error's operation and
// key are left to the caller.
func (g *Gateway) exchange(ctx context.Context, path string, request, response any) *Error {
	body, err := json.Marshal(request)
	if err != nil {
		return &Error{Kind: Refused, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, g.settings.Timeout.Duration())
	defer cancel()
	if ctx.Err() != nil {
		return &Error{Kind: Refused, Err: ctx.Err()}
	}
	a := g.attempt(ctx, path, body)
	if a.err != nil {
		return &Error{Kind: transportKind(a.err), Err: a.err}
	}
	return decode(a, response)
}

// attempt sends a request to the current endpoint, and to the others in turn
// while it is certain that the request was not sent.
func (g *Gateway) attempt(ctx context.Context, path string, body []byte) answer {
	var a answer
	for range g.settings.Endpoints {
		index := g.current.Load()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, g.endpoint(index)+path, bytes.NewReader(body))
		if err != nil {
			return answer{err: err}
		}
		req.Header.Set("Content-Type", "application/json")
		a = g.send(ctx, req)
		if a.err == nil {
			return a
		}
		g.leave(index)
		if transportKind(a.err) != Refused {
			return a
		}
	}
	return a
}

// send waits for the answer or for the end of ctx. nbhttp closes a connection
// whose answer is late by its own timeout.
func (g *Gateway) send(ctx context.Context, req *http.Request) answer {
	answers := make(chan answer, 1)
	g.client.Do(req, func(res *http.Response, _ net.Conn, err error) {
		// nbhttp may report an error for a request that it has answered.
		select {
		case answers <- read(res, err):
		default:
		}
	})
	select {
	case a := <-answers:
		return a
	case <-ctx.Done():
		return answer{err: ctx.Err()}
	}
}

// read copies the body, which nbhttp reuses after its handler has returned.
func read(res *http.Response, err error) answer {
	if err != nil {
		return answer{err: err}
	}
	if res.Body == nil {
		return answer{status: res.StatusCode}
	}
	body, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	return answer{status: res.StatusCode, body: body, err: err}
}

// transportKind tells calls that were not sent from those without an answer.
func transportKind(err error) Kind {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return Refused
	}
	if errors.Is(err, nbhttp.ErrClientClosed) {
		return Refused
	}
	return Unknown
}

func decode(a answer, response any) *Error {
	if a.status == http.StatusOK {
		if err := json.Unmarshal(a.body, response); err != nil {
			return &Error{Kind: Malformed, Err: err}
		}
		return nil
	}
	return &Error{Kind: statusKind(a.status), Err: errors.Errorf("status %d: %s", a.status, message(a.body))}
}

// statusKind follows the gateway's mapping of gRPC codes to HTTP statuses. A
// server error can follow a write that was proposed and takes effect later;
// the other errors are found before.
func statusKind(status int) Kind {
	const clientClosedRequest = 499 // gRPC code "canceled"
	switch {
	case status == http.StatusNotFound:
		return NotFound
	case status == http.StatusRequestTimeout || status == clientClosedRequest:
		return Unknown
	case status == http.StatusNotImplemented:
		return Refused
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return Refused
	default:
		return Unknown
	}
}

func message(body []byte) string {
	var e etcdjson.Error
	if json.Unmarshal(body, &e) == nil && e.Message != "" {
		return e.Message
	}
	return string(body[:min(len(body), maxErrorBytes)])
}

func (g *Gateway) endpoint(index uint32) string {
	return g.settings.Endpoints[int(index)%len(g.settings.Endpoints)]
}

// leave moves on from the endpoint at index, unless another call did so.
func (g *Gateway) leave(index uint32) {
	g.current.CompareAndSwap(index, index+1)
}

func (s Scope) end() []byte {
	if !s.prefix {
		return nil
	}
	return etcdjson.PrefixEnd(s.key)
}

func keyValue(kv etcdjson.KeyValue) KeyValue {
	return KeyValue{Key: string(kv.Key), Value: kv.Value, ModRevision: Revision(kv.ModRevision)}
}
