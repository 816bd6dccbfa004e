package proptest

import (
	"fmt"

	"github.com/teaseltide/teaseltide/internal/admission"
	"github.com/teaseltide/teaseltide/internal/dispatch"
	"github.com/teaseltide/teaseltide/internal/gate"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/placement"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
	"github.com/teaseltide/teaseltide/pkg/operator"
)

// services are the services of the jobs, which are in different partitions.
var services = []string{"quoting", "pumps"}

func servicesText() *operator.Text {
	t := &operator.Text{Teams: []operator.Team{{Name: "team", Share: 1, MaxQueuedTasks: 1000}}}
	for _, s := range services {
		t.Services = append(t.Services, operator.Service{
			Name: s, MaxTasksPerJob: 820, MaxPayload: 1 << 16,
			DefaultDeadline: 20_000, MaxDeadline: 60_000, RetryBudgetPercent: 50,
		})
	}
	return t
}

// entryNode is an entry process.
type entryNode struct {
	process
	core *dispatch.Core
	// knownSidecars holds the sidecars that this entry has seen registered.
	knownSidecars map[ownership.Incarnation]bool
}

func (w *world) startEntry(slot int) {
	w.lastIncarnation++
	id := ownership.Incarnation(fmt.Sprintf("e%d-%d", slot, w.lastIncarnation))
	e := &entryNode{process: process{w: w, id: id, slot: slot, alive: true}, knownSidecars: make(map[ownership.Incarnation]bool)}
	e.core = dispatch.New(dispatch.Config{
		Self: id, Domain: domainOf(slot), Retention: 600_000, ClockSkew: 5000, SuspectAfter: 1000, FenceGrace: 3000,
	}, placement.New(placement.Config{}), admission.New(admission.Config{}))
	w.entries = append(w.entries, e)
	e.handle(dispatch.TextAdopted{Revision: 1, Text: servicesText()})
	w.store.registerEntry(e)
	w.tracef("%s started", id)
}

func (e *entryNode) proc() *process { return &e.process }

func (e *entryNode) hello() *wire.Hello {
	return &wire.Hello{Role: wire.Hello_ROLE_ENTRY, Incarnation: string(e.id), Domain: string(domainOf(e.slot))}
}

func (e *entryNode) connected(from ownership.Incarnation, hello *wire.Hello) {
	if hello.GetRole() == wire.Hello_ROLE_ENTRY {
		e.handle(dispatch.PeerConnected{Entry: from, Hello: hello})
		return
	}
	e.handle(dispatch.SidecarConnected{Sidecar: from, Hello: hello})
}

func (e *entryNode) disconnected(from ownership.Incarnation) {
	if from[0] == 'e' {
		e.handle(dispatch.PeerDisconnected{Entry: from})
		return
	}
	e.handle(dispatch.SidecarDisconnected{Sidecar: from})
}

func (e *entryNode) message(from ownership.Incarnation, m *wire.Envelope) {
	if from[0] == 'e' {
		e.handle(dispatch.PeerMessage{Entry: from, Envelope: m})
		return
	}
	e.handle(dispatch.SidecarMessage{Sidecar: from, Envelope: m})
}

func (e *entryNode) handle(ev dispatch.Event) {
	e.core.Handle(e.w.now, ev)
	e.run()
}

func (e *entryNode) tick() {
	if e.alive && !e.paused() {
		e.run()
	}
}

func (e *entryNode) run() {
	for _, cmd := range e.core.Tick(e.w.now) {
		e.execute(cmd)
	}
}

func (e *entryNode) execute(cmd dispatch.Command) {
	w := e.w
	switch cmd := cmd.(type) {
	case dispatch.SendPeer:
		w.send(e, w.node(cmd.Entry), cmd.Envelope)
	case dispatch.SendSidecar:
		w.checkEpochs(e.id, cmd.Envelope)
		w.send(e, w.node(cmd.Sidecar), cmd.Envelope)
	case dispatch.Reply:
		w.callers.checkReply(e, cmd)
	case dispatch.WriteRecord:
		w.store.writeRecord(e, cmd.Record)
	case dispatch.ListRegistrations:
		w.store.listRegistrations(e, cmd.RecordRevision)
	case dispatch.DeleteRegistration:
		w.store.deleteRegistration(cmd.Sidecar)
	case dispatch.Drained:
		w.tracef("%s drained", e.id)
		e.exitWhenAnswered(w.now + drainTimeout)
	}
}

// drainTimeout bounds the time in which a drained entry must answer the requests that
// reached it while it was paused or stopping.
const drainTimeout = clock.Millis(1000)

// exitWhenAnswered ends a drained entry once all its requests are answered, as an HTTP
// server does on shutdown.
func (e *entryNode) exitWhenAnswered(until clock.Millis) {
	n := e.w.callers.pendingAt(e)
	if n == 0 {
		e.w.kill(&e.process)
		return
	}
	if e.w.now > until {
		e.w.recordViolation("drained entry %s has %d requests in flight after the drain timeout", e.id, n)
		e.w.kill(&e.process)
		return
	}
	e.w.after(20, func() { e.runOrDefer(func() { e.exitWhenAnswered(until) }) })
}

