package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/teaseltide/teaseltide/internal/dispatch"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/peer"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/caller"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// tickInterval is the time between two ticks in the absence of events.
	tickInterval = 10 * time.Millisecond
	// eventsPerTick bounds the number of events handled between two ticks.
	eventsPerTick = 256
	// eventBuffer is the capacity of the queue of events, which absorbs bursts
	// from the sessions.
	eventBuffer = 4096
	// submitBuffer bounds the callers' requests that are queued for the control
	// thread. Further ones are refused immediately, because a request queued here
	// delays its caller without a place in any queue of the core.
	submitBuffer = 1024
	// replyWindow is how long a session counts as having outstanding work after
	// the last message that expects a reply.
	replyWindow = 3 * clock.Second
)

// event is an item of work for the control thread: either an event for the core,
// with the session it came from, if any, or a function to call.
type event struct {
	session *peer.Session
	core    dispatch.Event
	call    func(Core)
	// request is the handler that submitted a job without a key, else nil.
	request *unkeyedRequest
	// reason is why the session ended; set for disconnections only.
	reason error
}

// loop is the control thread. It owns the core and the table of sessions.
type loop struct {
	p           *Process
	core        Core
	events      chan event
	submissions chan event
	// drained is closed when no job and no partition is left, exited when the
	// loop has returned, which unblocks senders.
	drained chan struct{}
	exited  chan struct{}
	// sessions holds the newest session to each process.
	sessions map[ownership.Incarnation]*sessionState
	// isolated is the last state that the core reported by IsolationChanged.
	isolated    bool
	traces      *traces
	stateLogger *stateLogger
	// ctx cancels the calls to the store that the loop starts.
	ctx context.Context
	// nextSweepAt is when the next sweep is due.
	nextSweepAt clock.Millis
}

func newLoop(p *Process, core Core) *loop {
	return &loop{
		p:           p,
		core:        core,
		events:      make(chan event, eventBuffer),
		submissions: make(chan event, submitBuffer),
		drained:     make(chan struct{}),
		exited:      make(chan struct{}),
		sessions:    make(map[ownership.Incarnation]*sessionState),
		stateLogger: &stateLogger{log: p.deps.Log},
	}
}

// push queues an event for the control thread. It blocks while the queue is full
// and drops the event once the control thread has exited.
func (l *loop) push(e event) {
	select {
	case l.events <- e:
	case <-l.exited:
	}
}

func (l *loop) pushCore(e dispatch.Event) {
	l.push(event{core: e})
}

func (l *loop) call(f func(Core)) {
	l.push(event{call: f})
}

// submit queues a caller's request. It returns false if the queue is full, or if
// the queue of events, which cannot be refused, is more than half full.
func (l *loop) submit(e dispatch.Event, unkeyed *unkeyedRequest) bool {
	if len(l.events) > cap(l.events)/2 {
		return false
	}
	select {
	case l.submissions <- event{core: e, request: unkeyed}:
		return true
	default:
		return false
	}
}

// run runs the control thread until ctx ends.
func (l *loop) run(ctx context.Context) {
	defer close(l.exited)
	l.ctx = ctx
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case e := <-l.events:
			l.handle(e)
		case e := <-l.submissions:
			l.handleSubmission(e)
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		l.drainEvents()
		l.tick()
	}
}

// handleSubmission passes a caller's request to the core, unless it is for a job
// without a key and the caller is gone.
func (l *loop) handleSubmission(e event) {
	if e.request.isGone() {
		l.p.requests.deliver(e.request.id, nil)
		return
	}
	l.handle(e)
}

func (l *loop) drainEvents() {
	for range eventsPerTick {
		select {
		case e := <-l.events:
			l.handle(e)
			continue
		default:
		}
		select {
		case e := <-l.submissions:
			l.handleSubmission(e)
		default:
			return
		}
	}
}

// handle applies an event. Events of replaced sessions are dropped.
func (l *loop) handle(e event) {
	now := l.p.deps.Clock.Now()
	if e.call != nil {
		e.call(l.core)
		return
	}
	if e.session != nil && !l.updateSessions(e) {
		return
	}
	l.traces.observeEvent(e.core)
	l.core.Handle(now, e.core)
	if r, ok := e.core.(dispatch.RecordRead); ok {
		l.publishRecordRevision(r.Record.Revision)
	}
}

