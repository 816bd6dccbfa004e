package entry

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/teaseltide/teaseltide/internal/dispatch"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/tracing"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/caller"
)

// Names of the spans of a job, one for each hop:
//
//	submit             caller to entry, until the answer
//	  forward          entry to owner, until the answer
//	    serve          at the owner, from the Forward to the Answer
//	      queue        at the owner, from acceptance to the first dispatch
//	      dispatch     owner to sidecar, until the last result of the message
//	        run        at the sidecar, the request to the backend server
//	        result     at the owner, from the receipt of results until the
//	                   control thread has processed them
//
// At an entry that owns the service itself, forward and serve are absent.
const (
	spanSubmit   = "submit"
	spanForward  = "forward"
	spanServe    = "serve"
	spanQueue    = "queue"
	spanDispatch = "dispatch"
	spanResult   = "result"
)

// maxTraced bounds the sampled jobs and requests with open spans. Further ones
// get no spans of this entry.
const maxTraced = 256

// traces creates the spans of sampled jobs from the events and commands of the
// core. Only the control thread uses it. A job that is not sampled costs the
// check of one character of its traceparent. A nil *traces creates no spans.
type traces struct {
	tracer  trace.Tracer
	skipped func()

	jobs     map[dispatch.JobID]*tracedJob
	requests map[dispatch.RequestID]*tracedRequest
	served   map[remoteRequest]*tracedRequest
	// resultSpans are the open result spans, which end after the next tick.
	resultSpans []trace.Span
}

// tracedJob is a job whose spans have the span in ctx as their parent.
type tracedJob struct {
	ctx   context.Context
	queue trace.Span
	// tasks maps the index of each open task to the dispatch that carried it.
	tasks map[uint32]*tracedDispatch
}

// tracedDispatch is a dispatch span and the number of its open tasks.
type tracedDispatch struct {
	ctx       context.Context
	span      trace.Span
	openTasks int
}

// tracedRequest is a request of a caller of this entry, with the forward span if
// it was forwarded, or a request of another entry with its serve span.
type tracedRequest struct {
	ctx    context.Context
	job    dispatch.JobID
	span   trace.Span
	target ownership.Incarnation
}

// remoteRequest identifies a request of another entry.
type remoteRequest struct {
	entry   ownership.Incarnation
	request uint64
}

func newTraces(tracer trace.Tracer, skipped func()) *traces {
	if tracer == nil {
		return nil
	}
	return &traces{
		tracer:   tracer,
		skipped:  skipped,
		jobs:     make(map[dispatch.JobID]*tracedJob),
		requests: make(map[dispatch.RequestID]*tracedRequest),
		served:   make(map[remoteRequest]*tracedRequest),
	}
}

// observeEvent updates the spans for an event before the core handles it.
func (t *traces) observeEvent(e dispatch.Event) {
	if t == nil {
		return
	}
	switch e := e.(type) {
	case dispatch.Submit:
		t.startRequest(e)
	case dispatch.CallerDisconnected:
		t.endRequest(e.Request, "the caller has gone")
	case dispatch.PeerMessage:
		t.handlePeerMessage(e)
	case dispatch.PeerDisconnected:
		t.handlePeerDisconnected(e.Entry)
	case dispatch.SidecarMessage:
		t.handleSidecarMessage(e.Envelope)
	}
}

// observeCommand updates the spans for a command before it is executed. It may
// set the traceparent of the message that the command sends.
func (t *traces) observeCommand(c dispatch.Command) {
	if t == nil {
		return
	}
	switch c := c.(type) {
	case dispatch.SendPeer:
		switch b := c.Envelope.GetBody().(type) {
		case *wire.Envelope_Forward:
			t.startForward(c.Entry, b.Forward)
		case *wire.Envelope_Answer:
			t.endServed(remoteRequest{c.Entry, b.Answer.GetRequest()}, b.Answer)
		}
	case dispatch.SendSidecar:
		if d := c.Envelope.GetDispatch(); d != nil {
			t.startDispatch(c.Sidecar, d)
		}
	case dispatch.Reply:
		t.endRequest(c.Request, "")
	}
}

// endResultSpans ends the spans of the results that the last tick processed.
func (t *traces) endResultSpans() {
	if t == nil {
		return
	}
	for _, s := range t.resultSpans {
		s.End()
	}
	t.resultSpans = t.resultSpans[:0]
}

func (t *traces) start(ctx context.Context, name string, kind trace.SpanKind, attributes ...attribute.KeyValue) (context.Context, trace.Span) {
	return t.tracer.Start(ctx, name, trace.WithSpanKind(kind), trace.WithAttributes(attributes...))
}

