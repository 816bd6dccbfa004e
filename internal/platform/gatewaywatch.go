package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/teaseltide/teaseltide/internal/etcdjson"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// newStreamClient returns the HTTP client for watches. The timeout applies to
// the connection attempt and to the response header, not to the stream, which
// is unbounded.
func newStreamClient(timeout clock.Millis) *http.Client {
	dialer := &net.Dialer{Timeout: timeout.Duration()}
	return &http.Client{Transport: &http.Transport{
		DialContext:           dialer.DialContext,
		ResponseHeaderTimeout: timeout.Duration(),
		// A connection serves one watch and is not reused.
		DisableKeepAlives: true,
	}}
}

// Watch implements Store.
func (g *Gateway) Watch(ctx context.Context, scope Scope, from Revision, deliver func([]Event)) error {
	start := g.clock.Now()
	index := g.currentEndpoint.Load()
	err := g.readStream(ctx, index, scope, from, deliver)
	err.Operation = OpWatch
	err.Key = scope.key
	if ctx.Err() != nil {
		g.observe(OpWatch, ResultOK, start)
		return err
	}
	g.switchEndpoint(index)
	g.observe(OpWatch, string(err.Kind), start)
	return err
}

func (g *Gateway) readStream(ctx context.Context, index uint32, scope Scope, from Revision, deliver func([]Event)) *Error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// Cancels the stream if the store does not confirm the watch in time.
	confirmTimer := time.AfterFunc(g.settings.Timeout.Duration(), cancel)
	defer confirmTimer.Stop()

	res, err := g.openStream(ctx, index, scope, from)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	decoder := json.NewDecoder(res.Body)
	for {
		var m etcdjson.WatchResponse
		if err := decoder.Decode(&m); err != nil {
			return &Error{Kind: Unknown, Err: errors.Wrap(err, "stream ended")}
		}
		if err := checkWatchResponse(m); err != nil {
			return err
		}
		if m.Result.Created {
			confirmTimer.Stop()
		}
		if len(m.Result.Events) > 0 {
			deliver(convertEvents(m.Result.Events))
		}
	}
}

func (g *Gateway) openStream(ctx context.Context, index uint32, scope Scope, from Revision) (*http.Response, *Error) {
	request := etcdjson.WatchRequest{Create: etcdjson.WatchCreate{
		Key: []byte(scope.key), RangeEnd: scope.rangeEnd(), StartRevision: int64(from),
	}}
	body, err := json.Marshal(request)
	if err != nil {
		return nil, &Error{Kind: Refused, Err: err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, g.endpoint(index)+etcdjson.PathWatch, bytes.NewReader(body))
	if err != nil {
		return nil, &Error{Kind: Refused, Err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := g.streamClient.Do(req)
	if err != nil {
		return nil, &Error{Kind: transportKind(err), Err: err}
	}
	if res.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(res.Body, maxErrorBytes))
		_ = res.Body.Close()
		return nil, &Error{Kind: statusKind(res.StatusCode), Err: errors.Errorf("status %d: %s", res.StatusCode, errorMessage(text))}
	}
	return res, nil
}

func checkWatchResponse(m etcdjson.WatchResponse) *Error {
	switch {
	case m.Error != nil:
		return &Error{Kind: Unknown, Err: errors.New(m.Error.Message)}
	case m.Result == nil:
		return &Error{Kind: Malformed, Err: errors.New("message without result")}
	case m.Result.Canceled:
		return &Error{Kind: Refused, Err: errors.Errorf("canceled by the store: %s (compacted at %d)", m.Result.CancelReason, m.Result.CompactRevision)}
	}
	return nil
}

func convertEvents(in []etcdjson.Event) []Event {
	out := make([]Event, 0, len(in))
	for _, e := range in {
		out = append(out, Event{KeyValue: keyValue(e.KeyValue), Deleted: e.Type == etcdjson.EventDelete})
	}
	return out
}
