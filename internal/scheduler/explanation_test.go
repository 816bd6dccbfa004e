package scheduler_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"reflect"
	"strconv"
	"testing"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// load returns the load of a worker of 20 cores.
func load(free int64, change func(*wire.WorkerLoad)) *wire.WorkerLoad {
	l := &wire.WorkerLoad{Cpu: 20_000, FreeCpu: free, MemoryMb: 1000, FreeMemoryMb: 1000, Ready: true, Service: "s"}
	if change != nil {
		change(l)
	}
	return l
}

// newExplanationTestbed returns a testbed with workers that differ in one respect each.
func newExplanationTestbed(t *testing.T) *testbed {
	t.Helper()
	defer func(s scheduler.Settings) { settings = s }(settings)
	settings.RemoteFactor = 3
	b := newTestbed(t, 0)
	reports := []*wire.TaskReport{
		{Load: load(20_000, nil)},
		{Load: load(20_000, nil)},
		{Load: load(8000, nil)},
		{Load: load(20_000, func(l *wire.WorkerLoad) { l.Service = "other" })},
		{Load: load(20_000, func(l *wire.WorkerLoad) { l.Ready = false })},
		{Load: load(500, nil)},
		{Load: load(1000, func(l *wire.WorkerLoad) { l.Cpu = 1000 })},
		{Load: load(20_000, func(l *wire.WorkerLoad) { l.Labels = []string{"l", "r"} })},
		{Load: load(20_000, func(l *wire.WorkerLoad) { l.Labels = []string{"l"} })},
		{Load: load(20_000, nil), Held: true},
		{Load: load(20_000, func(l *wire.WorkerLoad) { l.Evacuated = true })},
		{Load: load(20_000, nil)},
	}
	for i := range reports {
		b.s.SidecarConnected(address(i), ownership.Domain("z"+strconv.Itoa(i%3)), sidecar(address(i)))
	}
	silent := len(reports) - 1
	b.send(address(silent), &wire.TaskReport{Inventory: true, Load: load(20_000, nil)})
	b.now += 1000
	b.s.RecordStoreContact(b.now)
	for i, r := range reports[:silent] {
		r.Inventory = true
		b.send(address(i), r)
	}
	b.s.SidecarConnected("w90", "z0", sidecar("w90"))
	b.s.SidecarConnected("w91", "z0", sidecar("w91"))
	b.send("w91", &wire.TaskReport{Inventory: true, Load: load(20_000, nil)})
	b.s.SidecarDisconnected(sidecar("w91"))
	return b
}

func explainedJob() batch.Job {
	j := job("0000000000000001", 2, true)
	j.Route, j.Deadline = "r", 2_000_000
	j.Steps = append(j.Steps, batch.Step{Count: 1, Required: batch.Resources{CPU: 6000}, EstimatedRunTime: 100, DependsOn: []int{0}, RequiredLabel: "l", DataRack: "r"})
	return j
}

