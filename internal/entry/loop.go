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
	// tickInterval is the time between two ticks without an event.
	tickInterval = 10 * time.Millisecond
	// eventsPerTick bounds the events between two ticks.
	eventsPerTick = 256
	// eventBuffer decouples the sessions from the control thread for a moment.
	eventBuffer = 4096
	// submitBuffer bounds the requests of callers that wait for the control
	// thread. More are refused at once: a request that waits there keeps its
	// caller waiting without a place in any queue of the core.
	submitBuffer = 1024
	// probeFor is how long a session counts as having outstanding work after
	// the last message that asks for a reply.
	probeFor = 3 * clock.Second
)

// event is something for the control thread: an event of the core on behalf of
// a session, if any, or a call.
type event struct {
	session *peer.Session
	core    dispatch.Event
	call    func(Core)
	// reason is why the session ended, for a disconnection.
	reason error
}

// loop is the control thread. It owns the core and the table of sessions.
type loop struct {
	p       *Process
	core    Core
	events  chan event
	submits chan event
	// drained closes when no job and no partition is left, exited when the
	// loop has returned, so that no sender waits.
	drained chan struct{}
	exited  chan struct{}
	// sessions holds the newest session to each process.
	sessions map[ownership.Incarnation]*sessionState
	// isolated is what the core last said of the other failure domains.
	isolated bool
	traces   *traces
	journal  *journal
	// work ends the calls to the store that the loop starts.
	work context.Context
	// sweepAt is the time of the next sweep.
	sweepAt clock.Millis
}

func newLoop(p *Process, core Core) *loop {
	return &loop{
		p:        p,
		core:     core,
		events:   make(chan event, eventBuffer),
		submits:  make(chan event, submitBuffer),
		drained:  make(chan struct{}),
		exited:   make(chan struct{}),
		sessions: make(map[ownership.Incarnation]*sessionState),
		journal:  &journal{log: p.deps.Log},
	}
}

// push hands an event to the control thread and waits while its buffer is
// full.
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

// submit hands over a request of a caller, unless too many wait or the events
// that cannot be refused fill their buffer.
func (l *loop) submit(e dispatch.Event) bool {
	if len(l.events) > cap(l.events)/2 {
		return false
	}
	select {
	case l.submits <- event{core: e}:
		return true
	default:
		return false
	}
}

// run runs the control thread until work ends.
func (l *loop) run(work context.Context) {
	defer close(l.exited)
	l.work = work
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case e := <-l.events:
			l.handle(e)
		case e := <-l.submits:
			l.handle(e)
		case <-ticker.C:
		case <-work.Done():
			return
		}
		l.drainEvents()
		l.tick()
	}
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
		case e := <-l.submits:
			l.handle(e)
		default:
			return
		}
	}
}

// handle applies an event, unless it comes from a session that was replaced.
func (l *loop) handle(e event) {
	now := l.p.deps.Clock.Now()
	if e.call != nil {
		e.call(l.core)
		return
	}
	if e.session != nil && !l.admit(e) {
		return
	}
	l.traces.event(e.core)
	l.core.Handle(now, e.core)
	if r, ok := e.core.(dispatch.RecordRead); ok {
		l.recordRead(r.Record.Revision)
	}
}

// recordRead publishes the revision of the record after the core has it,
// because Hello and Ping must not name one that the core does not act on.
func (l *loop) recordRead(revision int64) {
	if revision <= l.p.record.Load() {
		return
	}
	l.p.record.Store(revision)
	l.p.deps.Log.Info("ownership record", zap.Int64("revision", revision))
}

func (l *loop) tick() {
	now := l.p.deps.Clock.Now()
	for _, c := range l.core.Tick(now) {
		l.traces.command(c)
		l.execute(now, c)
	}
	l.traces.ticked()
	if now >= l.sweepAt {
		l.sweepAt = now + clock.Second
		l.sweep(now)
	} else if counters := l.core.Counters(); l.journal.due(counters) {
		l.journal.compare(counters, l.core.Status())
	}
}

// sweep tells the sessions with sidecars whether a reply is due, so that silent
// connections are found soon where it matters and idle ones cost little. The
// sessions with entries are always probed, because a takeover depends on them.
func (l *loop) sweep(now clock.Millis) {
	for id, s := range l.sessions {
		if !s.entry {
			s.session.SetOutstanding(l.core.AwaitsReply(id) || now < s.askedAt+probeFor)
		}
	}
	counters := l.core.Counters()
	l.p.metrics.observe(counters)
	l.journal.compare(counters, l.core.Status())
}

func (l *loop) execute(now clock.Millis, c dispatch.Command) {
	switch c := c.(type) {
	case dispatch.SendPeer:
		l.send(now, c.Entry, c.Envelope)
	case dispatch.SendSidecar:
		l.send(now, c.Sidecar, c.Envelope)
	case dispatch.Reply:
		l.p.requests.answer(c.Request, c.Answer)
	case dispatch.WriteRecord:
		go l.p.writeRecord(l.work, c.Record)
	case dispatch.ListRegistrations:
		l.p.requestList(c.RecordRevision)
	case dispatch.DeleteRegistration:
		l.p.requestDelete(c.Sidecar)
	case dispatch.IsolationChanged:
		l.isolated = c.Isolated
		l.reportContact()
		l.p.deps.Log.Info("isolation", zap.Bool("isolated", c.Isolated))
	case dispatch.Drained:
		select {
		case <-l.drained:
		default:
			close(l.drained)
		}
	}
}

// send queues a frame. A frame that cannot be queued ends the session, since
// the peer counts on getting every frame of a session. Only an answer that is
// too large is replaced: ending the session would not make it smaller, and the
// other entry would ask for it again.
func (l *loop) send(now clock.Millis, to ownership.Incarnation, e *wire.Envelope) {
	s := l.sessions[to]
	if s == nil {
		return
	}
	if asks(e) {
		s.askedAt = now
		s.session.SetOutstanding(true)
	}
	err := s.session.Send(e)
	if a := e.GetAnswer(); a != nil && peer.KindOf(err) == peer.TooLarge {
		l.p.metrics.answersTooLarge.Inc()
		err = s.session.Send(wire.Wrap(tooLarge(a)))
	}
	if err != nil {
		l.p.deps.Log.Warn("session ended", zap.String("peer", string(to)), zap.Error(err))
		s.session.Close()
	}
}

// tooLarge replaces an answer that no frame can carry. The tasks ran, so the
// job has failed for its caller.
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

// asks tells whether a frame calls for a reply.
func asks(e *wire.Envelope) bool {
	switch e.GetBody().(type) {
	case *wire.Envelope_Owned, *wire.Envelope_LeaveAck, *wire.Envelope_Answer, *wire.Envelope_Leaving:
		return false
	}
	return true
}
