package control

import (
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/teaseltide/teaseltide/pkg/clock"
)

// pauseThreshold is how late a turn of a control thread is for the process to count
// as paused. It is below the shortest time that matters to callers, the age of 500 ms
// at which orders expire, and above the delays of a busy machine.
const pauseThreshold = 200 * clock.Millis(1)

// Pauses logs and counts the pauses of a process.
type Pauses struct {
	log     *zap.Logger
	seconds prometheus.Counter
}

// NewPauses returns a Pauses that writes to log and registers its metric.
func NewPauses(log *zap.Logger, r prometheus.Registerer) *Pauses {
	p := &Pauses{log: log, seconds: prometheus.NewCounter(prometheus.CounterOpts{
		Name: "teaseltide_paused_seconds_total", Help: "Time in which the control thread did not run when it was due.",
	})}
	r.MustRegister(p.seconds)
	return p
}

// record records that a turn due at a time came late by late. A nil Pauses ignores
// it.
func (p *Pauses) record(late clock.Millis) {
	if p == nil || late <= pauseThreshold {
		return
	}
	p.seconds.Add(late.Duration().Seconds())
	p.log.Warn("process paused", zap.Int64("paused-ms", int64(late)))
}
