package cli

import (
	"context"
	"io"
	"time"

	"github.com/teaseltide/teaseltide/internal/platform"
	"github.com/teaseltide/teaseltide/internal/settings"
)

// storeCallTimeout bounds the sum of all store calls of an operators' command.
const storeCallTimeout = 10 * time.Second

// storeArguments are the arguments of the operators' commands that call the
// store.
type storeArguments struct {
	Store  []string `arg:"--store,required" help:"URL of the store's JSON gateway; several may be given"`
	Prefix string   `arg:"--prefix" default:"/teaseltide/" help:"prefix of the keys in the store"`
}

// withDirectory runs a command with a client of the store and returns its exit
// code.
func (a *storeArguments) withDirectory(ctx context.Context, stderr io.Writer, command func(context.Context, *platform.Directory) int) int {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	directory, closeStore, err := newDirectory(settings.Store{Endpoints: a.Store, Prefix: a.Prefix}, nil, nil)
	if err != nil {
		return reportError(stderr, ExitUsage, err)
	}
	defer closeStore()
	return command(ctx, directory)
}
