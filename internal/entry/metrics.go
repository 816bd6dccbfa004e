package entry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/teaseltide/teaseltide/internal/dispatch"
	"github.com/teaseltide/teaseltide/internal/peer"
	"github.com/teaseltide/teaseltide/pkg/caller"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	metricNamespace = "teaseltide"
	metricSubsystem = "entry"
	// nativeBucketFactor gives native histograms a resolution of about 10%;
	// nativeBuckets bounds their memory.
	nativeBucketFactor = 1.1
	nativeBuckets      = 160
)

// metrics are the Prometheus metrics of an entry.
type metrics struct {
	answers         *prometheus.CounterVec
	refusals        *prometheus.CounterVec
	response        *prometheus.HistogramVec
	sessionsClosed  *prometheus.CounterVec
	sessionsFailed  *prometheus.CounterVec
	abandoned       prometheus.Counter
	answersTooLarge prometheus.Counter
	textsRefused    prometheus.Counter
	tracesSkipped   prometheus.Counter
	starts          prometheus.Counter
	resends         prometheus.Counter
	requeued        prometheus.Counter
	claims          prometheus.Counter
	takeovers       prometheus.Counter
	stepDowns       prometheus.Counter
	lastCounters    dispatch.Counters
}

func newMetrics(registry prometheus.Registerer, p *Process) *metrics {
	m := &metrics{
		answers:         counters("answers_total", "Answers to submitted jobs by what is known of the job.", "ran"),
		refusals:        counters("refusals_total", "Requests refused and answers other than complete ones by code.", "code"),
		sessionsClosed:  counters("sessions_closed_total", "Sessions that ended, by reason.", "reason"),
		sessionsFailed:  counters("sessions_failed_total", "Dials and Hello exchanges that failed, by reason.", "reason"),
		abandoned:       counter("abandoned_total", "Requests whose caller closed the connection."),
		answersTooLarge: counter("answers_too_large_total", "Answers that no frame between entries could carry."),
		textsRefused:    counter("texts_refused_total", "Services texts that were refused."),
		tracesSkipped:   counter("traces_skipped_total", "Sampled jobs without spans of this entry, because too many had open ones."),
		starts:          counter("task_starts_total", "Tasks sent to sidecars."),
		resends:         counter("task_resends_total", "Tasks sent again after a session was lost."),
		requeued:        counter("task_requeues_total", "Tasks moved because they provably did not start."),
		claims:          counter("claims_total", "Claims sent to sidecars."),
		takeovers:       counter("takeovers_total", "Partitions fenced at a new epoch."),
		stepDowns:       counter("step_downs_total", "Partitions given up because of a higher epoch."),
		response: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace:                      metricNamespace,
			Subsystem:                      metricSubsystem,
			Name:                           "response_seconds",
			Help:                           "Time from the whole request of a job to its answer, by what is known of the job.",
			NativeHistogramBucketFactor:    nativeBucketFactor,
			NativeHistogramMaxBucketNumber: nativeBuckets,
		}, []string{"ran"}),
	}
	if registry == nil {
		return m
	}
	registry.MustRegister(m.answers, m.refusals, m.response, m.sessionsClosed, m.sessionsFailed, m.abandoned,
		m.answersTooLarge, m.textsRefused, m.tracesSkipped, m.starts, m.resends, m.requeued, m.claims, m.takeovers, m.stepDowns,
		gauge("events_waiting", "Events that wait for the control thread.", func() int64 { return int64(len(p.loop.events) + len(p.loop.submissions)) }),
		gauge("requests_waiting", "Requests of callers in progress.", p.requests.inFlight.Load),
		gauge("cut_off", "1 while this entry has lost the other processes and holds no registration, else 0.", p.connectivity.gauge),
		gauge("text_revision", "Revision of the services text in force.", p.servicesText.revision),
		gauge("record_revision", "Revision of the ownership record that this entry acts on.", p.recordRevision.Load),
	)
	return m
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: metricNamespace, Subsystem: metricSubsystem, Name: name, Help: help})
}

func counters(name, help, label string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: metricNamespace, Subsystem: metricSubsystem, Name: name, Help: help}, []string{label})
}

func gauge(name, help string, read func() int64) prometheus.GaugeFunc {
	opts := prometheus.GaugeOpts{Namespace: metricNamespace, Subsystem: metricSubsystem, Name: name, Help: help}
	return prometheus.NewGaugeFunc(opts, func() float64 { return float64(read()) })
}

// countAnswer records the answer to a submitted job and its response time.
func (m *metrics) countAnswer(a *caller.Answer, took clock.Millis) {
	m.answers.WithLabelValues(string(a.Ran)).Inc()
	m.response.WithLabelValues(string(a.Ran)).Observe(took.Duration().Seconds())
	if a.Ran != caller.Complete {
		m.countRefusal(a.Code)
	}
}

func (m *metrics) countRefusal(code caller.Code) {
	m.refusals.WithLabelValues(string(code)).Inc()
}

func (m *metrics) countSessionClosed(kind peer.ErrorKind) {
	m.sessionsClosed.WithLabelValues(string(kind)).Inc()
}

func (m *metrics) countSessionFailed(kind peer.ErrorKind) {
	m.sessionsFailed.WithLabelValues(string(kind)).Inc()
}

// addCounters adds the increase of the core's counters since the last call.
func (m *metrics) addCounters(now dispatch.Counters) {
	m.starts.Add(float64(now.Starts - m.lastCounters.Starts))
	m.resends.Add(float64(now.Resends - m.lastCounters.Resends))
	m.requeued.Add(float64(now.Requeued - m.lastCounters.Requeued))
	m.claims.Add(float64(now.Claims - m.lastCounters.Claims))
	m.takeovers.Add(float64(now.Takeovers - m.lastCounters.Takeovers))
	m.stepDowns.Add(float64(now.StepDowns - m.lastCounters.StepDowns))
	m.lastCounters = now
}
