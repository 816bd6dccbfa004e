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
	// eventBuffer is the number of events that can be queued for the control loop
	// before senders block. It covers a Fence of every partition by every entry
	// and a burst of dispatches.
	eventBuffer = 4096
	// eventsPerTick bounds the events between two ticks, so that a flood of
	// messages does not delay the answers.
	eventsPerTick = 1024
	// flushTimeout bounds the wait for queued frames to be sent before the exit.
	flushTimeout = 2 * time.Second
)

// event is an event for the core and the session that it came from, 0 if none.
type event struct {
	session SessionID
	body    gate.Event
}

// loop is the control loop and the state that it owns.
type loop struct {
	settings    Settings
	deps        Deps
	incarnation ownership.Incarnation
	gate        *gate.Gate
	client      *backend.Client
	events      chan event
	metrics     *metrics
	// exited is closed when the loop has returned, so that senders do not block.
	exited chan struct{}
	// hello is the Hello for new sessions.
	hello atomic.Pointer[wire.Hello]

	// sessionByEntry holds the current session of each entry, entryBySession the
	// reverse.
	sessionByEntry map[ownership.Incarnation]SessionID
	entryBySession map[SessionID]ownership.Incarnation
	// newestSession holds the newest session of each entry, also after its end.
	newestSession   map[ownership.Incarnation]SessionID
	readyPartitions int
	recordRevision  int64
	// readingRecord is true while a read of the record is in progress.
	readingRecord atomic.Bool
	// stopRegister ends the attempts to register; registered is closed after the
	// last one.
	stopRegister context.CancelFunc
	registered   chan struct{}
}

// push queues an event for the control loop and blocks while the buffer is full.
func (l *loop) push(e event) {
	select {
	case l.events <- e:
	case <-l.exited:
	}
}

func (l *loop) run(ctx, work context.Context, serveErr <-chan error) error {
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
			l.handle(event{body: gate.Leave{}})
		case err := <-serveErr:
			return err
		}
		l.handleQueued()
		if l.tick(work) {
			l.flush()
			return nil
		}
		l.resetTimer(timer)
	}
}

// handleQueued handles up to eventsPerTick queued events without blocking.
func (l *loop) handleQueued() {
	for range eventsPerTick {
		select {
		case e := <-l.events:
			l.handle(e)
		default:
			return
		}
	}
}

