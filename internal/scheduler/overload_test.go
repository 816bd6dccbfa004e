package scheduler_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// 279 jobs whose orders had all been returned unstarted were answered as if they
// might have run, so that their callers could not retry. While an order is in
// flight, no reply is sent.
func TestOrdersReturnedUnstartedAreNotStored(t *testing.T) {
	for name, test := range map[string]struct {
		state wire.TaskEvent_State
		want  scheduler.Result
	}{
		"returned": {wire.TaskEvent_STATE_NOT_STARTED, scheduler.NotStored},
		"started":  {wire.TaskEvent_STATE_RUNNING, scheduler.Unknown},
		"no word":  {wire.TaskEvent_STATE_UNSPECIFIED, scheduler.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 1)
			j := job("j", 1, true)
			j.Deadline = b.now + 20
			r := b.submit(j)
			starts := b.starts()
			if len(starts) != 1 {
				t.Fatalf("starts: got %d, want 1", len(starts))
			}
			b.now += 21
			b.tick()
			if got := len(b.replies()); got != 0 {
				t.Fatalf("replies while an order is in flight: got %d, want 0", got)
			}
			if test.state != wire.TaskEvent_STATE_UNSPECIFIED {
				b.report(starts[0].at, event(starts[0].run, test.state))
			}
			b.now += 50
			b.tick()
			if got, want := b.replies()[r].Result, test.want; got != want {
				t.Errorf("result: got %v, want %v", got, want)
			}
		})
	}
}

// Under overload, callers must not wait for their deadline: a job that has become
// late is refused soon after, and one that would be late is refused on arrival.
func TestOverloadIsRefusedSoon(t *testing.T) {
	b := newTestbed(t, 1)
	b.advanceBusy(20)
	longJob := job("patient", 6, true)
	longJob.Objective, longJob.Deadline = 20*clock.Second, b.now+20*clock.Second
	b.submit(longJob)
	b.advanceBusy(1100)
	arrived := b.submit(job("arrived", 1, true))
	if got := b.replies()[arrived]; got.Result != scheduler.NotStored || got.RetryAfter < clock.Second {
		t.Errorf("job that would be late: got %v after %d ms, want not stored after at least 1 s", got.Result, got.RetryAfter)
	}
	feasible := job("hopeful", 1, true)
	feasible.Objective = 400
	late := b.submit(feasible)
	if got := len(b.replies()); got != 0 {
		t.Fatalf("replies to a job that can be in time: got %d, want 0", got)
	}
	b.advanceBusy(340)
	if got := b.replies()[late]; got.Result != scheduler.NotStored || got.RetryAfter < clock.Second {
		t.Errorf("job that became late: got %v after %d ms, want not stored after at least 1 s", got.Result, got.RetryAfter)
	}
}

// A restarting worker takes part of the capacity away for some tenths of a
// second. Jobs that become late because of it are still served.
func TestBriefCrowdingDoesNotRefuseLateJobs(t *testing.T) {
	b := newTestbed(t, 1)
	b.advanceBusy(20)
	r := b.submit(job("late", 1, true))
	b.advanceBusy(400)
	if got := len(b.replies()); got != 0 {
		t.Fatalf("replies after 400 ms without free capacity: got %d, want 0", got)
	}
	b.report("w0")
	for _, s := range b.starts() {
		b.report(s.at, event(s.run, wire.TaskEvent_STATE_DONE))
	}
	if got, want := b.replies()[r].Result, scheduler.Ended; got != want {
		t.Errorf("late job: got %v, want %v", got, want)
	}
}

// A late job some of whose tasks have ended is finished before new jobs start:
// otherwise the completed work would be lost.
func TestStartedLateJobRunsBeforeNewJobs(t *testing.T) {
	b := newTestbed(t, 1)
	late := job("late", 4, true)
	b.submit(late)
	starts := b.starts()
	if got, want := len(starts), 3; got != want {
		t.Fatalf("starts: got %d, want %d", got, want)
	}
	full := &wire.TaskReport{Load: &wire.WorkerLoad{Cpu: 20_000, MemoryMb: 1000, Ready: true, Service: "s"}}
	for _, s := range starts {
		full.Events = append(full.Events, event(s.run, wire.TaskEvent_STATE_RUNNING))
	}
	b.send("w0", full)
	b.advanceBusy(200)
	b.submit(job("new", 4, true))
	b.starts()
	b.report("w0")
	for _, s := range b.starts() {
		if s.run.Job == batch.JobID("late") {
			return
		}
	}
	t.Error("the late job's last task was not started, want it before those of a new job")
}

// Sidecars offer capacity according to the demand that entries report, so an
// entry must not report demand for a task that could not end in time there.
func TestDemandNamesTasksThatWouldStart(t *testing.T) {
	b := newTestbed(t, 2)
	for i := range 40 {
		j := job("learn", 1, true)
		j.ID = batch.JobID(rune('a' + i))
		b.submit(j)
		for _, s := range b.starts() {
			e := event(s.run, wire.TaskEvent_STATE_DONE)
			if e.RunMs = 100; s.at == "w1" {
				e.RunMs = 400
			}
			b.report(s.at, e)
		}
	}
	b.advanceBusy(20)
	b.submit(job("waiting", 1, true))
	b.advanceBusy(40)
	got := make(map[scheduler.Address]int32)
	for a, all := range b.sent {
		for _, o := range all {
			got[a] = max(got[a], o.GetDemand())
		}
	}
	if got["w0"] == 0 || got["w1"] != 0 {
		t.Errorf("demand by worker: got %v, want some at w0 and none at w1, which is four times slower", got)
	}
}

