package jobstore_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/jobstore"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/platform"
	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const self = ownership.Incarnation("entry-a")

var keys = jobstore.Keys{Prefix: "t/"}

// memoryStore is an in-memory store that can refuse transactions or lose their
// answers.
type memoryStore struct {
	platform.Store

	mu       sync.Mutex
	revision platform.Revision
	items    map[string]platform.KeyValue
	// failTxn, if not nil, is called before each transaction. If it returns an
	// error, Txn returns that, and applies the transaction only if applied is true.
	failTxn       func() (err error, applied bool)
	txns          int
	maxOperations int
}

func newMemoryStore() *memoryStore {
	return &memoryStore{revision: 10, items: make(map[string]platform.KeyValue)}
}

func (m *memoryStore) Get(_ context.Context, key string) (platform.KeyValue, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	kv := m.items[key]
	kv.Key = key
	return kv, nil
}

func (m *memoryStore) Range(_ context.Context, scope platform.Scope, _ platform.Revision) (platform.Listing, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var l platform.Listing
	for key, kv := range m.items {
		if scope.Contains(key) {
			l.KeyValues = append(l.KeyValues, kv)
		}
	}
	return l, nil
}

func (m *memoryStore) Txn(_ context.Context, txn platform.Txn) (platform.TxnResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.txns++
	m.maxOperations = max(m.maxOperations, len(txn.Conditions)+len(txn.Puts)+len(txn.Deletes))
	if m.failTxn != nil {
		if err, applied := m.failTxn(); err != nil {
			if applied {
				m.apply(txn)
			}
			return platform.TxnResult{}, err
		}
	}
	return m.apply(txn), nil
}

func (m *memoryStore) apply(txn platform.Txn) platform.TxnResult {
	r := platform.TxnResult{Succeeded: true}
	for _, c := range txn.Conditions {
		kv := m.items[c.Key]
		kv.Key = c.Key
		r.Current = append(r.Current, kv)
		r.Succeeded = r.Succeeded && kv.ModRevision == c.Revision
	}
	if !r.Succeeded {
		return r
	}
	m.revision++
	for _, p := range txn.Puts {
		m.items[p.Key] = platform.KeyValue{Key: p.Key, Value: p.Value, ModRevision: m.revision}
	}
	for _, key := range txn.Deletes {
		delete(m.items, key)
	}
	return platform.TxnResult{Succeeded: true, Revision: m.revision}
}

var (
	errUnanswered = &platform.Error{Operation: platform.OpTxn, Kind: platform.Unknown}
	errRefused    = &platform.Error{Operation: platform.OpTxn, Kind: platform.Refused}
)

// harness runs a Committer on a memoryStore.
type harness struct {
	t       *testing.T
	store   *memoryStore
	c       *jobstore.Committer
	results chan jobstore.Result
	deposed chan struct{}
}

func newHarness(t *testing.T, store *memoryStore) *harness {
	t.Helper()
	h := &harness{t: t, store: store, results: make(chan jobstore.Result, 1000), deposed: make(chan struct{}, 10)}
	h.c = jobstore.NewCommitter(store, jobstore.Settings{Keys: keys, Self: self, Interval: 1, MaxTxnOperations: 32}, clock.NewSystem(),
		func(all []jobstore.Result) {
			for _, r := range all {
				h.results <- r
			}
		}, func() { h.deposed <- struct{}{} })
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go h.c.Run(ctx)
	return h
}

func newJob(id, nonce string) scheduler.Save {
	return scheduler.Save{Kind: scheduler.SaveNew, ID: batch.JobID(id), Job: &wire.StoredJob{Owner: string(self), Nonce: nonce}}
}

func endOf(id, nonce string, revision int64) scheduler.Save {
	return scheduler.Save{Kind: scheduler.SaveEnd, ID: batch.JobID(id), Revision: revision, End: &wire.StoredEnd{State: wire.StoredEnd_STATE_COMPLETE, Nonce: nonce}}
}