// resetTimer sets the timer to the time of the next tick that the core asks for.
func (l *loop) resetTimer(timer *time.Timer) {
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

// handle applies an event unless it comes from a replaced session. A frame of a
// replaced session may repeat a dispatch whose task was reported as not started on
// the new session and dispatched to another sidecar.
func (l *loop) handle(e event) {
	now := l.deps.Clock.Now()
	switch body := e.body.(type) {
	case gate.EntryConnected:
		if e.session < l.newestSession[body.Entry] {
			return
		}
		l.connect(e.session, body.Entry)
	case gate.EntryDisconnected:
		if !l.disconnect(e.session) {
			return
		}
	case gate.EntryMessage:
		if _, ok := l.entryBySession[e.session]; !ok {
			return
		}
		l.metrics.countReceived(body.Envelope)
	case gate.TaskFinished:
		l.metrics.countOutcome(body.Outcome)
	case gate.RecordRead:
		l.recordRead(body.Record.Revision)
	}
	l.gate.Handle(now, e.body)
}

func (l *loop) connect(s SessionID, e ownership.Incarnation) {
	if old, ok := l.sessionByEntry[e]; ok {
		delete(l.entryBySession, old)
	}
	l.sessionByEntry[e] = s
	l.entryBySession[s] = e
	l.newestSession[e] = s
	l.deps.Log.Info("entry connected", zap.String("entry", string(e)))
}

// disconnect removes a session and reports whether it was the current one of its
// entry.
func (l *loop) disconnect(s SessionID) bool {
	e, ok := l.entryBySession[s]
	if !ok {
		return false
	}
	delete(l.entryBySession, s)
	delete(l.sessionByEntry, e)
	l.deps.Log.Info("entry disconnected", zap.String("entry", string(e)))
	return true
}

func (l *loop) recordRead(revision int64) {
	if l.recordRevision == revision {
		return
	}
	l.recordRevision = revision
	l.deps.Log.Info("ownership record read", zap.Int64("revision", revision))
}

// tick executes the commands of the core and reports whether it has exited.
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

// publish updates the Hello of new sessions and the metrics from the core.
func (l *loop) publish() {
	stats := l.gate.Stats()
	l.metrics.observe(stats)
	if stats.ReadyPartitions != l.readyPartitions {
		l.readyPartitions = stats.ReadyPartitions
		l.deps.Log.Info("partitions ready", zap.Int("ready", stats.ReadyPartitions), zap.Int("of", ownership.Partitions))
	}
	l.hello.Store(&wire.Hello{
		Role:           wire.Hello_ROLE_SIDECAR,
		Incarnation:    string(l.incarnation),
		Name:           l.settings.Name,
		Domain:         string(l.settings.Domain),
		RecordRevision: l.recordRevision,
		Sidecar:        l.gate.State(),
	})
}

// backendChanged handles a new state of the backend server. If the server is lost,
// the client is told after the event is queued, so that the outcomes of the tasks
// in flight follow the event.
func (l *loop) backendChanged(s backend.State) {
	l.deps.Log.Info("backend server changed",
		zap.String("address", s.Address), zap.String("state", string(s.State)), zap.Bool("lost", s.Lost), zap.Int("slots", s.Slots))
	// The client must know the address before the core can start a task on it.
	if !s.Lost {
		l.client.SetServer(s)
	}
	l.push(event{body: gate.BackendState{State: s.ToWire(), Lost: s.Lost}})
	if s.Lost {
		l.client.SetServer(s)
	}
}

func (l *loop) execute(work context.Context, c gate.Command) {
	switch c := c.(type) {
	case gate.Send:
		l.send(c)
	case gate.Run:
		l.metrics.taskStarts.Inc()
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
	s, ok := l.sessionByEntry[c.Entry]
	if !ok {
		return
	}
	l.metrics.countSent(c.Envelope)
	l.deps.Sessions.Send(s, c.Envelope)
}

func (l *loop) runTask(work context.Context, c gate.Run) {
	t := backendTask(c.Task)
	t.Payload = c.Payload
	t.DeadlineAt = c.DeadlineAt
	t.Traceparent = c.Traceparent
	span := l.startRun(t)
	r := l.client.Run(work, t)
	endRun(span, r)
	l.push(event{body: gate.TaskFinished{Task: c.Task, Outcome: r.Outcome, Result: r.Body, Message: r.Message, RunTime: r.RunTime}})
}

func (l *loop) stopTask(work context.Context, id gate.TaskID) {
	// The error is ignored because the outcome of the run reports how the task
	// ended, whether or not it could be stopped.
	_ = l.client.Stop(work, backendTask(id))
}

func backendTask(id gate.TaskID) *backend.Task {
	return &backend.Task{Service: id.Service, Team: id.Team, Key: id.Key, Index: id.Index}
}

// Bounds of the store calls. The backoff doubles from storeRetryMin to
// storeRetryMax.
const (
	storeTimeout  = 5 * time.Second
	storeRetryMin = 250 * clock.Millis(1)
	storeRetryMax = 5 * clock.Second
)

// retry repeats a store call until it succeeds and returns true, or work ends and
// returns false.
func (l *loop) retry(work context.Context, name string, call func(context.Context) error) bool {
	wait := storeRetryMin
	for failures := 0; ; failures++ {
		err := l.callStore(work, call)
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
		wait = min(2*wait, storeRetryMax)
	}
}

func (l *loop) callStore(work context.Context, call func(context.Context) error) error {
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
		l.push(event{body: gate.Registered{}})
	}
}

// readRecord reads the ownership record once; the core requests another read if it
// needs one. It returns at once if a read is in progress.
func (l *loop) readRecord(work context.Context) {
	if !l.readingRecord.CompareAndSwap(false, true) {
		return
	}
	defer l.readingRecord.Store(false)
	var record ownership.Record
	err := l.callStore(work, func(ctx context.Context) (err error) {
		record, err = l.deps.Store.ReadRecord(ctx)
		return err
	})
	if err == nil {
		l.push(event{body: gate.RecordRead{Record: record}})
	}
}

// deregister deletes the registration. It first waits for the attempts to register
// to end, since a later one would create the registration again.
func (l *loop) deregister(work context.Context) {
	l.stopRegister()
	<-l.registered
	ok := l.retry(work, "deregister", func(ctx context.Context) error {
		return l.deps.Store.Deregister(ctx, l.incarnation)
	})
	if ok {
		l.push(event{body: gate.Deregistered{}})
	}
}
