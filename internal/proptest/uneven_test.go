package proptest

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/executor"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// rareLabel is that of a worker that loses it while jobs wait for it.
	rareLabel = "rare"
	// rareWorker is the worker with the label, acceleratedWorker the only one with
	// accelerators.
	rareWorker, acceleratedWorker = 2, 0
	// rareUntil is when the label is lost.
	rareUntil = 1_002_000
	// rareJobs is the number of jobs that need the label, so that each entry has more than
	// the 32 that a pass over the queue used to examine.
	rareJobs = 120
	// longObjective outlasts a schedule, so that jobs wait in their first stage.
	longObjective = 40 * clock.Second
	// foreignEnds is the number of ends of other jobs that fill the list of a worker.
	foreignEnds = 600
)

// unevenFleet describes workers that differ and jobs that only some of them can hold.
type unevenFleet struct {
	// accelerated is true if one worker has accelerators, which a third of the jobs need.
	accelerated bool
	// rare is true if one worker has rareLabel until rareUntil, for which rareJobs wait.
	rare bool
	// failing is true if jobs have one task that fills a worker for some seconds, and half
	// of them fail each time. Most tasks wait for room when the owner of their job ends.
	failing bool
	// long is true if jobs have one task that runs for some seconds.
	long bool
}

// settleTime is how long jobs may take after the last fault.
func (f unevenFleet) settleTime() clock.Millis {
	if f.failing || f.long {
		return storedSettleTime + 25*clock.Second
	}
	return storedSettleTime
}

// addedRunTime is the time that runs take beyond the usual.
func (f unevenFleet) addedRunTime() clock.Millis {
	switch {
	case f.failing:
		return clock.Second
	case f.long:
		return 3 * clock.Second
	}
	return 0
}

// describe sets what a worker reports.
func (f unevenFleet) describe(now clock.Millis, i int, r *executor.Worker) {
	if f.accelerated && i == acceleratedWorker {
		r.Capacity.Accelerators = 4
	}
	if f.rare && i == rareWorker && now < rareUntil {
		r.Labels = []string{rareLabel}
	}
}

// adjust changes a job for the fleet.
func (f unevenFleet) adjust(rng *rand.Rand, j *storedJob) {
	if f.accelerated && rng.IntN(3) == 0 {
		for i := range j.Steps {
			j.Steps[i].Required.Accelerators = 1
		}
		j.Objective = longObjective
	}
	if f.rare {
		j.Objective = longObjective
	}
	if f.failing {
		clear(j.plannedFailures)
		if rng.IntN(2) == 0 {
			j.plannedFailures[batch.TaskID{Job: j.ID}] = storedMaxFailures + 2
		}
		j.Steps = []batch.Step{{Count: 1, Required: batch.Resources{CPU: coreWorkerCPU, MemoryMB: 1}, EstimatedRunTime: 1500}}
		j.Objective = longObjective
	}
	if f.long {
		clear(j.plannedFailures)
		j.Steps = []batch.Step{{Count: 1, Required: batch.Resources{CPU: coreTaskCPU, MemoryMB: 1}, EstimatedRunTime: 3500}}
		j.Objective = longObjective
	}
}

// addJobs submits the jobs that wait for a label, ahead of the others in the queue. Each
// fills the worker with the label, so that most have not started when it is lost.
func (f unevenFleet) addJobs(s *storedCores) {
	if !f.rare {
		return
	}
	for i := range rareJobs {
		j := s.newJob(100 + i)
		j.fitsNowhere = true
		j.Objective = longObjective - 5*clock.Second
		clear(j.plannedFailures)
		j.Steps = []batch.Step{{Count: 1, Required: batch.Resources{CPU: coreWorkerCPU, MemoryMB: 1}, EstimatedRunTime: 500, RequiredLabel: rareLabel}}
		s.w.after(clock.Millis(500+s.w.rng.IntN(500)), func() { s.submit(j) })
	}
}

// injectUneven carries out a fault of the schedules with uneven fleets.
func (w *cores) injectUneven(f fault) {
	length := clock.Millis(f.Length)
	switch f.Kind {
	case "kill-owner":
		if e := w.stored.ownerOfAJob(f.Target); e != nil {
			w.inject(fault{Kind: "kill-entry", Target: e.slot, Length: f.Length})
		}
	case "refuse-entry":
		slot := f.Target % coreEntries
		w.refusedUntil[slot] = w.now + length
		w.logf("the store refuses slot %d for %d", slot, f.Length)
	case "refuse-sidecar":
		slot := f.Target % coreWorkers
		w.sidecarRefusedUntil[slot] = w.now + length
		w.logf("the store refuses sidecar %d for %d", slot, f.Length)
	case "crash-task":
		w.crashTask()
	case "fill-ends":
		w.workers[f.Target%coreWorkers].fillEnds(w, foreignEnds)
	}
}

// crashTask crashes the worker that runs a task of the first job that has any.
func (w *cores) crashTask() {
	first, crashed := batch.JobID(""), -1
	for i, k := range w.workers {
		k.advance(w.now)
		for id := range k.runs {
			if first == "" || id.Job < first {
				first, crashed = id.Job, i
			}
		}
	}
	if crashed >= 0 {
		w.logf("w%d crashes", crashed)
		w.startWorker(crashed)
	}
}

