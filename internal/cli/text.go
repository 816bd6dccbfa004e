package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"github.com/teaseltide/teaseltide/internal/platform"
	"github.com/teaseltide/teaseltide/pkg/operator"
)

type checkCommand struct {
	File string `arg:"positional,required" help:"services text in YAML"`
}

func (c *checkCommand) run(_ context.Context, stdout, stderr io.Writer) int {
	text, _, err := readText(c.File)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitInvalidFile
	}
	fmt.Fprintf(stdout, "%s: %d teams, %d services, no faults\n", c.File, len(text.Teams), len(text.Services))
	return ExitOK
}

func readText(file string) (*operator.Text, []byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, errors.WithStack(err)
	}
	text, err := operator.Parse(file, data)
	return text, data, err
}

type applyCommand struct {
	File string `arg:"positional,required" help:"services text in YAML"`
	storeArguments
	ExpectRevision *int64 `arg:"--expect-revision" help:"revision that the text replaces; by default the present one"`
}

func (c *applyCommand) run(ctx context.Context, stdout, stderr io.Writer) int {
	_, data, err := readText(c.File)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitInvalidFile
	}
	return c.withDirectory(ctx, stderr, func(ctx context.Context, directory *platform.Directory) int {
		return c.apply(ctx, directory, data, stdout, stderr)
	})
}

func (c *applyCommand) apply(ctx context.Context, directory *platform.Directory, data []byte, stdout, stderr io.Writer) int {
	expectedRevision, err := c.expectedRevision(ctx, directory)
	if err != nil {
		return reportError(stderr, ExitStoreUnavailable, err)
	}
	revision, err := directory.WriteText(ctx, expectedRevision, data)
	switch platform.KindOf(err) {
	case "":
		fmt.Fprintf(stdout, "%s is in force as revision %d\n", c.File, revision)
		return ExitOK
	case platform.Conflict, platform.Superseded:
		fmt.Fprintf(stderr, "teaseltide: the text was changed by another operator: expected revision %d, present is %d; merge the two texts and apply the result with --expect-revision %[2]d\n",
			expectedRevision, platform.CurrentRevision(err))
		return ExitConflict
	case platform.Unknown:
		fmt.Fprintln(stderr, "teaseltide: whether the text is in force is unknown; compare the revision that status shows before applying it again")
	}
	return reportError(stderr, ExitStoreUnavailable, err)
}

func (c *applyCommand) expectedRevision(ctx context.Context, directory *platform.Directory) (platform.Revision, error) {
	if c.ExpectRevision != nil {
		return platform.Revision(*c.ExpectRevision), nil
	}
	text, err := directory.ReadText(ctx)
	return text.Revision, err
}
