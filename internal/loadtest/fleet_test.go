package loadtest

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/executor"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// linkDelay is the one-way latency between an entry and a sidecar, callDelay that
	// between a sidecar and its worker.
	linkDelay = 1 * clock.Millis(1)
	callDelay = 1 * clock.Millis(1)
	// callerRoundTrip is the round-trip time between a caller and its entry.
	callerRoundTrip = 6 * clock.Millis(1)
	// entryTick and sidecarTick are the intervals between ticks without an event, as
	// in the processes.
	entryTick   = 10 * clock.Millis(1)
	sidecarTick = 20 * clock.Millis(1)
	// listInterval is the pause between two list calls to a worker; a call returns
	// after listTimeout if no run has ended.
	listInterval = 6 * clock.Millis(1)
	listTimeout  = 150 * clock.Millis(1)
	maxLease     = 1 * clock.Second
	service      = "checks"
)

// jobKind describes jobs of the same size, priority and value.
type jobKind struct {
	name      string
	perSecond float64
	meanTasks float64
	// meanWork is the mean run time of a task on a worker of speed 1.
	meanWork clock.Millis
	cpu      int64
	priority int
	// value is the value of a job that ends on time.
	value float64
	// rackShare is the share of the jobs whose data is in rack.
	rackShare float64
	rack      string
}

// workerSpec describes a worker.
type workerSpec struct {
	cpu   int64
	speed float64
	// failing is true for a worker whose runs all fail.
	failing bool
	domain  ownership.Domain
	// rack is a label of the worker; empty for none.
	rack string
	lifecycle
}

// workload describes a fleet and the jobs submitted to it.
type workload struct {
	kinds   []jobKind
	workers []workerSpec
	// entryShares holds the share of the callers of each entry.
	entryShares []float64
	// entryDomains holds the failure domain of each entry; nil if there is only one.
	entryDomains []ownership.Domain
	// duration is how long jobs are submitted; those of the first warmUp aren't
	// counted in the outcomes.
	duration, warmUp clock.Millis
	// minCallerTimeout is the shortest time that callers wait for an answer.
	minCallerTimeout clock.Millis
	seed             uint64
	// runTimeError is the largest relative error of declared run times.
	runTimeError float64
	// drain is how long the simulation continues after the last submission.
	drain clock.Millis
	// burstFactor multiplies the job rates between burstFrom and burstUntil.
	burstFactor           float64
	burstFrom, burstUntil clock.Millis
	// outage is how long all entries are down from the start; their callers resubmit
	// every resubmitDelay.
	outage clock.Millis
	contention
	// slowdown returns the factor by which a run of a kind is slowed down by the active
	// runs, given by their number per kind; nil if there is no interference.
	slowdown func(kind string, active map[string]int) float64
	// hidesSlowdowns is true if the sidecars' reports don't tell the entries of it.
	hidesSlowdowns bool
}

// resubmitDelay is the time after which a caller without an answer resubmits.
const resubmitDelay = 1300 * clock.Millis(1)

const (
	// The objective of a job is objectiveFactor times its longest task plus
	// objectiveBase.
	objectiveFactor = 1.6
	objectiveBase   = 60 * clock.Millis(1)
	// lateFactor is the number of objectives after which a late job has no value.
	lateFactor = 3
	// timeoutObjectives is the minimum caller timeout, in objectives.
	timeoutObjectives = 5
)

// outcome counts the jobs of a kind by their result.
type outcome struct {
	submitted, onTime, late, tooLate, refused, failed int
	// maxRefusalDelay is the longest time until a refusal, in multiples of the
	// declared objective.
	maxRefusalDelay float64
}

