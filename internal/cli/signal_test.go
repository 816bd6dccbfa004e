package cli

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/teaseltide/teaseltide/internal/fleet"
)

// argsVariable makes the test program run as teaseltide with these arguments.
const argsVariable = "TEASELTIDE_TEST_ARGS"

func TestMain(m *testing.M) {
	if args, ok := os.LookupEnv(argsVariable); ok {
		os.Exit(Main(strings.Fields(args), os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// Guards against a signal that aborts the request of a waiting caller, a graceful
// shutdown that does not end, and one that a second signal does not end.
func TestSignals(t *testing.T) {
	for _, signals := range []struct {
		count, code int
	}{{1, ExitOK}, {2, ExitInterrupted}} {
		dir := t.TempDir()
		callers := fleet.FreeAddress()
		token := writeFile(t, filepath.Join(dir, "token"), "secret")
		// Nothing listens on the store's address, so the job waits 5 s for an
		// owner. The shutdown after the first signal must wait for its answer.
		file := writeFile(t, filepath.Join(dir, "entry.yaml"), fmt.Sprintf(
			"name: e\nfailure-domain: d\ncallers-address: %s\npeers-address: %s\nstore:\n  endpoints: [http://%s]\ntoken-file: %s\n",
			callers, fleet.FreeAddress(), fleet.FreeAddress(), token))
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), argsVariable+"=entry "+file)
		log, err := cmd.StderrPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		defer cmd.Process.Kill()
		lines := bufio.NewScanner(log)
		await := func(text string) {
			for lines.Scan() {
				if strings.Contains(lines.Text(), text) {
					return
				}
			}
			t.Fatalf("the log ends without %q", text)
		}
		await("entry started")
		answered := make(chan string, 1)
		go func() {
			res, err := http.Post("http://"+callers+"/v1/jobs", "application/json", strings.NewReader(`{"team":"t","service":"s","tasks":[{"payload":1}]}`))
			if err != nil {
				answered <- err.Error()
				return
			}
			defer res.Body.Close()
			body, _ := io.ReadAll(res.Body)
			answered <- string(body)
		}()
		time.Sleep(300 * time.Millisecond)
		begin := time.Now()
		for i := range signals.count {
			cmd.Process.Signal(syscall.SIGTERM)
			if i == 0 {
				await(`"draining"`)
			}
		}
		go io.Copy(io.Discard, log)
		cmd.Wait()
		if got := cmd.ProcessState.ExitCode(); got != signals.code {
			t.Errorf("%d signals: got exit code %d, want %d", signals.count, got, signals.code)
		}
		took, answer := time.Since(begin), <-answered
		if signals.count == 1 && !strings.Contains(answer, `"ran":"not-run","code":"no-owner"`) {
			t.Errorf("1 signal: got answer %s, want a refusal in the documented form", answer)
		}
		if signals.count == 2 && took > 2*time.Second {
			t.Errorf("2 signals: the process ended after %v, want within 2 s", took)
		}
	}
}
