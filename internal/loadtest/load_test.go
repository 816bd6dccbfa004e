package loadtest

import (
	"math"
	"testing"
)

// minValueShare is the share of the value of all jobs that users require on days
// of high load.
const minValueShare = 0.67

// pumpCheckLoad returns the traffic of the shared pump check service: many short
// urgent jobs of eight tasks, a few long jobs of four tasks, and jobs of two tasks
// of medium length.
func pumpCheckLoad(load float64, workers []workerSpec) workload {
	p := workload{
		kinds: []jobKind{
			{name: "alarm", perSecond: 34.4, meanTasks: 8, meanWork: 60, cpu: 1600, priority: 0, value: 0.0291},
			{name: "verdict", perSecond: 6.25, meanTasks: 4, meanWork: 900, cpu: 1600, priority: 2, value: 0.16},
			{name: "reading", perSecond: 100, meanTasks: 2, meanWork: 200, cpu: 1600, priority: 1, value: 0.01},
		},
		workers: workers, entryShares: []float64{.29, .23, .26, .22}, duration: 23_000, drain: 10_000, warmUp: 3000, minCallerTimeout: 1500, seed: 1, runTimeError: 0.4,
	}
	p.scale(load)
	return p
}

// scale sets the job rates so that their work is the given share of the capacity
// of the workers that don't fail.
func (p *workload) scale(load float64) {
	var demand, capacity float64
	for _, k := range p.kinds {
		demand += k.perSecond * k.meanTasks * k.meanWork.Duration().Seconds() * float64(k.cpu)
	}
	for _, w := range p.workers {
		if !w.failing {
			capacity += float64(w.cpu) * w.speed
		}
	}
	for i := range p.kinds {
		p.kinds[i].perSecond *= load * capacity / demand
	}
}

// mixedWorkers returns workers with the speeds of the users' deployment: one in
// four is less than half as fast as the others.
func mixedWorkers() []workerSpec {
	var w []workerSpec
	for i := range 12 {
		spec := workerSpec{cpu: 16_000, speed: 1.2}
		if i%4 == 0 {
			spec.speed = 0.55
		}
		if i%3 == 2 {
			spec.cpu = 24_000
		}
		w = append(w, spec)
	}
	return w
}

// Several entries share workers with little free capacity. Each entry sees the same
// free capacity in reports that are some milliseconds old. Without offers all but
// one of them order tasks that the worker can't start, and urgent jobs wait longest.
func TestEntriesShareNearlyFullWorkers(t *testing.T) {
	p := pumpCheckLoad(0.9, mixedWorkers())
	f := newFleet(p)
	f.run()
	t.Log(f)
	if got := f.valueShare(); got < minValueShare {
		t.Errorf("value share at 90%% load: got %.3f, want %.2f or more", got, minValueShare)
	}
	alarm, reading := f.outcomes["alarm"], f.outcomes["reading"]
	if got, than := alarm.onTimeShare(), reading.onTimeShare(); got < than-0.05 {
		t.Errorf("share of the most urgent jobs on time: got %.3f, want at most 0.05 below the %.3f of the next kind", got, than)
	}
	for _, b := range baselines {
		got := runBaseline(p, b)
		t.Logf("%s: value share %.3f", b.name, got)
		if got > f.valueShare() {
			t.Errorf("baseline %s: got value share %.3f, want at most the %.3f of the scheduler", b.name, got, f.valueShare())
		}
	}
}

// One entry has 70% of the callers, because the load balancer distributes them by
// a hash.
func TestOneEntryHasMostCallers(t *testing.T) {
	p := pumpCheckLoad(0.85, mixedWorkers())
	p.entryShares = []float64{.7, .1, .1, .1}
	f := newFleet(p)
	f.run()
	t.Log(f)
	if got := f.valueShare(); got < minValueShare {
		t.Errorf("value share: got %.3f, want %.2f or more", got, minValueShare)
	}
}

