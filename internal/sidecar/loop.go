package sidecar

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/teaseltide/teaseltide/internal/backend"
	"github.com/teaseltide/teaseltide/internal/gate"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// eventBuffer is the number of events that may wait for the control loop
	// before their senders do. It covers a Fence of every partition by every
	// entry and a burst of dispatches.
	eventBuffer = 4096
	// eventsPerTick bounds the events between two ticks, so that a flood of
	// messages does not hold up the answers.
	eventsPerTick = 1024
	// flushTimeout bounds the wait for the last frames before the exit.
	flushTimeout = 2 * time.Second
)

// event is an event for the core, with the session that it came from, if any.
type event struct {
	session SessionID
	event   gate.Event
}

// loop is the control loop with the state that it owns.
type loop struct {
	settings    Settings
	deps        Deps
	incarnation ownership.Incarnation
	gate        *gate.Gate
	client      *backend.Client
	events      chan event
	metrics     *metrics
	// exited closes when the loop has returned, so that no sender waits.
	exited chan struct{}
	// hello is the current Hello for new sessions.
	hello atomic.Pointer[wire.Hello]

	// sessions holds the current session of each entry, entries the reverse.
	sessions map[ownership.Incarnation]SessionID
	entries  map[SessionID]ownership.Incarnation
	// newest holds the newest session of each entry, also after its end.
	newest   map[ownership.Incarnation]SessionID
	ready    int
	revision int64
	// reading is true while a read of the record is in progress.
	reading atomic.Bool
	// stopRegister ends the attempts to register; registered closes after the
	// last one.
	stopRegister context.CancelFunc
	registered   chan struct{}
}

// push hands an event to the control loop and waits while its buffer is full.
func (l *loop) push(e event) {
	select {
	case l.events <- e:
	case <-l.exited:
	}
}

func (l *loop) run(ctx, work context.Context, served <-chan error) error {
	defer close(l.exited)
	timer := time.NewTimer(0)
	defer timer.Stop()
	leave := ctx.Done()
	for {
		select {
		case e := <-l.events:
			l.handle(e)
		case <-timer.C:
		case <-leave:
			leave = nil
			l.deps.Log.Info("leaving on request")
			l.handle(event{event: gate.Leave{}})
		case err := <-served:
			return err
		}
		l.drain()
		if l.tick(work) {
			l.flush()
			return nil
		}
		l.arm(timer)
	}
}

func (l *loop) drain() {
	for range eventsPerTick {
		select {
		case e := <-l.events:
			l.handle(e)
		default:
			return
		}
	}
}

// arm sets the timer for the next tick that no event causes.
func (l *loop) arm(timer *time.Timer) {
	now := l.deps.Clock.Now()
	timer.Stop()
	if at, ok := l.gate.Next(now); ok {
		timer.Reset((at - now).Duration())
	}
}

func (l *loop) flush() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	l.deps.Sessions.Flush(ctx)
}

// handle applies an event unless it comes from a session that was replaced. A
// frame of a replaced session may repeat a dispatch whose task was reported as
// not started on the new one and placed elsewhere.
func (l *loop) handle(e event) {
	now := l.deps.Clock.Now()
	switch body := e.event.(type) {
	case gate.EntryConnected:
		if e.session < l.newest[body.Entry] {
			return
		}
		l.connect(e.session, body.Entry)
	case gate.EntryDisconnected:
		if !l.disconnect(e.session) {
			return
		}
	case gate.EntryMessage:
		if _, ok := l.entries[e.session]; !ok {
			return
		}
		l.metrics.received(body.Envelope)
	case gate.TaskFinished:
		l.metrics.outcome(body.Outcome)
	case gate.RecordRead:
		l.recordRead(body.Record.Revision)
	}
	l.gate.Handle(now, e.event)
}

func (l *loop) connect(s SessionID, e ownership.Incarnation) {
	if old, ok := l.sessions[e]; ok {
		delete(l.entries, old)
	}
	l.sessions[e] = s
	l.entries[s] = e
	l.newest[e] = s
	l.deps.Log.Info("entry connected", zap.String("entry", string(e)))
}

// disconnect forgets a session and tells whether it was the newest of its
// entry.
func (l *loop) disconnect(s SessionID) bool {
	e, ok := l.entries[s]
	if !ok {
		return false
	}
	delete(l.entries, s)
	delete(l.sessions, e)
	l.deps.Log.Info("entry disconnected", zap.String("entry", string(e)))
	return true
}

func (l *loop) recordRead(revision int64) {
	if l.revision == revision {
		return
	}
	l.revision = revision
	l.deps.Log.Info("ownership record read", zap.Int64("revision", revision))
}

// tick runs the core and tells whether it is done.
func (l *loop) tick(work context.Context) bool {
	for _, c := range l.gate.Tick(l.deps.Clock.Now()) {
		if _, done := c.(gate.Exit); done {
			l.deps.Log.Info("left")
			return true
		}
		l.execute(work, c)
	}
	l.publish()
	return false
}

