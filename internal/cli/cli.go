// Package cli implements the subcommands of the teaseltide program.
package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/lesismal/nbio/logging"
	"github.com/pkg/errors"

	"github.com/teaseltide/teaseltide/internal/settings"
)

// Exit codes of the program.
const (
	ExitOK      = 0
	ExitFailure = 1
	// ExitUsage means that the command line is not valid.
	ExitUsage = 2
	// ExitInvalidFile means that a services text, a settings file or a job has
	// faults.
	ExitInvalidFile = 3
	// ExitConflict means that the services text was changed by another operator.
	ExitConflict = 4
	// ExitStoreUnavailable means that the store did not answer.
	ExitStoreUnavailable = 5
	// ExitJobFailed, ExitJobNotRun and ExitJobUnknown are the outcomes of a
	// submitted job.
	ExitJobFailed  = 6
	ExitJobNotRun  = 7
	ExitJobUnknown = 8
	// ExitInterrupted means that a second signal ended a graceful shutdown.
	ExitInterrupted = 130
)

type arguments struct {
	Entry   *entryCommand   `arg:"subcommand:entry" help:"run an entry: serve callers, own partitions, place tasks"`
	Sidecar *sidecarCommand `arg:"subcommand:sidecar" help:"run the process beside a backend server"`
	Check   *checkCommand   `arg:"subcommand:check" help:"check a services text"`
	Apply   *applyCommand   `arg:"subcommand:apply" help:"check a services text and put it in force"`
	Retire  *retireCommand  `arg:"subcommand:retire" help:"delete the registration of a sidecar whose VM is gone for good"`
	Status  *statusCommand  `arg:"subcommand:status" help:"show what an entry knows, or explain a job"`
	Submit  *submitCommand  `arg:"subcommand:submit" help:"submit a job and wait for its answer"`
	Version *versionCommand `arg:"subcommand:version" help:"print version and build information"`
}

// Description implements the interface of go-arg.
func (arguments) Description() string {
	return "teaseltide dispatches jobs of sub-second tasks to backend servers."
}

// Epilogue implements the interface of go-arg.
func (arguments) Epilogue() string {
	return "Exit codes: 0 ok, 1 failure, 2 usage, 3 faults in a file, 4 conflict with another operator,\n" +
		"5 store not available, 6 job failed, 7 job not run, 8 outcome of the job unknown, 130 interrupted.\n\n" +
		"Settings of an entry, with defaults:\n" + settings.Help(settings.DefaultEntry()) +
		"\nSettings of a sidecar, with defaults:\n" + settings.Help(settings.DefaultSidecar())
}

// command is a subcommand. run returns the exit code.
type command interface {
	run(ctx context.Context, stdout, stderr io.Writer) int
}

// Main runs the program with the arguments after the program's name and returns
// its exit code. The first SIGTERM or SIGINT starts a graceful shutdown, the
// second ends the process immediately.
func Main(args []string, stdout, stderr io.Writer) int {
	// nbio logs to standard output by default.
	logging.SetLevel(logging.LevelNone)
	var a arguments
	p, err := arg.NewParser(arg.Config{Program: "teaseltide"}, &a)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailure
	}
	switch err := p.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		if p.WriteHelpForSubcommand(stdout, p.SubcommandNames()...) != nil {
			p.WriteHelp(stdout)
		}
		return ExitOK
	case err != nil:
		fmt.Fprintln(stderr, "teaseltide:", err)
		if p.WriteUsageForSubcommand(stderr, p.SubcommandNames()...) != nil {
			p.WriteUsage(stderr)
		}
		return ExitUsage
	}
	cmd, ok := p.Subcommand().(command)
	if !ok {
		p.WriteUsage(stderr)
		return ExitUsage
	}
	ctx, stop := signalContext()
	defer stop()
	return cmd.run(ctx, stdout, stderr)
}

// signalContext returns a context that is cancelled by the first signal. The
// second signal ends the process with ExitInterrupted.
func signalContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancel()
		<-signals
		os.Exit(ExitInterrupted)
	}()
	return ctx, cancel
}
