package placement_test

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"github.com/teaseltide/teaseltide/internal/placement"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

type taskRef struct {
	job   placement.JobID
	index placement.TaskIndex
}

// fleet simulates the workers and checks the planner's bindings.
type fleet struct {
	planner *placement.Planner
	workers map[placement.WorkerID]placement.Worker
	sizes   map[taskRef]placement.Resources
	queued  map[taskRef]bool
	bound   map[taskRef]placement.WorkerID
	order   []taskRef
	now     clock.Millis
}

func newFleet(cfg placement.Config) *fleet {
	return &fleet{
		planner: placement.New(cfg),
		workers: map[placement.WorkerID]placement.Worker{},
		sizes:   map[taskRef]placement.Resources{},
		queued:  map[taskRef]bool{},
		bound:   map[taskRef]placement.WorkerID{},
		now:     1000,
	}
}

func (f *fleet) setWorker(i, slots int, size placement.Resources) {
	w := placement.Worker{
		ID: placement.WorkerID(fmt.Sprintf("w%d-a", i)), Name: fmt.Sprintf("w%d", i),
		Services: []string{"quoting", "billing"}, Slots: slots, Capacity: size,
	}
	f.workers[w.ID] = w
	f.planner.SetWorker(f.now, w)
}

func (f *fleet) enqueue(job placement.JobID, tasks ...placement.Task) {
	for _, t := range tasks {
		r := taskRef{job, t.Index}
		f.queued[r] = true
		f.sizes[r] = t.Resources
	}
	f.planner.Enqueue(f.now, job, tasks)
}

// plan applies the bindings of a plan and describes the first that is wrong, or
// returns "".
func (f *fleet) plan(prefetch int) string {
	for _, b := range f.planner.Plan(f.now) {
		for _, task := range b.Tasks {
			r := taskRef{b.Job, task.Index}
			if !f.queued[r] {
				return fmt.Sprintf("task %v bound but not queued", r)
			}
			delete(f.queued, r)
			f.bound[r] = b.Worker
			f.order = append(f.order, r)
		}
	}
	count := map[placement.WorkerID]int{}
	used := map[placement.WorkerID]placement.Resources{}
	for r, id := range f.bound {
		u, s := used[id], f.sizes[r]
		used[id] = placement.Resources{MemoryMiB: u.MemoryMiB + s.MemoryMiB, CPUs: u.CPUs + s.CPUs, Accelerators: u.Accelerators + s.Accelerators}
		count[id]++
	}
	for id, n := range count {
		w := f.workers[id]
		if n > w.Slots+prefetch {
			return fmt.Sprintf("worker %s has %d tasks on %d slots", id, n, w.Slots)
		}
		if used[id].MemoryMiB > w.Capacity.MemoryMiB || used[id].CPUs > w.Capacity.CPUs || used[id].Accelerators > w.Capacity.Accelerators {
			return fmt.Sprintf("worker %s is overcommitted: %+v", id, used[id])
		}
	}
	return ""
}

func (f *fleet) finish(r taskRef, outcome placement.Outcome, run clock.Millis) {
	id := f.bound[r]
	delete(f.bound, r)
	f.planner.RecordOutcome(f.now, r.job, id, r.index, outcome, run)
}

