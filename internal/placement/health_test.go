package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/teaseltide/teaseltide/internal/placement"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// runJobs submits jobs of four tasks every 100 ms and lets each task end after
// 50 ms with the outcome given for its worker and job. It returns the starts
// by worker.
func runJobs(f *fleet, jobs int, outcome func(w placement.WorkerID, job int) placement.Outcome) map[placement.WorkerID]int {
	starts := map[placement.WorkerID]int{}
	for i := range jobs {
		job := placement.JobID{Service: "quoting", Team: "a", Key: fmt.Sprint(f.now)}
		var tasks []placement.Task
		for k := range 16 {
			tasks = append(tasks, placement.Task{Index: placement.TaskIndex(k)})
		}
		f.enqueue(job, tasks...)
		f.plan(0)
		f.now += 50
		for _, r := range f.order {
			if id, ok := f.bound[r]; ok {
				starts[id]++
				f.finish(r, outcome(id, i), 50)
			}
		}
		f.order = nil
		f.now += 50
	}
	return starts
}

func ejected(f *fleet) (ids []placement.WorkerID) {
	for _, w := range f.planner.Workers(f.now) {
		if w.Ejected {
			ids = append(ids, w.ID)
		}
	}
	return ids
}

func newQuotingFleet(workers int) *fleet {
	f := newFleet(placement.Config{})
	for i := range workers {
		f.setWorker(i, 2, placement.Resources{})
	}
	return f
}

// Guards against a worker that fails every task and is still given tasks because
// it looks idle, and against one that is not readmitted after its recovery.
func TestFailingWorkerIsEjectedAndReadmitted(t *testing.T) {
	f := newQuotingFleet(8)
	bad := placement.WorkerID("w3-a")
	fail := func(w placement.WorkerID, _ int) placement.Outcome {
		if w == bad {
			return placement.Failed
		}
		return placement.Succeeded
	}
	runJobs(f, 20, fail)
	if got := ejected(f); len(got) != 1 || got[0] != bad {
		t.Fatalf("got ejected %v, want %s", got, bad)
	}
	starts := runJobs(f, 200, fail)
	if got, limit := starts[bad], 200*16*2/100; got > limit {
		t.Errorf("got %d starts on the ejected worker, want at most %d", got, limit)
	}
	ok := func(placement.WorkerID, int) placement.Outcome { return placement.Succeeded }
	f.now += clock.Minute
	runJobs(f, 20, ok)
	if got := ejected(f); len(got) != 0 {
		t.Errorf("got ejected %v after its recovery, want none", got)
	}
}

// Guards against ejections for jobs that fail on every worker.
func TestFailingJobsEjectNoWorker(t *testing.T) {
	f := newQuotingFleet(8)
	runJobs(f, 200, func(_ placement.WorkerID, job int) placement.Outcome {
		if job%3 != 0 {
			return placement.Failed
		}
		return placement.Succeeded
	})
	runJobs(f, 100, func(placement.WorkerID, int) placement.Outcome { return placement.Failed })
	if got := ejected(f); len(got) != 0 {
		t.Errorf("got ejected %v, want none", got)
	}
}

// Guards against the loss of more than a third of the capacity by ejections.
func TestEjectionsAreBounded(t *testing.T) {
	f := newQuotingFleet(9)
	half := func(w placement.WorkerID, _ int) placement.Outcome {
		if w < "w5" {
			return placement.Failed
		}
		return placement.Succeeded
	}
	runJobs(f, 500, half)
	if got := len(ejected(f)); got == 0 || got > 3 {
		t.Errorf("got %d of 9 workers ejected, want 1 to 3", got)
	}
}

// Guards against a plan that does not end when the only worker left is ejected:
// no slots are left to give credit for, so no team could start the probe.
func TestProbeOfTheLastWorker(t *testing.T) {
	f := newFleet(placement.Config{})
	for i := range 3 {
		f.setWorker(i, 6, placement.Resources{})
	}
	bad := placement.WorkerID("w0-a")
	runJobs(f, 20, func(w placement.WorkerID, _ int) placement.Outcome {
		if w == bad {
			return placement.Failed
		}
		return placement.Succeeded
	})
	if got := ejected(f); len(got) != 1 || got[0] != bad {
		t.Fatalf("got ejected %v, want %s", got, bad)
	}
	f.planner.RemoveWorker("w1-a")
	f.planner.RemoveWorker("w2-a")
	f.now += clock.Minute
	for _, team := range []string{"a", "b"} {
		f.enqueue(jobOf(team, "backlog"), tasks(200)...)
	}
	planned := make(chan []placement.Binding, 1)
	go func() { planned <- f.planner.Plan(f.now) }()
	select {
	case got := <-planned:
		if len(got) != 1 || got[0].Worker != bad || len(got[0].Tasks) != 1 {
			t.Errorf("got bindings %v, want one probe on %s", got, bad)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the plan did not end")
	}
}
