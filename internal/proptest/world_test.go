package proptest

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"github.com/teaseltide/teaseltide/internal/gate"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	entryCount      = 3
	sidecarCount    = 4
	domainCount     = 3
	tickInterval    = clock.Millis(20)
	leaseDuration   = clock.Millis(2000)
	livenessTimeout = clock.Millis(1500)
	dialInterval    = clock.Millis(100)
	// defaultRefusalPercent is the percentage of starts that backend servers refuse.
	defaultRefusalPercent = 2
)

// world holds the processes of one schedule, their sessions, the store, the callers
// and the violations found.
type world struct {
	rng      *rand.Rand
	now      clock.Millis
	events   eventHeap
	sequence int
	entries  []*entryNode
	sidecars []*sidecarNode
	sessions map[endpoints]*session
	cutLinks map[[2]string]bool
	store    *storeModel
	callers  *callers
	// startCounts counts the starts of each task at the backend servers.
	startCounts map[gate.TaskID]int
	// epochUsers holds the incarnation that fenced with each epoch of a partition.
	epochUsers      map[string]ownership.Incarnation
	lastIncarnation int
	healed          bool
	violations      []string
	trace           []string
	tracing         bool
	mutant          mutant
	// dispatchedTasks numbers the dispatched tasks for the mutant growingAttempts.
	dispatchedTasks uint64
	// refusalPercent is the percentage of starts that the backend servers refuse.
	refusalPercent int
	// sentDispatches holds dispatches for the mutant resentToReplacement.
	sentDispatches []sentDispatch
	// jobCount is the number of jobs of the schedule.
	jobCount int
}

type scheduledEvent struct {
	at       clock.Millis
	sequence int
	run      func()
}

type eventHeap []scheduledEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(scheduledEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

func newWorld(seed uint64) *world {
	w := &world{
		rng:            rand.New(rand.NewPCG(seed, 1)),
		now:            1_000_000,
		sessions:       make(map[endpoints]*session),
		cutLinks:       make(map[[2]string]bool),
		startCounts:    make(map[gate.TaskID]int),
		epochUsers:     make(map[string]ownership.Incarnation),
		refusalPercent: defaultRefusalPercent,
		jobCount:       defaultJobCount,
	}
	w.store = newStore(w)
	w.callers = newCallers(w)
	for i := range entryCount {
		w.startEntry(i)
	}
	for i := range sidecarCount {
		w.startSidecar(i)
	}
	w.every(tickInterval, w.tickAll)
	w.every(dialInterval, w.dialAll)
	w.every(500, w.store.keepAlive)
	return w
}

func (w *world) after(d clock.Millis, run func()) {
	w.sequence++
	heap.Push(&w.events, scheduledEvent{at: w.now + d, sequence: w.sequence, run: run})
}

func (w *world) every(d clock.Millis, run func()) {
	w.after(d, func() {
		run()
		w.every(d, run)
	})
}

func (w *world) runUntil(at clock.Millis) {
	for len(w.events) > 0 && w.events[0].at <= at {
		e := heap.Pop(&w.events).(scheduledEvent)
		w.now = e.at
		e.run()
	}
	w.now = at
}

func (w *world) recordViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("at %d ms: ", w.now-1_000_000)+fmt.Sprintf(format, args...))
}

func (w *world) tracef(format string, args ...any) {
	if w.tracing {
		w.trace = append(w.trace, fmt.Sprintf("%6d ", w.now-1_000_000)+fmt.Sprintf(format, args...))
	}
}

// latency draws a latency of up to 3 ms, and one in 200 times up to 799 ms unless the
// world is healed.
func (w *world) latency() clock.Millis {
	if w.rng.IntN(200) == 0 && !w.healed {
		return clock.Millis(w.rng.IntN(800))
	}
	return clock.Millis(w.rng.IntN(4))
}

func (w *world) tickAll() {
	for _, e := range w.entries {
		e.tick()
	}
	for _, s := range w.sidecars {
		s.tick()
	}
}

func domainOf(i int) ownership.Domain {
	return ownership.Domain(fmt.Sprintf("d%d", i%domainCount))
}

// process is the common part of entries and sidecars: it can be paused and killed.
type process struct {
	w     *world
	id    ownership.Incarnation
	slot  int
	alive bool
	// pausedUntil is the end of a pause; events during it are deferred.
	pausedUntil clock.Millis
	deferred    []func()
}

// runOrDefer runs f in the process, or at the end of its pause if it is paused.
func (p *process) runOrDefer(f func()) {
	if !p.alive {
		return
	}
	if p.w.now < p.pausedUntil {
		p.deferred = append(p.deferred, f)
		return
	}
	f()
}

func (p *process) paused() bool {
	return p.w.now < p.pausedUntil
}

func (p *process) pause(d clock.Millis) {
	if !p.alive || p.paused() {
		return
	}
	p.w.tracef("%s paused for %d ms", p.id, d)
	p.pausedUntil = p.w.now + d
	p.w.after(d, func() {
		p.w.tracef("%s resumes", p.id)
		waiting := p.deferred
		p.deferred = nil
		for _, f := range waiting {
			p.runOrDefer(f)
		}
	})
}

// endpoints identifies a session by the dialling and the accepting process.
type endpoints struct {
	dialler, acceptor ownership.Incarnation
}

// direction is one half of a session.
type direction struct {
	lastDelivery clock.Millis
	// open is true between the connected and disconnected events of the receiver.
	open bool
	// dropping is true if messages are lost.
	dropping bool
}

type session struct {
	toAcceptor, toDialler direction
	closed                bool
}

// node is a process as seen by a session.
type node interface {
	proc() *process
	connected(from ownership.Incarnation, hello *wire.Hello)
	disconnected(from ownership.Incarnation)
	message(from ownership.Incarnation, e *wire.Envelope)
	hello() *wire.Hello
}

