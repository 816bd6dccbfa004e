package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/teaseltide/teaseltide/internal/dispatch"
	"github.com/teaseltide/teaseltide/internal/httpd"
	"github.com/teaseltide/teaseltide/internal/tracing"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/caller"
)

const (
	jsonType           = "application/json"
	generatedKeyPrefix = "auto-"
)

// awaitAnswer submits a request to the core and waits for its answer. It returns
// false if the control thread is overloaded, and no answer if the caller has
// disconnected or the control thread has exited.
func (p *Process) awaitAnswer(ctx context.Context, request func(dispatch.RequestID) dispatch.Event) (*wire.Answer, bool) {
	id, answer := p.requests.add()
	event := request(id)
	var unkeyed *unkeyedRequest
	if s, ok := event.(dispatch.Submit); ok && !s.Job.GetCallerKey() {
		unkeyed = &unkeyedRequest{ctx, id}
	}
	if !p.loop.submit(event, unkeyed) {
		p.requests.remove(id)
		return nil, false
	}
	select {
	case a := <-answer:
		return a, true
	case <-ctx.Done():
		p.requests.remove(id)
		p.metrics.abandoned.Inc()
		p.loop.pushCore(dispatch.CallerDisconnected{Request: id})
	case <-p.loop.exited:
		p.requests.remove(id)
	}
	return nil, true
}

// unkeyedRequest is the request for a job without a key, for which only the caller's
// connection can get the answer.
type unkeyedRequest struct {
	ctx context.Context
	id  dispatch.RequestID
}

// isGone reports whether the caller has closed its connection; false for nil.
func (r *unkeyedRequest) isGone() bool { return r != nil && httpd.PeerClosed(r.ctx) }

// serveCallers starts the HTTP server of the callers' API.
func (p *Process) serveCallers() (*httpd.Server, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/jobs", p.limitRequests(p.submitJob))
	mux.HandleFunc("GET /v1/jobs/{service}/{team}/{key}", p.limitRequests(p.fetchJob))
	mux.HandleFunc("DELETE /v1/jobs/{service}/{team}/{key}", p.limitRequests(p.cancelJob))
	mux.HandleFunc("GET /v1/healthz", p.serveHealth)
	mux.HandleFunc("/", p.unknownPath(mux))
	return httpd.New(p.settings.CallersAddress, p.settings.Limits, p.deps.Clock, mux, p.refusalBody)
}

// limitRequests refuses requests beyond Settings.MaxPendingRequests.
func (p *Process) limitRequests(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		defer p.requests.release()
		if !p.requests.acquire() {
			p.refuseOverloaded(w, r.Method != http.MethodPost || mayHaveKey(r))
			return
		}
		next(w, r)
	}
}

// mayHaveKey reports whether the body may name a key. It does not decode the
// body, because a refusal under overload must be cheap.
func mayHaveKey(r *http.Request) bool {
	body, err := io.ReadAll(r.Body)
	return err != nil || bytes.Contains(body, []byte(`"key"`))
}

func (p *Process) submitJob(w http.ResponseWriter, r *http.Request) {
	start := p.deps.Clock.Now()
	job, err := readJob(r)
	if err != nil {
		p.refuse(w, caller.MalformedRequest, err.Error())
		return
	}
	if p.requests.draining.Load() {
		p.refuseJob(w, job.Key != "", caller.Draining, "this entry is stopping")
		return
	}
	spec := job.Wire(start, p.servicesText.notRepeatable(job.Service))
	if !spec.GetCallerKey() {
		spec.Key = generatedKeyPrefix + uuid.NewString()
	}
	parent, span := p.startSubmit(r.Header.Get("Traceparent"), spec)
	defer span.End()
	spec.Traceparent = parent
	answer, ok := p.awaitAnswer(r.Context(), func(id dispatch.RequestID) dispatch.Event {
		return dispatch.Submit{Request: id, Job: spec}
	})
	if !ok {
		p.refuseOverloaded(w, spec.GetCallerKey())
		return
	}
	if answer == nil {
		span.SetStatus(codes.Error, "the caller has gone")
		return
	}
	a := caller.AnswerOf(answer)
	endSpanWithAnswer(span, a)
	p.metrics.countAnswer(a, p.deps.Clock.Now()-start)
	writeAnswer(w, a)
}

