package cli

import (
	"strings"
	"testing"

	"github.com/teaseltide/teaseltide/internal/fleet"
	"github.com/teaseltide/teaseltide/internal/platform"
	"github.com/teaseltide/teaseltide/internal/settings"
)

// Guards against a success message for a sidecar that is still registered, because
// the command was given the name of a worker or a mistyped incarnation, and against
// a registration that retire does not delete.
func TestRetire(t *testing.T) {
	s := startStore(t)
	directory, closeStore, err := newDirectory(settings.Store{Endpoints: []string{s.URL()}, Prefix: "/teaseltide/"}, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer closeStore()
	if err := directory.RegisterSidecar(t.Context(), platform.SidecarRegistration{Sidecar: "side-1-x", Address: "127.0.0.1:1"}); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name, store string
		code        int
		text        string
		registered  bool
	}{
		{"side-1", s.URL(), ExitFailure, `no sidecar is registered as "side-1"; give the incarnation that teaseltide status shows`, true},
		{"side-1-x", "http://" + fleet.FreeAddress(), ExitStoreUnavailable, "refused", true},
		{"side-1-x", s.URL(), ExitOK, "side-1-x is no longer registered", false},
		{"side-1-x", s.URL(), ExitFailure, "no sidecar is registered", false},
	} {
		code, stdout, stderr := runProgram("retire", c.name, "--store", c.store)
		if code != c.code || !strings.Contains(stdout+stderr, c.text) {
			t.Errorf("retire %s: got exit code %d, output %q and %q, want %d and %q", c.name, code, stdout, stderr, c.code, c.text)
		}
		if got, err := directory.HasSidecar(t.Context(), "side-1-x"); err != nil || got != c.registered {
			t.Errorf("retire %s: got registered %t, %v, want %t", c.name, got, err, c.registered)
		}
	}
}