// event is a function scheduled for a time; seq orders events of the same time.
type event struct {
	at  clock.Millis
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// fleet simulates a workload on the decision cores of entries and sidecars.
type fleet struct {
	workload
	now      clock.Millis
	seq      int
	events   events
	rand     *rand.Rand
	entries  []*entry
	sidecars []*sidecar
	outcomes map[string]*outcome
	zones    map[ownership.Domain]*zoneOutcome
	// dataRacks holds the jobs whose data is in a rack.
	dataRacks map[batch.JobID]string
	// notes counts the notes between entries.
	notes int
	jobs  int
	// started holds the jobs with a run started at a worker, refused those that were
	// answered as not run.
	started map[batch.JobID]bool
	refused map[batch.JobID]bool
	// messages counts messages between entries and sidecars until arrivalsEnd.
	messages                   int
	arrivalsStart, arrivalsEnd clock.Millis
	// submitHook, if not nil, receives the jobs instead of the entries.
	submitHook func(s *submission, tasks []float64)
	// pairsChanged counts the changes of the interference that sidecars detected.
	pairsChanged int
	// lostWork is the run time so far, in ms, of the runs that workers lost as they left.
	lostWork clock.Millis
}

// entry is a simulated entry with its pending requests. dirty is true if its core
// has had an event since its last tick.
type entry struct {
	id      ownership.Incarnation
	domain  ownership.Domain
	core    *scheduler.Scheduler
	pending map[scheduler.Request]*submission
	dirty   bool
}

// submission is a submitted job. counted is true if its outcome is counted.
type submission struct {
	id          batch.JobID
	kind        *jobKind
	zone        ownership.Domain
	submittedAt clock.Millis
	// objective is computed from the real run times, declaredObjective from the
	// declared one.
	objective, declaredObjective clock.Millis
	counted                      bool
}

// sidecar is a simulated sidecar with its worker. dirty is true if its core has had
// an event since its last tick.
type sidecar struct {
	address      scheduler.Address
	id           ownership.Incarnation
	core         *executor.Executor
	spec         workerSpec
	running      map[batch.TaskID]*workerRun
	ended        []executor.ListedEnd
	lastSequence int64
	// pendingList is the list call that waits for a run to end, if any.
	pendingList *executor.ListRequest
	dirty       bool
}

type workerRun struct {
	run       batch.RunID
	startedAt clock.Millis
	endsAt    clock.Millis
	progress
}

func newFleet(p workload) *fleet {
	f := &fleet{workload: p, now: 1_000_000, rand: rand.New(rand.NewPCG(p.seed, 1)), outcomes: make(map[string]*outcome), zones: make(map[ownership.Domain]*zoneOutcome), dataRacks: make(map[batch.JobID]string),
		started: make(map[batch.JobID]bool), refused: make(map[batch.JobID]bool)}
	for i := range p.kinds {
		f.outcomes[p.kinds[i].name] = &outcome{}
	}
	var live []ownership.Incarnation
	for i := range p.entryShares {
		live = append(live, ownership.Incarnation(fmt.Sprintf("entry-%d", i)))
	}
	for i, id := range live {
		var domain ownership.Domain
		if len(p.entryDomains) > 0 {
			domain = p.entryDomains[i]
		}
		e := &entry{id: id, domain: domain, pending: make(map[scheduler.Request]*submission), core: scheduler.New(scheduler.Settings{
			Self: id, Domain: domain, GrantDuration: 6 * clock.Second, BestEffortGrantDuration: 1100, JobLeaseDuration: executor.JobLeaseDuration, StoreContactTimeout: 8 * clock.Second, OfferDuration: executor.OfferDuration, OutsideSubsetReportInterval: executor.LooseReportInterval, EndedRetention: clock.Minute, Seed: p.seed + uint64(i), RemoteFactor: p.remoteFactor,
		})}
		e.core.SetEntries(live)
		for _, other := range live {
			if other != id {
				e.core.EntryConnected(f.now, other)
			}
		}
		f.entries = append(f.entries, e)
		f.every(entryTick, func() { e.core.RecordStoreContact(f.now); e.dirty = true })
	}
	for i, w := range p.workers {
		f.addSidecar(i, w, live)
	}
	f.scheduleEvacuation()
	return f
}

func (f *fleet) addSidecar(i int, w workerSpec, live []ownership.Incarnation) {
	c := &sidecar{
		address: scheduler.Address(fmt.Sprintf("worker-%d", i)), id: ownership.Incarnation(fmt.Sprintf("sidecar-%d", i)),
		core: executor.New(1, maxLease), spec: w, running: make(map[batch.TaskID]*workerRun),
	}
	f.sidecars = append(f.sidecars, c)
	f.reportWorker(c, 1, false)
	c.core.FencesLoaded(f.now, nil)
	for j, id := range live {
		c.core.EntryConnected(id)
		f.entries[j].core.SidecarConnected(c.address, c.spec.domain, c.id)
	}
	f.scheduleLifecycle(c)
	f.every(sidecarTick, func() { c.dirty = true })
	f.listRuns(c)
}

// reportWorker reports the state of a worker to its sidecar.
func (f *fleet) reportWorker(c *sidecar, sequence int64, draining bool) {
	w := executor.Worker{
		ID: string(c.address), Incarnation: 1, Sequence: sequence, Service: service, Draining: draining,
		Capacity: batch.Resources{CPU: c.spec.cpu, MemoryMB: 1 << 20},
	}
	if c.spec.rack != "" {
		w.Labels = []string{c.spec.rack}
	}
	c.core.WorkerReported(f.now, w)
}

func (f *fleet) after(delay clock.Millis, do func()) {
	f.seq++
	heap.Push(&f.events, event{f.now + delay, f.seq, do})
}

func (f *fleet) every(interval clock.Millis, do func()) {
	f.after(interval, func() {
		do()
		f.every(interval, do)
	})
}

// run simulates the workload, including its drain time.
func (f *fleet) run() {
	start := f.now
	f.arrivalsStart, f.arrivalsEnd = start, start+f.duration
	for i := range f.kinds {
		f.scheduleArrivals(&f.kinds[i], start)
	}
	for f.now < f.arrivalsEnd+f.drain {
		e := heap.Pop(&f.events).(event)
		if e.at > f.now {
			f.tick()
		}
		f.now = e.at
		e.run()
	}
}

// tick runs the cores that have had an event.
func (f *fleet) tick() {
	for _, e := range f.entries {
		if !e.dirty || f.now < f.arrivalsStart+f.outage {
			continue
		}
		e.dirty = false
		for _, c := range e.core.Tick(f.now) {
			f.executeEntryCommand(e, c)
		}
	}
	for _, c := range f.sidecars {
		if !c.dirty {
			continue
		}
		c.dirty = false
		for _, command := range c.core.Tick(f.now) {
			f.executeSidecarCommand(c, command)
		}
	}
}

// scheduleArrivals submits jobs of a kind at exponentially distributed intervals.
func (f *fleet) scheduleArrivals(k *jobKind, start clock.Millis) {
	perS := k.perSecond
	if since := f.now - start; since >= f.burstFrom && since < f.burstUntil && (f.burstKind == "" || f.burstKind == k.name) {
		perS *= f.burstFactor
	}
	wait := clock.Millis(math.Round(f.rand.ExpFloat64() * 1000 / perS))
	f.after(wait, func() {
		if f.now >= start+f.duration {
			return
		}
		f.submit(k, f.now >= start+f.warmUp)
		f.scheduleArrivals(k, start)
	})
}

// randomFactor draws a factor from a normal distribution with mean 1 and the given
// standard deviation, at least 0.2.
func (f *fleet) randomFactor(deviation float64) float64 {
	return max(0.2, 1+deviation*f.rand.NormFloat64())
}

// submit submits a job whose tasks have different run times, of which its caller
// declares only one for all tasks.
func (f *fleet) submit(k *jobKind, counted bool) {
	f.jobs++
	work := float64(k.meanWork) * f.randomFactor(0.4)
	taskWork := make([]float64, max(1, int(math.Round(k.meanTasks*f.randomFactor(0.4)))))
	tasks := make([]string, len(taskWork))
	longest := 0.0
	for i := range taskWork {
		taskWork[i] = work * f.randomFactor(0.15)
		if f.stragglerShare > 0 && f.rand.Float64() < f.stragglerShare {
			taskWork[i] *= stragglerFactor
		}
		longest = max(longest, taskWork[i])
		tasks[i] = strconv.Itoa(int(taskWork[i]))
	}
	declared := clock.Millis(work * (1 + f.runTimeError*(2*f.rand.Float64()-1)))
	id := batch.JobID(fmt.Sprintf("%s-%d", k.name, f.jobs))
	s := &submission{id: id, kind: k, submittedAt: f.now, objective: clock.Millis(objectiveFactor*longest) + objectiveBase, counted: counted}
	s.declaredObjective = clock.Millis(objectiveFactor*float64(declared)) + objectiveBase
	if f.declaredObjectives {
		s.objective = s.declaredObjective
	}
	callerTimeout := max(f.minCallerTimeout, timeoutObjectives*s.objective)
	required := batch.Resources{CPU: int64(float64(k.cpu) * min(1.5, f.randomFactor(0.2))), MemoryMB: 64}
	job := batch.Job{
		ID: id, Route: batch.Route(k.name), Service: service,
		Spec: strings.Join(tasks, " "), Priority: k.priority, MaxFailures: 4, BestEffort: true, Deadline: f.now + callerTimeout,
		Objective: s.declaredObjective,
		Steps:     []batch.Step{{Count: len(tasks), Required: required, EstimatedRunTime: declared}},
	}
	if k.rackShare > 0 && f.rand.Float64() < k.rackShare {
		job.Steps[0].DataRack = k.rack
		f.dataRacks[id] = k.rack
	}
	pick, entryIndex := f.rand.Float64(), 0
	for i, share := range f.sharesAt(f.now - f.arrivalsStart) {
		if pick -= share; pick < 0 {
			entryIndex = i
			break
		}
	}
	if counted {
		f.outcomes[k.name].submitted++
	}
	if f.submitHook != nil {
		f.submitHook(s, taskWork)
		return
	}
	e := f.entries[entryIndex]
	s.zone = e.domain
	f.recordOffered(s)
	request := scheduler.Request(f.jobs)
	e.pending[request] = s
	delay := callerRoundTrip / 2
	for f.now+delay < f.arrivalsStart+f.outage {
		delay += resubmitDelay
	}
	f.after(delay, func() {
		e.core.Submit(f.now, request, job)
		e.dirty = true
	})
}

func (f *fleet) executeEntryCommand(e *entry, c scheduler.Command) {
	switch c := c.(type) {
	case scheduler.SendOrders:
		f.countMessage()
		for _, s := range f.sidecars {
			if s.id == c.Sidecar {
				f.after(linkDelay, func() {
					s.core.OrdersReceived(f.now, e.id, c.Orders)
					s.dirty = true
				})
			}
		}
	case scheduler.SendJobLeases:
		f.countMessage()
		for _, s := range f.sidecars {
			if s.id == c.Sidecar {
				f.after(linkDelay, func() {
					f.answerJobLeases(s, e.id, s.core.JobLeasesRequested(f.now, e.id, c.Requests))
				})
			}
		}
	case scheduler.CheckCaller:
		e.core.CallerConnected(f.now, c.Request, c.Job)
	case scheduler.Reply:
		f.handleReply(e, c)
	case scheduler.BroadcastNote:
		f.broadcast(e, c.Note)
	}
}

func (f *fleet) handleReply(e *entry, r scheduler.Reply) {
	s := e.pending[r.Request]
	if s == nil {
		return
	}
	delete(e.pending, r.Request)
	if r.Result == scheduler.NotStored {
		f.refused[s.id] = true
	}
	if !s.counted {
		return
	}
	o := f.outcomes[s.kind.name]
	took := f.now - s.submittedAt + callerRoundTrip/2
	switch {
	case r.Result == scheduler.NotStored:
		o.refused++
		o.maxRefusalDelay = max(o.maxRefusalDelay, float64(took-callerRoundTrip)/float64(s.declaredObjective))
	case r.Result != scheduler.Ended || r.State != batch.Complete:
		o.failed++
	default:
		o.recordCompletion(took, s.objective)
		f.recordEarned(s, took)
	}
}

func (o *outcome) recordCompletion(took, objective clock.Millis) {
	switch {
	case took <= objective:
		o.onTime++
	case took <= lateFactor*objective:
		o.late++
	default:
		o.tooLate++
	}
}

func (f *fleet) executeSidecarCommand(c *sidecar, command executor.Command) {
	switch command := command.(type) {
	case executor.StartRun:
		f.after(callDelay, func() { f.startRun(c, command) })
	case executor.StopRun:
		f.after(callDelay, func() {
			if r := c.running[command.Run.TaskID]; r != nil && r.run == command.Run {
				f.endRun(c, r, batch.OutcomeStopped)
			}
		})
	case executor.InterferenceChanged:
		f.pairsChanged++
	case executor.Report:
		f.countMessage()
		if f.hidesSlowdowns {
			command.Report.GetLoad().Slowdowns = nil
		}
		for _, e := range f.entries {
			if e.id == command.Entry {
				f.after(linkDelay, func() {
					e.core.HandleReport(f.now, c.id, command.Report)
					e.dirty = true
				})
			}
		}
	}
}

// answerJobLeases delivers a sidecar's answers to lease requests, if there are any.
func (f *fleet) answerJobLeases(c *sidecar, to ownership.Incarnation, answers *wire.JobLeaseAnswers) {
	if answers == nil {
		return
	}
	f.countMessage()
	for _, e := range f.entries {
		if e.id == to {
			f.after(linkDelay, func() {
				e.dirty = e.core.HandleJobLeaseAnswers(f.now, c.id, answers) || e.dirty
			})
		}
	}
}

func (f *fleet) startRun(c *sidecar, s executor.StartRun) {
	f.started[s.Run.Job] = true
	work, _ := strconv.Atoi(strings.Fields(s.Spec)[s.Run.Index])
	took := clock.Millis(max(1, float64(work)/c.spec.speed*f.rackFactor(c, s.Run.Job)*c.spec.coldFactor(f.now-f.arrivalsStart)))
	end := batch.OutcomeDone
	if c.spec.failing {
		took, end = 1, batch.OutcomeFailed
	}
	r := &workerRun{run: s.Run, startedAt: f.now, endsAt: f.now + took}
	c.running[s.Run.TaskID] = r
	if f.slowdown != nil {
		r.work = float64(took)
		f.updateProgress(c)
	} else {
		f.after(took, func() {
			if c.running[s.Run.TaskID] == r {
				f.endRun(c, r, end)
			}
		})
	}
	f.after(callDelay, func() {
		c.core.StartAnswered(f.now, s.Run, s.Token, executor.StartAccepted)
		c.dirty = true
	})
}

func (f *fleet) endRun(c *sidecar, r *workerRun, end batch.Outcome) {
	delete(c.running, r.run.TaskID)
	if f.slowdown != nil {
		f.updateProgress(c)
	}
	c.lastSequence++
	c.ended = append(c.ended, executor.ListedEnd{Sequence: c.lastSequence, Run: r.run, End: end})
	if c.pendingList != nil {
		f.answerList(c)
	}
}

// listRuns sends the worker a list call, which returns when a run has ended or after
// listTimeout.
func (f *fleet) listRuns(c *sidecar) {
	request := c.core.ListRequest(f.now)
	f.after(callDelay, func() {
		for len(c.ended) > 0 && c.ended[0].Sequence <= request.Cursor {
			c.ended = c.ended[1:]
		}
		c.pendingList = &request
		if len(c.ended) > 0 {
			f.answerList(c)
			return
		}
		f.after(listTimeout, func() {
			if c.pendingList == &request {
				f.answerList(c)
			}
		})
	})
}

// answerList answers the pending list call and schedules the next one.
func (f *fleet) answerList(c *sidecar) {
	l := executor.Listing{Token: c.pendingList.Token, RequestedAt: c.pendingList.RequestedAt, Incarnation: 1, Ended: append([]executor.ListedEnd(nil), c.ended...)}
	for _, r := range c.running {
		l.Running = append(l.Running, executor.ListedRun{Run: r.run, Percent: int(100 * (f.now - r.startedAt) / max(1, r.endsAt-r.startedAt))})
	}
	c.pendingList = nil
	f.after(callDelay, func() {
		c.core.RunsListed(f.now, l)
		c.dirty = true
		f.after(listInterval, func() { f.listRuns(c) })
	})
}

// valueShare returns the share of the value of all counted jobs that was earned: a
// job on time earns all of its value, a late one a fifth.
func (f *fleet) valueShare() float64 {
	var earned, offered float64
	for _, k := range f.kinds {
		o := f.outcomes[k.name]
		earned += k.value * (float64(o.onTime) + 0.2*float64(o.late))
		offered += k.value * float64(o.submitted)
	}
	return earned / offered
}

func (f *fleet) countMessage() {
	if f.now < f.arrivalsEnd {
		f.messages++
	}
}

func (f *fleet) messagesPerJob() float64 { return float64(f.messages) / float64(f.jobs) }

func (f *fleet) String() string {
	s := fmt.Sprintf("value share %.3f, %.1f messages per job", f.valueShare(), f.messagesPerJob())
	for _, k := range f.kinds {
		o := f.outcomes[k.name]
		s += fmt.Sprintf("\n%-14s submitted %5d on time %5d late %5d too late %5d refused %5d failed %4d", k.name, o.submitted, o.onTime, o.late, o.tooLate, o.refused, o.failed)
	}
	return s
}
