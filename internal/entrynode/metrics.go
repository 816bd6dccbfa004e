package entrynode

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Metrics are the Prometheus metrics of an entry. They are shared by its successive
// incarnations within a process; the control thread updates them.
type Metrics struct {
	lastCounters scheduler.Counters
	jobs         *prometheus.CounterVec
	runs         *prometheus.CounterVec
	events       *prometheus.CounterVec
	open         prometheus.Gauge
	duration     *prometheus.HistogramVec
	// refused, givenUp and callersLeft are counted by reason.
	refused, givenUp, callersLeft *prometheus.CounterVec
	// refusedFree has the free share of capacity at refusals, by reason.
	refusedFree *prometheus.HistogramVec
	othersWork  prometheus.Gauge
}

// durationBuckets are the histogram buckets of job durations in seconds, from a
// short task to the longest wait of a caller.
var durationBuckets = []float64{.05, .1, .2, .4, .8, 1.6, 3.2, 6.4}

// freeShareBuckets are the histogram buckets of the free share of capacity: workers are
// crowded with less than 0.15.
var freeShareBuckets = []float64{0, .02, .05, .1, .15, .25, .5, 1}

// NewMetrics creates and registers the metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		jobs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "teaseltide_jobs_total", Help: "Jobs by what became of them.",
		}, []string{"outcome"}),
		runs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "teaseltide_runs_total", Help: "Runs of tasks by what became of them.",
		}, []string{"outcome"}),
		events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "teaseltide_scheduler_events_total", Help: "Takeovers, ejections and starts that came back from evacuated workers.",
		}, []string{"event"}),
		open: prometheus.NewGauge(prometheus.GaugeOpts{Name: "teaseltide_open_jobs", Help: "Jobs that have not ended."}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "teaseltide_job_duration_seconds", Help: "Time from acceptance to the end of a job.", Buckets: durationBuckets,
		}, []string{"state"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "teaseltide_jobs_refused_total", Help: "Jobs that were not accepted, by reason.",
		}, []string{"reason"}),
		givenUp: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "teaseltide_jobs_given_up_total", Help: "Accepted jobs that were given up, by reason.",
		}, []string{"reason"}),
		callersLeft: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "teaseltide_callers_left_total", Help: "Callers that did not wait for the reply, by reason.",
		}, []string{"reason"}),
		refusedFree: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "teaseltide_refused_free_share", Help: "Free share of the capacity when a job was refused or given up, by reason.", Buckets: freeShareBuckets,
		}, []string{"reason"}),
		othersWork: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "teaseltide_others_queued_core_seconds", Help: "Declared work that waits at the other entries.",
		}),
	}
	r.MustRegister(m.jobs, m.runs, m.events, m.open, m.duration, m.refused, m.givenUp, m.callersLeft, m.refusedFree, m.othersWork)
	return m
}

// coreSecond is a core for a second, in millicores times ms.
const coreSecond = 1e6

// addCounters adds the increase of the core's counters since the last call. Those
// of a new incarnation start at 0, which adds nothing.
func (m *Metrics) addCounters(c scheduler.Counters, open int, othersWork float64) {
	m.othersWork.Set(othersWork / coreSecond)
	if c == m.lastCounters {
		return
	}
	add := func(v *prometheus.CounterVec, label string, now, before int64) {
		if now > before {
			v.WithLabelValues(label).Add(float64(now - before))
		}
	}
	l := m.lastCounters
	add(m.jobs, "accepted", c.Accepted, l.Accepted)
	add(m.jobs, "refused", c.Refused, l.Refused)
	add(m.jobs, "complete", c.Completed, l.Completed)
	add(m.jobs, "failed", c.FailedJobs, l.FailedJobs)
	add(m.jobs, "cancelled", c.CancelledJobs, l.CancelledJobs)
	add(m.runs, "started", c.Starts, l.Starts)
	add(m.runs, "failed", c.Failures, l.Failures)
	add(m.runs, "lost", c.Lost, l.Lost)
	add(m.runs, "not-started", c.NotStarted, l.NotStarted)
	add(m.runs, "stalled", c.Stalled, l.Stalled)
	add(m.runs, "worker-crashed", c.Crashes, l.Crashes)
	add(m.events, "takeover", c.Takeovers, l.Takeovers)
	add(m.events, "ejection", c.Ejections, l.Ejections)
	add(m.events, "start-refused-evacuated", c.StartsEvacuated, l.StartsEvacuated)
	m.open.Set(float64(open))
	m.lastCounters = c
}

// observeDuration records the duration of a job that ended in a state.
func (m *Metrics) observeDuration(state string, took clock.Millis) {
	m.duration.WithLabelValues(state).Observe(took.Duration().Seconds())
}
