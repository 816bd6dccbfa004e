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
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// linkDelay is the time of a message between an entry and a sidecar, and
	// callDelay that of half a call between a sidecar and its worker.
	linkDelay = 1 * clock.Millis(1)
	callDelay = 1 * clock.Millis(1)
	// callerTrip is the round trip between a caller and its entry.
	callerTrip = 6 * clock.Millis(1)
	// entryTick and sidecarTick are the times between ticks without an event, as
	// in the processes, listPause that between two listings of a worker.
	entryTick   = 10 * clock.Millis(1)
	sidecarTick = 20 * clock.Millis(1)
	listPause   = 6 * clock.Millis(1)
	listWait    = 150 * clock.Millis(1)
	maxHold     = 1 * clock.Second
	service     = "checks"
)

// kind is a kind of job.
type kind struct {
	name     string
	perS     float64
	width    float64
	work     clock.Millis
	cpu      int64
	priority int
	// worth of a job that ends in time.
	worth float64
}

// workerSpec is the size and the speed of a worker.
type workerSpec struct {
	cpu   int64
	speed float64
	// failing is true for a worker that fails all that it starts.
	failing bool
	domain  ownership.Domain
}

// pattern is a load on a fleet.
type pattern struct {
	kinds   []kind
	workers []workerSpec
	// entries holds the share of the callers that each entry has.
	entries []float64
	// domains holds the failure domain of each entry, nil if there is one only.
	domains []ownership.Domain
	// length is how long jobs come; those of the first warmUp do not count.
	length, warmUp clock.Millis
	// patience is how long callers wait.
	patience clock.Millis
	seed     uint64
	// declaredOff is how far declared run times are off, as a share.
	declaredOff float64
	// drain is the time in which the last jobs end.
	drain clock.Millis
	// burst is how many times the jobs come between burstFrom and burstTill.
	burst                float64
	burstFrom, burstTill clock.Millis
	// away is how long all entries are away from the begin on; callers without an
	// answer come again after resubmitPause.
	away clock.Millis
}

// resubmitPause is the time after which a caller that got no answer comes again.
const resubmitPause = 1300 * clock.Millis(1)

const (
	slack     = 1.6
	target    = 60 * clock.Millis(1)
	lateTimes = 3
	// patienceTimes is how long callers wait at least, in objectives.
	patienceTimes = 5
)

// outcome counts what became of the jobs of a kind.
type outcome struct {
	asked, inTime, late, tooLate, refused, failed int
	// refusedAfter is the longest time until a refusal, in objectives as they
	// follow from the declared run times.
	refusedAfter float64
}

