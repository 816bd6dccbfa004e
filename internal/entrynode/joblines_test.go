package entrynode

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/joblog"
	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

var update = flag.Bool("update", false, "rewrite the golden files")

const (
	sidecarAddress = scheduler.Address("10.0.0.1:7000")
	sidecarName    = "sidecar-1"
	// sampledJob is an id that is sampled, otherJob one that is not.
	sampledJob = batch.JobID("0000000000000018")
	otherJob   = batch.JobID("0000000000000001")
)

// testEntry is an entry without network, driven on a manual clock.
type testEntry struct {
	p   *Process
	clk *clock.Manual
}

func newTestEntry(out zapcore.WriteSyncer, logsJob func(batch.JobID) bool) *testEntry {
	clk := clock.NewManual(1_000_000)
	// Without a key for the time, the lines are the same in each run.
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zapcore.EncoderConfig{MessageKey: "msg", EncodeDuration: zapcore.SecondsDurationEncoder}), out, zapcore.InfoLevel)
	log, registry := zap.New(core), prometheus.NewRegistry()
	p := New(Settings{Incarnation: "entry-1", Scheduler: scheduler.Settings{
		Self: "entry-1", Seed: 1, GrantDuration: 6000, BestEffortGrantDuration: 1100, JobLeaseDuration: 1100, StoreContactTimeout: 8000, OfferDuration: 8, LogsJob: logsJob,
	}}, Deps{
		Clock: clk, Log: log, Jobs: joblog.New(log, clk, registry), Metrics: NewMetrics(registry), StoreHealth: &StoreHealth{Clock: clk},
	})
	e := &testEntry{p: p, clk: clk}
	p.core.SidecarConnected(sidecarAddress, "", sidecarName)
	e.report(&wire.TaskReport{Inventory: true})
	return e
}

// report delivers a report that was sent 20 ms ago.
func (e *testEntry) report(r *wire.TaskReport) {
	now := e.clk.Now()
	r.SentAt, r.Received = int64(now-20), 1<<40
	r.Load = &wire.WorkerLoad{Cpu: 64_000, FreeCpu: 64_000, MemoryMb: 64_000, FreeMemoryMb: 64_000, Ready: true, Service: "quotes"}
	e.p.core.HandleReport(now, sidecarName, r)
	e.p.tick(now)
}

// submit submits a job of one task whose caller waits for two seconds.
func (e *testEntry) submit(r scheduler.Request, id batch.JobID) {
	now := e.clk.Now()
	e.p.core.Submit(now, r, batch.Job{
		ID: id, Route: "kee-quotes", Service: "quotes", BestEffort: true, Deadline: now + 2000, Objective: 400,
		Steps: []batch.Step{{Count: 1, Required: batch.Resources{CPU: 100, MemoryMB: 10}, EstimatedRunTime: 50}},
	})
}

// firstAttempt is the first attempt of entry-1 for a task, derived from its name.
const firstAttempt = 692_234

func done(id batch.JobID) *wire.TaskEvent {
	return &wire.TaskEvent{Run: batch.RunID{TaskID: batch.TaskID{Job: id}, Attempt: firstAttempt}.Wire(), State: wire.TaskEvent_STATE_DONE, RunMs: 50, BestEffort: true}
}

// Guards against a record that does not tell which entry ordered which run, on which
// report, and when the caller left: the record of two runs at once had none of these
// lines.
func TestLinesOfAJobsLife(t *testing.T) {
	var out bytes.Buffer
	e := newTestEntry(zapcore.AddSync(&out), joblog.IsSampled)
	for i, id := range []batch.JobID{sampledJob, otherJob} {
		e.submit(scheduler.Request(i+1), id)
	}
	e.clk.Advance(5)
	e.p.tick(e.clk.Now())
	e.clk.Advance(60)
	e.report(&wire.TaskReport{Events: []*wire.TaskEvent{done(sampledJob), done(otherJob)}})

	// The caller of the second job leaves while its run goes on.
	const leftJob, leftRequest = batch.JobID("000000000000002a"), scheduler.Request(3)
	e.submit(leftRequest, leftJob)
	e.p.tick(e.clk.Now())
	e.clk.Advance(130)
	left, cancel := context.WithCancel(context.Background())
	cancel()
	e.p.Submit(left, batch.Job{ID: leftJob, BestEffort: true}, nil)
	e.p.core.CallerDisconnected(e.clk.Now(), leftRequest, leftJob)
	e.p.tick(e.clk.Now())

	// A job for which no worker exists is refused once the entry has been up for a
	// second.
	e.clk.Advance(2000)
	e.p.core.Submit(e.clk.Now(), 4, batch.Job{
		ID: "00000000000000ff", Route: "kee-quotes", Service: "none", BestEffort: true, Deadline: e.clk.Now() + 2000, Objective: 400,
		Steps: []batch.Step{{Count: 1}},
	})
	e.p.tick(e.clk.Now())
	compareGolden(t, "job.golden", out.Bytes())
}

func compareGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("lines: got\n%s\nwant\n%s", got, want)
	}
}

// BenchmarkTick measures the tick of an entry that accepts, places and ends 100 jobs,
// with the lines of no job, of the sampled jobs and of all jobs that the rate permits.
func BenchmarkTick(b *testing.B) {
	for _, mode := range []struct {
		name    string
		logsJob func(batch.JobID) bool
		jobs    bool
	}{
		{"no-lines", func(batch.JobID) bool { return false }, false},
		{"sampled", joblog.IsSampled, true},
		{"all-decisions", nil, true},
	} {
		b.Run(mode.name, func(b *testing.B) {
			e := newTestEntry(discard{}, mode.logsJob)
			if !mode.jobs {
				e.p.deps.Jobs = nil
			}
			b.ReportAllocs()
			next := 0
			for b.Loop() {
				ends := make([]*wire.TaskEvent, 0, 100)
				for range 100 {
					next++
					id := batch.JobID(fmt.Sprintf("%016x", uint64(next)*0x9e3779b97f4a7c15))
					e.submit(scheduler.Request(next), id)
					ends = append(ends, done(id))
				}
				e.p.tick(e.clk.Now())
				e.clk.Advance(100)
				e.report(&wire.TaskReport{Events: ends})
			}
		})
	}
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }
func (discard) Sync() error                 { return nil }
