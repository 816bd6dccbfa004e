package cli

import (
	"os"
	"runtime/debug"

	"github.com/teaseltide/teaseltide/internal/settings"
)

// limitMemory sets the soft memory limit of the Go runtime unless the operator has
// set GOMEMLIMIT, which the runtime reads at startup.
func limitMemory(limit settings.Size) {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(limit))
	}
}
