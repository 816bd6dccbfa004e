package entrynode

import (
	"context"
	"strings"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// recordDecision counts and logs a decision of the core.
func (p *Process) recordDecision(c scheduler.Decision) {
	switch c.Summary {
	case scheduler.JobEnded:
		p.deps.Metrics.observeDuration(c.Reason, clock.Millis(c.Value))
	case scheduler.JobGivenUp:
		p.deps.Metrics.givenUp.WithLabelValues(reasonLabel(c.Reason)).Inc()
		p.deps.Metrics.refusedFree.WithLabelValues(reasonLabel(c.Reason)).Observe(c.FreeShare)
	case scheduler.JobRefused:
		p.deps.Metrics.refused.WithLabelValues(reasonLabel(c.Reason)).Inc()
		p.deps.Metrics.refusedFree.WithLabelValues(reasonLabel(c.Reason)).Observe(c.FreeShare)
	}
	if log := p.decisionLogger(c); log != nil {
		log.Info(c.Summary, decisionFields(c)...)
	}
}

// decisionLogger returns the logger for the line of a decision, nil if the line is
// left out.
func (p *Process) decisionLogger(c scheduler.Decision) *zap.Logger {
	switch {
	case c.Job == "":
		return p.deps.Log
	case c.Summary == scheduler.JobAccepted || c.Summary == scheduler.RunOrdered || c.Summary == scheduler.JobEnded && c.Reason == string(batch.Complete):
		return p.deps.Jobs.Sampled(c.Job)
	}
	return p.deps.Jobs.Trouble()
}

// decisionFields returns the fields of a decision's log line.
func decisionFields(c scheduler.Decision) []zap.Field {
	fields := []zap.Field{
		zap.String("job", string(c.Job)), zap.String("reason", c.Reason), zap.Int64("value", c.Value),
		zap.String("sidecar", string(c.Sidecar)), zap.Uint32("step", c.Run.Step), zap.Uint32("index", c.Run.Index), zap.Int64("attempt", int64(c.Run.Attempt)),
	}
	if c.Route != "" {
		fields = append(fields, zap.String("route", string(c.Route)))
	}
	for _, d := range c.Details {
		if d.Name != "" {
			fields = append(fields, zap.Int64(d.Name, d.Value))
		}
	}
	return fields
}

// recordCallerLeft counts and logs a caller of a best-effort job that no longer waits
// for its reply.
func (p *Process) recordCallerLeft(cause error, id batch.JobID, waited clock.Millis) {
	reason := "connection ended"
	if errors.Is(cause, context.DeadlineExceeded) {
		reason = "time over"
	}
	p.deps.Metrics.callersLeft.WithLabelValues(reasonLabel(reason)).Inc()
	if log := p.deps.Jobs.Trouble(); log != nil {
		log.Info("caller left", zap.String("job", string(id)), zap.String("reason", reason), zap.Int64("waited-ms", int64(waited)))
	}
}

func reasonLabel(reason string) string { return strings.ReplaceAll(reason, " ", "-") }
