package cli

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/teaseltide/teaseltide/internal/dispatch"
	"github.com/teaseltide/teaseltide/internal/entry"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/settings"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

type entryCommand struct {
	Settings string `arg:"positional,required" help:"file with the settings"`
}

func (c *entryCommand) run(ctx context.Context, _, stderr io.Writer) int {
	s, err := settings.LoadEntry(c.Settings)
	if err != nil {
		return reportError(stderr, ExitInvalidFile, err)
	}
	return runProcess(&s.Common, stderr, func(token string, log *zap.Logger) error {
		return runEntry(ctx, &s, token, log)
	})
}

func runEntry(ctx context.Context, s *settings.Entry, token string, log *zap.Logger) error {
	registry := prometheus.NewRegistry()
	report := func(err error) { log.Warn("store", zap.Error(err)) }
	directory, closeStore, err := newDirectory(s.Store, report, newCallCounter(registry).count)
	if err != nil {
		return err
	}
	defer closeStore()
	settings := entrySettings(s, token, log)
	traces, err := startTraces(ctx, s.Traces, "entry", string(settings.Incarnation), registry, log)
	if err != nil {
		return err
	}
	defer traces.stop(log)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var operators operatorServer
	var listenErr error
	err = entry.Run(ctx, settings, entry.Deps{
		Store: directory, Clock: clock.NewSystem(), Log: log, Metrics: registry,
		Frames: newFrameCounter(registry), Tracer: traces.tracer,
		OnStarted: func(p *entry.Process) {
			operators, listenErr = serveOperators(s.OperatorsAddress, token, registry, map[string]http.HandlerFunc{
				"GET /v1/status":                         statusHandler(p),
				"GET /v1/explain/{service}/{team}/{key}": explainHandler(p),
			})
			if listenErr != nil {
				cancel()
			}
		},
	})
	operators.Stop()
	if listenErr != nil {
		return listenErr
	}
	return err
}

func entrySettings(s *settings.Entry, token string, log *zap.Logger) entry.Settings {
	return entry.Settings{
		Incarnation:        newIncarnation(s.Name),
		Domain:             ownership.Domain(s.FailureDomain),
		CallersAddress:     s.CallersAddress,
		PeersAddress:       s.PeersAddress,
		Peer:               peerConfig(&s.Common, token, log),
		Limits:             callerLimits(&s.Limits),
		MaxPendingRequests: s.Limits.MaxWaiting,
		DrainTimeout:       s.Limits.DrainTimeout.Millis(),
		Retention:          s.Timing.Retention.Millis(),
		ClockSkew:          s.Timing.ClockSkew.Millis(),
		SuspectAfter:       s.Timing.SuspectAfter.Millis(),
		FenceGrace:         s.Timing.FenceGrace.Millis(),
		SingleDomain:       s.SingleDomain,
	}
}

func statusHandler(p *entry.Process) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		status, ok := p.Status(r.Context())
		if !ok {
			http.Error(w, "the entry is stopping", http.StatusServiceUnavailable)
			return
		}
		writeJSON(w, status)
	}
}

func explainHandler(p *entry.Process) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		a := p.Explain(r.Context(), r.PathValue("service"), r.PathValue("team"), r.PathValue("key"))
		if a == nil {
			http.Error(w, "the entry has too many requests", http.StatusServiceUnavailable)
			return
		}
		writeJSON(w, dispatch.ExplanationOf(a))
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
