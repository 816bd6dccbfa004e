package sidecarnode_test

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/executor"
	"github.com/teaseltide/teaseltide/internal/jobstore"
	"github.com/teaseltide/teaseltide/internal/peer"
	"github.com/teaseltide/teaseltide/internal/platform"
	"github.com/teaseltide/teaseltide/internal/sidecarnode"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// lateWriteStore loses the reply to the first write of a worker record and applies
// that write when applyLate is called, if its condition still holds.
type lateWriteStore struct {
	emptyStore

	mu        sync.Mutex
	record    []byte
	revision  platform.Revision
	writes    int
	applyLate func()
}

func (s *lateWriteStore) Get(_ context.Context, key string) (platform.KeyValue, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return platform.KeyValue{Key: key, Value: s.record, ModRevision: s.revision}, nil
}

func (s *lateWriteStore) Txn(_ context.Context, txn platform.Txn) (platform.TxnResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(txn.Puts) != 1 || !strings.Contains(txn.Puts[0].Key, "workers/") {
		return platform.TxnResult{Succeeded: true}, nil
	}
	if s.writes++; s.writes == 1 {
		s.applyLate = func() { s.apply(txn) }
		return platform.TxnResult{}, errors.New("no answer")
	}
	return s.apply(txn), nil
}

func (s *lateWriteStore) apply(txn platform.Txn) platform.TxnResult {
	for _, c := range txn.Conditions {
		if c.Revision != s.revision {
			return platform.TxnResult{Current: []platform.KeyValue{{Key: c.Key, Value: s.record, ModRevision: s.revision}}}
		}
	}
	s.revision += 2
	s.record = txn.Puts[0].Value
	// Another write of the transaction may have got the next revision.
	return platform.TxnResult{Succeeded: true, Revision: s.revision - 1}
}

func (s *lateWriteStore) worker(t *testing.T) executor.Worker {
	t.Helper()
	var w executor.Worker
	if s.record == nil {
		return w
	}
	if err := json.Unmarshal(s.record, &w); err != nil {
		t.Fatal(err)
	}
	return w
}

// Guards against a draining worker that is used again after a restart of its
// sidecar. A write of the worker record whose reply was lost is applied seconds
// later. It must not replace the newer record, which tells the next sidecar that
// the worker is draining.
func TestLateWriteDoesNotOverwriteDrainingWorker(t *testing.T) {
	cfg := peer.DefaultConfig()
	cfg.Listen, cfg.Token = "127.0.0.1:17392", "t"
	store := &lateWriteStore{}
	p := sidecarnode.New(sidecarnode.Settings{
		Incarnation: "sidecar-1", Domain: "z", Address: cfg.Listen, Peer: cfg, Keys: jobstore.Keys{Prefix: "t/"}, MaxLease: 1000, DrainTimeout: 100,
	}, sidecarnode.Deps{
		Worker: &fakeWorker{running: make(map[batch.TaskID]batch.RunID)}, Store: store, Directory: platform.NewDirectory(store, platform.DirectorySettings{}),
		Clock: clock.NewSystem(), Log: zap.NewNop(), Frames: noFrameCounter{},
	})
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- p.Run(ctx) }()
	w := executor.Worker{ID: "w", Incarnation: 1, Sequence: 1, Service: "s", Capacity: batch.Resources{CPU: 1000}}
	p.WorkerReported(w)
	waitFor(t, func() bool { return store.record != nil }, store)
	w.Sequence, w.Draining = 2, true
	p.WorkerReported(w)
	waitFor(t, func() bool { return store.worker(t).Draining }, store)
	store.mu.Lock()
	store.applyLate()
	draining := store.worker(t).Draining
	store.mu.Unlock()
	cancel()
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	if !draining {
		t.Error("worker record after the late write: got accepting tasks, want draining")
	}
}

func waitFor(t *testing.T, condition func() bool, store *lateWriteStore) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		store.mu.Lock()
		done := condition()
		store.mu.Unlock()
		if done {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("the record was not written in 10 s")
		}
	}
}
