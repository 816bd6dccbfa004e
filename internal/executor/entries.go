package executor

import (
	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Connected takes a new session with an entry.
func (x *Executor) Connected(id ownership.Incarnation) {
	e := x.entry(id)
	e.connected = true
	e.inventory = true
	e.loose = false
	e.events = nil
	e.deposed = x.successors[id] != ""
	e.received = 0
}

// Disconnected takes the end of a session. What the entry has here goes on
// until its grant ends.
func (x *Executor) Disconnected(id ownership.Incarnation) {
	if e := x.entries[id]; e != nil {
		e.connected = false
		e.events = nil
	}
}

func (x *Executor) entry(id ownership.Incarnation) *entry {
	e := x.entries[id]
	if e == nil {
		e = &entry{}
		x.entries[id] = e
	}
	return e
}

// Fences takes the deposed entries that the store names.
func (x *Executor) Fences(now clock.Millis, fences map[ownership.Incarnation]ownership.Incarnation) {
	for deposed, successor := range fences {
		x.fence(now, deposed, successor)
	}
	x.fencesRead = true
}

// fence rejects the orders of a deposed entry from now on and gives its runs to
// its successor.
func (x *Executor) fence(now clock.Millis, deposed, successor ownership.Incarnation) {
	x.successors[deposed] = successor
	if e := x.entries[deposed]; e != nil {
		e.deposed = true
		e.events = nil
	}
	heir, _ := x.successors.CurrentOwner(successor)
	for _, r := range x.runs {
		if r.owner != deposed {
			continue
		}
		r.owner = heir
		if r.phase == queued {
			delete(x.runs, r.id.TaskID)
		}
	}
	// An heir that had nothing here has sent no grants lately.
	e := x.entry(heir)
	e.grantedFrom = max(e.grantedFrom, now)
	e.storedFrom = max(e.storedFrom, now)
}

// Orders takes the orders of an entry.
func (x *Executor) Orders(now clock.Millis, from ownership.Incarnation, o *wire.TaskOrders) {
	e := x.entry(from)
	e.received = o.GetSequence()
	for _, f := range o.GetFences() {
		x.fence(now, ownership.Incarnation(f.GetDeposed()), ownership.Incarnation(f.GetSuccessor()))
		e.fenced = append(e.fenced, f.GetDeposed())
		e.inventory = true
	}
	if x.successors[from] != "" {
		e.deposed = true
		return
	}
	e.grantedFrom = max(e.grantedFrom, clock.Millis(o.GetGrantedFrom()))
	if !o.GetStoredWithheld() {
		e.storedFrom = e.grantedFrom
	}
	e.loose = o.GetLoose()
	x.noteDemand(now, from, e, o)
	for _, s := range o.GetAdopts() {
		x.adopt(from, s)
	}
	for _, s := range o.GetStarts() {
		x.order(now, from, e, s)
	}
	for _, id := range o.GetStops() {
		x.stopOrdered(from, batch.RunIDOf(id))
	}
	for _, id := range o.GetStored() {
		if r := x.find(batch.RunIDOf(id)); r != nil && r.phase == ended {
			r.stored = true
		}
	}
	for _, id := range o.GetReleases() {
		x.releaseRun(batch.RunIDOf(id))
	}
}

func (x *Executor) find(id batch.RunID) *run {
	if r := x.runs[id.TaskID]; r != nil && r.id == id {
		return r
	}
	return nil
}

func needOf(s *wire.TaskStart) batch.Resources {
	return batch.Resources{CPU: s.GetCpu(), MemoryMB: s.GetMemoryMb(), Accelerators: s.GetAccelerators()}
}

// adopt takes the size and the entry of a run that was found on the worker.
func (x *Executor) adopt(from ownership.Incarnation, s *wire.TaskStart) {
	r := x.find(batch.RunIDOf(s.GetRun()))
	if r == nil || r.owner != "" && r.owner != from {
		return
	}
	if r.owner == "" && !r.sized && r.phase != ended {
		x.unsized--
		r.need = needOf(s)
		r.sized = true
		x.occupy(r)
	}
	r.owner = from
	r.bestEffort = s.GetBestEffort()
	r.estimated = clock.Millis(s.GetEstimatedMs())
}

// order queues a task, unless this or a later attempt was ordered before.
func (x *Executor) order(now clock.Millis, from ownership.Incarnation, e *entry, s *wire.TaskStart) {
	id := batch.RunIDOf(s.GetRun())
	r := &run{
		id: id, owner: from, need: needOf(s), sized: true, spec: s.GetSpec(), priority: int(s.GetPriority()),
		maxPerWorker: int(s.GetMaxPerWorker()), orderedAt: now, bestEffort: s.GetBestEffort(), estimated: clock.Millis(s.GetEstimatedMs()),
	}
	if known, ok := x.attempts[id.TaskID]; ok && id.Attempt <= known.number || x.runs[id.TaskID] != nil {
		// An earlier run of the task is here, or the worker would refuse an
		// attempt that is not higher.
		x.tell(r, wire.TaskEvent_STATE_NOT_STARTED)
		return
	}
	x.attempts[id.TaskID] = attempt{number: id.Attempt, at: now}
	if !x.ready() || now-e.grantedFrom > orderTime || !x.worker.Capacity.Holds(r.need) {
		x.tell(r, wire.TaskEvent_STATE_NOT_STARTED)
		return
	}
	x.runs[id.TaskID] = r
	x.loadSerial++
}

func (x *Executor) stopOrdered(from ownership.Incarnation, id batch.RunID) {
	r := x.find(id)
	switch {
	case r == nil:
		// Also a start that is still on its way to this sidecar must not be
		// carried out.
		if known := x.attempts[id.TaskID]; known.number < id.Attempt {
			x.attempts[id.TaskID] = attempt{number: id.Attempt, at: known.at}
		}
		x.tell(&run{id: id, owner: from}, wire.TaskEvent_STATE_NOT_STARTED)
	case r.phase == queued:
		x.notStarted(r)
	case r.phase != ended:
		x.stop(r)
	}
}

// releaseRun stops a run whose job is not open and acknowledges its end.
func (x *Executor) releaseRun(id batch.RunID) {
	r := x.find(id)
	if r == nil {
		return
	}
	if r.phase == queued {
		x.notStarted(r)
		return
	}
	r.stored = true
	if r.phase != ended {
		x.stop(r)
	}
}

// tell adds an event for the entry that owns a run.
func (x *Executor) tell(r *run, state wire.TaskEvent_State) {
	e := x.entries[r.owner]
	if e == nil || !e.connected {
		return
	}
	e.events = append(e.events, &wire.TaskEvent{Run: r.id.Wire(), State: state, RunMs: int64(r.runTime), BestEffort: r.bestEffort})
	// Nothing waits for the start of a best-effort run.
	e.urgent = e.urgent || state != wire.TaskEvent_STATE_RUNNING || !r.bestEffort
}

// Leave makes the sidecar return what has not started and take nothing more.
func (x *Executor) Leave() {
	x.leaving = true
	x.loadSerial++
}

// report sends each entry what it has to know.
func (x *Executor) report(now clock.Millis) {
	x.countRuns()
	for id, e := range x.entries {
		if !e.connected {
			if now > max(e.grantedFrom, e.sentAt)+clock.Minute {
				delete(x.entries, id)
			}
			continue
		}
		offered := x.offer.entry == id && x.offer.at == 0
		urgent := offered || e.sentReady != x.ready() || e.urgent || (len(e.fenced) > 0 || e.inventory) && x.listed
		if !urgent && now-e.sentAt < x.reportPause(e) {
			continue
		}
		x.out = append(x.out, Report{Entry: id, Report: x.reportFor(now, id, e)})
	}
}

// countRuns counts the runs of each entry.
func (x *Executor) countRuns() {
	for _, e := range x.entries {
		e.runs = 0
	}
	for _, r := range x.runs {
		if e := x.entries[r.owner]; e != nil {
			e.runs++
		}
	}
}

// reportPause is the time between two reports to an entry that has nothing urgent
// to hear. Most entries of a large fleet have no run at a worker and seldom place
// a task there, so their reports must be few.
func (x *Executor) reportPause(e *entry) clock.Millis {
	switch {
	case e.loose && e.runs == 0 && e.urgency == 0:
		return LooseInterval
	case !e.loose && e.sentLoad != x.loadSerial && len(x.entries) <= fewEntries:
		return loadInterval
	}
	return reportInterval
}

func (x *Executor) reportFor(now clock.Millis, id ownership.Incarnation, e *entry) *wire.TaskReport {
	report := &wire.TaskReport{
		SentAt: int64(now), Events: e.events, Load: x.load(), Deposed: e.deposed,
		Received: e.received, Unclaimed: x.unclaimed(now, id), Offer: x.offer.entry == id,
		Held: x.offer.entry != "" && x.offer.entry != id,
	}
	if report.Offer && x.offer.at == 0 {
		x.offer.at = now
	}
	if x.listed {
		report.Fenced = e.fenced
		e.fenced = nil
	}
	if e.inventory && x.listed {
		report.Inventory = true
		report.Events = x.inventory(id)
		e.inventory = false
	}
	e.events, e.urgent = nil, false
	e.sentAt = now
	e.sentLoad = x.loadSerial
	e.sentReady = report.GetLoad().GetReady()
	return report
}

// inventory lists the runs of an entry and those whose entry is not known.
func (x *Executor) inventory(id ownership.Incarnation) []*wire.TaskEvent {
	var events []*wire.TaskEvent
	for _, r := range x.runs {
		if r.void || r.owner != id && r.owner != "" {
			continue
		}
		state := wire.TaskEvent_STATE_RUNNING
		switch r.phase {
		case queued:
			state = wire.TaskEvent_STATE_QUEUED
		case ended:
			state = endState(r)
		}
		events = append(events, &wire.TaskEvent{Run: r.id.Wire(), State: state, RunMs: int64(r.runTime), BestEffort: r.bestEffort})
	}
	return events
}

// unclaimed lists runs that no entry has claimed, for one entry that looks up
// their jobs in the store.
func (x *Executor) unclaimed(now clock.Millis, id ownership.Incarnation) []*wire.TaskRun {
	if x.resolver() != id {
		return nil
	}
	var out []*wire.TaskRun
	for _, r := range x.runs {
		if r.owner == "" && !r.stored && now-max(r.foundAt, r.askedAt) >= unclaimedAfter {
			r.askedAt = now
			out = append(out, r.id.Wire())
		}
	}
	return out
}

// resolver is the connected entry with the lowest name.
func (x *Executor) resolver() ownership.Incarnation {
	var lowest ownership.Incarnation
	for id, e := range x.entries {
		if e.connected && !e.deposed && (lowest == "" || id < lowest) {
			lowest = id
		}
	}
	return lowest
}

func (x *Executor) load() *wire.WorkerLoad {
	free := x.free()
	return &wire.WorkerLoad{
		Cpu: x.worker.Capacity.CPU, MemoryMb: x.worker.Capacity.MemoryMB, Accelerators: x.worker.Capacity.Accelerators,
		FreeCpu: free.CPU, FreeMemoryMb: free.MemoryMB, FreeAccelerators: free.Accelerators,
		Ready: x.ready(), Service: x.worker.Service, Labels: x.worker.Labels,
	}
}