// atCapacity reports whether another sampled job would exceed maxTraced, and
// then counts it as skipped.
func (t *traces) atCapacity() bool {
	if len(t.requests)+len(t.served) < maxTraced && len(t.jobs) < maxTraced {
		return false
	}
	t.skipped()
	return true
}

// jobMessage is a message that identifies a job.
type jobMessage interface {
	GetService() string
	GetTeam() string
	GetKey() string
}

func jobIDOf(m jobMessage) dispatch.JobID {
	return dispatch.JobID{Service: m.GetService(), Team: m.GetTeam(), Key: m.GetKey()}
}

func (t *traces) startRequest(e dispatch.Submit) {
	if !tracing.Sampled(e.Job.GetTraceparent()) || t.atCapacity() {
		return
	}
	r := &tracedRequest{ctx: tracing.Extract(context.Background(), e.Job.GetTraceparent()), job: jobIDOf(e.Job)}
	t.requests[e.Request] = r
	t.startJob(r.ctx, r.job)
}

// startJob starts the queue span of a job unless an earlier submission of it is
// traced.
func (t *traces) startJob(ctx context.Context, id dispatch.JobID) {
	if t.jobs[id] != nil {
		return
	}
	_, queue := t.start(ctx, spanQueue, trace.SpanKindInternal)
	t.jobs[id] = &tracedJob{ctx: ctx, queue: queue, tasks: make(map[uint32]*tracedDispatch)}
}

func (t *traces) handlePeerMessage(e dispatch.PeerMessage) {
	switch b := e.Envelope.GetBody().(type) {
	case *wire.Envelope_Forward:
		t.startServe(remoteRequest{e.Entry, b.Forward.GetRequest()}, b.Forward.GetJob())
	case *wire.Envelope_Answer:
		if r := t.requests[dispatch.RequestID(b.Answer.GetRequest())]; r != nil && r.target == e.Entry {
			r.endSpan(b.Answer)
		}
	}
}

// startServe starts the serve span of a forwarded job and sets it as the parent
// in the job's traceparent, also if the job is already traced. The message may be
// changed, because it was decoded for this event only.
func (t *traces) startServe(id remoteRequest, j *wire.Job) {
	if !tracing.Sampled(j.GetTraceparent()) || t.atCapacity() {
		return
	}
	ctx, span := t.start(tracing.Extract(context.Background(), j.GetTraceparent()), spanServe, trace.SpanKindServer,
		attribute.String("entry", string(id.entry)), attribute.String("service", j.GetService()))
	j.Traceparent = tracing.Inject(ctx)
	r := &tracedRequest{ctx: ctx, job: jobIDOf(j), span: span}
	t.served[id] = r
	t.startJob(ctx, r.job)
}

// startForward starts the forward span of a job sent to its owner. The core keeps
// the job for a resubmission, and an earlier message may still be in the write
// queue, so the message gets a copy that shares the payloads.
func (t *traces) startForward(to ownership.Incarnation, m *wire.Forward) {
	r := t.requests[dispatch.RequestID(m.GetRequest())]
	if r == nil {
		return
	}
	// The span did not measure time in the owner's queue, so it is dropped.
	if j := t.jobs[r.job]; j != nil {
		j.queue = nil
	}
	r.endSpan(nil)
	ctx, span := t.start(r.ctx, spanForward, trace.SpanKindClient,
		attribute.String("entry", string(to)), attribute.Bool("resubmission", m.GetResubmission()))
	r.span = span
	r.target = to
	m.Job = withTraceparent(m.GetJob(), tracing.Inject(ctx))
}

func withTraceparent(j *wire.Job, traceparent string) *wire.Job {
	return &wire.Job{
		Key:           j.GetKey(),
		CallerKey:     j.GetCallerKey(),
		Team:          j.GetTeam(),
		Service:       j.GetService(),
		NotRepeatable: j.GetNotRepeatable(),
		DeadlineAtMs:  j.GetDeadlineAtMs(),
		ExpiresAtMs:   j.GetExpiresAtMs(),
		Tasks:         j.GetTasks(),
		BodyHash:      j.GetBodyHash(),
		Traceparent:   traceparent,
	}
}

// startDispatch starts the span of a dispatch and sets its traceparent in the
// message, which the core creates for each dispatch.
func (t *traces) startDispatch(to ownership.Incarnation, d *wire.Dispatch) {
	j := t.jobs[jobIDOf(d.GetJob())]
	if j == nil {
		return
	}
	if j.queue != nil {
		j.queue.End()
		j.queue = nil
	}
	ctx, span := t.start(j.ctx, spanDispatch, trace.SpanKindClient,
		attribute.String("sidecar", string(to)), attribute.Int("tasks", len(d.GetTasks())))
	d.Traceparent = tracing.Inject(ctx)
	sent := &tracedDispatch{ctx: ctx, span: span, openTasks: len(d.GetTasks())}
	for _, task := range d.GetTasks() {
		j.closeTask(task.GetIndex())
		j.tasks[task.GetIndex()] = sent
	}
}