// When all processes restarted, an entry refused the jobs that arrived before its
// first session with a sidecar, a tenth of a second later.
func TestEntryThatStartsWaitsForItsWorkers(t *testing.T) {
	b := newTestbed(t, 0)
	b.tick()
	r := b.submit(job("early", 1, true))
	b.now += 100
	b.tick()
	b.connect("w0", 20_000)
	starts := b.starts()
	if len(starts) != 1 {
		t.Fatalf("starts once a worker is connected: got %d, want 1", len(starts))
	}
	b.report(starts[0].at, event(starts[0].run, wire.TaskEvent_STATE_DONE))
	if got, want := b.replies()[r].Result, scheduler.Ended; got != want {
		t.Errorf("result: got %v, want %v", got, want)
	}
	b.now += 2000
	large := job("large", 1, true)
	large.Steps[0].Required.CPU = 30_000
	r = b.submit(large)
	if got, want := b.replies()[r].Result, scheduler.NotStored; got != want {
		t.Errorf("job that fits no worker, later: got %v, want %v", got, want)
	}
}

// Capacity that a sidecar reserves for another entry is not used, and is free
// again when the offer expires without another report.
func TestReservedCapacityIsNotUsed(t *testing.T) {
	b := newTestbed(t, 1)
	b.send("w0", &wire.TaskReport{Held: true})
	b.submit(job("j", 1, true))
	if got := len(b.starts()); got != 0 {
		t.Fatalf("starts on reserved capacity: got %d, want 0", got)
	}
	b.now += settings.OfferDuration
	b.tick()
	if got, want := len(b.starts()), 1; got != want {
		t.Errorf("starts after the offer expired: got %d, want %d", got, want)
	}
}

// A draining entry refused the short jobs of callers on open connections, though
// they would have ended long before it. Stored jobs and jobs that may take longer
// are refused.
func TestDrainingEntryServesShortJobs(t *testing.T) {
	b := newTestbed(t, 2)
	b.s.Drain(b.now + 1000)
	long := job("long", 1, true)
	long.Steps[0].EstimatedRunTime = 400
	for j, want := range map[*batch.Job]bool{ptr(job("short", 1, true)): true, &long: false, ptr(job("stored", 1, false)): false} {
		r := b.submit(*j)
		if _, refused := b.replies()[r]; refused == want {
			t.Errorf("job %s: got refused %v, want %v", j.ID, refused, !want)
		}
	}
}

func ptr(j batch.Job) *batch.Job { return &j }

// A worker that restarts repeatedly removes half of the capacity for tenths of a
// second and is full in between. That is not overload, and jobs that become late
// because of it are still served. Capacity that stays away is lost.
func TestBrieflyAbsentCapacityIsNotOverload(t *testing.T) {
	for name, test := range map[string]struct {
		away, back clock.Millis
		refused    bool
	}{
		"comes back": {away: 150, back: 150, refused: false},
		"stays away": {away: 3000, back: 0, refused: true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 2)
			b.advanceWithFullWorkers(20, "w0", "w1")
			r := b.submit(job("late", 1, true))
			_, refused := b.replies()[r]
			for end := b.now + 2500; b.now < end && !refused; {
				b.advanceWithFullWorkers(test.away, "w0")
				b.advanceWithFullWorkers(test.back, "w0", "w1")
				_, refused = b.replies()[r]
			}
			if refused != test.refused {
				t.Errorf("late job refused: got %v, want %v", refused, test.refused)
			}
		})
	}
}

// advanceWithFullWorkers moves the time forward while the workers in full have no
// free capacity and the others are restarting.
func (b *testbed) advanceWithFullWorkers(d clock.Millis, full ...scheduler.Address) {
	for end := b.now + d; b.now < end; {
		b.now += 20
		for a, cpu := range b.workers {
			load := &wire.WorkerLoad{}
			if slices.Contains(full, a) {
				load = &wire.WorkerLoad{Cpu: cpu, MemoryMb: 1000, Ready: true, Service: "s"}
			}
			b.send(a, &wire.TaskReport{Load: load})
		}
	}
}

// Guards against an entry that refuses jobs as overload while it has just started and knows
// one of the four registered workers: the caller of a job that another entry ran got 503
// instead of the result.
func TestStartingEntryKnowsAPartOfTheWorkers(t *testing.T) {
	b := newTestbed(t, 0)
	var registered []ownership.Incarnation
	for i := range 4 {
		registered = append(registered, sidecar(address(i)))
	}
	b.s.SetSidecars(registered)
	submitMany := func(name string) (refused int) {
		for i := range 20 {
			b.submit(job(fmt.Sprint(name, i), 6, true))
		}
		for _, r := range b.replies() {
			if r.Result == scheduler.NotStored {
				refused++
			}
		}
		return refused
	}
	b.connect(address(0), 20_000)
	if got := submitMany("starting"); got != 0 {
		t.Errorf("jobs refused with three workers unknown: got %d, want 0", got)
	}
	for i := range 3 {
		b.connect(address(1+i), 20_000)
		b.send(address(1+i), &wire.TaskReport{Load: &wire.WorkerLoad{Cpu: 20_000, MemoryMb: 1000, Service: "s"}})
	}
	if got := submitMany("not-ready"); got != 0 {
		t.Errorf("jobs refused with three workers not ready: got %d, want 0", got)
	}
	for i := range registered {
		b.connect(address(i), 20_000)
	}
	if got := submitMany("all-known"); got == 0 {
		t.Error("jobs refused with all workers known: got 0, want some")
	}
}
