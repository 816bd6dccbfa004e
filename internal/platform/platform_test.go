package platform_test

import (
	"bytes"
	"context"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/platform"
	"github.com/teaseltide/teaseltide/internal/standin/store"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// testLimit bounds how long a test waits for something to happen.
const testLimit = 10 * time.Second

type fixture struct {
	server    *store.Server
	gateway   *platform.Gateway
	directory *platform.Directory
}

func setup(t *testing.T, timeout clock.Millis) *fixture {
	t.Helper()
	server, err := store.New("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	gateway := dial(t, platform.GatewaySettings{Endpoints: []string{server.URL()}, Timeout: timeout})
	return &fixture{
		server:    server,
		gateway:   gateway,
		directory: platform.NewDirectory(gateway, platform.DirectorySettings{WatchCheckInterval: 200}),
	}
}

func dial(t *testing.T, settings platform.GatewaySettings) *platform.Gateway {
	t.Helper()
	gateway, err := platform.NewGateway(settings)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(gateway.Close)
	return gateway
}

func wantKind(t *testing.T, err error, want platform.Kind) {
	t.Helper()
	if got := platform.KindOf(err); got != want {
		t.Errorf("got error %v of kind %q, want kind %q", err, got, want)
	}
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testLimit); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", testLimit, what)
		}
	}
}

// Guards against a write that overwrites a concurrent one, and against a
// conflict error without the current revision.
func TestRecordCompareAndSwap(t *testing.T) {
	f := setup(t, 0)
	ctx := t.Context()
	absent, err := f.directory.ReadRecord(ctx)
	if err != nil || absent.Revision != 0 {
		t.Fatalf("got %d, %v, want revision 0", absent.Revision, err)
	}
	absent.Partitions[3] = ownership.Assignment{Owner: "a-1", Successor: "b-1", Epoch: 2}
	written, err := f.directory.WriteRecord(ctx, absent)
	if err != nil {
		t.Fatal(err)
	}
	read, err := f.directory.ReadRecord(ctx)
	if err != nil || read != written {
		t.Errorf("got %+v, %v, want %+v", read, err, written)
	}
	_, err = f.directory.WriteRecord(ctx, absent)
	wantKind(t, err, platform.Conflict)
	if got := platform.CurrentRevision(err); int64(got) != written.Revision || !platform.NoEffect(err) {
		t.Errorf("got revision %d, no effect %v, want %d, true", got, platform.NoEffect(err), written.Revision)
	}
}

// Guards against reporting a failure for a write that took effect although its
// response was lost.
func TestLostAnswer(t *testing.T) {
	f := setup(t, 0)
	ctx := t.Context()
	f.server.SetFaults(store.Faults{LoseNextAnswers: 3})
	record, err := f.directory.WriteRecord(ctx, ownership.Record{})
	if err != nil || record.Revision == 0 {
		t.Errorf("record: got revision %d, %v", record.Revision, err)
	}
	revision, err := f.directory.WriteText(ctx, 0, []byte("services: []"))
	if err != nil || revision == 0 {
		t.Errorf("text: got revision %d, %v", revision, err)
	}
	r := platform.SidecarRegistration{Sidecar: "w1-x", Domain: "a", Address: "127.0.0.1:1"}
	if err := f.directory.RegisterSidecar(ctx, r); err != nil {
		t.Errorf("sidecar: %v", err)
	}
	if err := f.directory.RegisterSidecar(ctx, r); err != nil {
		t.Errorf("sidecar again: %v", err)
	}
	r.Address = "127.0.0.1:2"
	wantKind(t, f.directory.RegisterSidecar(ctx, r), platform.Conflict)
	if got := f.server.Counts().Calls["txn"]; got != 5 {
		t.Errorf("got %d writes, want 5: one each and none repeated", got)
	}
}

// lossyStore performs writes, calls afterWrite and then loses their responses.
// With dropFirst the first write is not performed.
type lossyStore struct {
	platform.Store
	dropFirst  bool
	afterWrite func()
}

func (l *lossyStore) CompareAndSwap(ctx context.Context, key string, expected platform.Revision, value []byte, lease platform.LeaseID) (platform.Revision, error) {
	if !l.dropFirst {
		_, _ = l.Store.CompareAndSwap(ctx, key, expected, value, lease)
	}
	l.dropFirst = false
	l.afterWrite()
	return 0, &platform.Error{Operation: platform.OpTxn, Kind: platform.Unknown, Err: errors.New("lost")}
}

