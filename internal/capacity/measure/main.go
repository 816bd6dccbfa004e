// Command measure prints how the load of each role grows. See package
// capacity.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"github.com/teaseltide/teaseltide/internal/capacity"
)

type arguments struct {
	Processes string `arg:"--processes" placeholder:"BIN" help:"measure whole processes, with the programs of this directory"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := run(args); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func run(args arguments) error {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	var report *capacity.Report
	var err error
	if args.Processes == "" {
		report, err = capacity.Measure(os.Stderr)
	} else {
		report, err = capacity.MeasureProcesses(ctx, args.Processes, os.Stderr)
	}
	if err != nil {
		return err
	}
	return report.Write(os.Stdout)
}
