package cli

import (
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/teaseltide/teaseltide/internal/dispatch"
	"github.com/teaseltide/teaseltide/pkg/caller"
)

var update = flag.Bool("update", false, "rewrite the golden files")

var sampleStatus = dispatch.Status{
	Entry: "entry-0-abc", Domain: "north", StoreUp: true, RecordRevision: 17, TextRevision: 12, Requests: 3,
	Partitions: []dispatch.PartitionStatus{
		{Partition: 0, Owner: "entry-1-def", Successor: "entry-0-abc", Epoch: 4, Mode: "idle"},
		{Partition: 9, Owner: "entry-0-abc", Successor: "entry-1-def", Epoch: 6, Mode: "serving", ClaimsIncomplete: true, ActiveJobs: 2, HeldJobs: 5, KnownJobs: 1},
	},
	Services: []dispatch.ServiceStatus{{Service: "quoting", Partition: 9, Owner: "entry-0-abc", Workers: 2}},
	Workers: []dispatch.WorkerStatus{
		{Worker: "w-1", Sidecar: "side-1-x", Domain: "north", Rack: "r1", Services: []string{"quoting"}, State: "serving", Slots: 8, Busy: 7, Slowdown: 0.5, Starts: 1200},
		{Worker: "w-22", Sidecar: "side-2-y", Domain: "south", Rack: "r2", Services: []string{"quoting"}, State: "serving", Slots: 8, Slowdown: 1.25, Starts: 40, Failures: 38, Ejected: true, EjectionReason: "38 of the last 40 tasks failed"},
	},
	Peers: []dispatch.PeerStatus{{Entry: "entry-1-def", Domain: "south", Connected: true}, {Entry: "entry-2-ghi", Domain: "east", Leaving: true}},
}

var sampleExplanation = dispatch.Explanation{
	Answer: caller.Answer{Service: "quoting", Key: "k-1", Ran: caller.Failed, Code: "task-failed", Message: "a backend server reported a failure", Elapsed: 310, Messages: 4},
	Decisions: []dispatch.Decision{
		{At: 1700000000000, Step: "accepted", Detail: "820 tasks"},
		{At: 1700000000310, Step: "failed"},
	},
}

// Guards against unintended changes of the output, as tables and in JSON, an answer
// to a request without the token, and errors that do not name the wrong argument.
func TestStatusGolden(t *testing.T) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, sampleStatus) })
	mux.HandleFunc("GET /v1/explain/quoting/team/k-1", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, sampleExplanation) })
	server := httptest.NewServer(requireToken("secret", mux))
	defer server.Close()
	dir := t.TempDir()
	token := writeFile(t, filepath.Join(dir, "token"), "secret\n")
	wrong := writeFile(t, filepath.Join(dir, "wrong"), "guess\n")
	for golden, args := range map[string][]string{
		"status.golden":      nil,
		"status.json.golden": {"--json"},
		"job.golden":         {"--job=quoting/team/k-1"},
		"job.json.golden":    {"--job=quoting/team/k-1", "--json"},
	} {
		code, got, stderr := runProgram(append([]string{"status", "--url=" + server.URL, "--token-file=" + token}, args...)...)
		if code != ExitOK {
			t.Errorf("%s: got exit code %d: %s", golden, code, stderr)
		}
		file := filepath.Join("testdata", golden)
		if *update {
			writeFile(t, file, got)
		}
		want, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if got != string(want) {
			t.Errorf("%s: got\n%s\nwant\n%s", golden, got, want)
		}
	}
	for _, c := range []struct {
		args []string
		code int
		text string
	}{
		{[]string{"--url", server.URL, "--token-file", wrong}, ExitFailure, "--token-file must hold the token"},
		{[]string{"--url", server.URL, "--token-file", token, "--job=quoting/team/other"}, ExitFailure, "--url must be the operators-address"},
		{[]string{"--url", server.URL, "--token-file", token, "--job=quoting/k-1"}, ExitUsage, "not of the form SERVICE/TEAM/KEY"},
		{[]string{"--url", server.Listener.Addr().String(), "--token-file", token}, ExitUsage, "not of the form http://HOST:PORT"},
		{[]string{"--url", server.URL}, ExitUsage, "--token-file TOKEN-FILE"},
	} {
		if code, stdout, stderr := runProgram(append([]string{"status"}, c.args...)...); code != c.code || stdout != "" || !strings.Contains(stderr, c.text) {
			t.Errorf("%v: got exit code %d, output %q and %q, want %d and %q", c.args, code, stdout, stderr, c.code, c.text)
		}
	}
}
