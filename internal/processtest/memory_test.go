package processtest

import (
	"testing"

	"github.com/teaseltide/teaseltide/internal/settings"
)

// Guards against sidecars that run without the memory limit of their settings.
// Not parallel, because it changes the environment that the processes inherit.
func TestSidecarMemoryLimit(t *testing.T) {
	t.Setenv("GOMEMLIMIT", "")
	r := start(t, smallShape())
	got, err := r.Metric(r.ctx, r.SidecarURL(0), "go_gc_gomemlimit_bytes")
	r.must(err)
	if want := float64(settings.DefaultSidecar().Limits.Memory); got != want {
		t.Errorf("got a memory limit of %.0f bytes, want %.0f", got, want)
	}
}
