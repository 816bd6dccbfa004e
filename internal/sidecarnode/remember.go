package sidecarnode

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/teaseltide/teaseltide/internal/executor"
	"github.com/teaseltide/teaseltide/internal/platform"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// workerKey returns the store key of the worker record, which the successive
// sidecars of an address share.
func (p *Process) workerKey() string {
	return p.settings.Keys.Prefix + "workers/" + p.settings.Address
}

// queueWorkerUpdate hands a worker record to persistWorker. A record that is still
// queued is replaced. It must not be called concurrently.
func (p *Process) queueWorkerUpdate(w executor.Worker) {
	select {
	case <-p.workerUpdates:
	default:
	}
	p.workerUpdates <- w
}

// persistWorker restores the worker record of an earlier sidecar and then writes
// each new record to the store. Workers report every 1.5 s; without the record, a
// restarted sidecar accepts no task until the next report.
func (p *Process) persistWorker(ctx context.Context) {
	var revision platform.Revision
	p.retry(ctx, "read worker", restoreRetryPause, func(ctx context.Context) error {
		kv, err := p.deps.Store.Get(ctx, p.workerKey())
		if err != nil || kv.ModRevision == 0 {
			return err
		}
		revision = kv.ModRevision
		w, ok := executor.DecodeWorker(kv.Value)
		if !ok {
			p.deps.Log.Warn("worker record not readable", zap.String("key", kv.Key))
			return nil
		}
		p.push(func(clock.Millis) { p.core.WorkerRestored(w) })
		return nil
	})
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-p.workerUpdates:
			value, err := json.Marshal(w)
			if err != nil {
				p.deps.Log.Warn("worker record not encoded", zap.Error(err))
				continue
			}
			p.retry(ctx, "keep worker", storeRetryPause, func(ctx context.Context) error {
				return p.writeWorker(ctx, value, &revision)
			})
		}
	}
}

// errRecordChanged reports that the worker record had an unexpected revision, for
// example that of an earlier write whose reply was lost.
var errRecordChanged = errors.New("the worker record has changed")

// writeWorker replaces the worker record if it still has the given revision, and
// sets revision to the current one. Without the condition, an earlier write whose
// reply was lost could be applied after this one and overwrite it.
func (p *Process) writeWorker(ctx context.Context, value []byte, revision *platform.Revision) error {
	result, err := p.deps.Store.Txn(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: p.workerKey(), Revision: *revision}},
		Puts:       []platform.Put{{Key: p.workerKey(), Value: value}},
	})
	switch {
	case err != nil:
		return err
	case result.Succeeded:
		*revision = result.Revision
		return nil
	case len(result.Current) > 0:
		*revision = result.Current[0].ModRevision
	}
	return errRecordChanged
}
