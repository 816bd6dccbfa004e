package executor

import (
	"slices"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/evacuation"
	"github.com/teaseltide/teaseltide/internal/interference"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// EntryConnected handles the start of a session with an entry.
func (x *Executor) EntryConnected(id ownership.Incarnation) {
	e := x.entry(id)
	e.connected = true
	e.inventoryDue = true
	e.loose = false
	e.events = nil
	e.deposed = x.successors[id] != ""
	e.received = 0
	e.evacuations = evacuation.Peer{}
}

// EntryDisconnected handles the end of a session. The entry's runs continue until
// its grant expires.
func (x *Executor) EntryDisconnected(id ownership.Incarnation) {
	if e := x.entries[id]; e != nil {
		e.connected = false
		e.events = nil
	}
}

// entry returns the state of an entry, which it creates if there is none.
func (x *Executor) entry(id ownership.Incarnation) *entry {
	e := x.entries[id]
	if e == nil {
		e = &entry{}
		x.entries[id] = e
	}
	return e
}

// FencesLoaded handles the deposed entries that were read from the store, each
// with its successor.
func (x *Executor) FencesLoaded(now clock.Millis, fences map[ownership.Incarnation]ownership.Incarnation) {
	for deposed, successor := range fences {
		x.fence(now, deposed, successor)
	}
	x.fencesLoaded = true
}

// fence rejects all further orders of a deposed entry and transfers its runs to
// the entry that now owns its jobs.
func (x *Executor) fence(now clock.Millis, deposed, successor ownership.Incarnation) {
	x.successors[deposed] = successor
	if e := x.entries[deposed]; e != nil {
		e.deposed = true
		e.events = nil
	}
	newOwner, _ := x.successors.CurrentOwner(successor)
	for _, r := range x.runs {
		if r.owner != deposed {
			continue
		}
		if r.bestEffort {
			// Its caller comes again in a fixed time after the loss of the deposed
			// entry, so the transfer must not prolong the run.
			r.expiresBy = x.grantExpiry(r)
			if r.phase == starting || r.phase == unanswered || r.phase == running {
				x.stop(now, r, StopOwnerDeposed)
			}
		}
		r.owner = newOwner
		if r.phase == queued {
			delete(x.runs, r.id.TaskID)
		}
	}
	// An entry without runs here sends no grants, so its last one may have
	// expired.
	e := x.entry(newOwner)
	e.grantedFrom = max(e.grantedFrom, now)
	e.storedGrantedFrom = max(e.storedGrantedFrom, now)
}

// OrdersReceived handles the orders of an entry.
func (x *Executor) OrdersReceived(now clock.Millis, from ownership.Incarnation, o *wire.TaskOrders) {
	e := x.entry(from)
	e.received = o.GetSequence()
	e.evacuations.Note(evacuation.FromWire(o.GetEvacuations()))
	for _, f := range o.GetFences() {
		x.fence(now, ownership.Incarnation(f.GetDeposed()), ownership.Incarnation(f.GetSuccessor()))
		e.appliedFences = append(e.appliedFences, f.GetDeposed())
		e.inventoryDue = true
	}
	if x.successors[from] != "" {
		e.deposed = true
		return
	}
	e.grantedFrom = max(e.grantedFrom, clock.Millis(o.GetGrantedFrom()))
	if !o.GetStoredWithheld() {
		e.storedGrantedFrom = e.grantedFrom
	}
	e.loose = o.GetLoose()
	x.updateDemand(now, from, e, o)
	x.releaseJobLeases(now, from, o.GetJobLeaseReleases())
	for _, s := range o.GetAdopts() {
		x.adopt(from, s)
	}
	for _, s := range o.GetStarts() {
		x.enqueue(now, from, clock.Millis(o.GetGrantedFrom()), s)
	}
	for _, id := range o.GetStops() {
		x.handleStop(now, from, batch.RunIDFromWire(id))
	}
	for _, id := range o.GetCancelledJobs() {
		x.stopCancelledJob(now, batch.JobID(id))
	}
	for _, id := range o.GetStored() {
		if r := x.findRun(batch.RunIDFromWire(id)); r != nil && r.phase == ended && x.mayOrder(from, r) {
			r.acknowledgeable = true
		}
		x.confirmCrash(from, batch.RunIDFromWire(id))
	}
	for _, id := range o.GetVoids() {
		x.voidEnd(now, from, batch.RunIDFromWire(id))
	}
	for _, id := range o.GetReleases() {
		x.confirmCrash(from, batch.RunIDFromWire(id))
		x.handleRelease(now, from, batch.RunIDFromWire(id))
	}
}

// findRun returns the run with this attempt number, nil if there is none.
func (x *Executor) findRun(id batch.RunID) *run {
	if r := x.runs[id.TaskID]; r != nil && r.id == id {
		return r
	}
	return nil
}

// mayOrder reports whether an entry may stop a run or acknowledge its end: the
// owner, its successor, and any entry for an unclaimed run. An entry that held the
// job before must not act on the runs of the present one.
func (x *Executor) mayOrder(from ownership.Incarnation, r *run) bool {
	owner, _ := x.successors.CurrentOwner(r.owner)
	return owner == "" || owner == from
}

func resourcesOf(s *wire.TaskStart) batch.Resources {
	return batch.Resources{CPU: s.GetCpu(), MemoryMB: s.GetMemoryMb(), Accelerators: s.GetAccelerators()}
}

// adopt records the resources and the owner of a run that was discovered on the
// worker.
func (x *Executor) adopt(from ownership.Incarnation, s *wire.TaskStart) {
	id := batch.RunIDFromWire(s.GetRun())
	r := x.findRun(id)
	switch {
	case r == nil && !x.hasListed:
		return
	case r == nil && s.GetBestEffort():
		x.addEvent(&run{id: id, owner: from, bestEffort: true}, wire.TaskEvent_STATE_LOST)
		return
	case r == nil:
		return
	case r.owner != "" && r.owner != from:
		if r.bestEffort && s.GetBestEffort() {
			x.watch(from, r)
		}
		return
	case r.owner == "" && r.phase == ended:
		// The end had no entry to be reported to.
		x.watch(from, r)
	case r.owner == "" && !s.GetBestEffort():
		// The entry may know only that the run is unclaimed.
		x.addEventFor(from, r, wire.TaskEvent_STATE_RUNNING)
	}
	if r.owner == "" && !r.sizeKnown && r.phase != ended {
		x.unsizedRuns--
		r.resources = resourcesOf(s)
		r.sizeKnown = true
		x.reserve(r)
	}
	r.owner = from
	r.bestEffort = s.GetBestEffort()
	r.estimatedTime = clock.Millis(s.GetEstimatedMs())
	r.kind = interference.Kind(s.GetKind())
}

// watch reports the end of a run also to an entry that does not own it.
func (x *Executor) watch(from ownership.Incarnation, r *run) {
	if r.phase == ended {
		if !r.isWithheld() {
			x.addEventFor(from, r, endState(r))
		}
		return
	}
	if r.owner != from && !slices.Contains(r.watchers, from) {
		r.watchers = append(r.watchers, from)
	}
}

// enqueue queues a task, or reports it as not started if it cannot be accepted.
// reportAt is the time of the report on which the order is based.
func (x *Executor) enqueue(now clock.Millis, from ownership.Incarnation, reportAt clock.Millis, s *wire.TaskStart) {
	id := batch.RunIDFromWire(s.GetRun())
	r := &run{
		id: id, owner: from, resources: resourcesOf(s), sizeKnown: true, spec: s.GetSpec(), priority: int(s.GetPriority()),
		maxPerWorker: int(s.GetMaxPerWorker()), orderedAt: now, bestEffort: s.GetBestEffort(), estimatedTime: clock.Millis(s.GetEstimatedMs()),
		kind: interference.Kind(s.GetKind()),
	}
	if known, ok := x.attempts[id.TaskID]; ok && id.Attempt <= known.number || x.runs[id.TaskID] != nil {
		// Either another run of the task is here, or the worker would refuse the
		// attempt because it is not higher than the last one.
		x.logRefused(r, RefusedAttemptKnown, now-reportAt)
		r.highestAttempt = known.number
		if other := x.runs[id.TaskID]; other != nil && other.id != id && r.bestEffort {
			x.reportOther(from, other)
		}
		x.addEvent(r, wire.TaskEvent_STATE_NOT_STARTED)
		return
	}
	x.recordAttempt(id, now)
	if !x.ready() || now-reportAt > maxOrderAge || !x.worker.Capacity.Covers(r.resources) {
		x.logRefused(r, x.refusalReason(r, now-reportAt), now-reportAt)
		x.addEvent(r, wire.TaskEvent_STATE_NOT_STARTED)
		return
	}
	x.runs[id.TaskID] = r
	x.loadVersion++
}

// reportOther tells an entry whose start is refused of the task's run here, so that it
// starts the task after the end of that run.
func (x *Executor) reportOther(from ownership.Incarnation, r *run) {
	if r.phase != ended {
		x.addEventFor(from, r, wire.TaskEvent_STATE_RUNNING)
	}
	x.watch(from, r)
}

// handleStop stops a run, or reports it as not started if it has not begun.
func (x *Executor) handleStop(now clock.Millis, from ownership.Incarnation, id batch.RunID) {
	r := x.findRun(id)
	switch {
	case r == nil:
		// The start may still be in flight to this sidecar; recording the attempt
		// rejects it on arrival.
		if known := x.attempts[id.TaskID]; known.number < id.Attempt {
			x.recordAttempt(id, known.at)
		}
		if !x.hasListed {
			return
		}
		x.addEvent(&run{id: id, owner: from}, wire.TaskEvent_STATE_NOT_STARTED)
	case !x.mayOrder(from, r):
		// The run of this number is another entry's; the sender has none.
		x.addEvent(&run{id: id, owner: from}, wire.TaskEvent_STATE_NOT_STARTED)
	case r.phase == queued:
		x.returnTask(r)
	case r.phase != ended:
		x.stopByOrder(now, r, StopOrdered)
	}
}

// handleRelease stops a run whose job is no longer open and permits its end to be
// acknowledged.
func (x *Executor) handleRelease(now clock.Millis, from ownership.Incarnation, id batch.RunID) {
	r := x.findRun(id)
	if r == nil || !x.mayOrder(from, r) {
		return
	}
	if r.phase == queued {
		x.returnTask(r)
		return
	}
	r.acknowledgeable = true
	if r.phase != ended {
		x.stopByOrder(now, r, StopReleased)
	}
}

// stopCancelledJob stops the runs of a stored job that is cancelled in the store and permits
// their ends to be acknowledged. Its owner may have died before it could do so.
func (x *Executor) stopCancelledJob(now clock.Millis, id batch.JobID) {
	for _, r := range x.runs {
		switch {
		case r.id.Job != id || r.bestEffort:
		case r.phase == queued:
			x.returnTask(r)
		default:
			r.acknowledgeable = true
			if r.phase != ended {
				x.stopByOrder(now, r, StopReleased)
			}
		}
	}
}

// addEvent queues an event for the entry that owns a run, if it is connected.
func (x *Executor) addEvent(r *run, state wire.TaskEvent_State) { x.addEventFor(r.owner, r, state) }

// addEventToAll queues an event for the owner of a run and the entries that watch it. An
// event of a run without a known owner goes to all entries, one of which may hold the job.
func (x *Executor) addEventToAll(r *run, state wire.TaskEvent_State) {
	if r.owner == "" {
		for id := range x.entries {
			x.addEventFor(id, r, state)
		}
		return
	}
	x.addEvent(r, state)
	for _, w := range r.watchers {
		if w != r.owner {
			x.addEventFor(w, r, state)
		}
	}
}

func (x *Executor) addEventFor(id ownership.Incarnation, r *run, state wire.TaskEvent_State) {
	e := x.entries[id]
	if e == nil || !e.connected {
		return
	}
	event := r.event(state)
	event.HighestAttempt = int64(r.highestAttempt)
	e.events = append(e.events, event)
	// The start of a best-effort run isn't urgent: nothing depends on it.
	e.urgent = e.urgent || state != wire.TaskEvent_STATE_RUNNING || !r.bestEffort
}

// event returns an event of a run for a report.
func (r *run) event(state wire.TaskEvent_State) *wire.TaskEvent {
	return &wire.TaskEvent{
		Run: r.id.Wire(), State: state, RunMs: int64(r.runTime), BestEffort: r.bestEffort,
		WorkerCrashed: r.workerCrashed && state == wire.TaskEvent_STATE_LOST, Unclaimed: r.owner == "",
		Lapsed: r.phase == ended && r.lapsed,
	}
}

// Drain makes the sidecar return its queued tasks and reject new ones.
func (x *Executor) Drain() {
	x.draining = true
	x.loadVersion++
}

// sendReports sends the reports that are due or urgent and forgets entries that
// have been disconnected for a minute.
func (x *Executor) sendReports(now clock.Millis) {
	x.countRuns()
	for id, e := range x.entries {
		if !e.connected {
			if now > max(e.grantedFrom, e.sentAt)+clock.Minute {
				delete(x.entries, id)
			}
			continue
		}
		offered := x.offer.entry == id && x.offer.sentAt == 0
		urgent := offered || e.sentReady != x.ready() || e.urgent || x.isSetDue(e) && e.received > 0 || (len(e.appliedFences) > 0 || e.inventoryDue) && x.runsListed
		if !urgent && now-e.sentAt < x.minReportSpacing(e) {
			continue
		}
		x.commands = append(x.commands, Report{Entry: id, Report: x.buildReport(now, id, e)})
	}
}

// countRuns updates the number of runs of each entry.
func (x *Executor) countRuns() {
	for _, e := range x.entries {
		e.runCount = 0
	}
	for _, r := range x.runs {
		if e := x.entries[r.owner]; e != nil {
			e.runCount++
		}
	}
}

// minReportSpacing returns the time between two reports to an entry without urgent
// events. In a large fleet most entries have no run on a given worker and seldom
// place a task there, so they get few reports.
func (x *Executor) minReportSpacing(e *entry) clock.Millis {
	switch {
	case e.loose && e.runCount == 0 && e.urgency == 0:
		return LooseReportInterval
	case !e.loose && e.sentLoadVersion != x.loadVersion && len(x.entries) <= maxLoadReportEntries:
		return loadReportInterval
	}
	return reportInterval
}

// buildReport returns the report to an entry and marks its contents as sent.
func (x *Executor) buildReport(now clock.Millis, id ownership.Incarnation, e *entry) *wire.TaskReport {
	report := &wire.TaskReport{
		SentAt: int64(now), Events: e.events, Load: x.workerLoad(), Deposed: e.deposed,
		Received: e.received, Offer: x.offer.entry == id,
		Held: x.offer.entry != "" && x.offer.entry != id, GrantsJobLeases: true, HasMoreEnds: x.runsListed && x.backlog.full,
	}
	report.Unclaimed, report.UnclaimedElsewhere = x.unclaimed(now, id)
	if report.Offer && x.offer.sentAt == 0 {
		x.offer.sentAt = now
	}
	x.addEvacuations(e, report)
	if x.runsListed {
		report.Fenced = e.appliedFences
		e.appliedFences = nil
	}
	if e.inventoryDue && x.runsListed {
		x.addInventory(report, id, e)
	}
	report.GetLoad().Slowdowns = x.slowdowns(now)
	x.addLifecycle(now, report.GetLoad())
	e.events, e.urgent = nil, false
	e.sentAt = now
	e.sentLoadVersion = x.loadVersion
	e.sentReady = report.GetLoad().GetReady()
	return report
}

// addInventory adds the inventory of an entry to a report. A partial one comes after the
// events that it does not replace.
func (x *Executor) addInventory(report *wire.TaskReport, id ownership.Incarnation, e *entry) {
	e.inventoryDue = false
	e.partialInventory = !x.backlog.read
	if e.partialInventory {
		report.PartialInventory = true
		report.Events = append(report.Events, x.inventory(id)...)
		return
	}
	report.Inventory = true
	report.Events = x.inventory(id)
}

// inventory lists the runs of an entry and those without a known owner.
func (x *Executor) inventory(id ownership.Incarnation) []*wire.TaskEvent {
	var events []*wire.TaskEvent
	for _, r := range x.runs {
		if r.void || r.isWithheld() || r.owner != id && r.owner != "" && !slices.Contains(r.watchers, id) {
			continue
		}
		state := wire.TaskEvent_STATE_RUNNING
		switch r.phase {
		case queued:
			state = wire.TaskEvent_STATE_QUEUED
		case ended:
			state = endState(r)
		}
		events = append(events, r.event(state))
	}
	for _, r := range x.crashedRuns {
		if owner, _ := x.successors.CurrentOwner(r.owner); owner == id && x.findRun(r.id) == nil {
			events = append(events, r.event(wire.TaskEvent_STATE_LOST))
		}
	}
	return events
}

func (x *Executor) workerLoad() *wire.WorkerLoad {
	free := x.available()
	return &wire.WorkerLoad{
		Cpu: x.worker.Capacity.CPU, MemoryMb: x.worker.Capacity.MemoryMB, Accelerators: x.worker.Capacity.Accelerators,
		FreeCpu: free.CPU, FreeMemoryMb: free.MemoryMB, FreeAccelerators: free.Accelerators,
		Ready: x.ready(), Service: x.worker.Service, Labels: x.worker.Labels, Evacuated: x.isEvacuated(),
	}
}
