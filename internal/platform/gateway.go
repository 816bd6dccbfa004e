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
	// DefaultTimeout bounds a call. The store normally responds within
	// milliseconds.
	DefaultTimeout = 2 * clock.Second
	// maxConnections bounds the connections to one endpoint. A process has
	// only a few calls in flight.
	maxConnections = 8
	// idleTimeout is shorter than the usual idle timeout of servers, so that
	// a call rarely uses a connection that the server has just closed.
	idleTimeout = 30 * clock.Second
	// maxErrorBytes bounds the part of an undecodable response that is quoted
	// in an error.
	maxErrorBytes = 200
)

// GatewaySettings configures a Gateway.
type GatewaySettings struct {
	// Endpoints are URLs of the form http://ip:port. The client uses one
	// until a call to it fails without a response, and then the next.
	Endpoints []string
	// Timeout bounds each call; 0 means DefaultTimeout.
	Timeout clock.Millis
	// Engine runs the connections. If nil, an engine that is shared within
	// the process is used.
	Engine *nbhttp.Engine
	// Observe, if not nil, is called after every call. It must not block.
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

// Gateway implements Transactor over the etcd v3 JSON gateway.
type Gateway struct {
	settings        GatewaySettings
	clock           clock.Clock
	client          *nbhttp.Client
	streamClient    *http.Client
	currentEndpoint atomic.Uint32
}

// sharedEngine starts the engine of Gateways without their own. It is never
// stopped: Stop of nbio 1.6.8 hangs if it is called before the poller goroutine
// created by Start first runs, which happens on a busy machine.
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
	g.streamClient = newStreamClient(settings.Timeout)
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
	g.streamClient.CloseIdleConnections()
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
		RangeEnd:       scope.rangeEnd(),
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
		return &Error{Kind: Conflict, Revision: conflictRevision(response)}
	}
	if err := g.checkedCall(ctx, OpTxn, key, etcdjson.PathTxn, request, &response, check); err != nil {
		return 0, err
	}
	return Revision(response.Header.Revision), nil
}

// conflictRevision returns the mod revision that a failed comparison found.
func conflictRevision(response etcdjson.TxnResponse) Revision {
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

// checkedCall makes one call, applies check to its response and passes the
// outcome to Observe.
func (g *Gateway) checkedCall(ctx context.Context, op Operation, key, path string, request, response any, check func() *Error) error {
	start := g.clock.Now()
	err := g.roundTrip(ctx, path, request, response)
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

// httpResult is a complete HTTP response or the error that prevented it.
type httpResult struct {
	status int
	body   []byte
	err    error
}

// roundTrip sends a request and decodes its response. The caller sets the
// error's operation and key.
func (g *Gateway) roundTrip(ctx context.Context, path string, request, response any) *Error {
	body, err := json.Marshal(request)
	if err != nil {
		return &Error{Kind: Refused, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, g.settings.Timeout.Duration())
	defer cancel()
	if ctx.Err() != nil {
		return &Error{Kind: Refused, Err: ctx.Err()}
	}
	a := g.sendWithFailover(ctx, path, body)
	if a.err != nil {
		return &Error{Kind: transportKind(a.err), Err: a.err}
	}
	return decodeResponse(a, response)
}

// sendWithFailover sends a request to the current endpoint, and then to the
// others in turn as long as errors prove that the request was not sent.
func (g *Gateway) sendWithFailover(ctx context.Context, path string, body []byte) httpResult {
	var a httpResult
	for range g.settings.Endpoints {
		index := g.currentEndpoint.Load()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, g.endpoint(index)+path, bytes.NewReader(body))
		if err != nil {
			return httpResult{err: err}
		}
		req.Header.Set("Content-Type", "application/json")
		a = g.send(ctx, req)
		if a.err == nil {
			return a
		}
		g.switchEndpoint(index)
		if transportKind(a.err) != Refused {
			return a
		}
	}
	return a
}

// send waits for the response or the end of ctx. nbhttp closes the connection
// of a request without a response after its own timeout.
func (g *Gateway) send(ctx context.Context, req *http.Request) httpResult {
	results := make(chan httpResult, 1)
	g.client.Do(req, func(res *http.Response, _ net.Conn, err error) {
		// nbhttp may report an error after it has delivered the response.
		select {
		case results <- readResponse(res, err):
		default:
		}
	})
	select {
	case a := <-results:
		return a
	case <-ctx.Done():
		return httpResult{err: ctx.Err()}
	}
}

// readResponse copies the body, which nbhttp reuses after its handler has
// returned.
func readResponse(res *http.Response, err error) httpResult {
	if err != nil {
		return httpResult{err: err}
	}
	if res.Body == nil {
		return httpResult{status: res.StatusCode}
	}
	body, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	return httpResult{status: res.StatusCode, body: body, err: err}
}

// transportKind returns Refused if err proves that the request was not sent,
// otherwise Unknown.
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

func decodeResponse(a httpResult, response any) *Error {
	if a.status == http.StatusOK {
		if err := json.Unmarshal(a.body, response); err != nil {
			return &Error{Kind: Malformed, Err: err}
		}
		return nil
	}
	return &Error{Kind: statusKind(a.status), Err: errors.Errorf("status %d: %s", a.status, errorMessage(a.body))}
}

// statusKind follows the gateway's mapping of gRPC codes to HTTP statuses. A
// server error can be returned for a write that was proposed and takes effect
// later; the other errors are detected before a write is proposed.
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

func errorMessage(body []byte) string {
	var e etcdjson.Error
	if json.Unmarshal(body, &e) == nil && e.Message != "" {
		return e.Message
	}
	return string(body[:min(len(body), maxErrorBytes)])
}

func (g *Gateway) endpoint(index uint32) string {
	return g.settings.Endpoints[int(index)%len(g.settings.Endpoints)]
}

// switchEndpoint switches to the endpoint after index, unless a concurrent call
// already did so.
func (g *Gateway) switchEndpoint(index uint32) {
	g.currentEndpoint.CompareAndSwap(index, index+1)
}

func (s Scope) rangeEnd() []byte {
	if !s.prefix {
		return nil
	}
	return etcdjson.PrefixEnd(s.key)
}

func keyValue(kv etcdjson.KeyValue) KeyValue {
	return KeyValue{Key: string(kv.Key), Value: kv.Value, ModRevision: Revision(kv.ModRevision)}
}