// readJob reads and decodes a job. It copies the body, because nbhttp reuses its
// buffers while the payloads stay in the core until the job has ended. The text
// of the error is sent to the caller.
func readJob(r *http.Request) (*caller.Job, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, errors.New("the body could not be read")
	}
	return caller.DecodeJob(body)
}

// startSubmit starts the span of a caller's job and returns the traceparent for
// the following hops. Without a tracer, or if the caller's trace is not sampled,
// there is no span and the caller's traceparent is passed on.
func (p *Process) startSubmit(traceparent string, spec *wire.Job) (string, trace.Span) {
	traceparent = tracing.Normalize(traceparent)
	noSpan := trace.SpanFromContext(context.Background())
	if p.deps.Tracer == nil || traceparent != "" && !tracing.Sampled(traceparent) {
		return traceparent, noSpan
	}
	ctx, span := p.deps.Tracer.Start(tracing.Extract(context.Background(), traceparent), spanSubmit, trace.WithSpanKind(trace.SpanKindServer))
	if span.IsRecording() {
		span.SetAttributes(attribute.String("team", spec.GetTeam()), attribute.String("service", spec.GetService()),
			attribute.String("key", spec.GetKey()), attribute.Int("tasks", len(spec.GetTasks())))
	}
	return tracing.Inject(ctx), span
}

func (p *Process) fetchJob(w http.ResponseWriter, r *http.Request) {
	p.query(w, r, func(id dispatch.RequestID) dispatch.Event {
		return dispatch.FetchRequest{Request: id, Service: r.PathValue("service"), Team: r.PathValue("team"), Key: r.PathValue("key")}
	})
}

func (p *Process) cancelJob(w http.ResponseWriter, r *http.Request) {
	p.query(w, r, func(id dispatch.RequestID) dispatch.Event {
		return dispatch.CancelRequest{Request: id, Service: r.PathValue("service"), Team: r.PathValue("team"), Key: r.PathValue("key")}
	})
}

func (p *Process) query(w http.ResponseWriter, r *http.Request, request func(dispatch.RequestID) dispatch.Event) {
	for _, field := range []string{"service", "team", "key"} {
		if err := caller.CheckName(field, r.PathValue(field)); err != nil {
			p.refuse(w, caller.MalformedRequest, err.Error())
			return
		}
	}
	answer, ok := p.awaitAnswer(r.Context(), request)
	if !ok {
		p.refuseOverloaded(w, true)
		return
	}
	if answer != nil {
		writeAnswer(w, caller.AnswerOf(answer))
	}
}

func (p *Process) serveHealth(w http.ResponseWriter, _ *http.Request) {
	status, state := http.StatusOK, "serving"
	switch {
	case p.requests.draining.Load():
		status, state = http.StatusServiceUnavailable, "draining"
	case p.connectivity.isLost():
		status, state = http.StatusServiceUnavailable, "cut-off"
	}
	writeBody(w, status, []byte(`{"state":"`+state+`"}`))
}

// unknownPath answers requests that no route matches: with MethodNotAllowed if
// the path has a route for another method, else with UnknownPath.
func (p *Process) unknownPath(mux *http.ServeMux) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
			other := r.Clone(r.Context())
			other.Method = method
			if _, pattern := mux.Handler(other); pattern != "/" && pattern != "" {
				p.refuse(w, caller.MethodNotAllowed, "the path does not take this method")
				return
			}
		}
		p.refuse(w, caller.UnknownPath, "there is no such path")
	}
}

func writeAnswer(w http.ResponseWriter, a *caller.Answer) {
	body, err := a.JSON()
	if err != nil {
		a = &caller.Answer{Service: a.Service, Key: a.Key, Ran: caller.Failed, Code: caller.InvalidResult, Message: "the answer cannot be encoded"}
		body, _ = a.JSON()
	}
	writeBody(w, a.Status(), body)
}

// writeBody writes a JSON response. It sets Content-Length, without which nbhttp
// uses chunked encoding.
func writeBody(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", jsonType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
