package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Codes of errors of a Client, when no answer of an entry was received.
const (
	// NotSent means that the request reached no entry.
	NotSent Code = "not-sent"
	// AnswerLost means that the request may have reached an entry.
	AnswerLost Code = "answer-lost"
)

const (
	// maxRounds is the number of attempts at each entry.
	maxRounds = 3
	// roundDelay is the delay after all entries have been tried.
	roundDelay = 200 * time.Millisecond
	// maxResponseBytes bounds the body of a response.
	maxResponseBytes = 256 << 20
)

// Client submits jobs to one of several entries. It is safe for concurrent
// use.
type Client struct {
	urls []string
	http *http.Client
	next atomic.Uint64
}

// New returns a client for the base URLs of one or more entries. The client has
// no timeout of its own: the context of a call bounds it.
func New(urls ...string) *Client {
	return &Client{urls: urls, http: &http.Client{}}
}

// Submit submits a job and waits for its answer. If an entry is unreachable,
// draining or overloaded, the job is sent to another entry. After a lost
// connection only a job with a key is resubmitted. An incomplete answer is not
// an error; an *Error means that there is no answer, and its Ran states whether
// the job may have run.
func (c *Client) Submit(ctx context.Context, job *Job) (*Answer, error) {
	body, err := json.Marshal(job)
	if err != nil {
		return nil, &Error{Op: "submit", Code: NotSent, Ran: NotRun, Err: errors.WithStack(err)}
	}
	return c.sendWithRetries(ctx, request{op: "submit", method: http.MethodPost, path: "/v1/jobs", body: body, idempotent: job.Key != ""})
}

// Fetch returns the state or the answer of a job.
func (c *Client) Fetch(ctx context.Context, service, team, key string) (*Answer, error) {
	return c.sendWithRetries(ctx, request{op: "fetch", method: http.MethodGet, path: jobPath(service, team, key), idempotent: true})
}

// Cancel cancels a job and returns its state.
func (c *Client) Cancel(ctx context.Context, service, team, key string) (*Answer, error) {
	return c.sendWithRetries(ctx, request{op: "cancel", method: http.MethodDelete, path: jobPath(service, team, key), idempotent: true})
}

func jobPath(service, team, key string) string {
	return "/v1/jobs/" + url.PathEscape(service) + "/" + url.PathEscape(team) + "/" + url.PathEscape(key)
}

type request struct {
	op, method, path string
	body             []byte
	// idempotent permits a resend after the request may have reached an entry.
	idempotent bool
}

func (c *Client) sendWithRetries(ctx context.Context, r request) (*Answer, error) {
	var answer *Answer
	err := error(&Error{Op: r.op, Code: NotSent, Ran: NotRun, Err: errors.New("there is no entry")})
	mayHaveArrived := false
	for attempt := range maxRounds * len(c.urls) {
		if attempt > 0 && attempt%len(c.urls) == 0 {
			waitForNextRound(ctx)
		}
		base := c.urls[c.next.Load()%uint64(len(c.urls))]
		answer, err = c.send(ctx, base, r)
		if err == nil && !retryOnNextEntry(r, answer) {
			return answer, nil
		}
		if err != nil && mayHaveRun(err) {
			mayHaveArrived = true
			if !r.idempotent {
				return nil, err
			}
		}
		if ctx.Err() != nil {
			break
		}
		c.next.Add(1)
	}
	// An earlier attempt may have run the job, whatever a later refusal states.
	if mayHaveArrived && (err != nil || answer.Ran == NotRun) {
		if err == nil {
			err = errors.Errorf("the last entry refused with %s", answer.Code)
		}
		return nil, &Error{Op: r.op, Code: AnswerLost, Ran: Unknown, Err: err}
	}
	return answer, err
}

func waitForNextRound(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(roundDelay):
	}
}

// retryOnNextEntry reports whether another entry may accept a request that this
// one refused. A refused submission, fetch or cancellation for a key has Ran
// Unknown, because another request for the key may have run the job.
func retryOnNextEntry(r request, a *Answer) bool {
	if a.Code != Draining && a.Code != Overloaded {
		return false
	}
	return a.Ran == NotRun || r.idempotent && a.Ran == Unknown
}

// mayHaveRun reports whether the request of a failed attempt may have reached an
// entry.
func mayHaveRun(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Ran == Unknown
}

func (c *Client) send(ctx context.Context, base string, r request) (*Answer, error) {
	req, err := http.NewRequestWithContext(ctx, r.method, base+r.path, bytes.NewReader(r.body))
	if err != nil {
		return nil, &Error{Op: r.op, Code: NotSent, Ran: NotRun, Err: errors.WithStack(err)}
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := c.http.Do(req)
	if err != nil {
		return nil, transportError(r.op, err)
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return nil, &Error{Op: r.op, Code: AnswerLost, Ran: Unknown, Err: errors.WithStack(err)}
	}
	a := &Answer{}
	if err = json.Unmarshal(data, a); err != nil || a.Ran == "" {
		return nil, &Error{Op: r.op, Code: AnswerLost, Ran: Unknown, Err: errors.Errorf("status %d without an answer", res.StatusCode)}
	}
	return a, nil
}

// transportError distinguishes failed dials, which send nothing, from other failures.
func transportError(op string, err error) error {
	var netErr *net.OpError
	if errors.As(err, &netErr) && netErr.Op == "dial" {
		return &Error{Op: op, Code: NotSent, Ran: NotRun, Err: errors.WithStack(err)}
	}
	return &Error{Op: op, Code: AnswerLost, Ran: Unknown, Err: errors.WithStack(err)}
}
