package dispatch

import (
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// routeTimeout is how long a request waits for a reachable owner. It is
	// longer than a takeover takes.
	routeTimeout clock.Millis = 5000
	// answerTimeout is how long a request waits for the owner's answer beyond
	// the job's deadline.
	answerTimeout clock.Millis = 5000
	// defaultRequestTimeout applies to a request without a deadline of its
	// own. The owner applies the service's default deadline, which is shorter.
	defaultRequestTimeout clock.Millis = 125_000
	// requestScanInterval is the time between scans of all pending requests.
	requestScanInterval clock.Millis = 10
	// returnedRetryDelay is the delay before a returned request is routed
	// again.
	returnedRetryDelay clock.Millis = 50
)

// requestKind is the kind of a caller's request.
type requestKind int

const (
	requestSubmit requestKind = iota
	requestCancel
	requestFetch
)

// request is a request of a caller connected to this entry.
type request struct {
	id   RequestID
	kind requestKind
	spec *wire.Job
	job  JobID
	// explain also asks for the decisions that led to the state.
	explain bool
	// target is the entry to which the request was forwarded, empty if there
	// is none.
	target ownership.Incarnation
	// local is true while this entry itself serves the request.
	local bool
	// forwarded is true once another owner may have accepted the job.
	forwarded bool
	// forwardedOnce is true while the job has been forwarded to the current
	// target only.
	forwardedOnce bool
	unroutedSince clock.Millis
	// retryAt is the earliest time of the next attempt to route a returned
	// request.
	retryAt   clock.Millis
	expiresAt clock.Millis
}

func (c *Core) submit(e Submit) {
	id := jobIDOf(e.Job)
	if c.draining {
		ran := wire.Ran_RAN_NOT_RUN
		if e.Job.GetCallerKey() {
			// The caller may have submitted the job through another entry.
			ran = wire.Ran_RAN_UNKNOWN
		}
		c.emit(Reply{Request: e.Request, Answer: refusal(id, ran, CodeDraining, "this entry is stopping")})
		return
	}
	until := clock.Millis(e.Job.GetDeadlineAtMs())
	if until == 0 {
		until = c.now + defaultRequestTimeout
	}
	c.addRequest(&request{id: e.Request, kind: requestSubmit, spec: e.Job, job: id, expiresAt: until + answerTimeout})
}

func (c *Core) requestCancel(e CancelRequest) {
	id := JobID{Service: e.Service, Team: e.Team, Key: e.Key}
	c.addRequest(&request{id: e.Request, kind: requestCancel, job: id, expiresAt: c.now + answerTimeout})
}

func (c *Core) requestFetch(e FetchRequest) {
	id := JobID{Service: e.Service, Team: e.Team, Key: e.Key}
	c.addRequest(&request{id: e.Request, kind: requestFetch, job: id, explain: e.Explain, expiresAt: c.now + answerTimeout})
}

func (c *Core) addRequest(r *request) {
	r.unroutedSince = c.now
	c.requests.Put(r.id, r)
	c.route(r)
}

// callerDisconnected drops a request whose caller has disconnected. A job
// without a caller's key is cancelled, since nobody can ask for its answer.
func (c *Core) callerDisconnected(e CallerDisconnected) {
	r := c.requests.Get(e.Request)
	if r == nil {
		return
	}
	c.requests.Delete(e.Request)
	if r.kind != requestSubmit || r.spec.GetCallerKey() {
		return
	}
	if r.target != "" {
		c.sendPeer(r.target, &wire.CancelJob{Request: uint64(r.id), Service: r.job.Service, Team: r.job.Team, Key: r.job.Key})
		return
	}
	if j := c.partitionOf(r.job.Service).jobs.Get(r.job); j != nil {
		c.fail(j, wire.Ran_RAN_FAILED, CodeCancelled, "the caller has gone")
	}
}

// routeRequests retries the requests without an owner and ends those that have
// timed out.
func (c *Core) routeRequests() {
	if c.now < c.nextRequestScan {
		return
	}
	c.nextRequestScan = c.now + requestScanInterval
	for _, r := range c.requests.All() {
		if r.target == "" && !r.local && c.now >= r.retryAt {
			c.route(r)
		}
		if c.requests.Get(r.id) != nil {
			c.checkRequestTimeout(r)
		}
	}
}

func (c *Core) checkRequestTimeout(r *request) {
	if !r.local && r.target == "" && c.now >= r.unroutedSince+routeTimeout {
		c.failRequest(r, CodeNoOwner, "no reachable entry owns the service's partition")
		return
	}
	if c.now >= r.expiresAt {
		c.failRequest(r, CodeDeadlineExceeded, "the owner of the service's partition did not answer in time")
	}
}

