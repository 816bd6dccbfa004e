package scheduler_test

import (
	"fmt"
	"testing"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// labelled reports the loads of the workers, of which only the first has the label.
func (b *testbed) labelled(label string) {
	for a, cpu := range b.workers {
		load := &wire.WorkerLoad{Cpu: cpu, FreeCpu: cpu, MemoryMb: 1000, FreeMemoryMb: 1000, Ready: true, Service: "s"}
		if a == address(0) {
			load.Labels = []string{label}
		}
		b.send(a, &wire.TaskReport{Load: load})
	}
}

// Jobs that waited for a lost worker kept the jobs behind them from idle workers, because
// a tick gave up after 32 jobs without a worker. The jobs in front differ, so that no
// single class of requirements covers them.
func TestJobsWithoutAWorkerDoNotHoldUpOthers(t *testing.T) {
	for name, waiting := range map[string]func(int) batch.Job{
		"label": func(i int) batch.Job {
			j := job(fmt.Sprint("a", i), 1, false)
			j.Steps[0].RequiredLabel = "rare"
			return j
		},
		"label and many sizes": func(i int) batch.Job {
			j := job(fmt.Sprint("a", i), 1, false)
			j.Steps[0].RequiredLabel = "rare"
			j.Steps[0].Required.CPU = int64(1000 + i)
			return j
		},
		"parallel step": func(i int) batch.Job {
			j := job(fmt.Sprint("a", i), 1, false)
			j.Steps = append(j.Steps, j.Steps[0])
			j.Steps[0].RequiredLabel, j.Steps[1].RequiredLabel = "rare", "rare"
			return j
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 5)
			b.labelled("rare")
			for i := range 120 {
				j := waiting(i)
				j.Objective = 10 * clock.Second
				b.s.Submit(b.now, scheduler.Request(1000+i), j)
			}
			b.s.SidecarDisconnected(sidecar(address(0)))
			delete(b.workers, address(0))
			b.advance(100)
			b.acknowledgeSaves()
			b.advance(100)
			if got := len(b.starts()); got != 0 {
				t.Fatalf("starts of jobs whose worker is lost: got %d, want 0", got)
			}
			for i := range 12 {
				j := job(fmt.Sprint("b", i), 1, false)
				j.Objective = clock.Minute
				b.submit(j)
			}
			b.acknowledgeSaves()
			b.tick()
			if got, want := len(b.starts()), 12; got != want {
				t.Errorf("starts of the jobs behind: got %d, want %d", got, want)
			}
		})
	}
}

// A step whose worker is lost held up the other steps of its job.
func TestStepWithoutAWorkerDoesNotHoldUpOthers(t *testing.T) {
	b := newTestbed(t, 2)
	b.labelled("rare")
	j := job("j", 1, false)
	j.Steps = append(j.Steps, j.Steps[0])
	j.Steps[0].RequiredLabel = "rare"
	b.submit(j)
	b.s.SidecarDisconnected(sidecar(address(0)))
	delete(b.workers, address(0))
	b.acknowledgeSaves()
	b.tick()
	if got := b.onlyStart().run; got.Step != 1 {
		t.Errorf("start: got one of step %d, want one of step 1", got.Step)
	}
}

// Tasks that the other runs of their job keep from all workers must not hold up the jobs
// behind them, and must start once such a run has ended.
func TestFullJobsDoNotHoldUpOthers(t *testing.T) {
	b := newTestbed(t, 2)
	limited := func(i int) batch.Job {
		j := job(fmt.Sprint("a", i), 3, false)
		j.Objective = clock.Minute
		j.Steps[0].MaxPerWorker = 1
		j.Steps[0].Required.CPU = 10
		return j
	}
	for i := range 70 {
		b.submit(limited(i))
	}
	b.acknowledgeSaves()
	b.tick()
	starts := b.starts()
	if got, want := len(starts), 140; got != want {
		t.Fatalf("starts with one task per worker: got %d, want %d", got, want)
	}
	b.submit(job("b", 1, true))
	if got := b.onlyStart().run.Job; got != "b" {
		t.Errorf("start: got one of %s, want one of the job behind", got)
	}
	b.report(starts[0].at, event(starts[0].run, wire.TaskEvent_STATE_DONE))
	b.advance(100)
	if got := b.onlyStart(); got.run.Job != starts[0].run.Job || got.at != starts[0].at {
		t.Errorf("start after the end of a run of %s on %s: got %v", starts[0].run.Job, starts[0].at, got)
	}
}

// A search without a worker holds for alike tasks only up to the time that they have: a
// job with a longer objective may take a worker that is too slow for those ahead of it.
func TestLongerObjectiveFindsASlowWorker(t *testing.T) {
	b := newTestbed(t, 2)
	for i := range 40 {
		b.submit(job(fmt.Sprint("train", i), 4, true))
		for starts := b.starts(); len(starts) > 0; starts = b.starts() {
			for _, s := range starts {
				e := event(s.run, wire.TaskEvent_STATE_DONE)
				if s.at == address(1) {
					e.RunMs = 300
				}
				b.report(s.at, e)
			}
		}
	}
	b.send(address(0), &wire.TaskReport{Load: &wire.WorkerLoad{Cpu: 20_000, MemoryMb: 1000, FreeMemoryMb: 1000, Ready: true, Service: "s"}})
	urgent, patient := job("urgent", 1, true), job("patient", 1, true)
	patient.Objective = 2 * clock.Second
	b.submit(urgent)
	if got := b.starts(); len(got) != 0 {
		t.Fatalf("starts of a job that only the full worker ends in time: got %v, want none", got)
	}
	b.submit(patient)
	if got := b.onlyStart(); got.run.Job != "patient" || got.at != address(1) {
		t.Errorf("start: got one of %s on %s, want one of the patient job on the slow worker", got.run.Job, got.at)
	}
}