// event is something that happens at a time.
type event struct {
	at  clock.Millis
	seq int
	do  func()
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

// fleet plays a pattern on the cores of entries and sidecars.
type fleet struct {
	pattern
	now      clock.Millis
	seq      int
	events   events
	rand     *rand.Rand
	entries  []*entry
	sidecars []*sidecar
	outcomes map[string]*outcome
	jobs     int
	// started holds the jobs with a start at a worker, refused those whose caller
	// was told that they did not run.
	started map[batch.JobID]bool
	refused map[batch.JobID]bool
	// messages counts those between entries and sidecars while jobs come, until
	// ends.
	messages    int
	began, ends clock.Millis
	// submitted, if not nil, takes the jobs instead of the entries.
	submitted func(s *submission, tasks []float64)
}

// entry is an entry with the requests that wait at it.
type entry struct {
	id      ownership.Incarnation
	core    *scheduler.Scheduler
	waiting map[scheduler.Request]*submission
	dirty   bool
}

// submission is a job that a caller waits for.
type submission struct {
	id   batch.JobID
	kind *kind
	at   clock.Millis
	// objective follows from the true run times, declared from those that the
	// caller declared.
	objective, declared clock.Millis
	counts              bool
}

// sidecar is a sidecar with its worker.
type sidecar struct {
	address scheduler.Address
	id      ownership.Incarnation
	core    *executor.Executor
	spec    workerSpec
	running map[batch.TaskID]*workerRun
	ended   []executor.ListedEnd
	ends    int64
	// listing is the call that waits for an end.
	listing *executor.ListRequest
	dirty   bool
}

type workerRun struct {
	run  batch.RunID
	from clock.Millis
	till clock.Millis
}

func newFleet(p pattern) *fleet {
	f := &fleet{pattern: p, now: 1_000_000, rand: rand.New(rand.NewPCG(p.seed, 1)), outcomes: make(map[string]*outcome),
		started: make(map[batch.JobID]bool), refused: make(map[batch.JobID]bool)}
	for i := range p.kinds {
		f.outcomes[p.kinds[i].name] = &outcome{}
	}
	var live []ownership.Incarnation
	for i := range p.entries {
		live = append(live, ownership.Incarnation(fmt.Sprintf("entry-%d", i)))
	}
	for i, id := range live {
		var domain ownership.Domain
		if len(p.domains) > 0 {
			domain = p.domains[i]
		}
		e := &entry{id: id, waiting: make(map[scheduler.Request]*submission), core: scheduler.New(scheduler.Settings{
			Self: id, Domain: domain, GrantDuration: 6 * clock.Second, BestEffortGrantDuration: 1100, StoreContactTimeout: 8 * clock.Second, OfferDuration: executor.OfferDuration, OutsideSubsetReportInterval: executor.LooseReportInterval, EndedRetention: clock.Minute, Seed: p.seed + uint64(i),
		})}
		e.core.SetEntries(live)
		f.entries = append(f.entries, e)
		f.every(entryTick, func() { e.core.RecordStoreContact(f.now); e.dirty = true })
	}
	for i, w := range p.workers {
		f.addSidecar(i, w, live)
	}
	return f
}

func (f *fleet) addSidecar(i int, w workerSpec, live []ownership.Incarnation) {
	c := &sidecar{
		address: scheduler.Address(fmt.Sprintf("worker-%d", i)), id: ownership.Incarnation(fmt.Sprintf("sidecar-%d", i)),
		core: executor.New(1, maxHold), spec: w, running: make(map[batch.TaskID]*workerRun),
	}
	f.sidecars = append(f.sidecars, c)
	c.core.WorkerReported(f.now, executor.Worker{
		ID: string(c.address), Incarnation: 1, Sequence: 1, Service: service, Capacity: batch.Resources{CPU: w.cpu, MemoryMB: 1 << 20},
	})
	c.core.FencesLoaded(f.now, nil)
	for j, id := range live {
		c.core.EntryConnected(id)
		f.entries[j].core.SidecarConnected(c.address, c.spec.domain, c.id)
	}
	f.every(sidecarTick, func() { c.dirty = true })
	f.list(c)
}

func (f *fleet) at(delay clock.Millis, do func()) {
	f.seq++
	heap.Push(&f.events, event{f.now + delay, f.seq, do})
}

func (f *fleet) every(interval clock.Millis, do func()) {
	f.at(interval, func() {
		do()
		f.every(interval, do)
	})
}

// run plays the pattern and some time more, in which the last jobs end.
func (f *fleet) run() {
	begin := f.now
	f.began, f.ends = begin, begin+f.length
	for i := range f.kinds {
		f.arrive(&f.kinds[i], begin)
	}
	for f.now < f.ends+f.drain {
		e := heap.Pop(&f.events).(event)
		if e.at > f.now {
			f.tick()
		}
		f.now = e.at
		e.do()
	}
}

// tick lets the cores act that had an event.
func (f *fleet) tick() {
	for _, e := range f.entries {
		if !e.dirty || f.now < f.began+f.away {
			continue
		}
		e.dirty = false
		for _, c := range e.core.Tick(f.now) {
			f.entryCommand(e, c)
		}
	}
	for _, c := range f.sidecars {
		if !c.dirty {
			continue
		}
		c.dirty = false
		for _, command := range c.core.Tick(f.now) {
			f.sidecarCommand(c, command)
		}
	}
}

// arrive submits jobs of a kind at random times.
func (f *fleet) arrive(k *kind, begin clock.Millis) {
	perS := k.perS
	if since := f.now - begin; since >= f.burstFrom && since < f.burstTill {
		perS *= f.burst
	}
	wait := clock.Millis(math.Round(f.rand.ExpFloat64() * 1000 / perS))
	f.at(wait, func() {
		if f.now >= begin+f.length {
			return
		}
		f.submit(k, f.now >= begin+f.warmUp)
		f.arrive(k, begin)
	})
}

// spread draws a factor around 1.
func (f *fleet) spread(share float64) float64 { return max(0.2, 1+share*f.rand.NormFloat64()) }

// submit submits a job whose tasks have run times of their own; its caller
// declares one for all of them.
func (f *fleet) submit(k *kind, counts bool) {
	f.jobs++
	work := float64(k.work) * f.spread(0.4)
	works := make([]float64, max(1, int(math.Round(k.width*f.spread(0.4)))))
	tasks := make([]string, len(works))
	longest := 0.0
	for i := range works {
		works[i] = work * f.spread(0.15)
		longest = max(longest, works[i])
		tasks[i] = strconv.Itoa(int(works[i]))
	}
	declared := clock.Millis(work * (1 + f.declaredOff*(2*f.rand.Float64()-1)))
	id := batch.JobID(fmt.Sprintf("%s-%d", k.name, f.jobs))
	s := &submission{id: id, kind: k, at: f.now, objective: clock.Millis(slack*longest) + target, counts: counts}
	s.declared = clock.Millis(slack*float64(declared)) + target
	patience := max(f.patience, patienceTimes*s.objective)
	need := batch.Resources{CPU: int64(float64(k.cpu) * min(1.5, f.spread(0.2))), MemoryMB: 64}
	job := batch.Job{
		ID: id, Route: batch.Route(k.name), Service: service,
		Spec: strings.Join(tasks, " "), Priority: k.priority, MaxFailures: 4, BestEffort: true, Deadline: f.now + patience,
		Objective: s.declared,
		Steps:     []batch.Step{{Count: len(tasks), Required: need, EstimatedRunTime: declared}},
	}
	pick, at := f.rand.Float64(), 0
	for i, share := range f.pattern.entries {
		if pick -= share; pick < 0 {
			at = i
			break
		}
	}
	if counts {
		f.outcomes[k.name].asked++
	}
	if f.submitted != nil {
		f.submitted(s, works)
		return
	}
	e := f.entries[at]
	request := scheduler.Request(f.jobs)
	e.waiting[request] = s
	delay := callerTrip / 2
	for f.now+delay < f.began+f.away {
		delay += resubmitPause
	}
	f.at(delay, func() {
		e.core.Submit(f.now, request, job)
		e.dirty = true
	})
}

func (f *fleet) entryCommand(e *entry, c scheduler.Command) {
	switch c := c.(type) {
	case scheduler.SendOrders:
		f.countMessage()
		for _, s := range f.sidecars {
			if s.id == c.Sidecar {
				f.at(linkDelay, func() {
					s.core.OrdersReceived(f.now, e.id, c.Orders)
					s.dirty = true
				})
			}
		}
	case scheduler.Reply:
		f.answer(e, c)
	}
}

func (f *fleet) answer(e *entry, r scheduler.Reply) {
	s := e.waiting[r.Request]
	if s == nil {
		return
	}
	delete(e.waiting, r.Request)
	if r.Result == scheduler.NotStored {
		f.refused[s.id] = true
	}
	if !s.counts {
		return
	}
	o := f.outcomes[s.kind.name]
	took := f.now - s.at + callerTrip/2
	switch {
	case r.Result == scheduler.NotStored:
		o.refused++
		o.refusedAfter = max(o.refusedAfter, float64(took-callerTrip)/float64(s.declared))
	case r.Result != scheduler.Ended || r.State != batch.Complete:
		o.failed++
	default:
		o.ended(took, s.objective)
	}
}

func (o *outcome) ended(took, objective clock.Millis) {
	switch {
	case took <= objective:
		o.inTime++
	case took <= lateTimes*objective:
		o.late++
	default:
		o.tooLate++
	}
}

func (f *fleet) sidecarCommand(c *sidecar, command executor.Command) {
	switch command := command.(type) {
	case executor.StartRun:
		f.at(callDelay, func() { f.start(c, command) })
	case executor.StopRun:
		f.at(callDelay, func() {
			if r := c.running[command.Run.TaskID]; r != nil && r.run == command.Run {
				f.end(c, r, batch.OutcomeStopped)
			}
		})
	case executor.Report:
		f.countMessage()
		for _, e := range f.entries {
			if e.id == command.Entry {
				f.at(linkDelay, func() {
					e.core.HandleReport(f.now, c.id, command.Report)
					e.dirty = true
				})
			}
		}
	}
}

func (f *fleet) start(c *sidecar, s executor.StartRun) {
	f.started[s.Run.Job] = true
	work, _ := strconv.Atoi(strings.Fields(s.Spec)[s.Run.Index])
	took := clock.Millis(max(1, float64(work)/c.spec.speed))
	end := batch.OutcomeDone
	if c.spec.failing {
		took, end = 1, batch.OutcomeFailed
	}
	r := &workerRun{run: s.Run, from: f.now, till: f.now + took}
	c.running[s.Run.TaskID] = r
	f.at(took, func() {
		if c.running[s.Run.TaskID] == r {
			f.end(c, r, end)
		}
	})
	f.at(callDelay, func() {
		c.core.StartAnswered(f.now, s.Run, s.Token, executor.StartAccepted)
		c.dirty = true
	})
}

func (f *fleet) end(c *sidecar, r *workerRun, end batch.Outcome) {
	delete(c.running, r.run.TaskID)
	c.ends++
	c.ended = append(c.ended, executor.ListedEnd{Sequence: c.ends, Run: r.run, End: end})
	if c.listing != nil {
		f.listed(c)
	}
}

// list calls the worker for its lists; the call waits for an end.
func (f *fleet) list(c *sidecar) {
	request := c.core.ListRequest(f.now)
	f.at(callDelay, func() {
		for len(c.ended) > 0 && c.ended[0].Sequence <= request.Cursor {
			c.ended = c.ended[1:]
		}
		c.listing = &request
		if len(c.ended) > 0 {
			f.listed(c)
			return
		}
		f.at(listWait, func() {
			if c.listing == &request {
				f.listed(c)
			}
		})
	})
}

// listed answers the call that waits.
func (f *fleet) listed(c *sidecar) {
	l := executor.Listing{Token: c.listing.Token, RequestedAt: c.listing.RequestedAt, Incarnation: 1, Ended: append([]executor.ListedEnd(nil), c.ended...)}
	for _, r := range c.running {
		l.Running = append(l.Running, executor.ListedRun{Run: r.run, Percent: int(100 * (f.now - r.from) / max(1, r.till-r.from))})
	}
	c.listing = nil
	f.at(callDelay, func() {
		c.core.RunsListed(f.now, l)
		c.dirty = true
		f.at(listPause, func() { f.list(c) })
	})
}

// share returns the part of the worth that callers got: all of it in time, a
// fifth late.
func (f *fleet) share() float64 {
	var got, owed float64
	for _, k := range f.kinds {
		o := f.outcomes[k.name]
		got += k.worth * (float64(o.inTime) + 0.2*float64(o.late))
		owed += k.worth * float64(o.asked)
	}
	return got / owed
}

func (f *fleet) countMessage() {
	if f.now < f.ends {
		f.messages++
	}
}

func (f *fleet) messagesPerJob() float64 { return float64(f.messages) / float64(f.jobs) }

func (f *fleet) String() string {
	s := fmt.Sprintf("share %.3f, %.1f messages a job", f.share(), f.messagesPerJob())
	for _, k := range f.kinds {
		o := f.outcomes[k.name]
		s += fmt.Sprintf("\n%-14s asked %5d in time %5d late %5d too late %5d refused %5d failed %4d", k.name, o.asked, o.inTime, o.late, o.tooLate, o.refused, o.failed)
	}
	return s
}
