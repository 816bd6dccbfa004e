package processtest

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/teaseltide/teaseltide/internal/cli"
	"github.com/teaseltide/teaseltide/internal/fleet"
	"github.com/teaseltide/teaseltide/internal/standin/backend"
	"github.com/teaseltide/teaseltide/pkg/caller"
)

// inForce is the longest time until an accepted text is in force everywhere.
const inForce = 5 * time.Second

// Guards against two operators who both believe that their text is in force,
// and against a text that does not reach every process or reverts.
func TestConflictingTexts(t *testing.T) {
	t.Parallel()
	r := start(t, smallShape())
	r.load()
	status, err := r.Status(r.ctx, 0)
	r.must(err)
	expected := status.TextRevision
	outputs, codes := make([]string, 2), make([]int, 2)
	var both sync.WaitGroup
	for i := range 2 {
		file := filepath.Join(t.TempDir(), "services.yaml")
		r.must(os.WriteFile(file, []byte(strings.Replace(r.Shape.ServicesText(), "max-queued-tasks: 20000", fmt.Sprintf("max-queued-tasks: %d", 30000+i), 1)), 0o600))
		both.Go(func() {
			outputs[i], err = r.Command(r.ctx, "apply", file, "--store", r.StoreURL(), "--expect-revision", fmt.Sprint(expected))
			var exit *exec.ExitError
			if errors.As(err, &exit) {
				codes[i] = exit.ExitCode()
			}
		})
	}
	both.Wait()
	applied := time.Now()
	winner := 0
	if codes[0] != cli.ExitOK {
		winner = 1
	}
	loser := 1 - winner
	var revision int64
	_, _ = fmt.Sscanf(outputs[winner][strings.LastIndex(outputs[winner], "revision"):], "revision %d", &revision)
	if codes[winner] != cli.ExitOK || codes[loser] != cli.ExitConflict || revision <= expected {
		t.Fatalf("got codes %v and %q, want one %d and one %d", codes, outputs, cli.ExitOK, cli.ExitConflict)
	}
	if want := fmt.Sprintf("present is %d", revision); !strings.Contains(outputs[loser], want) {
		t.Errorf("the loser got %q, want %q in it", outputs[loser], want)
	}
	for r.oldestText() != revision && time.Since(applied) < inForce {
		time.Sleep(20 * time.Millisecond)
	}
	t.Logf("revision %d is in force everywhere after %d ms", revision, time.Since(applied).Milliseconds())
	for range 20 {
		if got := r.oldestText(); got != revision {
			t.Fatalf("got text revision %d at some process, want %d everywhere", got, revision)
		}
		time.Sleep(100 * time.Millisecond)
	}
	r.wantComplete(r.finish(), nil)
}

// oldestText returns the lowest text revision of all entries and sidecars except
// those that the test has killed, 0 if one of them does not answer.
func (r *run) oldestText(killed ...*fleet.Process) int64 {
	r.Helper()
	oldest := int64(-1)
	observe := func(revision int64, err error) {
		if err != nil {
			revision = 0
		}
		if oldest < 0 || revision < oldest {
			oldest = revision
		}
	}
	for i, p := range r.Entries {
		if !slices.Contains(killed, p) {
			s, err := r.Status(r.ctx, i)
			observe(s.TextRevision, err)
		}
	}
	for i, p := range r.Sidecars {
		if !slices.Contains(killed, p) {
			s, err := r.SidecarStatus(r.ctx, i)
			observe(s.TextRevision, err)
		}
	}
	return oldest
}

// Guards against new tasks for a backend server that is leaving.
func TestLeavingServerGetsNoStarts(t *testing.T) {
	t.Parallel()
	r := start(t, smallShape())
	r.load()
	victim := r.Shape.Workers - 1
	r.waitBusy(victim)
	r.must(r.SetMode(r.ctx, victim, backend.Leave))
	time.Sleep(6 * time.Second)
	r.wantComplete(r.finish(), nil)
	counts, err := r.Counts(r.ctx)
	r.must(err)
	if got := counts[victim].LateStarts; got != 0 {
		t.Errorf("got %d starts later than 3 s after the server left, want 0", got)
	}
}

// readmittedWithin is how long a worker that has failed for 8 s may take to get
// as many starts as it has slots. Two probes have failed by then, 2 and 4 s
// apart, so the next one follows up to 8 s later; then the limit of concurrent
// tasks doubles with each success, from 1 to 8 slots in four run times of up to
// 300 ms.
const readmittedWithin = 8*time.Second + 4*300*time.Millisecond

// Guards against a worker that fails every task and therefore has free slots and
// attracts tasks, and against one that gets no tasks after it has recovered.
func TestFailingWorkerIsEjected(t *testing.T) {
	t.Parallel()
	r := start(t, smallShape())
	r.load()
	victim := r.Shape.Workers - 1
	r.waitBusy(victim)
	r.must(r.SetMode(r.ctx, victim, backend.FailAll))
	time.Sleep(2 * time.Second)
	early := r.starts()
	time.Sleep(6 * time.Second)
	late := r.starts()
	there, all := startsOf(late, victim)-startsOf(early, victim), len(late)-len(early)
	t.Logf("%d of %d starts went to the failing worker", there, all)
	if all == 0 || float64(there) >= 0.02*float64(all) {
		t.Errorf("got %d of %d starts at the failing worker, want under 2%%", there, all)
	}
	r.must(r.SetMode(r.ctx, victim, backend.Serve))
	for end := time.Now().Add(readmittedWithin); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if startsOf(r.starts(), victim)-startsOf(late, victim) >= r.Shape.Slots {
			break
		}
	}
	outcomes := r.finish()
	starts := r.starts()
	if got := startsOf(starts, victim) - startsOf(late, victim); got < r.Shape.Slots {
		t.Errorf("got %d starts at the worker after it has recovered, want at least %d", got, r.Shape.Slots)
	}
	r.wantComplete(outcomes, func(o *fleet.Outcome) bool {
		return o.Ran() == caller.Failed && startedAt(o, starts, victim)
	})
}

// Guards against jobs that stay queued although no worker can hold their tasks.
func TestTooLargeTaskIsRefused(t *testing.T) {
	t.Parallel()
	r := start(t, smallShape())
	r.load()
	jobs := fleet.NewJobGenerator(r.Shape, "too-large", *seed)
	for i := range 20 {
		j := jobs.Next(3)
		j.Tasks[2].MemoryMiB = 1 << 30
		ctx, cancel := context.WithTimeout(r.ctx, answerLimit)
		begin := time.Now()
		a, err := r.Caller(i%r.Shape.Entries).Submit(ctx, j.Job)
		cancel()
		r.must(err)
		if a.Ran != caller.NotRun || a.Code != "no-worker-fits" || a.Message == "" {
			t.Errorf("got %s (%s: %s), want not-run with no-worker-fits", a.Ran, a.Code, a.Message)
		}
		if took := time.Since(begin); took > time.Second {
			t.Errorf("the refusal took %s, want at most 1 s", took)
		}
	}
	for id := range r.starts() {
		if strings.Contains(id, "too-large") {
			t.Errorf("task %s started", id)
		}
	}
	r.wantComplete(r.finish(), nil)
}