// checkEpochs checks that no two incarnations fence a partition with the same epoch.
func (w *world) checkEpochs(from ownership.Incarnation, e *wire.Envelope) {
	for _, pe := range e.GetFence().GetPartitions() {
		key := fmt.Sprintf("%d/%d", pe.GetPartition(), pe.GetEpoch())
		if user, ok := w.epochUsers[key]; ok && user != from {
			w.recordViolation("epoch %s used by %s and %s", key, user, from)
		}
		w.epochUsers[key] = from
	}
}

// sidecarNode is a sidecar process with its backend server.
type sidecarNode struct {
	process
	gate           *gate.Gate
	running        map[gate.TaskID]bool
	leaving        bool
	leaveStartedAt clock.Millis
}

func (w *world) startSidecar(slot int) {
	w.lastIncarnation++
	id := ownership.Incarnation(fmt.Sprintf("s%d-%d", slot, w.lastIncarnation))
	if w.mutant == reusedIncarnation {
		for i, old := range w.sidecars {
			if old.slot == slot && !old.alive {
				id = old.id
				w.sidecars = append(w.sidecars[:i:i], w.sidecars[i+1:]...)
				break
			}
		}
	}
	s := &sidecarNode{process: process{w: w, id: id, slot: slot, alive: true}, running: make(map[gate.TaskID]bool)}
	s.gate = gate.New(gate.Config{
		Incarnation: id, Domain: domainOf(slot), Worker: fmt.Sprintf("w%d", slot),
		MaxResultBytes: 1 << 20, MaxQueued: 16, ClockSkew: 5000,
	})
	w.sidecars = append(w.sidecars, s)
	s.handle(gate.BackendState{State: &wire.SidecarState{
		Worker: fmt.Sprintf("w%d", slot), Services: services, Slots: 3, Connections: 64,
	}})
	w.store.registerSidecar(s)
	w.tracef("%s started", id)
}

func (s *sidecarNode) proc() *process { return &s.process }

func (s *sidecarNode) hello() *wire.Hello {
	return &wire.Hello{Role: wire.Hello_ROLE_SIDECAR, Incarnation: string(s.id), Domain: string(domainOf(s.slot)), Sidecar: s.gate.State()}
}

func (s *sidecarNode) connected(from ownership.Incarnation, hello *wire.Hello) {
	s.handle(gate.EntryConnected{Entry: from, Hello: hello})
}

func (s *sidecarNode) disconnected(from ownership.Incarnation) {
	s.handle(gate.EntryDisconnected{Entry: from})
}

func (s *sidecarNode) message(from ownership.Incarnation, m *wire.Envelope) {
	s.handle(gate.EntryMessage{Entry: from, Envelope: m})
}

func (s *sidecarNode) handle(ev gate.Event) {
	s.gate.Handle(s.w.now, ev)
	s.run()
}

func (s *sidecarNode) tick() {
	if s.alive && !s.paused() {
		s.run()
	}
}

func (s *sidecarNode) run() {
	for _, cmd := range s.gate.Tick(s.w.now) {
		s.execute(cmd)
	}
}

func (s *sidecarNode) execute(cmd gate.Command) {
	w := s.w
	switch cmd := cmd.(type) {
	case gate.Send:
		w.send(s, w.node(cmd.Entry), cmd.Envelope)
	case gate.Run:
		s.startTask(cmd)
	case gate.ReadRecord:
		w.store.readRecord(s)
	case gate.Deregister:
		w.store.deregisterSidecar(s)
	case gate.Exit:
		if n := len(s.running); n > 0 {
			w.recordViolation("sidecar %s exits with %d tasks running", s.id, n)
		}
		w.kill(&s.process)
	}
}

// startTask simulates a run at the backend server: it counts and checks the start and
// draws an outcome. A refused start is not counted.
func (s *sidecarNode) startTask(cmd gate.Run) {
	w := s.w
	w.startCounts[cmd.Task]++
	w.tracef("%s starts task %s/%d", s.id, cmd.Task.Key, cmd.Task.Index)
	if n := w.startCounts[cmd.Task]; n > 1 {
		w.recordViolation("task %v started %d times, now at %s", cmd.Task, n, s.id)
	}
	w.callers.taskStarted(cmd.Task)
	if s.leaving && w.now > s.leaveStartedAt+3000 {
		w.recordViolation("%s starts a task %d ms after it was told to leave", s.id, w.now-s.leaveStartedAt)
	}
	s.running[cmd.Task] = true
	outcome := wire.Outcome_OUTCOME_DONE
	switch n := w.rng.IntN(100); {
	case n < 1:
		outcome = wire.Outcome_OUTCOME_ERROR
	case n < 2:
		outcome = wire.Outcome_OUTCOME_UNKNOWN
	case n < 2+w.refusalPercent:
		outcome = wire.Outcome_OUTCOME_NOT_STARTED
		w.startCounts[cmd.Task]--
		w.callers.startRefused(cmd.Task)
	}
	run := clock.Millis(20 + w.rng.IntN(300))
	w.after(run, func() {
		s.runOrDefer(func() {
			delete(s.running, cmd.Task)
			s.handle(gate.TaskFinished{Task: cmd.Task, Outcome: outcome, Result: resultOf(cmd.Task.Key, cmd.Task.Index), RunTime: run})
		})
	})
}

func resultOf(key string, index uint32) []byte {
	return []byte(fmt.Sprintf("%s#%d", key, index))
}
