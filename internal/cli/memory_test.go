package cli

import (
	"runtime/debug"
	"testing"

	"github.com/teaseltide/teaseltide/internal/settings"
)

// Guards against a limit from the settings that overrides the operator's
// GOMEMLIMIT.
func TestLimitMemory(t *testing.T) {
	former := debug.SetMemoryLimit(-1)
	defer debug.SetMemoryLimit(former)
	for _, c := range []struct {
		environment string
		want        int64
	}{{"", 1 << 40}, {"2TiB", former}, {"off", former}} {
		debug.SetMemoryLimit(former)
		t.Setenv("GOMEMLIMIT", c.environment)
		limitMemory(settings.Size(1 << 40))
		if got := debug.SetMemoryLimit(-1); got != c.want {
			t.Errorf("GOMEMLIMIT %q: got a limit of %d, want %d", c.environment, got, c.want)
		}
	}
}
