package cli

import (
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"testing"

	"github.com/teaseltide/teaseltide/internal/fleet"
)

// Guards against wrong exit codes and messages of check and apply, on which scripts
// of the operators rely: after faults in the text, a conflict with another
// operator, a lost answer of the store, and while the store is unavailable.
func TestCheckAndApply(t *testing.T) {
	dir := t.TempDir()
	good := writeFile(t, filepath.Join(dir, "good.yaml"), servicesText)
	other := writeFile(t, filepath.Join(dir, "other.yaml"), strings.Replace(servicesText, "share: 1", "share: 2", 1))
	bad := writeFile(t, filepath.Join(dir, "bad.yaml"), "teams:\n  - nam: t\n")
	s := startStore(t)
	faults := func(body string) {
		res, err := http.Post(s.URL()+"/faults", "application/json", strings.NewReader(body))
		if err != nil || res.StatusCode >= 300 {
			t.Fatalf("faults %s: %v, %v", body, res, err)
		}
		res.Body.Close()
	}
	store := "--store=" + s.URL()
	nobody := "--store=http://" + fleet.FreeAddress()
	for i, c := range []struct {
		faults string
		args   []string
		code   int
		text   string
	}{
		{"", []string{"check", good}, ExitOK, "1 teams, 1 services, no faults"},
		{"", []string{"check", bad}, ExitInvalidFile, "nam"},
		{"", []string{"check", filepath.Join(dir, "absent.yaml")}, ExitInvalidFile, "absent.yaml"},
		{"", []string{"apply", bad, store}, ExitInvalidFile, "nam"},
		{"", []string{"apply", good}, ExitUsage, "STORE is required"},
		{"", []string{"apply", good, store}, ExitOK, "in force as revision"},
		{"", []string{"apply", other, store, "--expect-revision=0"}, ExitConflict, "changed by another operator: expected revision 0, present is 2; merge the two texts and apply the result with --expect-revision 2"},
		{"", []string{"apply", other, store}, ExitOK, "in force as revision"},
		{`{"lose-next-answers":1}`, []string{"apply", good, store}, ExitOK, "in force as revision"},
		{`{"down":true}`, []string{"apply", good, store}, ExitStoreUnavailable, "store"},
		{`{"down":true}`, []string{"apply", good, store, "--expect-revision=3"}, ExitStoreUnavailable, "whether the text is in force is unknown"},
		{"", []string{"apply", good, nobody, "--expect-revision=3"}, ExitStoreUnavailable, "refused"},
	} {
		if c.faults != "" {
			faults(c.faults)
		}
		code, stdout, stderr := runProgram(c.args...)
		if code != c.code || !strings.Contains(stdout+stderr, c.text) || code == ExitOK && stderr != "" {
			t.Errorf("case %d, %s: got exit code %d, output %q and %q, want %d and %q", i, fmt.Sprint(c.args), code, stdout, stderr, c.code, c.text)
		}
		if c.faults != "" {
			faults("{}")
		}
	}
}
