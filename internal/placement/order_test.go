package placement_test

import (
	"fmt"
	"testing"

	"github.com/teaseltide/teaseltide/internal/placement"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// tasks returns n tasks without a declared run time.
func tasks(n int) []placement.Task {
	out := make([]placement.Task, n)
	for i := range out {
		out[i].Index = placement.TaskIndex(i)
	}
	return out
}

func jobOf(team, key string) placement.JobID {
	return placement.JobID{Service: "quoting", Team: team, Key: key}
}

// Guards against a short job that waits for the turns of other teams while
// little work is queued.
func TestShortJobPassesOtherTeams(t *testing.T) {
	f := newFleet(placement.Config{})
	f.setWorker(0, 1, placement.Resources{})
	f.enqueue(jobOf("a", "long"), tasks(2)...)
	f.enqueue(jobOf("b", "long"), tasks(2)...)
	f.now++
	f.enqueue(jobOf("c", "short"), tasks(1)...)
	got := f.planner.Plan(f.now)
	if len(got) != 1 || got[0].Job != jobOf("c", "short") {
		t.Errorf("got %v, want the task of the short job", got)
	}
}

// Guards against a team that delays the jobs of another one by seconds, because
// it floods the queue with shorter jobs.
func TestFloodDoesNotDelayOtherTeams(t *testing.T) {
	const slots, run = 8, 300
	f := newFleet(placement.Config{})
	f.setWorker(0, slots, placement.Resources{})
	for i := range 200 {
		f.planner.Enqueue(f.now, jobOf("a", fmt.Sprint(i)), tasks(1))
	}
	f.planner.Enqueue(f.now, jobOf("b", "job"), tasks(slots))
	started := 0
	for range 4 {
		for _, b := range f.planner.Plan(f.now) {
			for _, task := range b.Tasks {
				if b.Job.Team == "b" {
					started++
				}
				f.planner.RecordOutcome(f.now, b.Job, b.Worker, task.Index, placement.Succeeded, run)
			}
		}
	}
	if started < slots {
		t.Errorf("got %d of %d tasks of the other team among the first %d starts, want all", started, slots, 4*slots)
	}
}

// Guards against a team that gets no slot time for long because it used the
// workers while no other team had work.
func TestNegativeDeficitIsBounded(t *testing.T) {
	const run = 200
	f := newFleet(placement.Config{})
	f.setWorker(0, 8, placement.Resources{})
	used := map[string]int{}
	serve := func() {
		for _, b := range f.planner.Plan(f.now) {
			for _, task := range b.Tasks {
				used[b.Job.Team]++
				f.planner.RecordOutcome(f.now, b.Job, b.Worker, task.Index, placement.Succeeded, run)
			}
		}
	}
	for i := range 1000 {
		f.planner.Enqueue(f.now, jobOf("a", fmt.Sprint(i)), tasks(8))
		serve()
	}
	clear(used)
	for _, team := range []string{"a", "b"} {
		f.planner.Enqueue(f.now, jobOf(team, "many"), tasks(4000))
	}
	for range 100 {
		serve()
	}
	if got, all := used["a"], used["a"]+used["b"]; got*5 < all*2 {
		t.Errorf("got %d of %d starts for the team that ran alone before, want at least two fifths", got, all)
	}
}

// Guards against earlier large jobs that delay a smaller one by minutes.
func TestSmallerJobPassesOlderOne(t *testing.T) {
	f := newFleet(placement.Config{})
	f.setWorker(0, 1, placement.Resources{})
	f.enqueue(jobOf("a", "large"), tasks(12)...)
	f.now += 4 * clock.Minute
	f.enqueue(jobOf("a", "small"), tasks(6)...)
	got := f.planner.Plan(f.now)
	if len(got) != 1 || got[0].Job != jobOf("a", "small") {
		t.Errorf("got %v, want a task of the smaller job", got)
	}
}

// Guards against slots that stay idle in a burst because every job waits for a
// faster worker.
func TestFewJobsWaitForFasterWorker(t *testing.T) {
	const fastSlots, slowSlots, jobs, waiting = 16, 24, 20, 4
	f := newFleet(placement.Config{})
	f.setWorker(0, fastSlots, placement.Resources{})
	f.setWorker(1, slowSlots, placement.Resources{})
	for i := range 400 {
		job := jobOf("a", fmt.Sprint(i))
		f.planner.Enqueue(f.now, job, tasks(fastSlots+slowSlots))
		for _, b := range f.planner.Plan(f.now) {
			for _, task := range b.Tasks {
				run := clock.Millis(100)
				if b.Worker == "w1-a" {
					run = 400
				}
				f.planner.RecordOutcome(f.now, job, b.Worker, task.Index, placement.Succeeded, run)
			}
		}
		f.planner.RemoveQueued(job)
	}
	for i := range fastSlots {
		f.planner.RecordBound(f.now, jobOf("b", "bound"), "w0-a", placement.TaskIndex(i))
	}
	for i := range jobs {
		f.enqueue(jobOf("c", fmt.Sprint(i)), tasks(1)...)
	}
	if got, want := len(f.planner.Plan(f.now)), jobs-waiting; got != want {
		t.Errorf("got %d tasks on the slow worker, want %d", got, want)
	}
}

// Guards against large jobs that are admitted in a burst and miss their deadline
// because one task takes much longer than expected, and against a margin for them
// that refuses jobs on an idle fleet.
func TestEstimateHasMarginForLongTasks(t *testing.T) {
	const workers, slots, margin = 100, 8, 100
	f := newFleet(placement.Config{})
	for i := range workers {
		f.setWorker(i, slots, placement.Resources{})
	}
	estimate := func(n int) clock.Millis {
		return f.planner.Estimate(f.now, "quoting", tasks(n))
	}
	if got, want := estimate(8*slots), estimate(slots); got != want {
		t.Errorf("idle: got %d ms for the large job, want %d as for the small one", got, want)
	}
	f.planner.Enqueue(f.now, jobOf("a", "queued"), tasks(5*workers*slots))
	if got, low := estimate(8*slots), estimate(slots)+margin; got < low {
		t.Errorf("busy: got %d ms for the large job, want at least %d", got, low)
	}
}