// closeTask removes an open task. The span of its dispatch ends with the last one.
func (j *tracedJob) closeTask(index uint32) {
	d := j.tasks[index]
	if d == nil {
		return
	}
	delete(j.tasks, index)
	if d.openTasks--; d.openTasks == 0 {
		d.span.End()
	}
}

func (t *traces) handleSidecarMessage(e *wire.Envelope) {
	if len(t.jobs) == 0 {
		return
	}
	switch b := e.GetBody().(type) {
	case *wire.Envelope_Results:
		m := b.Results
		if j := t.jobs[jobIDOf(m)]; j != nil {
			t.handleResults(j, m)
		}
	case *wire.Envelope_Rejected:
		m := b.Rejected
		j := t.jobs[jobIDOf(m)]
		if j == nil {
			return
		}
		for _, i := range m.GetIndexes() {
			if d := j.tasks[i]; d != nil {
				d.span.SetStatus(codes.Error, m.GetReason().String())
			}
			j.closeTask(i)
		}
	}
}

func (t *traces) handleResults(j *tracedJob, m *wire.Results) {
	ended := 0
	parent := j.ctx
	for _, r := range m.GetTasks() {
		if o := r.GetOutcome(); o == wire.Outcome_OUTCOME_QUEUED || o == wire.Outcome_OUTCOME_RUNNING {
			continue
		}
		if d := j.tasks[r.GetIndex()]; d != nil {
			parent = d.ctx
			ended++
		}
		j.closeTask(r.GetIndex())
	}
	if ended == 0 {
		return
	}
	_, span := t.start(parent, spanResult, trace.SpanKindInternal, attribute.Int("tasks", ended))
	t.resultSpans = append(t.resultSpans, span)
}

// endServed ends the serve span of a request of another entry.
func (t *traces) endServed(id remoteRequest, a *wire.Answer) {
	r := t.served[id]
	if r == nil {
		return
	}
	delete(t.served, id)
	r.endSpan(a)
	t.removeJob(r.job, "")
}

// endRequest ends the spans of a request of a caller of this entry.
func (t *traces) endRequest(id dispatch.RequestID, reason string) {
	r := t.requests[id]
	if r == nil {
		return
	}
	delete(t.requests, id)
	r.endSpan(nil)
	t.removeJob(r.job, reason)
}

// handlePeerDisconnected ends the forward spans to an entry and the serve spans
// of its requests.
func (t *traces) handlePeerDisconnected(entry ownership.Incarnation) {
	for _, r := range t.requests {
		if r.target == entry && r.span != nil {
			r.span.SetStatus(codes.Error, "the session ended")
			r.endSpan(nil)
		}
	}
	for id, r := range t.served {
		if id.entry == entry {
			delete(t.served, id)
			r.span.SetStatus(codes.Error, "the session ended")
			r.endSpan(nil)
			t.removeJob(r.job, "the session with the entry that forwarded the job ended")
		}
	}
}

// removeJob removes a job and ends its open dispatch spans with an error. A queue
// span that no dispatch has ended is dropped.
func (t *traces) removeJob(id dispatch.JobID, reason string) {
	j := t.jobs[id]
	if j == nil {
		return
	}
	delete(t.jobs, id)
	if reason == "" {
		reason = "the job ended before its results arrived"
	}
	for i, d := range j.tasks {
		d.span.SetStatus(codes.Error, reason)
		j.closeTask(i)
	}
}

// endSpan ends the open span of a request, with the outcome of the answer if
// there is one.
func (r *tracedRequest) endSpan(a *wire.Answer) {
	if r.span == nil {
		return
	}
	if a != nil {
		endSpanWithAnswer(r.span, caller.AnswerOf(&wire.Answer{Ran: a.GetRan(), Code: a.GetCode()}))
	} else {
		r.span.End()
	}
	r.span = nil
	r.target = ""
}

// endSpanWithAnswer ends a span with the outcome of its job.
func endSpanWithAnswer(span trace.Span, a *caller.Answer) {
	span.SetAttributes(attribute.String("ran", string(a.Ran)), attribute.String("code", string(a.Code)))
	if a.Ran != caller.Complete {
		span.SetStatus(codes.Error, string(a.Code))
	}
	span.End()
}
