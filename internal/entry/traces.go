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

// Names of the spans that an entry makes, one for each hop of a job:
//
//	submit             caller to entry, until the answer
//	  forward          entry to owner, until the answer
//	    serve          at the owner, from the Forward to the Answer
//	      queue        at the owner, from acceptance to the first dispatch
//	      dispatch     owner to sidecar, until the last result of the message
//	        run        at the sidecar, the request to the backend server
//	        result     at the owner, from the arrival of results until the
//	                   control thread has acted on them
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

// maxTraced bounds the sampled jobs and requests that have open spans. Further
// ones pass through without spans of this entry.
const maxTraced = 256

// traces makes the spans of sampled jobs from what the events and commands of
// the core show. It belongs to the control thread. A job that is not sampled
// costs the look at one character of its traceparent. A nil traces makes no
// spans.
type traces struct {
	tracer  trace.Tracer
	skipped func()

	jobs     map[dispatch.JobID]*tracedJob
	requests map[dispatch.RequestID]*tracedRequest
	served   map[servedRequest]*tracedRequest
	// arrivals holds the result spans that end after the next tick.
	arrivals []trace.Span
}

// tracedJob is a job whose spans have the span in ctx as their parent.
type tracedJob struct {
	ctx   context.Context
	queue trace.Span
	// tasks holds the dispatch that each open task went out with.
	tasks map[uint32]*tracedDispatch
}

// tracedDispatch is a dispatch span with the number of its open tasks.
type tracedDispatch struct {
	ctx  context.Context
	span trace.Span
	open int
}

// tracedRequest is a request of a caller of this entry, with its forward span
// if another entry has it, or a request of another entry with its serve span.
type tracedRequest struct {
	ctx    context.Context
	job    dispatch.JobID
	span   trace.Span
	target ownership.Incarnation
}

// servedRequest names a request of another entry.
type servedRequest struct {
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
		served:   make(map[servedRequest]*tracedRequest),
	}
}

// event notes an event before the core handles it.
func (t *traces) event(e dispatch.Event) {
	if t == nil {
		return
	}
	switch e := e.(type) {
	case dispatch.Submit:
		t.submitted(e)
	case dispatch.CallerDisconnected:
		t.ended(e.Request, "the caller has gone")
	case dispatch.PeerMessage:
		t.peerMessage(e)
	case dispatch.PeerDisconnected:
		t.peerLost(e.Entry)
	case dispatch.SidecarMessage:
		t.sidecarMessage(e.Envelope)
	}
}

// command notes a command before it is executed. It may set the traceparent of
// the message that the command sends.
func (t *traces) command(c dispatch.Command) {
	if t == nil {
		return
	}
	switch c := c.(type) {
	case dispatch.SendPeer:
		switch b := c.Envelope.GetBody().(type) {
		case *wire.Envelope_Forward:
			t.forwarded(c.Entry, b.Forward)
		case *wire.Envelope_Answer:
			t.answered(servedRequest{c.Entry, b.Answer.GetRequest()}, b.Answer)
		}
	case dispatch.SendSidecar:
		if d := c.Envelope.GetDispatch(); d != nil {
			t.dispatched(c.Sidecar, d)
		}
	case dispatch.Reply:
		t.ended(c.Request, "")
	}
}

// ticked ends the spans of the results that the last tick has acted on.
func (t *traces) ticked() {
	if t == nil {
		return
	}
	for _, s := range t.arrivals {
		s.End()
	}
	t.arrivals = t.arrivals[:0]
}

func (t *traces) start(ctx context.Context, name string, kind trace.SpanKind, attributes ...attribute.KeyValue) (context.Context, trace.Span) {
	return t.tracer.Start(ctx, name, trace.WithSpanKind(kind), trace.WithAttributes(attributes...))
}

// full tells whether another sampled job has no place.
func (t *traces) full() bool {
	if len(t.requests)+len(t.served) < maxTraced && len(t.jobs) < maxTraced {
		return false
	}
	t.skipped()
	return true
}

// jobMessage is a message that names a job.
type jobMessage interface {
	GetService() string
	GetTeam() string
	GetKey() string
}

func idOf(m jobMessage) dispatch.JobID {
	return dispatch.JobID{Service: m.GetService(), Team: m.GetTeam(), Key: m.GetKey()}
}

func (t *traces) submitted(e dispatch.Submit) {
	if !tracing.Sampled(e.Job.GetTraceparent()) || t.full() {
		return
	}
	r := &tracedRequest{ctx: tracing.Extract(context.Background(), e.Job.GetTraceparent()), job: idOf(e.Job)}
	t.requests[e.Request] = r
	t.accepted(r.ctx, r.job)
}

// accepted adds a job unless an earlier submission of it is traced.
func (t *traces) accepted(ctx context.Context, id dispatch.JobID) {
	if t.jobs[id] != nil {
		return
	}
	_, queue := t.start(ctx, spanQueue, trace.SpanKindInternal)
	t.jobs[id] = &tracedJob{ctx: ctx, queue: queue, tasks: make(map[uint32]*tracedDispatch)}
}

func (t *traces) peerMessage(e dispatch.PeerMessage) {
	switch b := e.Envelope.GetBody().(type) {
	case *wire.Envelope_Forward:
		t.serve(servedRequest{e.Entry, b.Forward.GetRequest()}, b.Forward.GetJob())
	case *wire.Envelope_Answer:
		if r := t.requests[dispatch.RequestID(b.Answer.GetRequest())]; r != nil && r.target == e.Entry {
			r.end(b.Answer)
		}
	}
}