// Guards against reporting that a write had no effect when another writer
// replaced the value before it was read again.
func TestLostAnswerSuperseded(t *testing.T) {
	f := setup(t, 0)
	store := &lossyStore{Store: f.gateway}
	store.afterWrite = func() {
		kv, _ := f.gateway.Get(t.Context(), "/teaseltide/text")
		_, _ = f.gateway.CompareAndSwap(t.Context(), kv.Key, kv.ModRevision, []byte("theirs"), 0)
	}
	directory := platform.NewDirectory(store, platform.DirectorySettings{})
	_, err := directory.WriteText(t.Context(), 0, []byte("ours"))
	wantKind(t, err, platform.Superseded)
	if platform.NoEffect(err) || platform.CurrentRevision(err) == 0 {
		t.Errorf("got %v, want a current revision and no claim of no effect", err)
	}
}

// Guards against taking an unchanged key as proof that a write failed: the
// request may still be in flight, so only a repeated write determines the
// outcome.
func TestLostRequestIsRepeated(t *testing.T) {
	f := setup(t, 0)
	directory := platform.NewDirectory(&lossyStore{Store: f.gateway, dropFirst: true, afterWrite: func() {}}, platform.DirectorySettings{})
	revision, err := directory.WriteText(t.Context(), 0, []byte("ours"))
	if err != nil || revision == 0 {
		t.Errorf("got revision %d, %v, want success by the second write", revision, err)
	}
}

// Guards against calls that hang or report a definite outcome while the store
// is down, unreachable or slow.
func TestOutage(t *testing.T) {
	f := setup(t, 100)
	ctx := t.Context()
	f.server.SetFaults(store.Faults{Down: true})
	_, err := f.directory.WriteText(ctx, 0, []byte("down"))
	wantKind(t, err, platform.Unknown)

	f.server.SetFaults(store.Faults{DelayMs: 400})
	start := time.Now()
	_, err = f.directory.WriteText(ctx, 0, []byte("late"))
	wantKind(t, err, platform.Unknown)
	if elapsed := time.Since(start); elapsed > 3*time.Second {
		t.Errorf("got an answer after %v, want at most 6 calls of 100 ms", elapsed)
	}
	f.server.SetFaults(store.Faults{})
	eventually(t, "the write with unknown outcome takes effect", func() bool {
		text, _ := f.directory.ReadText(ctx)
		return string(text.Data) == "late"
	})

	// A request on an open connection may have been received; if no connection
	// can be opened, it was not sent.
	f.server.Close()
	_, err = f.directory.WriteText(ctx, 0, []byte("gone"))
	if platform.KindOf(err) != platform.Unknown && platform.KindOf(err) != platform.Refused {
		t.Errorf("got %v, want unknown or refused", err)
	}
	fresh := dial(t, platform.GatewaySettings{Endpoints: []string{f.server.URL()}})
	_, err = fresh.CompareAndSwap(ctx, "k", 0, nil, 0)
	wantKind(t, err, platform.Refused)
}

// Guards against accepting values that the store would reject or truncate.
func TestValueTooLarge(t *testing.T) {
	f := setup(t, 0)
	large := bytes.Repeat([]byte{'x'}, platform.MaxValueBytes)
	if _, err := f.directory.WriteText(t.Context(), 0, large); err != nil {
		t.Errorf("largest value: %v", err)
	}
	text, err := f.directory.ReadText(t.Context())
	if err != nil || !bytes.Equal(text.Data, large) {
		t.Errorf("got %d bytes, %v, want %d", len(text.Data), err, len(large))
	}
	_, err = f.directory.WriteText(t.Context(), text.Revision, append(large, 'x'))
	wantKind(t, err, platform.Refused)
}

// Guards against using a dead endpoint repeatedly, and against calls that are
// not passed to Observe.
func TestEndpointsAndObserver(t *testing.T) {
	f := setup(t, 0)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	var mu sync.Mutex
	var got []string
	gateway := dial(t, platform.GatewaySettings{
		Endpoints: []string{"http://" + closed.Addr().String(), f.server.URL()},
		Observe: func(c platform.Call) {
			mu.Lock()
			defer mu.Unlock()
			got = append(got, string(c.Operation)+" "+c.Result)
		},
	})
	if _, err = gateway.Get(t.Context(), "k"); err != nil {
		t.Errorf("get through the second endpoint: %v", err)
	}
	_, err = gateway.CompareAndSwap(t.Context(), "k", 7, nil, 0)
	wantKind(t, err, platform.Conflict)
	wantKind(t, gateway.KeepAlive(t.Context(), 99), platform.NotFound)
	want := []string{"range ok", "txn conflict", "lease-keepalive not-found"}
	if !slices.Equal(got, want) {
		t.Errorf("got calls %q, want %q", got, want)
	}
	_, err = platform.NewGateway(platform.GatewaySettings{Endpoints: []string{"127.0.0.1:1"}})
	wantKind(t, err, platform.Refused)
}

