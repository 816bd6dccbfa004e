package joblog_test

import (
	"fmt"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/joblog"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

func newLogger(clk clock.Clock) (*joblog.Logger, *observer.ObservedLogs, *prometheus.Registry) {
	core, lines := observer.New(zapcore.InfoLevel)
	registry := prometheus.NewRegistry()
	return joblog.New(zap.New(core), clk, registry), lines, registry
}

// Guards against stories with gaps: sampled by message, some lines of a job were
// written and others not, different ones in each process.
func TestLinesOfAJobAreAllPresentOrAllAbsent(t *testing.T) {
	const jobs, linesPerJob = 4096, 5
	clk := clock.NewManual(1_000_000)
	entry, entryLines, _ := newLogger(clk)
	sidecar, sidecarLines, _ := newLogger(clk)
	for i := range jobs {
		id := batch.JobID(fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15))
		for range linesPerJob {
			for _, l := range []*joblog.Logger{entry, sidecar} {
				if log := l.Sampled(id); log != nil {
					log.Info("line", zap.String("job", string(id)))
				}
			}
		}
		clk.Advance(10)
	}
	byJob := make(map[any]int)
	for _, l := range append(entryLines.All(), sidecarLines.All()...) {
		byJob[l.ContextMap()["job"]]++
	}
	for id, got := range byJob {
		if want := 2 * linesPerJob; got != want {
			t.Errorf("lines of job %v: got %d, want %d", id, got, want)
		}
	}
	if got, want := len(byJob), jobs/16; got < want*3/4 || got > want*5/4 {
		t.Errorf("sampled jobs: got %d, want about %d", got, want)
	}
}

// Guards against a log that grows with the number of jobs in trouble, and against
// lines that are left out without a trace.
func TestLinesOfJobsInTroubleAreBounded(t *testing.T) {
	clk := clock.NewManual(1_000_000)
	l, lines, registry := newLogger(clk)
	const attempts, seconds = 1000, 3
	for range seconds {
		for range attempts {
			if log := l.Trouble(); log != nil {
				log.Info("job refused")
			}
			l.ReportDropped(clk.Now())
			clk.Advance(1)
		}
	}
	clk.Advance(clock.Second)
	l.ReportDropped(clk.Now())
	got, reports, reported := 0, 0, int64(0)
	for _, e := range lines.All() {
		if e.Message == "job refused" {
			got++
			continue
		}
		reports++
		reported += e.ContextMap()["lines"].(int64)
	}
	if want := 200 * (seconds + 1); got < want-200 || got > want {
		t.Errorf("lines: got %d, want 200 a second and 200 at once, at most %d", got, want)
	}
	if want := int64(attempts*seconds - got); reported != want {
		t.Errorf("lines reported as left out: got %d, want %d", reported, want)
	}
	if reports > seconds+1 {
		t.Errorf("reports: got %d, want at most one a second", reports)
	}
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	if got := families[0].GetMetric()[0].GetCounter().GetValue(); got != float64(reported) {
		t.Errorf("counter of lines left out: got %v, want %d", got, reported)
	}
}

// Guards against allocations for lines that are not written.
func TestLinesLeftOutAllocateNothing(t *testing.T) {
	clk := clock.NewManual(1_000_000)
	l, _, _ := newLogger(clk)
	for l.Trouble() != nil {
	}
	id := batch.JobID("0000000000000001")
	if joblog.IsSampled(id) {
		t.Fatalf("job %s is sampled, want one that is not", id)
	}
	if got := testing.AllocsPerRun(100, func() {
		if l.Sampled(id) != nil || l.Trouble() != nil {
			t.Error("line written, want it left out")
		}
	}); got != 0 {
		t.Errorf("allocations: got %v, want 0", got)
	}
}