// serve begins the span of a forwarded job. The job continues with its context,
// also if the table of jobs no longer has it; its message was decoded for this
// event only.
func (t *traces) serve(name servedRequest, j *wire.Job) {
	if !tracing.Sampled(j.GetTraceparent()) || t.full() {
		return
	}
	ctx, span := t.start(tracing.Extract(context.Background(), j.GetTraceparent()), spanServe, trace.SpanKindServer,
		attribute.String("entry", string(name.entry)), attribute.String("service", j.GetService()))
	j.Traceparent = tracing.Inject(ctx)
	r := &tracedRequest{ctx: ctx, job: idOf(j), span: span}
	t.served[name] = r
	t.accepted(ctx, r.job)
}

// forwarded begins the span of a job that goes to its owner. The core keeps the
// job for a resubmission, and an earlier message may still be written, so the
// message gets a copy that shares the payloads.
func (t *traces) forwarded(to ownership.Incarnation, m *wire.Forward) {
	r := t.requests[dispatch.RequestID(m.GetRequest())]
	if r == nil {
		return
	}
	// The time until here was no wait in an owner's queue.
	if j := t.jobs[r.job]; j != nil {
		j.queue = nil
	}
	r.end(nil)
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

// dispatched begins the span of a dispatch. The core makes a new message for
// each dispatch.
func (t *traces) dispatched(to ownership.Incarnation, d *wire.Dispatch) {
	j := t.jobs[idOf(d.GetJob())]
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
	sent := &tracedDispatch{ctx: ctx, span: span, open: len(d.GetTasks())}
	for _, task := range d.GetTasks() {
		j.close(task.GetIndex())
		j.tasks[task.GetIndex()] = sent
	}
}

// close ends the part of a task in its dispatch.
func (j *tracedJob) close(index uint32) {
	d := j.tasks[index]
	if d == nil {
		return
	}
	delete(j.tasks, index)
	if d.open--; d.open == 0 {
		d.span.End()
	}
}

func (t *traces) sidecarMessage(e *wire.Envelope) {
	if len(t.jobs) == 0 {
		return
	}
	switch b := e.GetBody().(type) {
	case *wire.Envelope_Results:
		m := b.Results
		if j := t.jobs[idOf(m)]; j != nil {
			t.results(j, m)
		}
	case *wire.Envelope_Rejected:
		m := b.Rejected
		j := t.jobs[idOf(m)]
		if j == nil {
			return
		}
		for _, i := range m.GetIndexes() {
			if d := j.tasks[i]; d != nil {
				d.span.SetStatus(codes.Error, m.GetReason().String())
			}
			j.close(i)
		}
	}
}

func (t *traces) results(j *tracedJob, m *wire.Results) {
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
		j.close(r.GetIndex())
	}
	if ended == 0 {
		return
	}
	_, span := t.start(parent, spanResult, trace.SpanKindInternal, attribute.Int("tasks", ended))
	t.arrivals = append(t.arrivals, span)
}

// answered ends the span of a request of another entry.
func (t *traces) answered(name servedRequest, a *wire.Answer) {
	r := t.served[name]
	if r == nil {
		return
	}
	delete(t.served, name)
	r.end(a)
	t.forget(r.job, "")
}

// ended removes a request of a caller of this entry.
func (t *traces) ended(id dispatch.RequestID, why string) {
	r := t.requests[id]
	if r == nil {
		return
	}
	delete(t.requests, id)
	r.end(nil)
	t.forget(r.job, why)
}

// peerLost ends the spans that wait for another entry or are made for it.
func (t *traces) peerLost(entry ownership.Incarnation) {
	for _, r := range t.requests {
		if r.target == entry && r.span != nil {
			r.span.SetStatus(codes.Error, "the session ended")
			r.end(nil)
		}
	}
	for name, r := range t.served {
		if name.entry == entry {
			delete(t.served, name)
			r.span.SetStatus(codes.Error, "the session ended")
			r.end(nil)
			t.forget(r.job, "the session with the entry that forwarded the job ended")
		}
	}
}

// forget removes a job and ends its open spans. A queue span that no dispatch
// has followed is dropped.
func (t *traces) forget(id dispatch.JobID, why string) {
	j := t.jobs[id]
	if j == nil {
		return
	}
	delete(t.jobs, id)
	if why == "" {
		why = "the job ended before its results arrived"
	}
	for i, d := range j.tasks {
		d.span.SetStatus(codes.Error, why)
		j.close(i)
	}
}

// end ends the open span of a request, with the answer if there is one.
func (r *tracedRequest) end(a *wire.Answer) {
	if r.span == nil {
		return
	}
	if a != nil {
		endWith(r.span, caller.AnswerOf(&wire.Answer{Ran: a.GetRan(), Code: a.GetCode()}))
	} else {
		r.span.End()
	}
	r.span = nil
	r.target = ""
}

// endWith ends a span with what is known of its job.
func endWith(span trace.Span, a *caller.Answer) {
	span.SetAttributes(attribute.String("ran", string(a.Ran)), attribute.String("code", string(a.Code)))
	if a.Ran != caller.Complete {
		span.SetStatus(codes.Error, string(a.Code))
	}
	span.End()
}