// failRequest answers a request that got no answer from an owner. A job is
// known not to have run only if it never left this entry and nobody else can
// have submitted it.
func (c *Core) failRequest(r *request, code, message string) {
	ran := wire.Ran_RAN_UNKNOWN
	if r.kind == requestSubmit && !r.forwarded && !r.local && !r.spec.GetCallerKey() {
		ran = wire.Ran_RAN_NOT_RUN
	}
	c.requests.Delete(r.id)
	c.emit(Reply{Request: r.id, Answer: refusal(r.job, ran, code, message)})
}

// route serves a request or forwards it to the owner of its partition, if the
// owner is reachable.
func (c *Core) route(r *request) {
	p := c.partitionOf(r.job.Service)
	if p.mode != idle {
		r.local = true
		c.serveRequest(waiter{request: uint64(r.id)}, r)
		return
	}
	target := c.ownerOf(p)
	if target == "" {
		return
	}
	r.target = target
	switch r.kind {
	case requestSubmit:
		c.sendPeer(target, &wire.Forward{Request: uint64(r.id), Job: r.spec, Resubmission: r.forwarded})
		r.forwardedOnce = !r.forwarded
		r.forwarded = true
	case requestCancel:
		c.sendPeer(target, &wire.CancelJob{Request: uint64(r.id), Service: r.job.Service, Team: r.job.Team, Key: r.job.Key})
	case requestFetch:
		c.sendPeer(target, &wire.FetchJob{Request: uint64(r.id), Service: r.job.Service, Team: r.job.Team, Key: r.job.Key, Explain: r.explain})
	}
}

// ownerOf returns the connected entry that serves a partition, or "".
func (c *Core) ownerOf(p *partition) ownership.Incarnation {
	owner := p.assigned.Owner
	if p.announced.epoch > p.assigned.Epoch {
		owner = p.announced.owner
	}
	if peer := c.peers.Get(owner); peer == nil || !peer.connected {
		return ""
	}
	return owner
}

// serveRequest handles a request at the owner.
func (c *Core) serveRequest(w waiter, r *request) {
	switch r.kind {
	case requestSubmit:
		c.accept(submission{waiter: w, spec: r.spec, resubmission: r.forwarded})
	case requestCancel:
		c.cancel(w, r.job)
	case requestFetch:
		c.fetch(w, r.job, r.explain)
	}
}

// cancel cancels a job at its owner.
func (c *Core) cancel(w waiter, id JobID) {
	p := c.partitionOf(id.Service)
	if j := p.jobs.Get(id); j != nil {
		if j.answer == nil {
			j.waiters = append(j.waiters, w)
			if j.state == jobWithdrawing {
				return
			}
			c.fail(j, wire.Ran_RAN_FAILED, CodeCancelled, "the job was cancelled")
			return
		}
		c.deliver(w, j.answer)
		return
	}
	if a := p.answered.Get(id); a != nil {
		c.deliver(w, a.callerAnswer())
		return
	}
	k := p.known.Get(id)
	if k == nil {
		c.refuse(w, id, wire.Ran_RAN_UNKNOWN, CodeUnknownJob, "no job is known under this key")
		return
	}
	k.cancelled = true
	var notified []ownership.Incarnation
	for _, t := range k.tasks {
		if !containsID(notified, t.sidecar) {
			notified = append(notified, t.sidecar)
		}
	}
	for _, s := range notified {
		c.sendSidecar(s, &wire.Cancel{Partition: uint32(p.id), Epoch: uint64(p.epoch), Service: id.Service, Team: id.Team, Key: id.Key})
	}
	c.refuse(w, id, wire.Ran_RAN_UNKNOWN, CodeCancelled, "the job was cancelled")
}

// fetch delivers the state or the answer of a job.
func (c *Core) fetch(w waiter, id JobID, explain bool) {
	p := c.partitionOf(id.Service)
	if a := p.answered.Get(id); a != nil {
		answer := a.callerAnswer()
		if explain {
			answer = a.answer()
		}
		c.deliver(w, answer)
		return
	}
	j := p.jobs.Get(id)
	if j == nil {
		message := "no job is known under this key"
		if p.known.Get(id) != nil {
			message = "the job's owner was lost; submit the job again under its key to get the answer"
		}
		c.refuse(w, id, wire.Ran_RAN_UNKNOWN, CodeUnknownJob, message)
		return
	}
	a := j.answer
	if a == nil {
		a = &wire.Answer{Service: id.Service, Key: id.Key, Ran: wire.Ran_RAN_RUNNING, Code: j.state.String(), ElapsedMs: int64(c.now - j.acceptedAt)}
	}
	if explain {
		a = copyAnswer(a)
		a.Decisions = j.decisions
	}
	c.deliver(w, a)
}

func refusal(id JobID, ran wire.Ran, code, message string) *wire.Answer {
	return &wire.Answer{Service: id.Service, Key: id.Key, Ran: ran, Code: code, Message: message}
}

