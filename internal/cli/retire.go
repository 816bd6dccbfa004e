package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/pkg/errors"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/platform"
)

type retireCommand struct {
	Incarnation string `arg:"positional,required" help:"incarnation of the sidecar, as teaseltide status shows it"`
	storeArguments
}

// run deletes the registration of a sidecar. Only an operator can know that an
// unreachable VM is permanently lost; an entry cannot. An unknown incarnation is
// an error: the store deletes a key that does not exist without an error, and a
// mistyped incarnation would appear to be retired.
func (c *retireCommand) run(ctx context.Context, stdout, stderr io.Writer) int {
	return c.withDirectory(ctx, stderr, func(ctx context.Context, directory *platform.Directory) int {
		return c.retire(ctx, directory, stdout, stderr)
	})
}

func (c *retireCommand) retire(ctx context.Context, directory *platform.Directory, stdout, stderr io.Writer) int {
	sidecar := ownership.Incarnation(c.Incarnation)
	registered, err := directory.HasSidecar(ctx, sidecar)
	if err != nil {
		return reportError(stderr, ExitStoreUnavailable, err)
	}
	if !registered {
		return reportError(stderr, ExitFailure, errors.Errorf("no sidecar is registered as %q; give the incarnation that teaseltide status shows", c.Incarnation))
	}
	if err := directory.DeleteSidecar(ctx, sidecar); err != nil {
		return reportError(stderr, ExitStoreUnavailable, err)
	}
	fmt.Fprintf(stdout, "%s is no longer registered\n", c.Incarnation)
	return ExitOK
}