// Guards against tasks that are bound twice or lost, and against overcommitted
// workers: over any sequence of events no worker has more tasks than slots or
// than its capacity holds, and every task is bound or removed exactly once.
func TestTasksAreBoundOnceWithinCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prefetch := rapid.IntRange(0, 2).Draw(t, "prefetch")
		f := newFleet(placement.Config{Prefetch: prefetch})
		next := placement.TaskIndex(0)
		f.setWorker(0, 3, placement.Resources{MemoryMiB: 8, CPUs: 8})
		t.Repeat(map[string]func(*rapid.T){
			"worker": func(t *rapid.T) {
				i := rapid.IntRange(1, 4).Draw(t, "worker")
				if _, ok := f.workers[placement.WorkerID(fmt.Sprintf("w%d-a", i))]; ok {
					// Rapid draws another action.
					t.Skip("present")
				}
				f.setWorker(i, rapid.IntRange(1, 4).Draw(t, "slots"), placement.Resources{MemoryMiB: int64(rapid.IntRange(1, 8).Draw(t, "memory")), CPUs: 4})
			},
			"remove worker": func(t *rapid.T) {
				id := placement.WorkerID(fmt.Sprintf("w%d-a", rapid.IntRange(1, 4).Draw(t, "worker")))
				f.planner.RemoveWorker(id)
				delete(f.workers, id)
				for r, on := range f.bound {
					if on == id {
						f.finish(r, placement.Failed, 0)
					}
				}
			},
			"enqueue": func(t *rapid.T) {
				job := drawJob(t)
				var tasks []placement.Task
				for range rapid.IntRange(1, 10).Draw(t, "tasks") {
					next++
					size := placement.Resources{MemoryMiB: int64(rapid.IntRange(0, 8).Draw(t, "memory")), CPUs: rapid.IntRange(0, 2).Draw(t, "cpus")}
					tasks = append(tasks, placement.Task{Index: next, Declared: clock.Millis(rapid.IntRange(0, 5000).Draw(t, "declared")), Resources: size})
				}
				f.enqueue(job, tasks...)
			},
			"remove": func(t *rapid.T) {
				job := drawJob(t)
				for _, i := range f.planner.RemoveQueued(job) {
					if r := (taskRef{job, i}); !f.queued[r] {
						t.Fatalf("removed task %v was not queued", r)
					} else {
						delete(f.queued, r)
					}
				}
				for r := range f.queued {
					if r.job == job {
						t.Fatalf("task %v was not removed", r)
					}
				}
			},
			"finish": func(t *rapid.T) {
				for _, r := range f.order {
					if _, ok := f.bound[r]; ok {
						f.finish(r, placement.Outcome(rapid.IntRange(0, 2).Draw(t, "outcome")), clock.Millis(rapid.IntRange(0, 9000).Draw(t, "run")))
						return
					}
				}
			},
			"plan": func(t *rapid.T) {
				f.now += clock.Millis(rapid.IntRange(0, 3000).Draw(t, "time"))
				if fault := f.plan(prefetch); fault != "" {
					t.Fatal(fault)
				}
			},
		})
		f.finishAll(t, prefetch)
	})
}

func drawJob(t *rapid.T) placement.JobID {
	return placement.JobID{
		Service: rapid.SampledFrom([]string{"quoting", "billing"}).Draw(t, "service"),
		Team:    rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"),
		Key:     rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "key"),
	}
}

// finishAll plans and finishes tasks until none is queued, and fails if a task that
// fits is never bound.
func (f *fleet) finishAll(t *rapid.T, prefetch int) {
	for range 2000 {
		for _, r := range f.order {
			if _, ok := f.bound[r]; ok {
				f.finish(r, placement.Succeeded, 100)
			}
		}
		f.now += clock.Second
		if fault := f.plan(prefetch); fault != "" {
			t.Fatal(fault)
		}
		if len(f.queued) == 0 {
			return
		}
	}
	t.Fatalf("%d tasks were never bound", len(f.queued))
}

// Guards against slot time that does not follow the shares: two teams with queued
// work get slot time by their shares within 5%, whatever their run times.
func TestTeamsGetTheirSharesOfSlotTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(placement.Config{})
		f.setWorker(0, 8, placement.Resources{})
		shares := map[string]int{"a": rapid.IntRange(1, 5).Draw(t, "a"), "b": rapid.IntRange(1, 5).Draw(t, "b")}
		runs := map[string]clock.Millis{"a": 200, "b": clock.Millis(rapid.IntRange(50, 800).Draw(t, "run"))}
		f.planner.SetShares(shares)
		for _, team := range []string{"a", "b"} {
			tasks := make([]placement.Task, 40000)
			for i := range tasks {
				tasks[i] = placement.Task{Index: placement.TaskIndex(i)}
			}
			f.planner.Enqueue(f.now, placement.JobID{Service: "quoting", Team: team, Key: "k"}, tasks)
		}
		used := map[string]float64{}
		for range 2000 {
			for _, b := range f.planner.Plan(f.now) {
				for _, task := range b.Tasks {
					run := runs[b.Job.Team]
					used[b.Job.Team] += float64(run)
					f.planner.RecordOutcome(f.now, b.Job, b.Worker, task.Index, placement.Succeeded, run)
				}
			}
		}
		got := used["a"] / used["b"]
		want := float64(shares["a"]) / float64(shares["b"])
		if math.Abs(got/want-1) > 0.05 {
			t.Fatalf("got a ratio of slot time of %.3f, want %.3f", got, want)
		}
	})
}

