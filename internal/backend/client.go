package backend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	dialTimeout = time.Second
	// idleTimeout closes an idle connection before the server does. Common
	// servers close theirs after 2 s or later; a request that crosses such a
	// close ends with OUTCOME_UNKNOWN, which fails its job.
	idleTimeout = time.Second
	// stopTimeout bounds a request to stop a task.
	stopTimeout = 2 * time.Second
	// maxRun bounds the run time of a task. A sidecar retains a job for this
	// time at most.
	maxRun = 10 * clock.Minute
	// DefaultMaxResultBytes is the default bound of the result of one task.
	DefaultMaxResultBytes = 16 << 20
	// maxMessageBytes bounds the part of an error response that is kept.
	maxMessageBytes = 1 << 10
)

// Headers between a sidecar and a backend server.
const (
	HeaderService     = "Teaseltide-Service"
	HeaderJob         = "Teaseltide-Job"
	HeaderIndex       = "Teaseltide-Index"
	HeaderDeadline    = "Teaseltide-Deadline-Ms"
	HeaderRan         = "Teaseltide-Ran"
	HeaderTraceparent = "Traceparent"
	// RanNotRun is the value of HeaderRan by which a backend server states that
	// it has not started the task.
	RanNotRun = "not-run"
)

var (
	errLost   = errors.New("backend server lost")
	errClosed = errors.New("sidecar stops")
)

// Task is a task to run on the backend server.
type Task struct {
	Service, Team, Key string
	Index              uint32
	Payload            []byte
	// DeadlineAt is the Unix time in ms at which the request is cancelled, 0
	// for none.
	DeadlineAt  clock.Millis
	Traceparent string
}

// JobID returns a unique id of the task's job that is safe in a header.
func (t *Task) JobID() string {
	parts := []string{t.Service, t.Team, t.Key}
	for i := range parts {
		parts[i] = url.QueryEscape(parts[i])
	}
	return strings.Join(parts, ":")
}

// ID returns the task's id in the URLs of the backend server.
func (t *Task) ID() string {
	return t.JobID() + ":" + strconv.FormatUint(uint64(t.Index), 10)
}

// Result is the result of a task.
type Result struct {
	// Outcome is OUTCOME_DONE, OUTCOME_ERROR, OUTCOME_NOT_STARTED or
	// OUTCOME_UNKNOWN.
	Outcome wire.Outcome
	Body    []byte
	Message string
	// RunTime is the time from the request to the end of the response.
	RunTime clock.Millis
}

// ClientConfig holds the settings of a Client.
type ClientConfig struct {
	Clock clock.Clock
	// MaxResultBytes bounds the result of one task; 0 means
	// DefaultMaxResultBytes.
	MaxResultBytes int64
}

// Client runs tasks on the backend server. It is safe for concurrent use.
type Client struct {
	cfg ClientConfig

	mu     sync.Mutex
	server *server
}

// server is the backend server while it is present at one address with one
// limit of connections.
type server struct {
	address     string
	connections int
	client      *http.Client
	transport   *http.Transport
	// lifetime is cancelled when the backend server is lost or the client is
	// closed.
	lifetime    context.Context
	endLifetime context.CancelCauseFunc
}

// NewClient returns a client without a backend server.
func NewClient(cfg ClientConfig) *Client {
	if cfg.MaxResultBytes == 0 {
		cfg.MaxResultBytes = DefaultMaxResultBytes
	}
	return &Client{cfg: cfg}
}

// SetServer sets the state of the backend server. If it is lost, the requests in
// flight are cancelled.
func (c *Client) SetServer(s State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Lost {
		c.disconnect(errLost)
		return
	}
	old := c.server
	if old != nil && old.address == s.Address && old.connections == s.Connections {
		return
	}
	c.server = newServer(s.Address, s.Connections)
	if old != nil {
		// Requests in flight complete normally, as the server is still present.
		old.transport.CloseIdleConnections()
	}
}

// Close cancels the requests in flight.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disconnect(errClosed)
}

func (c *Client) disconnect(cause error) {
	if c.server == nil {
		return
	}
	c.server.endLifetime(cause)
	c.server.transport.CloseIdleConnections()
	c.server = nil
}

func (c *Client) current() *server {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.server
}

