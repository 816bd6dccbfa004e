package backend

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/teaseltide/teaseltide/internal/backend"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Guards against a stand-in that passes tests of teaseltide by not behaving as
// it says: announcements, run times, modes, stops and counts, through the
// client that a sidecar uses.
func TestStandinWithClient(t *testing.T) {
	c := backend.NewClient(backend.ClientConfig{Clock: clock.NewSystem()})
	states := make(chan backend.State, 10)
	l, err := backend.Listen(backend.ListenerConfig{
		Address: "127.0.0.1:0",
		Clock:   clock.NewSystem(),
		OnState: func(s backend.State) { c.SetServer(s); states <- s },
	})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- Run(ctx, Settings{Name: "w", Services: []string{"s"}, Slots: 1, Connections: 4, Speed: 2, Sidecar: l.Addr(), Listen: "127.0.0.1:0"})
	}()
	address := (<-states).Address

	run := func(key string, millis string) backend.Result {
		return c.Run(ctx, &backend.Task{Service: "s", Team: "a/b", Key: key, Payload: []byte(`{"run-ms": ` + millis + `}`)})
	}
	got := run("k:1", "200")
	if got.Outcome != wire.Outcome_OUTCOME_DONE || !strings.Contains(string(got.Body), "s:a%2Fb:k%3A1:0") {
		t.Errorf("got %v %q, want DONE with the task's id", got.Outcome, got.Body)
	}
	if got.RunTime < 95 || got.RunTime > 180 {
		t.Errorf("got run time %d ms, want about 100", got.RunTime)
	}
	long := make(chan backend.Result)
	go func() { long <- run("long", "60000") }()
	time.Sleep(100 * time.Millisecond)
	if got := run("busy", "1").Outcome; got != wire.Outcome_OUTCOME_NOT_STARTED {
		t.Errorf("got %v without a free slot, want NOT_STARTED", got)
	}
	if err := c.Stop(ctx, &backend.Task{Service: "s", Team: "a/b", Key: "long"}); err != nil {
		t.Error(err)
	}
	if got := (<-long).Outcome; got != wire.Outcome_OUTCOME_ERROR {
		t.Errorf("got %v for a stopped task, want ERROR", got)
	}
	if got := postTask(t, address, maxBodyBytes+1); got != http.StatusRequestEntityTooLarge {
		t.Errorf("got status %d for an oversized payload, want 413", got)
	}
	setMode(t, address, FailAll)
	if got := run("bad", "1").Outcome; got != wire.Outcome_OUTCOME_ERROR {
		t.Errorf("got %v in fail-all, want ERROR", got)
	}
	setMode(t, address, Leave)
	if got := (<-states).State; got != backend.Leaving {
		t.Errorf("got announced state %q, want leaving", got)
	}
	counts := readCounts(t, address)
	if counts.Total != 3 || counts.Starts["s:a%2Fb:long:0"] != 1 || counts.Refused != 1 || counts.Stopped != 1 || counts.MaxRunning != 1 {
		t.Errorf("got counts %+v", counts)
	}
	setMode(t, address, Freeze)
	go func() { long <- run("frozen", "1") }()
	if got := <-states; !got.Lost {
		t.Errorf("got state %+v in freeze, want lost", got)
	}
	if got := (<-long).Outcome; got != wire.Outcome_OUTCOME_UNKNOWN {
		t.Errorf("got %v in freeze, want UNKNOWN", got)
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// postTask posts a payload of some bytes and returns the status.
func postTask(t *testing.T, address string, size int) int {
	t.Helper()
	resp, err := http.Post("http://"+address+"/v1/tasks/large", "", strings.NewReader(strings.Repeat("x", size)))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

func setMode(t *testing.T, address string, m Mode) {
	t.Helper()
	resp, err := http.Post("http://"+address+"/mode", "text/plain", strings.NewReader(string(m)))
	if err != nil || resp.StatusCode != http.StatusNoContent {
		t.Fatalf("got %v %v, want mode %s", resp, err, m)
	}
	resp.Body.Close()
}

func readCounts(t *testing.T, address string) Counts {
	t.Helper()
	resp, err := http.Get("http://" + address + "/counts")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	var c Counts
	if err := json.Unmarshal(body, &c); err != nil {
		t.Fatal(err)
	}
	return c
}