// Guards against an entry that stays unregistered after its lease expired, and
// against one that stays registered after it left.
func TestEntryLease(t *testing.T) {
	f := setup(t, 0)
	entry := platform.EntryRegistration{Incarnation: "e1-x", Domain: "a", PeerAddress: "127.0.0.1:1"}
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	states := make(chan bool, 16)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.directory.KeepEntry(ctx, entry, func(holds bool) { states <- holds })
	}()
	registered := func() bool {
		entries, err := f.directory.ListEntries(t.Context())
		return err == nil && slices.Equal(entries, []platform.EntryRegistration{entry})
	}
	eventually(t, "registered", registered)
	f.server.SetFaults(store.Faults{ExpireLeases: true})
	if registered() {
		t.Error("still registered after the lease ended")
	}
	eventually(t, "registered again after the lapse", registered)

	f.server.SetFaults(store.Faults{Down: true})
	time.Sleep((platform.DefaultEntryLease + clock.Second).Duration())
	f.server.SetFaults(store.Faults{})
	eventually(t, "registered again after the outage", registered)

	leave()
	<-done
	if keys := f.server.Keys("/teaseltide/entries/"); len(keys) != 0 {
		t.Errorf("got %q after leaving, want none", keys)
	}
	close(states)
	var got []bool
	for holds := range states {
		got = append(got, holds)
	}
	if want := []bool{true, false, true, false}; !slices.Equal(got, want) {
		t.Errorf("got states %v, want %v", got, want)
	}
}

// textRecorder records the texts that a watch delivers.
type textRecorder struct {
	mu    sync.Mutex
	texts []string
}

func (w *textRecorder) add(text platform.Text) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.texts = append(w.texts, string(text.Data))
}

func (w *textRecorder) last() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.texts) == 0 {
		return "none"
	}
	return w.texts[len(w.texts)-1]
}

// Guards against a watch that misses changes after a disconnection, a silent
// failure or an outage, and against delivering an unchanged state again.
func TestWatch(t *testing.T) {
	f := setup(t, 0)
	var w textRecorder
	go f.directory.WatchText(t.Context(), w.add)
	eventually(t, "absent text", func() bool { return w.last() == "" })
	revision := platform.Revision(0)
	change := func(text string) {
		t.Helper()
		var err error
		if revision, err = f.directory.WriteText(t.Context(), revision, []byte(text)); err != nil {
			t.Fatal(err)
		}
		eventually(t, text, func() bool { return w.last() == text })
	}
	open := func() bool { return f.server.Counts().OpenWatches == 1 }
	eventually(t, "watch open", open)
	change("event")
	f.server.SetFaults(store.Faults{CutWatches: true})
	change("after cut")
	eventually(t, "watch open again", open)
	f.server.SetFaults(store.Faults{SilenceWatches: true})
	change("after silence")
	f.server.SetFaults(store.Faults{Down: true})
	eventually(t, "watch closed", func() bool { return !open() })
	f.server.SetFaults(store.Faults{})
	change("after outage")
	w.mu.Lock()
	defer w.mu.Unlock()
	want := []string{"", "event", "after cut", "after silence", "after outage"}
	if !slices.Equal(w.texts, want) {
		t.Errorf("got deliveries %q, want %q", w.texts, want)
	}
}

// Guards against missing a deletion when a watch fails silently: a read of the
// keys written since a revision does not return it.
func TestWatchDetectsMissedDeletion(t *testing.T) {
	f := setup(t, 0)
	ctx := t.Context()
	for _, sidecar := range []ownership.Incarnation{"a", "b"} {
		if err := f.directory.RegisterSidecar(ctx, platform.SidecarRegistration{Sidecar: sidecar, Address: "127.0.0.1:1"}); err != nil {
			t.Fatal(err)
		}
	}
	lists := make(chan []platform.SidecarRegistration, 16)
	go f.directory.WatchSidecars(ctx, func(s platform.SidecarListing) { lists <- s.Registrations })
	if got := <-lists; len(got) != 2 {
		t.Fatalf("got %v, want 2 sidecars", got)
	}
	eventually(t, "watch open", func() bool { return f.server.Counts().OpenWatches == 1 })
	f.server.SetFaults(store.Faults{SilenceWatches: true})
	if err := f.directory.DeleteSidecar(ctx, "a"); err != nil {
		t.Fatal(err)
	}
	if got := <-lists; len(got) != 1 || got[0].Sidecar != "b" {
		t.Errorf("got %v, want sidecar b", got)
	}
}