// publish makes the state of the core visible to new sessions and metrics.
func (l *loop) publish() {
	stats := l.gate.Stats()
	l.metrics.observe(stats)
	if stats.ReadyPartitions != l.ready {
		l.ready = stats.ReadyPartitions
		l.deps.Log.Info("partitions ready", zap.Int("ready", stats.ReadyPartitions), zap.Int("of", ownership.Partitions))
	}
	l.hello.Store(&wire.Hello{
		Role:           wire.Hello_ROLE_SIDECAR,
		Incarnation:    string(l.incarnation),
		Name:           l.settings.Name,
		Domain:         string(l.settings.Domain),
		RecordRevision: l.revision,
		Sidecar:        l.gate.State(),
	})
}

// backendChanged receives the announcements. The client learns of a loss at
// once, so that the outcomes of the tasks in flight follow the event.
func (l *loop) backendChanged(s backend.State) {
	l.deps.Log.Info("backend server changed",
		zap.String("address", s.Address), zap.String("state", string(s.State)), zap.Bool("lost", s.Lost), zap.Int("slots", s.Slots))
	// The address must be known before the core can hand out a task for it.
	if !s.Lost {
		l.client.SetServer(s)
	}
	l.push(event{event: gate.BackendState{State: s.ToWire(), Lost: s.Lost}})
	if s.Lost {
		l.client.SetServer(s)
	}
}

func (l *loop) execute(work context.Context, c gate.Command) {
	switch c := c.(type) {
	case gate.Send:
		l.send(c)
	case gate.Run:
		l.metrics.starts.Inc()
		go l.runTask(work, c)
	case gate.Stop:
		go l.stopTask(work, c.Task)
	case gate.ReadRecord:
		go l.readRecord(work)
	case gate.Deregister:
		go l.deregister(work)
	}
}

func (l *loop) send(c gate.Send) {
	s, ok := l.sessions[c.Entry]
	if !ok {
		return
	}
	l.metrics.sent(c.Envelope)
	l.deps.Sessions.Send(s, c.Envelope)
}

func (l *loop) runTask(work context.Context, c gate.Run) {
	t := taskOf(c.Task)
	t.Payload = c.Payload
	t.DeadlineAt = c.DeadlineAt
	t.Traceparent = c.Traceparent
	span := l.startRun(t)
	r := l.client.Run(work, t)
	endRun(span, r)
	l.push(event{event: gate.TaskFinished{Task: c.Task, Outcome: r.Outcome, Result: r.Body, Message: r.Message, RunTime: r.RunTime}})
}

func (l *loop) stopTask(work context.Context, id gate.TaskID) {
	// The outcome of the task tells how it ended, whether or not it could be
	// stopped.
	_ = l.client.Stop(work, taskOf(id))
}

func taskOf(id gate.TaskID) *backend.Task {
	return &backend.Task{Service: id.Service, Team: id.Team, Key: id.Key, Index: id.Index}
}

// Bounds of the store calls. The waits double from the first to the last.
const (
	storeTimeout   = 5 * time.Second
	storeRetry     = 250 * clock.Millis(1)
	storeRetryMost = 5 * clock.Second
)

// retry repeats a store call until it succeeds or work ends.
func (l *loop) retry(work context.Context, name string, call func(context.Context) error) bool {
	wait := storeRetry
	for failures := 0; ; failures++ {
		err := l.call(work, call)
		if err == nil {
			return true
		}
		if failures == 0 {
			l.deps.Log.Warn("store call failed, repeating it", zap.String("call", name), zap.Error(err))
		}
		select {
		case <-work.Done():
			return false
		case <-time.After(wait.Duration()):
		}
		wait = min(2*wait, storeRetryMost)
	}
}

func (l *loop) call(work context.Context, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(work, storeTimeout)
	defer cancel()
	return call(ctx)
}

func (l *loop) register(work context.Context) {
	defer close(l.registered)
	ok := l.retry(work, "register", func(ctx context.Context) error {
		return l.deps.Store.Register(ctx, Registration{
			Sidecar: l.incarnation,
			Domain:  l.settings.Domain,
			Address: l.settings.Address,
		})
	})
	if ok {
		l.deps.Log.Info("registered", zap.String("incarnation", string(l.incarnation)))
		l.push(event{event: gate.Registered{}})
	}
}

// readRecord reads the record once; the core asks again while it needs to.
func (l *loop) readRecord(work context.Context) {
	if !l.reading.CompareAndSwap(false, true) {
		return
	}
	defer l.reading.Store(false)
	var record ownership.Record
	err := l.call(work, func(ctx context.Context) (err error) {
		record, err = l.deps.Store.ReadRecord(ctx)
		return err
	})
	if err == nil {
		l.push(event{event: gate.RecordRead{Record: record}})
	}
}

// deregister deletes the registration. A sidecar that leaves before it is
// registered must not create the registration afterwards.
func (l *loop) deregister(work context.Context) {
	l.stopRegister()
	<-l.registered
	ok := l.retry(work, "deregister", func(ctx context.Context) error {
		return l.deps.Store.Deregister(ctx, l.incarnation)
	})
	if ok {
		l.push(event{event: gate.Deregistered{}})
	}
}