// Guards against reasons that are not those of the decision, and against another order.
func TestExplanationGolden(t *testing.T) {
	const file = "testdata/explanation.golden"
	b := newExplanationTestbed(t)
	got, err := json.MarshalIndent(b.s.Explain(b.now, explainedJob()), "", " ")
	if err != nil {
		t.Fatal(err)
	}
	if *update {
		if err = os.WriteFile(file, got, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("explanation: got\n%s\nwant\n%s", got, want)
	}
}

// Guards against a stage other than that of a submitted job, and against a stored job that
// seems to have waited so long that it takes avoided workers.
func TestExplainedStage(t *testing.T) {
	b := newExplanationTestbed(t)
	// The objective is 220 ms, the response takes 8 ms without the run.
	for declared, want := range map[clock.Millis]string{212: "in time", 213: "late", 652: "late", 653: "overdue"} {
		j := job("j", 1, true)
		j.Steps[0].EstimatedRunTime = declared
		if got := b.s.Explain(b.now, j).Stage; got != want {
			t.Errorf("stage of a run of %d ms: got %s, want %s", declared, got, want)
		}
	}
	j := explainedJob()
	want := b.s.Explain(b.now, j).Steps
	j.BestEffort = false
	if got := b.s.Explain(b.now, j).Steps; !reflect.DeepEqual(got, want) {
		t.Errorf("steps of a stored job: got %+v, want those of a best-effort job, %+v", got, want)
	}
}

// driveWithExplanations runs a sequence of jobs and returns the testbed and all commands.
// The explained jobs have all priorities and an unknown service among them.
func driveWithExplanations(t *testing.T, explain bool) (*testbed, []scheduler.Command) {
	t.Helper()
	b := newExplanationTestbed(t)
	// A sidecar without a report would have to grant the leases of jobs.
	b.s.SidecarDisconnected(sidecar("w90"))
	random := rand.New(rand.NewPCG(1, 1)) //nolint:gosec // test data
	for i := range 140 {
		j := job(fmt.Sprintf("%016x", i), 1+random.IntN(8), true)
		j.Route, j.Priority = "r", 1+random.IntN(2)
		if explain {
			for priority := range 3 {
				other := explainedJob()
				other.Priority, other.Service = priority, []string{"s", "unknown", "other"}[priority]
				b.s.Explain(b.now, other)
				other.BestEffort = false
				b.s.Explain(b.now, other)
			}
			b.s.Explain(b.now, j)
		}
		b.submit(j)
		// In 140 ms no caller is checked; the order of these checks is random.
		b.now++
		for w := range 2 {
			b.send(address(w), &wire.TaskReport{Load: load(random.Int64N(6500), nil)})
		}
	}
	if explain {
		refused := job("refused", 1, true)
		refused.Priority = 2
		e := b.s.Explain(b.now, refused)
		if e.Refusal != "overload" {
			t.Errorf("refusal of a job in overload: got %q, want overload", e.Refusal)
		}
	}
	return b, b.takeCommands()
}

// Guards against an explanation that changes state: random numbers, estimates of callers'
// patience, pools, classes, counters or commands.
func TestExplanationChangesNothing(t *testing.T) {
	plain, want := driveWithExplanations(t, false)
	explained, got := driveWithExplanations(t, true)
	if !reflect.DeepEqual(got, want) {
		t.Errorf("commands: got %d that differ from the %d without explanations", len(got), len(want))
	}
	if !reflect.DeepEqual(explained.s, plain.s) {
		t.Error("the state of the scheduler differs with and without explanations")
	}
	if counters := plain.s.Counters(); counters.Starts == 0 || counters.Refused == 0 {
		t.Errorf("counters: got %+v, want starts and refusals", counters)
	}
}

// Guards against an explanation that tells another worker or another refusal than the
// submission that follows gets.
func TestExplainedChoiceIsTaken(t *testing.T) {
	placed, queued, refused := 0, 0, 0
	for seed := range uint64(400) {
		random := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // test data
		b := newTestbed(t, 8)
		b.advance(1100)
		for i := range 8 {
			free := random.Int64N(1 + int64(seed%4)*6000)
			if seed%4 == 1 {
				// One free worker among full ones: the workers are crowded.
				free = int64(i/7) * 20_000
			}
			b.send(address(i), &wire.TaskReport{Load: load(free, nil)})
		}
		for i := range int(seed%5) * 50 {
			b.submit(job("q"+strconv.Itoa(i), 1, true))
		}
		b.starts()
		b.takeCommands()
		j := job("j", 1, true)
		j.Deadline = b.now + 3000
		j.Priority = random.IntN(2)
		j.Steps[0].EstimatedRunTime = clock.Millis(100 + random.Int64N(150))
		e := b.s.Explain(b.now, j)
		request := b.submit(j)
		reply, isRefused := b.replies()[request]
		if isRefused != (e.Refusal != "") || isRefused && reply.RetryAfter != e.RetryAfter {
			t.Fatalf("seed %d: got reply %+v (%v), explained as %q after %d ms", seed, reply, isRefused, e.Refusal, e.RetryAfter)
		}
		possible := map[scheduler.Address]bool{}
		for _, w := range e.Steps[0].Workers {
			if w.Reason == scheduler.Chosen || w.Reason == scheduler.WithinNoise {
				possible[w.Address] = true
			}
		}
		started := scheduler.Address("")
		for _, s := range b.starts() {
			if s.run.Job == "j" {
				started = s.at
			}
		}
		switch {
		case isRefused:
			refused++
		case e.HeldBack || len(possible) == 0:
			queued++
			if started != "" {
				t.Fatalf("seed %d: got a start at %s, explained that there is none", seed, started)
			}
		case !possible[started]:
			t.Fatalf("seed %d: got a start at %q, explained one of %v", seed, started, possible)
		default:
			placed++
		}
	}
	if placed < 30 || queued < 10 || refused < 10 {
		t.Errorf("got %d placed, %d queued and %d refused jobs, want some of each", placed, queued, refused)
	}
}