// Sustained overload: the jobs need 1.3 times the capacity of the workers. Jobs that
// can't be served must be refused early and without a start, so that the others end
// on time instead of all of them late.
func TestSustainedOverload(t *testing.T) {
	const load = 1.3
	f := newFleet(pumpCheckLoad(load, mixedWorkers()))
	f.run()
	t.Log(f)
	if got, want := f.valueShare(), minValueShare/load; got < want {
		t.Errorf("value share: got %.3f, want %.3f or more", got, want)
	}
	for name, o := range f.outcomes {
		if o.failed > 0 {
			t.Errorf("%s: got %d jobs that failed or were abandoned after a start, want none", name, o.failed)
		}
		if o.maxRefusalDelay > lateFactor {
			t.Errorf("%s: got a refusal after %.2f objectives, want it before the job loses its value", name, o.maxRefusalDelay)
		}
	}
	for id := range f.refused {
		if f.started[id] {
			t.Errorf("job %s was refused as not run, but a task of it started", id)
		}
	}
}

// A burst of 2.5 times the jobs for two seconds, on workers at 55% load otherwise.
// The queue must drain soon after it.
func TestShortBurst(t *testing.T) {
	p := pumpCheckLoad(0.55, mixedWorkers())
	p.burstFactor, p.burstFrom, p.burstUntil = 2.5, 8000, 10_000
	f := newFleet(p)
	f.run()
	t.Log(f)
	if got := f.valueShare(); got < minValueShare {
		t.Errorf("value share: got %.3f, want %.2f or more", got, minValueShare)
	}
	for id := range f.refused {
		if f.started[id] {
			t.Errorf("job %s was refused as not run, but a task of it started", id)
		}
	}
}

// Half of the workers are too slow for long tasks. Long tasks must wait for a fast
// worker rather than end late on a slow one, and short tasks must leave them
// capacity on the fast workers.
func TestLongTasksGetFastWorkers(t *testing.T) {
	var workers []workerSpec
	for range 4 {
		workers = append(workers, workerSpec{cpu: 16_000, speed: 0.5}, workerSpec{cpu: 16_000, speed: 1.2})
	}
	p := pumpCheckLoad(0.5, workers)
	p.runTimeError = 0
	f := newFleet(p)
	f.run()
	t.Log(f)
	if got, want := f.outcomes["verdict"].onTimeShare(), 0.9; got < want {
		t.Errorf("share of long jobs on time: got %.3f, want %.2f or more", got, want)
	}
}

// A worker fails each run after 1 ms, so that it appears idle and attracts tasks.
func TestFailingWorkerUnderLoad(t *testing.T) {
	workers := append(mixedWorkers(), workerSpec{cpu: 24_000, speed: 1.2, failing: true})
	f := newFleet(pumpCheckLoad(0.8, workers))
	f.run()
	t.Log(f)
	if got := f.valueShare(); got < minValueShare {
		t.Errorf("value share: got %.3f, want %.2f or more", got, minValueShare)
	}
}

// All entries are down for the first 1.6 s. Callers without an answer resubmit their
// jobs after 1.3 s, together with the new submissions. Most of the resubmitted jobs
// are already too late to be of value, so the new ones must precede them.
func TestResubmissionsAfterOutage(t *testing.T) {
	p := pumpCheckLoad(0.68, mixedWorkers())
	p.outage, p.warmUp, p.duration = 1600, 1600, 3600
	f := newFleet(p)
	f.run()
	t.Log(f)
	if got := f.valueShare(); got < minValueShare {
		t.Errorf("value share of the jobs of the 2 s after the outage: got %.3f, want %.2f or more", got, minValueShare)
	}
	for id := range f.refused {
		if f.started[id] {
			t.Errorf("job %s was refused as not run, but a task of it started", id)
		}
	}
}

func (o *outcome) onTimeShare() float64 { return float64(o.onTime) / math.Max(1, float64(o.submitted)) }
