package cli

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"os"

	"github.com/pkg/errors"

	"github.com/teaseltide/teaseltide/pkg/caller"
)

type submitCommand struct {
	URL  []string `arg:"--url,required" help:"base URL of an entry's callers listener; several may be given"`
	File string   `arg:"positional,required" help:"job in JSON, as for POST /v1/jobs; - for standard input"`
}

func (c *submitCommand) run(ctx context.Context, stdout, stderr io.Writer) int {
	for _, u := range c.URL {
		if err := checkURL(u); err != nil {
			return reportError(stderr, ExitUsage, err)
		}
	}
	data, err := c.read()
	if err != nil {
		return reportError(stderr, ExitFailure, err)
	}
	job, err := caller.DecodeJob(data)
	if err != nil {
		return reportError(stderr, ExitInvalidFile, err)
	}
	answer, err := caller.New(c.URL...).Submit(ctx, job)
	if err != nil {
		return reportError(stderr, exitCodeOfError(err), err)
	}
	body, err := answer.JSON()
	if err != nil {
		return reportError(stderr, ExitFailure, err)
	}
	fmt.Fprintln(stdout, string(body))
	return exitCodeOf(answer.Ran)
}

// checkURL rejects a --url without a scheme, which net/url would parse as a path.
func checkURL(raw string) error {
	u, err := url.Parse(raw)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return errors.Errorf("--url %q is not of the form http://HOST:PORT", raw)
	}
	return nil
}

func (c *submitCommand) read() ([]byte, error) {
	if c.File == "-" {
		data, err := io.ReadAll(os.Stdin)
		return data, errors.WithStack(err)
	}
	data, err := os.ReadFile(c.File)
	return data, errors.WithStack(err)
}

func exitCodeOfError(err error) int {
	var e *caller.Error
	if errors.As(err, &e) {
		return exitCodeOf(e.Ran)
	}
	return ExitFailure
}

// exitCodeOf returns the exit code for the outcome of a job.
func exitCodeOf(ran caller.Ran) int {
	switch ran {
	case caller.Complete:
		return ExitOK
	case caller.Failed:
		return ExitJobFailed
	case caller.NotRun:
		return ExitJobNotRun
	}
	return ExitJobUnknown
}
