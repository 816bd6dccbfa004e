package docscheck

import (
	"strings"
	"testing"
)

const root = "../.."

// Guards against documentation that differs from the code.
func TestRepository(t *testing.T) {
	problems, err := Check(root)
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range problems {
		t.Error(p)
	}
}

// Guards against checks without effect: each change of a page must be reported.
func TestDifferencesAreFound(t *testing.T) {
	for _, tt := range []struct{ name, page, old, new, want string }{
		{"link to a file", "docs/OPERATIONS.md", "(api.md)", "(apis.md)", "link apis.md leads nowhere"},
		{"link to a heading", "docs/OPERATIONS.md", "(#store-outage)", "(#store-outages)", "link #store-outages leads nowhere"},
		{"metric of the entry renamed", "docs/OPERATIONS.md", "teaseltide_entry_claims_total", "teaseltide_entry_claim_total", "metric teaseltide_entry_claims_total is not documented"},
		{"metric of both renamed", "docs/OPERATIONS.md", "teaseltide_peer_bytes_total", "teaseltide_peer_octets_total", "metric teaseltide_peer_octets_total does not exist"},
		{"setting missing", "docs/OPERATIONS.md", "| `timing.idle-ping` |", "| idle-ping |", "setting timing.idle-ping is not documented"},
		{"setting made up", "docs/OPERATIONS.md", "| `rack` |", "| `rack-name` |", "setting rack-name does not exist"},
		{"wrong default", "docs/OPERATIONS.md", "| `500ms` |", "| `400ms` |", "setting timing.ping-after has default `500ms`, not `400ms`"},
		{"code missing", "docs/api.md", "| `worker-lost` |", "| worker-lost |", "code worker-lost is not documented"},
		{"code made up", "docs/api.md", "| `answer-lost` |", "| `no-reply` |", "code no-reply does not exist"},
		{"wrong status", "docs/api.md", "| `over-quota` | not-run 429", "| `over-quota` | not-run 503", "code over-quota with not-run has status 429, not 503"},
		{"subcommand", "docs/OPERATIONS.md", "`teaseltide apply FILE", "`teaseltide put FILE", "teaseltide has no subcommand put"},
		{"flag", "docs/OPERATIONS.md", "--expect-revision 41", "--revision 41", "teaseltide apply has no flag --revision"},
		{"package missing", "docs/design.md", "| `internal/peer` |", "| peer |", "package internal/peer is not documented"},
		{"package made up", "docs/design.md", "| `internal/table` |", "| `internal/tables` |", "package internal/tables does not exist"},
		{"log message", "docs/OPERATIONS.md", "`worker ejected`", "`worker removed`", "log message worker removed does not exist"},
		{"services text", "docs/OPERATIONS.md", "max-payload: 64KiB", "max-payload: 64", "example of services: services:10:18: max-payload must be a whole number with a unit"},
		{"settings of an entry", "docs/OPERATIONS.md", "callers-address: 10.0.0.1:8080", "callers: 10.0.0.1:8080", "example of entry: entry:"},
		{"settings of a sidecar", "docs/OPERATIONS.md", "worker: pump-check-3\n", "", "example of sidecar: sidecar: invalid: worker"},
		{"example of another kind", "docs/OPERATIONS.md", "```yaml services", "```yaml service", "example of an unknown kind service"},
		{"make target", "docs/PROOF.md", "`make model`", "`make models`", "make target models does not exist"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			pages, err := readPages(root)
			if err != nil {
				t.Fatal(err)
			}
			p := pages[tt.page]
			if !strings.Contains(p.text, tt.old) {
				t.Fatalf("%s does not contain %q", tt.page, tt.old)
			}
			p.text = strings.ReplaceAll(p.text, tt.old, tt.new)
			pages[tt.page] = p
			if got := problemsOf(t, pages); !strings.Contains(got, tt.want) {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

func problemsOf(t *testing.T, pages map[string]page) string {
	t.Helper()
	var all []string
	for _, check := range checks {
		found, err := check(root, pages)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, found...)
	}
	return strings.Join(all, "\n")
}
