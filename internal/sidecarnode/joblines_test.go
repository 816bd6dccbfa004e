package sidecarnode

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/executor"
	"github.com/teaseltide/teaseltide/internal/joblog"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

var update = flag.Bool("update", false, "rewrite the golden files")

const (
	entryName = "entry-1"
	// sampledJob is an id that is sampled, otherJob one that is not.
	sampledJob = batch.JobID("0000000000000018")
	otherJob   = batch.JobID("0000000000000001")
)

// acceptingWorker accepts all starts and stops.
type acceptingWorker struct{ Worker }

func (acceptingWorker) Start(context.Context, executor.StartRun) executor.StartResult {
	return executor.StartAccepted
}
func (acceptingWorker) Stop(context.Context, executor.StopRun) error { return nil }

// testSidecar is a sidecar without network, driven on a manual clock.
type testSidecar struct {
	p   *Process
	clk *clock.Manual
	// sequence numbers the ends.
	sequence int64
}

func newTestSidecar(out zapcore.WriteSyncer, limitLines bool) *testSidecar {
	clk := clock.NewManual(1_000_000)
	// Without a key for the time, the lines are the same in each run.
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zapcore.EncoderConfig{MessageKey: "msg"}), out, zapcore.InfoLevel)
	log, registry := zap.New(core), prometheus.NewRegistry()
	d := Deps{Worker: acceptingWorker{}, Clock: clk, Log: log, Metrics: NewMetrics(registry)}
	if limitLines {
		d.Jobs = joblog.New(log, clk, registry)
	}
	s := &testSidecar{p: New(Settings{MaxLease: 1000}, d), clk: clk}
	s.p.core.FencesLoaded(clk.Now(), nil)
	s.p.core.WorkerReported(clk.Now(), executor.Worker{ID: "w", Incarnation: 1, Sequence: 1, Service: "s", Capacity: batch.Resources{CPU: 64_000}})
	s.list()
	s.p.core.EntryConnected(entryName)
	s.p.tick(clk.Now())
	return s
}

// list delivers a listing with the ends of jobs.
func (s *testSidecar) list(ended ...executor.ListedEnd) {
	s.p.core.RunsListed(s.clk.Now(), executor.Listing{Token: 1_000_000, RequestedAt: s.clk.Now(), Incarnation: 1, Ended: ended})
}

func (s *testSidecar) end(id batch.JobID, outcome batch.Outcome) executor.ListedEnd {
	s.sequence++
	return executor.ListedEnd{Sequence: s.sequence, Run: runOf(id), End: outcome}
}

// order delivers orders based on a report that was sent some time ago.
func (s *testSidecar) order(age clock.Millis, o *wire.TaskOrders) {
	o.GrantedFrom = int64(s.clk.Now() - age)
	s.p.core.OrdersReceived(s.clk.Now(), entryName, o)
	s.p.tick(s.clk.Now())
}

// advance advances the clock and reports the starts as accepted.
func (s *testSidecar) advance(d clock.Millis, accepted ...batch.JobID) {
	for _, id := range accepted {
		s.p.core.StartAnswered(s.clk.Now(), runOf(id), 1_000_000, executor.StartAccepted)
	}
	s.clk.Advance(d)
	s.p.tick(s.clk.Now())
}

func runOf(id batch.JobID) batch.RunID {
	return batch.RunID{TaskID: batch.TaskID{Job: id}, Attempt: 1}
}

func startOf(id batch.JobID) *wire.TaskStart {
	return &wire.TaskStart{Run: runOf(id).Wire(), Cpu: 100, BestEffort: true, EstimatedMs: 5000}
}

// Guards against a record that does not tell which entry ordered a run, on which
// report, and whether it was told to stop: the record of two runs at once had none of
// these lines.
func TestLinesOfARunsLife(t *testing.T) {
	var out bytes.Buffer
	s := newTestSidecar(zapcore.AddSync(&out), true)
	s.order(30, &wire.TaskOrders{Starts: []*wire.TaskStart{startOf(sampledJob), startOf(otherJob)}})
	s.advance(60, sampledJob, otherJob)
	s.list(s.end(sampledJob, batch.OutcomeDone), s.end(otherJob, batch.OutcomeDone))
	s.p.tick(s.clk.Now())

	// An entry gives up a job; another job's entry falls silent.
	const stoppedJob, silentJob = batch.JobID("000000000000002a"), batch.JobID("000000000000002b")
	s.order(20, &wire.TaskOrders{Starts: []*wire.TaskStart{startOf(stoppedJob), startOf(silentJob)}})
	s.advance(100, stoppedJob, silentJob)
	s.order(20, &wire.TaskOrders{Stops: []*wire.TaskRun{runOf(stoppedJob).Wire()}})
	s.advance(700)
	s.list(s.end(stoppedJob, batch.OutcomeStopped), s.end(silentJob, batch.OutcomeStopped))
	s.p.tick(s.clk.Now())

	// Orders of known attempts, on old reports and beyond the capacity are refused.
	tooLarge := startOf("000000000000002d")
	tooLarge.Cpu = 100_000
	s.order(600, &wire.TaskOrders{Starts: []*wire.TaskStart{startOf(stoppedJob), startOf("000000000000002c")}})
	s.order(20, &wire.TaskOrders{Starts: []*wire.TaskStart{tooLarge}})
	s.p.core.Drain()
	s.order(20, &wire.TaskOrders{Starts: []*wire.TaskStart{startOf("000000000000002e")}})
	path := filepath.Join("testdata", "run.golden")
	if *update {
		if err := os.WriteFile(path, out.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got := out.Bytes(); !bytes.Equal(got, want) {
		t.Errorf("lines: got\n%s\nwant\n%s", got, want)
	}
}

// BenchmarkTick measures the ticks of a sidecar that starts and ends 100 runs, with
// and without the lines of the sampled jobs.
func BenchmarkTick(b *testing.B) {
	for _, name := range []string{"no-lines", "sampled"} {
		b.Run(name, func(b *testing.B) {
			s := newTestSidecar(discard{}, name == "sampled")
			// An ended control thread accepts events without end.
			s.p.control.Run(b.Context(), time.Millisecond, nil, func(clock.Millis) bool { return false })
			b.ReportAllocs()
			next := 0
			for b.Loop() {
				ids := make([]batch.JobID, 0, 100)
				o := &wire.TaskOrders{}
				for range 100 {
					next++
					id := batch.JobID(fmt.Sprintf("%016x", uint64(next)*0x9e3779b97f4a7c15))
					ids = append(ids, id)
					o.Starts = append(o.Starts, startOf(id))
				}
				s.order(20, o)
				var ends []executor.ListedEnd
				stored := &wire.TaskOrders{}
				for _, id := range ids {
					ends = append(ends, s.end(id, batch.OutcomeDone))
					stored.Stored = append(stored.Stored, runOf(id).Wire())
				}
				s.advance(50, ids...)
				s.list(ends...)
				s.order(20, stored)
			}
		})
	}
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }
func (discard) Sync() error                 { return nil }