// ownerOfAJob returns the live owner of an open job, nil if there is none.
func (s *storedCores) ownerOfAJob(number int) *coreEntry {
	var owners []*coreEntry
	for _, o := range s.listing().Jobs {
		for _, e := range s.w.entries {
			if e.alive && string(e.id) == o.Record.GetOwner() && !slices.Contains(owners, e) {
				owners = append(owners, e)
			}
		}
	}
	if len(owners) == 0 {
		return nil
	}
	return owners[number%len(owners)]
}

// fillEnds adds ends of jobs that are complete in the store and that no entry holds.
func (k *coreWorker) fillEnds(w *cores, count int) {
	k.advance(w.now)
	w.logf("list of ends filled with %d", count)
	for range count {
		k.lastEnd++
		id := batch.JobID(fmt.Sprint("f", w.born, "-", k.lastEnd))
		w.stored.ended[id] = &wire.StoredEnd{State: wire.StoredEnd_STATE_COMPLETE}
		k.endedAt[k.lastEnd] = w.now
		k.ends = append(k.ends, executor.ListedEnd{Sequence: k.lastEnd, Run: batch.RunID{TaskID: batch.TaskID{Job: id}, Attempt: 1}, End: batch.OutcomeDone})
	}
}

// ownersInARow returns kills of the owners of open jobs, each so long after the one before
// that its successor has run and written some of the jobs.
func ownersInARow(number uint64) []fault {
	r := rand.New(rand.NewPCG(number, 21))
	var faults []fault
	for at := 2500; at < 20_000; at += 5000 + r.IntN(2500) {
		faults = append(faults, fault{Kind: "kill-owner", At: at, Target: r.IntN(12), Length: 200 + r.IntN(800)})
	}
	return faults
}

// crashesOfATask returns crashes of one worker after the other, mostly under one task.
func crashesOfATask(number uint64) []fault {
	r := rand.New(rand.NewPCG(number, 25))
	var faults []fault
	for at := 3000; at < 18_000; at += 1500 + r.IntN(2500) {
		faults = append(faults, fault{Kind: "crash-task", At: at})
	}
	return faults
}

// refusals returns refusals of single VMs by the store beside other faults.
func refusals(number uint64) []fault {
	r := rand.New(rand.NewPCG(number, 22))
	var faults []fault
	for range 1 + r.IntN(3) {
		kind := []string{"refuse-entry", "refuse-sidecar"}[r.IntN(2)]
		faults = append(faults, fault{Kind: kind, At: 800 + r.IntN(3500), Target: r.IntN(12), Length: 1000 + r.IntN(7000)})
	}
	return append(faults, numberedSchedule(number, 23, storedFaultKinds, 900)...)
}

// Guards against the faults of the second review that no schedule generated: a task that
// failed on the only worker that fits never started again (review/7), jobs without a worker
// hid the jobs behind them (review/9), the third owner of a job used the attempts of the
// second (rig attempts), a job failed by crashes of its workers (rig crashes), and a store
// that turns single VMs away.
func TestUnevenSchedules(t *testing.T) {
	for name, tt := range map[string]struct {
		schedules uint64
		fleet     unevenFleet
		faults    func(number uint64) []fault
	}{
		"one worker fits":    {20, unevenFleet{accelerated: true}, storedSchedule},
		"no worker fits":     {10, unevenFleet{rare: true}, storedSchedule},
		"three owners":       {60, unevenFleet{failing: true}, ownersInARow},
		"crashes of a task":  {20, unevenFleet{long: true}, crashesOfATask},
		"store refuses a VM": {20, unevenFleet{}, refusals},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for number := range tt.schedules {
				for _, v := range runUnevenCores(number, tt.fleet, tt.faults(number)) {
					t.Errorf("schedule %d: %s", number, v)
				}
			}
		})
	}
}

// fullLists returns lists of ends that are longer than a worker shows, while the store is
// slow, and restarts of the sidecars beside them.
func fullLists(number uint64) []fault {
	r := rand.New(rand.NewPCG(number, 24))
	var faults []fault
	for range 2 + r.IntN(3) {
		at, target := 1000+r.IntN(3500), r.IntN(12)
		faults = append(faults,
			fault{Kind: "slow-store", At: at, Length: 1500},
			fault{Kind: "fill-ends", At: at + 10, Target: target},
			fault{Kind: "kill-sidecar", At: at + 50 + r.IntN(600), Target: target, Length: 50 + r.IntN(400)},
		)
	}
	return append(faults, refusals(number)...)
}

// Guards against a successor of a sidecar that takes the first ends of a list for all, and
// against an end without an acknowledgement that keeps later ones out of the list
// (review/6, review/8, review/10).
func TestLongListSchedules(t *testing.T) {
	for number := range uint64(30) {
		for _, v := range runUnevenCores(number, unevenFleet{}, fullLists(number)) {
			t.Errorf("schedule %d: %s", number, v)
		}
	}
}
