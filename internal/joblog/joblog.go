// Package joblog writes log lines about jobs in bounded volume. The lines of a job
// without trouble are written or left out as a whole, by all processes alike; those
// of jobs in trouble are always written, up to a rate.
//
//	if log := jobs.Sampled(id); log != nil {
//		log.Info("run started", zap.String("job", string(id)))
//	}
package joblog

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// sampledJobs is the number of jobs of which one is sampled. A power of two, at
	// most 256.
	sampledJobs = 16
	// troubleLinesPerSecond bounds the lines about jobs in trouble: with 300 bytes a
	// line, to 60 KB/s for each process.
	troubleLinesPerSecond = 200
	// sampledLinesPerSecond bounds the lines about sampled jobs. It is higher, since a
	// line left out breaks a story: 100 jobs/s with 50 tasks give 320 lines/s.
	sampledLinesPerSecond = 500
	// dropReportInterval is the time between two lines that tell how many lines were
	// left out.
	dropReportInterval = 1 * clock.Second
)

// IsSampled reports whether the lines about a job without trouble are written. It
// depends on the id only, so that all processes write the same jobs.
func IsSampled(id batch.JobID) bool {
	// FNV-1a; its high bits depend on all bits of the input.
	hash := uint32(2166136261)
	for i := range len(id) {
		hash = (hash ^ uint32(id[i])) * 16777619
	}
	return hash>>24%sampledJobs == 0
}

// Logger limits log lines about jobs. A nil Logger writes none. It is safe for
// concurrent use.
type Logger struct {
	log   *zap.Logger
	clock clock.Clock
	total prometheus.Counter

	mu               sync.Mutex
	trouble, sampled bucket
	// dropped is the number of lines left out since the last report of them, at
	// reportedAt.
	dropped    int64
	reportedAt clock.Millis
}

// New returns a Logger that writes to log, which should not sample, and registers
// its metric.
func New(log *zap.Logger, clk clock.Clock, r prometheus.Registerer) *Logger {
	now := clk.Now()
	l := &Logger{
		log: log, clock: clk,
		total: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "teaseltide_job_log_lines_dropped_total", Help: "Log lines about jobs that were left out because of their rate.",
		}),
		trouble: bucket{perSecond: troubleLinesPerSecond, tokens: troubleLinesPerSecond, filledAt: now},
		sampled: bucket{perSecond: sampledLinesPerSecond, tokens: sampledLinesPerSecond, filledAt: now},
	}
	r.MustRegister(l.total)
	return l
}

// Sampled returns the logger for a line about a job without trouble, nil if the line
// is left out.
func (l *Logger) Sampled(id batch.JobID) *zap.Logger {
	if l == nil || !IsSampled(id) {
		return nil
	}
	return l.take(&l.sampled)
}

// Trouble returns the logger for a line about a job in trouble, nil if the line is
// left out because of the rate.
func (l *Logger) Trouble() *zap.Logger {
	if l == nil {
		return nil
	}
	return l.take(&l.trouble)
}

// take returns the logger if a bucket has a token, and counts a line left out if not.
func (l *Logger) take(b *bucket) *zap.Logger {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b.take(l.clock.Now()) {
		return l.log
	}
	l.dropped++
	l.total.Inc()
	return nil
}

// ReportDropped writes the number of lines left out, at most once a second. Call it
// at least as often.
func (l *Logger) ReportDropped(now clock.Millis) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dropped == 0 || now-l.reportedAt < dropReportInterval {
		return
	}
	l.log.Warn("log lines dropped", zap.String("reason", "rate of lines about jobs"), zap.Int64("lines", l.dropped))
	l.dropped, l.reportedAt = 0, now
}

// bucket is a token bucket that holds the tokens of a second.
type bucket struct {
	perSecond float64
	tokens    float64
	filledAt  clock.Millis
}

func (b *bucket) take(now clock.Millis) bool {
	if now > b.filledAt {
		b.tokens = min(b.perSecond, b.tokens+b.perSecond*float64(now-b.filledAt)/float64(clock.Second))
		b.filledAt = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