func newServer(address string, connections int) *server {
	s := &server{address: address, connections: connections}
	s.lifetime, s.endLifetime = context.WithCancelCause(context.Background())
	s.transport = &http.Transport{
		DialContext:         s.dial,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	s.client = &http.Client{
		Transport: s.transport,
		// A followed redirect would send the task a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return s
}

// dial opens a connection. It fails after the loss of the server: otherwise a
// cancelled request that frees its connection would let a waiting one start.
func (s *server) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if s.lifetime.Err() != nil {
		return nil, context.Cause(s.lifetime)
	}
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &guardedConn{Conn: conn}, nil
}

func (s *server) taskURL(id string) string {
	return "http://" + s.address + "/v1/tasks/" + url.PathEscape(id)
}

// Run runs a task. It returns when the outcome is known or the request is
// cancelled by ctx, the deadline, maxRun or the loss of the backend server.
func (c *Client) Run(ctx context.Context, t *Task) Result {
	s := c.current()
	if s == nil {
		return Result{Outcome: wire.Outcome_OUTCOME_NOT_STARTED, Message: "no backend server"}
	}
	start := c.cfg.Clock.Now()
	limit := maxRun
	if t.DeadlineAt != 0 {
		limit = min(maxRun, t.DeadlineAt-start)
	}
	ctx, cancel := context.WithTimeout(ctx, limit.Duration())
	defer cancel()
	ctx, cancelCause := context.WithCancelCause(ctx)
	defer cancelCause(nil)
	defer context.AfterFunc(s.lifetime, func() { cancelCause(context.Cause(s.lifetime)) })()
	result := c.post(ctx, s, t, limit)
	result.RunTime = c.cfg.Clock.Now() - start
	if result.Outcome == wire.Outcome_OUTCOME_UNKNOWN {
		c.abandon(s, t)
	}
	return result
}

// abandon asks the server to stop a task whose response is no longer awaited.
func (c *Client) abandon(s *server, t *Task) {
	go func() {
		// The outcome is already reported, and a server that does not respond
		// has no task to stop.
		_ = s.stop(context.Background(), t.ID())
	}()
}

func (c *Client) post(ctx context.Context, s *server, t *Task, limit clock.Millis) Result {
	guard := &writeGuard{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: guard.gotConn})
	req, err := s.request(ctx, t, limit)
	if err != nil {
		return Result{Outcome: wire.Outcome_OUTCOME_NOT_STARTED, Message: err.Error()}
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return failedResult(ctx, guard.seal(), err)
	}
	defer resp.Body.Close() //nolint:errcheck // The body is read or abandoned.
	return c.readResult(ctx, resp)
}

func (s *server) request(ctx context.Context, t *Task, limit clock.Millis) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.taskURL(t.ID()), bytes.NewReader(t.Payload))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/octet-stream")
	req.Header.Set(HeaderService, url.QueryEscape(t.Service))
	req.Header.Set(HeaderJob, t.JobID())
	req.Header.Set(HeaderIndex, strconv.FormatUint(uint64(t.Index), 10))
	if t.DeadlineAt != 0 {
		req.Header.Set(HeaderDeadline, strconv.FormatInt(int64(limit), 10))
	}
	if t.Traceparent != "" {
		req.Header.Set(HeaderTraceparent, t.Traceparent)
	}
	return req, nil
}

// failedResult returns the result of a request that failed without a complete
// response. The task counts as not started only if no byte of the request was
// sent.
func failedResult(ctx context.Context, wrote bool, err error) Result {
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	if !wrote {
		return Result{Outcome: wire.Outcome_OUTCOME_NOT_STARTED, Message: err.Error()}
	}
	return Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Message: err.Error()}
}

func (c *Client) readResult(ctx context.Context, resp *http.Response) Result {
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.cfg.MaxResultBytes+1))
	notRun := resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderRan) == RanNotRun
	switch {
	case notRun:
		return Result{Outcome: wire.Outcome_OUTCOME_NOT_STARTED, Message: responseMessage(resp, body)}
	case resp.StatusCode >= http.StatusBadRequest:
		return Result{Outcome: wire.Outcome_OUTCOME_ERROR, Message: responseMessage(resp, body)}
	case err != nil:
		return failedResult(ctx, true, err)
	case resp.StatusCode != http.StatusOK:
		return Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Message: responseMessage(resp, body)}
	case int64(len(body)) > c.cfg.MaxResultBytes:
		return Result{Outcome: wire.Outcome_OUTCOME_ERROR, Message: fmt.Sprintf("result exceeds %d bytes", c.cfg.MaxResultBytes)}
	}
	return Result{Outcome: wire.Outcome_OUTCOME_DONE, Body: body}
}

func responseMessage(resp *http.Response, body []byte) string {
	text := strings.ToValidUTF8(string(body[:min(len(body), maxMessageBytes)]), "?")
	return strings.TrimSpace(fmt.Sprintf("backend server answered %s: %s", resp.Status, text))
}

// Stop asks the backend server to stop a task. Run still returns the outcome.
// The error is an *Error.
func (c *Client) Stop(ctx context.Context, t *Task) error {
	s := c.current()
	if s == nil {
		return &Error{Op: "stop", Kind: KindStop, Err: errLost}
	}
	return s.stop(ctx, t.ID())
}

func (s *server) stop(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, s.taskURL(id), nil)
	if err != nil {
		return &Error{Op: "stop", Kind: KindStop, Err: err}
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return &Error{Op: "stop", Kind: KindStop, Err: err}
	}
	// If the body is not read completely, the connection is just not reused.
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxMessageBytes))
	_ = resp.Body.Close()
	return nil
}