func (w *world) isCut(a, b *process) bool {
	return w.cutLinks[[2]string{slotName(a), slotName(b)}] || w.cutLinks[[2]string{slotName(b), slotName(a)}]
}

// slotName returns the part of an incarnation that stays the same over restarts of the
// process.
func slotName(p *process) string {
	return string(p.id[:2])
}

func (w *world) connect(dialler, acceptor node) {
	key := endpoints{dialler.proc().id, acceptor.proc().id}
	if old := w.sessions[key]; old != nil && !old.closed {
		return
	}
	if w.isCut(dialler.proc(), acceptor.proc()) || acceptor.proc().paused() || dialler.proc().paused() {
		return
	}
	s := &session{}
	w.sessions[key] = s
	w.deliver(s, &s.toAcceptor, acceptor, func() {
		s.toAcceptor.open = true
		acceptor.connected(key.dialler, dialler.hello())
	})
	w.deliver(s, &s.toDialler, dialler, func() {
		s.toDialler.open = true
		dialler.connected(key.acceptor, acceptor.hello())
	})
}

// deliver schedules an event at the receiver of a direction, after all earlier ones.
func (w *world) deliver(s *session, d *direction, to node, f func()) {
	if d.dropping {
		return
	}
	at := max(w.now+w.latency(), d.lastDelivery)
	d.lastDelivery = at
	w.after(at-w.now, func() {
		to.proc().runOrDefer(func() {
			if !s.closed || d.open {
				f()
			}
		})
	})
}

// send delivers a message on the open session between two processes.
func (w *world) send(from, to node, e *wire.Envelope) {
	s, d, back := w.findSession(from.proc().id, to.proc().id)
	if s == nil || s.closed || !back.open {
		return
	}
	w.deliver(s, d, to, func() {
		if d.open {
			w.traceMessage(from, to, e)
			if !w.applyMutant(from, to, e) {
				return
			}
			to.message(from.proc().id, e)
		}
	})
}

// traceMessage adds a message to the trace, truncated, without fences, their
// acknowledgements, owned partitions and sidecar states.
func (w *world) traceMessage(from, to node, e *wire.Envelope) {
	if w.tracing && e.GetOwned() == nil && e.GetFence() == nil && e.GetFenceAck() == nil && e.GetSidecarState() == nil {
		w.tracef("%s -> %s %.300v", from.proc().id, to.proc().id, e)
	}
}

// findSession returns the session between two processes, the direction from the
// first to the second, and the opposite one.
func (w *world) findSession(from, to ownership.Incarnation) (*session, *direction, *direction) {
	if s := w.sessions[endpoints{from, to}]; s != nil {
		return s, &s.toAcceptor, &s.toDialler
	}
	if s := w.sessions[endpoints{to, from}]; s != nil {
		return s, &s.toDialler, &s.toAcceptor
	}
	return nil, nil, nil
}

// closeSession closes a session. Each end is notified after its own latency and may
// receive messages in flight until then.
func (w *world) closeSession(key endpoints) {
	s := w.sessions[key]
	if s == nil || s.closed {
		return
	}
	s.closed = true
	delete(w.sessions, key)
	w.endDirection(s, &s.toAcceptor, w.node(key.acceptor), key.dialler)
	w.endDirection(s, &s.toDialler, w.node(key.dialler), key.acceptor)
}

func (w *world) endDirection(s *session, d *direction, to node, from ownership.Incarnation) {
	d.dropping = false
	w.deliver(s, d, to, func() {
		if d.open {
			d.open = false
			to.disconnected(from)
		}
	})
	d.dropping = true
}

// silence makes the direction to the acceptor, or both directions, of a session lose
// all messages until the liveness check closes it.
func (w *world) silence(key endpoints, both bool) {
	s := w.sessions[key]
	if s == nil || s.closed {
		return
	}
	w.tracef("session %s-%s loses messages", key.dialler, key.acceptor)
	s.toAcceptor.dropping = true
	s.toDialler.dropping = both
	w.after(livenessTimeout, func() {
		if w.sessions[key] == s {
			w.closeSession(key)
		}
	})
}

func (w *world) node(id ownership.Incarnation) node {
	for _, e := range w.entries {
		if e.id == id {
			return e
		}
	}
	for _, s := range w.sidecars {
		if s.id == id {
			return s
		}
	}
	panic("no process " + id)
}

// sortedSessions lists the open sessions in a stable order.
func (w *world) sortedSessions() []endpoints {
	var keys []endpoints
	for _, e := range w.entries {
		for _, s := range w.sidecars {
			keys = append(keys, endpoints{e.id, s.id})
		}
		for _, o := range w.entries {
			keys = append(keys, endpoints{e.id, o.id})
		}
	}
	open := keys[:0]
	for _, k := range keys {
		if s := w.sessions[k]; s != nil && !s.closed {
			open = append(open, k)
		}
	}
	return open
}

// kill ends a process without a shutdown. The peers of its sessions are notified.
func (w *world) kill(p *process) {
	if !p.alive {
		return
	}
	w.tracef("%s killed", p.id)
	p.alive = false
	for _, k := range w.sortedSessions() {
		if k.dialler == p.id || k.acceptor == p.id {
			w.closeSession(k)
		}
	}
}

func (w *world) dialAll() {
	for i, e := range w.entries {
		if !e.alive || e.paused() {
			continue
		}
		for _, s := range w.sidecars {
			if s.alive && (e.knownSidecars[s.id] || w.healed) {
				w.connect(e, s)
			}
		}
		for _, o := range w.entries[:i] {
			if o.alive {
				w.connect(e, o)
			}
		}
	}
}