func (c *Core) refuse(w waiter, id JobID, ran wire.Ran, code, message string) {
	c.deliver(w, refusal(id, ran, code, message))
}

// copyAnswer copies an answer so that each receiver gets its own request ID.
// The results are shared and must not be modified.
func copyAnswer(a *wire.Answer) *wire.Answer {
	return &wire.Answer{
		Request:   a.GetRequest(),
		Service:   a.GetService(),
		Key:       a.GetKey(),
		Ran:       a.GetRan(),
		Code:      a.GetCode(),
		Message:   a.GetMessage(),
		Results:   a.GetResults(),
		ElapsedMs: a.GetElapsedMs(),
		WorkMs:    a.GetWorkMs(),
		Decisions: a.GetDecisions(),
		Messages:  a.GetMessages(),
		LongestMs: a.GetLongestMs(),
	}
}

// deliver sends an answer to the request that waits for it.
func (c *Core) deliver(w waiter, a *wire.Answer) {
	a = copyAnswer(a)
	a.Request = w.request
	if w.peer != "" {
		c.sendPeer(w.peer, a)
		return
	}
	id := RequestID(w.request)
	if c.requests.Get(id) == nil {
		return
	}
	c.requests.Delete(id)
	c.emit(Reply{Request: id, Answer: a})
}

// returnRequest returns a request to the entry that received it, because this
// entry relinquishes the partition.
func (c *Core) returnRequest(w waiter) {
	if w.peer != "" {
		a := refusal(JobID{}, wire.Ran_RAN_UNKNOWN, CodeNotOwner, "the partition has another owner")
		a.Request = w.request
		c.sendPeer(w.peer, a)
		return
	}
	if r := c.requests.Get(RequestID(w.request)); r != nil {
		r.local = false
		r.forwarded = true
		r.unroutedSince = c.now
	}
}

func (c *Core) peerMessage(from ownership.Incarnation, e *wire.Envelope) {
	switch b := e.GetBody().(type) {
	case *wire.Envelope_Owned:
		c.peerOwned(from, b.Owned)
	case *wire.Envelope_Leaving:
		if p := c.peers.Get(from); p != nil {
			p.leaving = true
		}
	case *wire.Envelope_Answer:
		c.answerReceived(from, b.Answer)
	case *wire.Envelope_Forward:
		m := b.Forward
		c.peerRequest(from, m.GetRequest(), &request{kind: requestSubmit, spec: m.GetJob(), job: jobIDOf(m.GetJob()), forwarded: m.GetResubmission()})
	case *wire.Envelope_CancelJob:
		m := b.CancelJob
		id := JobID{Service: m.GetService(), Team: m.GetTeam(), Key: m.GetKey()}
		c.peerRequest(from, m.GetRequest(), &request{kind: requestCancel, job: id})
	case *wire.Envelope_FetchJob:
		m := b.FetchJob
		id := JobID{Service: m.GetService(), Team: m.GetTeam(), Key: m.GetKey()}
		c.peerRequest(from, m.GetRequest(), &request{kind: requestFetch, job: id, explain: m.GetExplain()})
	}
}

// peerRequest serves a request forwarded by another entry, or returns it if
// this entry does not serve the partition.
func (c *Core) peerRequest(from ownership.Incarnation, number uint64, r *request) {
	w := waiter{peer: from, request: number}
	if c.partitionOf(r.job.Service).mode == idle {
		c.refuse(w, r.job, wire.Ran_RAN_NOT_RUN, CodeNotOwner, "this entry does not serve the partition")
		return
	}
	c.serveRequest(w, r)
}

// answerReceived handles an answer from another entry to a forwarded request.
func (c *Core) answerReceived(from ownership.Incarnation, a *wire.Answer) {
	r := c.requests.Get(RequestID(a.GetRequest()))
	if r == nil || r.target != from {
		return
	}
	if a.GetCode() == CodeNotOwner {
		c.requestReturned(r, a)
		return
	}
	c.requests.Delete(r.id)
	c.emit(Reply{Request: r.id, Answer: a})
}

// requestReturned handles a request returned by an entry that does not, or no
// longer, serve its partition.
func (c *Core) requestReturned(r *request, a *wire.Answer) {
	r.target = ""
	r.retryAt = c.now + returnedRetryDelay
	if a.GetRan() != wire.Ran_RAN_NOT_RUN {
		r.unroutedSince = c.now
		return
	}
	if r.forwardedOnce {
		r.forwarded = false
	}
}

// unrouteRequests reclaims the requests that were forwarded to a lost entry.
// Their jobs may have started, so they count as resubmissions.
func (c *Core) unrouteRequests(id ownership.Incarnation) {
	for _, r := range c.requests.All() {
		if r.target == id {
			r.target = ""
			r.unroutedSince = c.now
		}
	}
}