// Guards against decisions that depend on map order or other hidden state.
func TestPlanIsDeterministic(t *testing.T) {
	run := func() string {
		f := newFleet(placement.Config{})
		for i := range 7 {
			f.setWorker(i, 3, placement.Resources{CPUs: 4})
		}
		for i := range 50 {
			job := placement.JobID{Service: "quoting", Team: fmt.Sprint("t", i%5), Key: fmt.Sprint(i)}
			for k := range i {
				f.enqueue(job, placement.Task{Index: placement.TaskIndex(k), Declared: clock.Millis(i * k % 700), Resources: placement.Resources{CPUs: k % 3}})
			}
		}
		for len(f.order) < 800 {
			f.plan(0)
			for _, r := range f.order {
				if _, ok := f.bound[r]; ok {
					f.finish(r, placement.Succeeded, clock.Millis(50+r.index))
					break
				}
			}
		}
		return fmt.Sprint(f.order)
	}
	if got, want := run(), run(); got != want {
		t.Errorf("two runs with the same inputs differ: got %s, want %s", got, want)
	}
}

// Guards against speeds that are lost when a sidecar restarts, and against
// estimates that follow declared times and ignore observed run times.
func TestSpeedIsKeptByName(t *testing.T) {
	p := placement.New(placement.Config{})
	set := func(name, nonce string) {
		id := placement.WorkerID(name + "-" + nonce)
		p.SetWorker(0, placement.Worker{ID: id, Name: name, Services: []string{"quoting"}, Slots: 1})
	}
	set("slow", "a")
	set("fast", "a")
	for i := range 400 {
		job := placement.JobID{Service: "quoting", Team: "a", Key: fmt.Sprint(i)}
		// Declared times are unrelated to the run times.
		p.Enqueue(0, job, []placement.Task{{Index: 0, Declared: clock.Millis(10 + i*37%5000)}, {Index: 1, Declared: clock.Millis(10 + i*61%5000)}})
		for _, b := range p.Plan(0) {
			run := clock.Millis(100)
			if b.Worker == "slow-a" {
				run = 400
			}
			for _, task := range b.Tasks {
				p.RecordOutcome(0, b.Job, b.Worker, task.Index, placement.Succeeded, run)
			}
		}
	}
	for i := range 400 {
		p.RemoveQueued(placement.JobID{Service: "quoting", Team: "a", Key: fmt.Sprint(i)})
	}
	p.RemoveWorker("fast-a")
	p.RemoveWorker("slow-a")
	set("slow", "b")
	set("fast", "b")
	job := placement.JobID{Service: "quoting", Team: "a", Key: "last"}
	p.Enqueue(0, job, []placement.Task{{Declared: 5000}})
	got := p.Plan(0)
	if len(got) != 1 || got[0].Worker != "fast-b" {
		t.Fatalf("got %v, want one task on fast-b", got)
	}
	if e := got[0].Tasks[0].Expected; e < 50 || e > 800 {
		t.Errorf("got an expected run time of %d ms, want about 100", e)
	}
	if w := p.Workers(0); w[0].Slowdown < 1.7 || w[1].Slowdown > 0.6 {
		t.Errorf("got slowdowns %.2f and %.2f, want about 2 and 0.5", w[0].Slowdown, w[1].Slowdown)
	}
}

// Guards against tasks found at a takeover that are not counted against the slots
// of their worker.
func TestBoundUsesSlot(t *testing.T) {
	f := newFleet(placement.Config{})
	f.setWorker(0, 1, placement.Resources{})
	job := placement.JobID{Service: "quoting", Team: "a", Key: "1"}
	f.planner.RecordBound(f.now, job, "w0-a", 0)
	f.enqueue(job, placement.Task{Index: 1})
	if got := f.planner.Plan(f.now); len(got) != 0 {
		t.Errorf("got %v on a busy worker, want none", got)
	}
	f.planner.RecordOutcome(f.now, job, "w0-a", 0, placement.Succeeded, 10)
	if got := f.planner.Plan(f.now); len(got) != 1 {
		t.Errorf("got %v after the slot was freed, want one binding", got)
	}
}