// publishRecordRevision publishes the revision of a record that the core has
// handled: Hello and Ping must not name one that the core does not use yet.
func (l *loop) publishRecordRevision(revision int64) {
	if revision <= l.p.recordRevision.Load() {
		return
	}
	l.p.recordRevision.Store(revision)
	l.p.deps.Log.Info("ownership record adopted", zap.Int64("revision", revision))
}

func (l *loop) tick() {
	now := l.p.deps.Clock.Now()
	for _, c := range l.core.Tick(now) {
		l.traces.observeCommand(c)
		l.execute(now, c)
	}
	l.traces.endResultSpans()
	if now >= l.nextSweepAt {
		l.nextSweepAt = now + clock.Second
		l.sweep(now)
	} else if counters := l.core.Counters(); l.stateLogger.partitionsChanged(counters) {
		l.stateLogger.logChanges(counters, l.core.Status())
	}
}

// sweep updates the probing of sessions, the metrics and the log of state
// changes. Sessions with sidecars are probed while a reply is due, so that silent
// connections are detected soon where it matters and idle ones cost little;
// sessions with entries are always probed, because a takeover depends on them.
func (l *loop) sweep(now clock.Millis) {
	for id, s := range l.sessions {
		if !s.isEntry {
			s.session.SetOutstanding(l.core.AwaitsReply(id) || now < s.requestSentAt+replyWindow)
		}
	}
	counters := l.core.Counters()
	l.p.metrics.addCounters(counters)
	l.stateLogger.logChanges(counters, l.core.Status())
}

func (l *loop) execute(now clock.Millis, c dispatch.Command) {
	switch c := c.(type) {
	case dispatch.SendPeer:
		l.send(now, c.Entry, c.Envelope)
	case dispatch.SendSidecar:
		l.send(now, c.Sidecar, c.Envelope)
	case dispatch.Reply:
		l.p.requests.deliver(c.Request, c.Answer)
	case dispatch.WriteRecord:
		go l.p.writeRecord(l.ctx, c.Record)
	case dispatch.ListRegistrations:
		l.p.requestList(c.RecordRevision)
	case dispatch.DeleteRegistration:
		l.p.requestDelete(c.Sidecar)
	case dispatch.IsolationChanged:
		l.isolated = c.Isolated
		l.updateConnectivity()
		l.p.deps.Log.Info("isolation changed", zap.Bool("isolated", c.Isolated))
	case dispatch.Drained:
		select {
		case <-l.drained:
		default:
			close(l.drained)
		}
	}
}

// send queues a frame. A frame that cannot be queued ends the session, since
// the peer relies on receiving every frame of a session. An answer that is too
// large is replaced instead: ending the session would not make it smaller, and
// the other entry would request it again.
func (l *loop) send(now clock.Millis, to ownership.Incarnation, e *wire.Envelope) {
	s := l.sessions[to]
	if s == nil {
		return
	}
	if expectsReply(e) {
		s.requestSentAt = now
		s.session.SetOutstanding(true)
	}
	err := s.session.Send(e)
	if a := e.GetAnswer(); a != nil && peer.KindOf(err) == peer.TooLarge {
		l.p.metrics.answersTooLarge.Inc()
		err = s.session.Send(wire.Wrap(tooLarge(a)))
	}
	if err != nil {
		l.p.deps.Log.Warn("session closed, frame not queued", zap.String("peer", string(to)), zap.Error(err))
		s.session.Close()
	}
}

// tooLarge returns the replacement for an answer that exceeds the frame limit.
// The tasks ran, so the job has failed for its caller.
func tooLarge(a *wire.Answer) *wire.Answer {
	return &wire.Answer{
		Request:   a.GetRequest(),
		Service:   a.GetService(),
		Key:       a.GetKey(),
		Ran:       wire.Ran_RAN_FAILED,
		Code:      string(caller.AnswerTooLarge),
		Message:   "the results are too large to pass between entries",
		ElapsedMs: a.GetElapsedMs(),
		WorkMs:    a.GetWorkMs(),
		LongestMs: a.GetLongestMs(),
		Messages:  a.GetMessages(),
	}
}

// expectsReply reports whether the receiver of a frame replies to it.
func expectsReply(e *wire.Envelope) bool {
	switch e.GetBody().(type) {
	case *wire.Envelope_Owned, *wire.Envelope_LeaveAck, *wire.Envelope_Answer, *wire.Envelope_Leaving:
		return false
	}
	return true
}
