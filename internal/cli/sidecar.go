package cli

import (
	"context"
	"io"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/peer"
	"github.com/teaseltide/teaseltide/internal/platform"
	"github.com/teaseltide/teaseltide/internal/settings"
	"github.com/teaseltide/teaseltide/internal/sidecar"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

type sidecarCommand struct {
	Settings string `arg:"positional,required" help:"file with the settings"`
}

func (c *sidecarCommand) run(ctx context.Context, _, stderr io.Writer) int {
	s, err := settings.LoadSidecar(c.Settings)
	if err != nil {
		return reportError(stderr, ExitInvalidFile, err)
	}
	limitMemory(s.Limits.Memory)
	return runProcess(&s.Common, stderr, func(token string, log *zap.Logger) error {
		return runSidecar(ctx, &s, token, log)
	})
}

func runSidecar(ctx context.Context, s *settings.Sidecar, token string, log *zap.Logger) error {
	registry := prometheus.NewRegistry()
	calls := newCallCounter(registry)
	report := func(err error) { log.Warn("store", zap.Error(err)) }
	directory, closeStore, err := newDirectory(s.Store, report, calls.count)
	if err != nil {
		return err
	}
	defer closeStore()
	traces, err := startTraces(ctx, s.Traces, "sidecar", s.Name, registry, log)
	if err != nil {
		return err
	}
	defer traces.stop(log)
	clk := clock.NewSystem()
	sessions := &entrySessions{
		cfg: peerConfig(&s.Common, token, log), clk: clk, frames: newFrameCounter(registry), log: log,
		byID: make(map[sidecar.SessionID]*peer.Session), bySession: make(map[*peer.Session]sidecar.SessionID),
	}
	operators, err := serveOperators(s.OperatorsAddress, token, registry, map[string]http.HandlerFunc{
		"GET /v1/status": sessions.status,
	})
	if err != nil {
		return err
	}
	defer operators.Stop()
	return sidecar.Run(ctx, sidecar.Settings{
		Name:               s.Name,
		Domain:             ownership.Domain(s.FailureDomain),
		Worker:             s.Worker,
		Rack:               s.Rack,
		Address:            s.PeersAddress,
		Announce:           s.AnnounceAddress,
		MaxResultBytes:     int64(s.Limits.MaxResultBytes),
		MaxTaskResultBytes: int64(s.Limits.MaxTaskResultBytes),
		MaxQueued:          s.Limits.MaxQueued,
		ClockSkew:          s.Timing.ClockSkew.Millis(),
	}, sidecar.Deps{
		Store: sidecarStore{directory}, Sessions: sessions, Clock: clk, Log: log, Metrics: registry, Tracer: traces.tracer,
	})
}

// sidecarStore implements the store interface of a sidecar.
type sidecarStore struct {
	directory *platform.Directory
}

func (s sidecarStore) Register(ctx context.Context, r sidecar.Registration) error {
	return s.directory.RegisterSidecar(ctx, platform.SidecarRegistration(r))
}

func (s sidecarStore) ReadRecord(ctx context.Context) (ownership.Record, error) {
	return s.directory.ReadRecord(ctx)
}

func (s sidecarStore) Deregister(ctx context.Context, id ownership.Incarnation) error {
	return s.directory.DeleteSidecar(ctx, id)
}
