package sidecarnode

import (
	"go.uber.org/zap"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/executor"
	"github.com/teaseltide/teaseltide/internal/ownership"
)

func (p *Process) recordStart(c executor.StartRun) {
	p.deps.Metrics.countStart()
	if log := p.deps.Jobs.Sampled(c.Run.Job); log != nil {
		log.Info("run started", runField(c.Run), entryField(c.Entry), zap.Int64("order-age-ms", int64(c.OrderAge)),
			zap.Int64("report-ms", int64(c.ReportSentAt)), zap.Int64("lease-until-ms", int64(c.LeaseUntil)),
			zap.Int64("latest-lease-ms", int64(c.LatestLease)), zap.Int64("token", c.Token))
	}
}

func (p *Process) recordStop(c executor.StopRun) {
	p.deps.Metrics.countStop(c.Reason)
	if log := p.deps.Jobs.Trouble(); log != nil {
		log.Info("stop sent", runField(c.Run), entryField(c.Entry), zap.String("reason", string(c.Reason)))
	}
}

func (p *Process) recordEnd(c executor.RunEnded) {
	p.deps.Metrics.countEnd(c.Outcome)
	if log := p.endLogger(c); log != nil {
		log.Info("run ended", runField(c.Run), entryField(c.Entry), zap.String("outcome", string(c.Outcome)),
			zap.Int64("run-ms", int64(c.RunTime)), zap.Bool("stopped", c.Stopped))
	}
}

// endLogger returns the logger for the line of an end, nil if the line is left out.
func (p *Process) endLogger(c executor.RunEnded) *zap.Logger {
	if c.Outcome == batch.OutcomeDone && !c.Stopped {
		return p.deps.Jobs.Sampled(c.Run.Job)
	}
	return p.deps.Jobs.Trouble()
}

func (p *Process) recordRefusal(c executor.OrderRefused) {
	p.deps.Metrics.countRefusal(c.Reason)
	if log := p.deps.Jobs.Trouble(); log != nil {
		log.Info("order refused", runField(c.Run), entryField(c.Entry), zap.String("reason", string(c.Reason)),
			zap.Int64("order-age-ms", int64(c.OrderAge)))
	}
}

func (p *Process) recordResolved(c executor.StartResolved) {
	if log := p.deps.Jobs.Trouble(); log != nil {
		log.Info("unanswered start resolved", runField(c.Run), entryField(c.Entry), zap.String("effect", string(c.Effect)),
			zap.Int64("age-ms", int64(c.Age)), zap.Bool("worker-replaced", c.Replaced))
	}
}

func (p *Process) recordInterference(c executor.InterferenceChanged) {
	p.deps.Metrics.countInterference(c.Detected)
	message := "interference forgotten"
	if c.Detected {
		message = "interference detected"
	}
	p.deps.Log.Info(message, zap.String("slowed", string(c.Pair.Slowed)), zap.String("by", string(c.Pair.By)), zap.Int("percent", int(c.Factor)))
}

func entryField(id ownership.Incarnation) zap.Field { return zap.String("entry", string(id)) }

func runField(id batch.RunID) zap.Field {
	return zap.Dict("run", zap.String("job", string(id.Job)), zap.Uint32("step", id.Step), zap.Uint32("index", id.Index), zap.Int64("attempt", int64(id.Attempt)))
}
