package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/teaseltide/teaseltide/internal/fleet"
	"github.com/teaseltide/teaseltide/internal/settings"
	"github.com/teaseltide/teaseltide/internal/standin/store"
)

// installation runs entries and a sidecar in this process, with a simulated store
// and a backend server that records the traceparent of each task.
type installation struct {
	t       *testing.T
	dir     string
	store   *store.Server
	callers []string
	log     *zap.Logger

	mu           sync.Mutex
	traceparents map[string]string // by job name and task index
}

func newInstallation(t *testing.T, log *zap.Logger) *installation {
	n := &installation{t: t, dir: t.TempDir(), store: startStore(t), log: log, traceparents: make(map[string]string)}
	text := writeFile(t, n.file("services.yaml"), servicesText)
	if code, _, stderr := runProgram("apply", text, "--store", n.store.URL()); code != ExitOK {
		t.Fatalf("got exit code %d: %s", code, stderr)
	}
	return n
}

// startStore starts a simulated store.
func startStore(t *testing.T) *store.Server {
	t.Helper()
	s, err := store.New("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func writeFile(t *testing.T, name, content string) string {
	t.Helper()
	if err := os.WriteFile(name, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

func (n *installation) file(name string) string { return filepath.Join(n.dir, name) }

// common returns the settings that entries and sidecars share.
func (n *installation) common(name string) string {
	return fmt.Sprintf(`name: %s
failure-domain: d
peers-address: %s
store:
  endpoints: [%s]
token-file: %s
traces:
  exporter: file
  file: %s
  sample-ratio: 0
`, name, fleet.FreeAddress(), n.store.URL(), writeFile(n.t, n.file("token"), "secret"), n.file(name+".spans"))
}

// start starts a process and returns a function that stops it and checks that it
// shut down gracefully.
func (n *installation) start(name string, run func(context.Context) error) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- run(ctx) }()
	return sync.OnceFunc(func() {
		cancel()
		select {
		case err := <-ended:
			if err != nil {
				n.t.Errorf("%s: got %v, want a graceful shutdown", name, err)
			}
		case <-time.After(20 * time.Second):
			n.t.Errorf("%s did not stop within 20 s", name)
		}
	})
}

func (n *installation) startEntry(name string) (stop func()) {
	callers := fleet.FreeAddress()
	n.callers = append(n.callers, "http://"+callers)
	s, err := settings.ParseEntry(name, []byte(n.common(name)+"callers-address: "+callers+"\nsingle-failure-domain: true\n"))
	if err != nil {
		n.t.Fatal(err)
	}
	return n.start(name, func(ctx context.Context) error { return runEntry(ctx, &s, "secret", n.log) })
}

func (n *installation) startSidecar(name string) (stop func()) {
	announce := fleet.FreeAddress()
	s, err := settings.ParseSidecar(name, []byte(n.common(name)+"worker: w\nannounce-address: "+announce+"\n"))
	if err != nil {
		n.t.Fatal(err)
	}
	n.startBackend("http://" + announce + "/v1/announce")
	return n.start(name, func(ctx context.Context) error { return runSidecar(ctx, &s, "secret", n.log) })
}

// startBackend runs a backend server, which announces itself until the test ends.
func (n *installation) startBackend(announce string) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.mu.Lock()
		n.traceparents[r.Header.Get("Teaseltide-Job")+":"+r.Header.Get("Teaseltide-Index")] = r.Header.Get("Traceparent")
		n.mu.Unlock()
		io.Copy(w, r.Body)
	}))
	n.t.Cleanup(server.Close)
	body, _ := json.Marshal(map[string]any{
		"services": []string{"pump"}, "slots": 4, "connections": 4, "memory-mib": 1, "cpus": 1,
		"address": server.Listener.Addr().String(), "state": "serving",
	})
	go func() {
		for n.t.Context().Err() == nil {
			if res, err := http.Post(announce, "application/json", strings.NewReader(string(body))); err == nil {
				res.Body.Close()
			}
			time.Sleep(200 * time.Millisecond)
		}
	}()
}

// submit submits a job of two tasks and returns the HTTP status.
func (n *installation) submit(entry int, traceparent string) int {
	req, _ := http.NewRequest("POST", n.callers[entry]+"/v1/jobs", strings.NewReader(`{"team":"t","service":"pump","tasks":[{"payload":1},{"payload":2}]}`))
	if traceparent != "" {
		req.Header.Set("traceparent", traceparent)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

func (n *installation) awaitService(entry int) {
	for range 300 {
		if n.submit(entry, "") == http.StatusOK {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	n.t.Fatalf("entry %d does not serve within 15 s", entry)
}

// runProgram runs a command line and returns exit code and output.
func runProgram(args ...string) (code int, stdout, stderr string) {
	var out, errs strings.Builder
	code = Main(args, &out, &errs)
	return code, out.String(), errs.String()
}
