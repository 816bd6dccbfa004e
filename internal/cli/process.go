package cli

import (
	"crypto/rand"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/peer"
	"github.com/teaseltide/teaseltide/internal/platform"
	"github.com/teaseltide/teaseltide/internal/settings"
)

// nonceLength keeps incarnations short; 10 characters of base 32 hold 50 bits.
const nonceLength = 10

// newIncarnation returns a unique name for one run of a process.
func newIncarnation(name string) ownership.Incarnation {
	return ownership.Incarnation(name + "-" + strings.ToLower(rand.Text()[:nonceLength]))
}

// newLog returns the logger of a process. By convention each state change has one
// line and a task has none.
func newLog(s settings.Log, out io.Writer) (*zap.Logger, error) {
	level, err := zapcore.ParseLevel(s.Level)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.ISO8601TimeEncoder
	encoder := zapcore.NewJSONEncoder(cfg)
	if s.Format == "console" {
		encoder = zapcore.NewConsoleEncoder(cfg)
	}
	return zap.New(zapcore.NewCore(encoder, zapcore.AddSync(out), level)), nil
}

// runProcess reads the token, creates the logger and runs a process. It returns the
// exit code.
func runProcess(s *settings.Common, stderr io.Writer, run func(token string, log *zap.Logger) error) int {
	token, err := s.Token()
	if err != nil {
		return reportError(stderr, ExitInvalidFile, err)
	}
	log, err := newLog(s.Log, stderr)
	if err != nil {
		return reportError(stderr, ExitInvalidFile, err)
	}
	if err := run(token, log); err != nil {
		return reportError(stderr, ExitFailure, err)
	}
	return ExitOK
}

// newDirectory returns a client of the store and a function that closes it. report
// receives the errors of its background loops and observeCall each finished call;
// both may be nil.
func newDirectory(s settings.Store, report func(error), observeCall func(platform.Call)) (*platform.Directory, func(), error) {
	gateway, err := platform.NewGateway(platform.GatewaySettings{Endpoints: s.Endpoints, Timeout: s.Timeout.Millis(), Observe: observeCall})
	if err != nil {
		return nil, nil, err
	}
	return platform.NewDirectory(gateway, platform.DirectorySettings{Prefix: s.Prefix, OnError: report}), gateway.Close, nil
}

// peerConfig returns the settings of the sessions between processes.
func peerConfig(s *settings.Common, token string, log *zap.Logger) peer.Config {
	cfg := peer.DefaultConfig()
	cfg.Listen = s.PeersAddress
	cfg.Token = token
	cfg.PingAfter = s.Timing.PingAfter.Millis()
	cfg.PingTimeout = s.Timing.PingTimeout.Millis()
	cfg.IdlePingAfter = s.Timing.IdlePing.Millis()
	cfg.OnFailure = func(err error) { log.Debug("session failed", zap.Error(err)) }
	return cfg
}

// reportError prints an error that ends a command and returns the exit code.
func reportError(stderr io.Writer, code int, err error) int {
	fmt.Fprintln(stderr, "teaseltide:", err)
	return code
}
