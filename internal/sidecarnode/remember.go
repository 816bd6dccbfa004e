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

// workerKey is where the sidecars of an address keep what their worker said of
// itself.
func (p *Process) workerKey() string {
	return p.settings.Keys.Prefix + "workers/" + p.settings.Address
}

// remember hands what the worker said of itself to the goroutine that keeps it;
// only the newest counts.
func (p *Process) remember(w executor.Worker) {
	select {
	case <-p.workers:
	default:
	}
	p.workers <- w
}

// keepWorker reads what an earlier sidecar left of the worker and then keeps
// what the worker says of itself. Reports come every 1.5 s; without the record,
// a sidecar that starts anew takes no task until the next one.
func (p *Process) keepWorker(ctx context.Context) {
	var revision platform.Revision
	p.retry(ctx, "read worker", func(ctx context.Context) error {
		kv, err := p.deps.Store.Get(ctx, p.workerKey())
		if err != nil || kv.ModRevision == 0 {
			return err
		}
		revision = kv.ModRevision
		var w executor.Worker
		if err = json.Unmarshal(kv.Value, &w); err != nil {
			p.deps.Log.Warn("record of the worker", zap.Error(err))
			return nil
		}
		p.push(func(clock.Millis) { p.core.WorkerRestored(w) })
		return nil
	})
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-p.workers:
			value, err := json.Marshal(w)
			if err != nil {
				p.deps.Log.Warn("record of the worker", zap.Error(err))
				continue
			}
			p.retry(ctx, "keep worker", func(ctx context.Context) error {
				return p.writeWorker(ctx, value, &revision)
			})
		}
	}
}

// errRecordChanged tells that the record of the worker had another revision, for
// example that of an earlier write whose answer was lost.
var errRecordChanged = errors.New("the record of the worker has changed")

// writeWorker replaces the record of the worker if it has a revision, which is
// set to the new one. Without the condition, an earlier write whose answer was
// lost could be carried out after this one and undo it.
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