func (h *harness) result() jobstore.Result {
	h.t.Helper()
	select {
	case r := <-h.results:
		return r
	case <-time.After(5 * time.Second):
		h.t.Fatal("no result")
		return jobstore.Result{}
	}
}

// A write whose answer is lost may have taken effect, so it is neither accepted nor
// refused until its outcome is known: a refused job must not run, and a stored one
// must.
func TestLostAnswer(t *testing.T) {
	for _, applied := range []bool{true, false} {
		t.Run(fmt.Sprint("applied ", applied), func(t *testing.T) {
			store := newMemoryStore()
			failures := 2
			store.failTxn = func() (error, bool) {
				if failures--; failures >= 0 {
					return errUnanswered, applied
				}
				return nil, false
			}
			h := newHarness(t, store)
			h.c.Enqueue(newJob("a", "n1"))
			r := h.result()
			if r.Outcome != scheduler.SaveDone || r.StoredRevision == 0 {
				t.Fatalf("outcome of the new job: got %v at %d, want done", r.Outcome, r.StoredRevision)
			}
			failures = 2
			h.c.Enqueue(endOf("a", "n2", r.StoredRevision))
			if got, want := h.result().Outcome, scheduler.SaveDone; got != want {
				t.Errorf("outcome of the end: got %v, want %v", got, want)
			}
			state, _, err := jobstore.ReadState(context.Background(), store, keys, "a")
			if err != nil || state != batch.Complete {
				t.Errorf("state: got %v, %v, want complete", state, err)
			}
		})
	}
}

// A job whose every attempt was refused is certainly not stored.
func TestRefusedJobIsNotStored(t *testing.T) {
	store := newMemoryStore()
	store.failTxn = func() (error, bool) { return errRefused, false }
	h := newHarness(t, store)
	h.c.Enqueue(newJob("a", "n1"))
	if got, want := h.result().Outcome, scheduler.SaveRefused; got != want {
		t.Errorf("outcome: got %v, want %v", got, want)
	}
}

// A job whose first attempt got no answer may be stored even if all later attempts
// are refused.
func TestUnansweredJobIsNotRefused(t *testing.T) {
	store := newMemoryStore()
	first := true
	store.failTxn = func() (error, bool) {
		if first {
			first = false
			return errUnanswered, false
		}
		return errRefused, false
	}
	h := newHarness(t, store)
	h.c.Enqueue(newJob("a", "n1"))
	select {
	case r := <-h.results:
		t.Errorf("outcome: got %v while the job may be stored", r.Outcome)
	case <-time.After(time.Second):
	}
}

// Two entries that store the same job ID concurrently create one job. The conflict of
// one job doesn't delay the others of its transaction.
func TestConflict(t *testing.T) {
	store := newMemoryStore()
	other := newHarness(t, store)
	other.c.Enqueue(newJob("b", "other"))
	other.result()
	h := newHarness(t, store)
	for _, id := range []string{"a", "b", "c"} {
		h.c.Enqueue(newJob(id, "mine"))
	}
	got := make(map[batch.JobID]scheduler.SaveResult)
	for range 3 {
		r := h.result()
		got[r.ID] = r.Outcome
	}
	if got["a"] != scheduler.SaveDone || got["b"] != scheduler.SaveConflict || got["c"] != scheduler.SaveDone {
		t.Errorf("outcomes: got %v, want a and c done and b a conflict", got)
	}
}

// No write of a deposed entry takes effect, because its successor reads the open jobs
// only once.
func TestDeposedEntryWritesNothing(t *testing.T) {
	store := newMemoryStore()
	if err := jobstore.Depose(context.Background(), store, keys, self, "entry-b", "t/entries/entry-a"); err != nil {
		t.Fatal(err)
	}
	h := newHarness(t, store)
	h.c.Enqueue(newJob("a", "n1"))
	select {
	case <-h.deposed:
	case r := <-h.results:
		t.Fatalf("outcome: got %v, want deposed", r.Outcome)
	case <-time.After(5 * time.Second):
		t.Fatal("onDeposed was not called")
	}
	open, err := jobstore.ListOpen(context.Background(), store, keys)
	if err != nil || len(open.Jobs)+len(open.Unreadable) != 0 {
		t.Errorf("open jobs: got %v, %v, want none", open, err)
	}
}

