package processtest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/teaseltide/teaseltide/internal/etcdjson"
	"github.com/teaseltide/teaseltide/internal/fleet"
	"github.com/teaseltide/teaseltide/internal/platform"
	"github.com/teaseltide/teaseltide/internal/standin/store"
)

// Keys and prefixes of the store for which the response to a write is lost.
const (
	recordKey   = platform.DefaultPrefix + "ownership"
	textKey     = platform.DefaultPrefix + "text"
	sidecarKeys = platform.DefaultPrefix + "sidecars/"
)

// Guards against writers that assume that a write failed, or succeeded, when
// its response is lost: a service without an owner or with two, a sidecar that
// never serves or serves under an old record, and a text that is written twice
// or reported as not in force.
func TestLostStoreAnswers(t *testing.T) {
	t.Parallel()
	r := start(t, smallShape())
	r.load()
	worker := r.Shape.Workers - 1
	r.wantExit(r.Sidecars[worker])
	status, err := r.Status(r.ctx, 0)
	r.must(err)
	old := status.TextRevision
	version := r.storeKey(textKey).Version
	file := filepath.Join(t.TempDir(), "services.yaml")
	r.must(os.WriteFile(file, []byte(strings.Replace(r.Shape.ServicesText(), "max-queued-tasks: 20000", "max-queued-tasks: 30000", 1)), 0o600))
	before := r.starts()
	victim := r.busyOwner()

	// The successor writes the record after its takeover.
	r.must(r.SetFaults(r.ctx, store.Faults{LoseAnswersTo: []string{recordKey, sidecarKeys, textKey}}))
	killed := time.Now()
	r.Entries[victim].Kill()
	r.must(r.Sidecars[worker].Start())
	output, err := r.Command(r.ctx, "apply", file, "--store", r.StoreURL(), "--expect-revision", fmt.Sprint(old))
	applied := time.Now()
	if err != nil {
		t.Fatalf("apply: %v, %s", err, output)
	}
	var revision int64
	_, _ = fmt.Sscanf(output[strings.LastIndex(output, "revision"):], "revision %d", &revision)
	if revision <= old {
		t.Fatalf("apply: got %q, want a revision above %d", output, old)
	}
	for r.oldestText(r.Entries[victim]) != revision && time.Since(applied) < inForce {
		time.Sleep(20 * time.Millisecond)
	}
	if got := r.oldestText(r.Entries[victim]); got != revision {
		t.Errorf("got text revision %d at some process %s after it was accepted, want %d everywhere", got, inForce, revision)
	}
	t.Logf("revision %d is in force everywhere after %d ms", revision, time.Since(applied).Milliseconds())
	time.Sleep(time.Until(killed.Add(6 * time.Second)))
	r.ready(startLimit)
	time.Sleep(time.Second)
	outcomes := r.finish()
	r.servedAfter(outcomes, killed)
	r.wantComplete(outcomes, func(o *fleet.Outcome) bool {
		// The caller's connection failed; it may get a definite failure.
		return o.Entry == victim && o.Begin.Before(killed) && o.Answer != nil
	})
	faults, err := r.Faults(r.ctx)
	r.must(err)
	if left := faults.LoseAnswersTo; len(left) > 0 {
		t.Errorf("no answer was lost to writes of %v, so the case was not met", left)
	}
	if text := r.storeKey(textKey); text.Version != version+1 || text.ModRevision != revision {
		t.Errorf("got the text's version %d at revision %d, want version %d at the revision %d that apply reported", text.Version, text.ModRevision, version+1, revision)
	}
	if got := startsOf(r.starts(), worker) - startsOf(before, worker); got == 0 {
		t.Error("the worker whose sidecar registered started no task")
	}
}

// storeKey reads a key with its version, which counts the writes to it.
func (r *run) storeKey(key string) etcdjson.KeyValue {
	r.Helper()
	kvs := r.storeKeys(etcdjson.RangeRequest{Key: []byte(key)})
	if len(kvs) != 1 {
		r.Fatalf("got %d values of the key %s, want 1", len(kvs), key)
	}
	return kvs[0]
}

func (r *run) storeKeys(request etcdjson.RangeRequest) []etcdjson.KeyValue {
	r.Helper()
	body, err := json.Marshal(request)
	r.must(err)
	req, err := http.NewRequestWithContext(r.ctx, http.MethodPost, r.StoreURL()+etcdjson.PathRange, bytes.NewReader(body))
	r.must(err)
	resp, err := http.DefaultClient.Do(req)
	r.must(err)
	defer func() { _ = resp.Body.Close() }()
	var got etcdjson.RangeResponse
	r.must(json.NewDecoder(resp.Body).Decode(&got))
	return got.KeyValues
}