// Writes are grouped within the limits of the store; one transaction for each job
// would exceed its rate.
func TestWritesAreGrouped(t *testing.T) {
	store := newMemoryStore()
	h := newHarness(t, store)
	h.c.SetInterval(20)
	const jobs = 200
	for i := range jobs {
		h.c.Enqueue(newJob(fmt.Sprint("j", i), "n"))
	}
	for range jobs {
		h.result()
	}
	if store.maxOperations > 32 {
		t.Errorf("operations of a transaction: got %d, want at most 32", store.maxOperations)
	}
	if store.txns > jobs/5 {
		t.Errorf("transactions for %d jobs: got %d, want at most %d", jobs, store.txns, jobs/5)
	}
}

// Guards against jobs that never end: a store gave each record of a transaction its
// own revision, so that the ends of all jobs but the last were considered
// conflicts.
func TestRevisionsWithinATransaction(t *testing.T) {
	store := newMemoryStore()
	h := newHarness(t, store)
	h.c.Enqueue(newJob("a", "n1"))
	r := h.result()
	end := endOf("a", "n2", r.StoredRevision+1)
	end.Nonce = "n1"
	h.c.Enqueue(end)
	if got, want := h.result().Outcome, scheduler.SaveDone; got != want {
		t.Errorf("outcome of an end at another revision of the same record: got %v, want %v", got, want)
	}
}

// An entry can be deposed by only one of two concurrent successors, and not while it
// is registered.
func TestDepose(t *testing.T) {
	store := newMemoryStore()
	ctx := context.Background()
	store.items["t/entries/x"] = platform.KeyValue{Key: "t/entries/x", ModRevision: 3}
	for _, tt := range []struct {
		entry, successor ownership.Incarnation
		want             jobstore.ErrorKind
	}{
		{"x", "entry-b", jobstore.StillRegistered},
		{"y", "entry-b", ""},
		{"y", "entry-b", ""},
		{"y", "entry-c", jobstore.AlreadyDeposed},
	} {
		err := jobstore.Depose(ctx, store, keys, tt.entry, tt.successor, "t/entries/"+string(tt.entry))
		var e *jobstore.Error
		var got jobstore.ErrorKind
		if errors.As(err, &e) {
			got = e.Kind
		}
		if got != tt.want {
			t.Errorf("depose %s by %s: got %q, want %q", tt.entry, tt.successor, got, tt.want)
		}
	}
}

// A job of another entry is cancelled in the store; the owner's write of the end then
// gets a conflict.
func TestCancelForAnotherEntry(t *testing.T) {
	store := newMemoryStore()
	ctx := context.Background()
	h := newHarness(t, store)
	h.c.Enqueue(newJob("a", "n1"))
	r := h.result()
	_, open, err := jobstore.ReadState(ctx, store, keys, "a")
	if err != nil || open == nil {
		t.Fatalf("open job: got %v, %v", open, err)
	}
	if err = jobstore.Cancel(ctx, store, keys, open, &wire.StoredEnd{State: wire.StoredEnd_STATE_CANCELLED, Nonce: "c"}); err != nil {
		t.Fatal(err)
	}
	h.c.Enqueue(endOf("a", "n2", r.StoredRevision))
	if got, want := h.result().Outcome, scheduler.SaveConflict; got != want {
		t.Errorf("outcome of the end: got %v, want %v", got, want)
	}
	state, _, _ := jobstore.ReadState(ctx, store, keys, "a")
	if state != batch.Cancelled {
		t.Errorf("state: got %v, want cancelled", state)
	}
	if strings.Contains(string(open.ID), "/") {
		t.Errorf("id of the open job: got %q", open.ID)
	}
}
