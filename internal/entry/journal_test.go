package entry

import (
	"slices"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/teaseltide/teaseltide/internal/dispatch"
	"github.com/teaseltide/teaseltide/internal/ownership"
)

// Guards against state changes that are not logged, against a log line for each
// partition of one change, and against lines repeated without a change.
func TestStateChangesAreLoggedOnce(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	j := &stateLogger{log: zap.New(core)}
	partitions := func(mode string, owner ownership.Incarnation, epoch ownership.Epoch) []dispatch.PartitionStatus {
		all := make([]dispatch.PartitionStatus, 3)
		for p := range all {
			all[p] = dispatch.PartitionStatus{Partition: ownership.Partition(p), Mode: mode, Owner: owner, Epoch: epoch}
		}
		return all
	}
	worker := dispatch.WorkerStatus{Worker: "w", Sidecar: "s", State: "serving", Slots: 8}
	ejected := worker
	ejected.Ejected, ejected.EjectionReason = true, "failures"
	for i, step := range []struct {
		partitions []dispatch.PartitionStatus
		worker     dispatch.WorkerStatus
		want       []string
	}{
		{partitions("idle", "b", 2), worker, []string{"worker changed"}},
		{partitions("idle", "b", 4), worker, nil},
		{partitions("fencing", "b", 5), worker, []string{"partitions taken over as the successor, fencing"}},
		{partitions("serving", "b", 5), worker, []string{"partitions served"}},
		{partitions("fencing", "a", 7), ejected, []string{"partitions assigned by the record, fencing", "worker ejected"}},
		{partitions("serving", "a", 7), ejected, []string{"partitions served"}},
		{partitions("serving", "a", 7), worker, []string{"worker readmitted"}},
		{partitions("idle", "b", 9), worker, []string{"partitions released"}},
	} {
		for range 2 {
			j.logChanges(dispatch.Counters{}, dispatch.Status{Entry: "a", Partitions: step.partitions, Workers: []dispatch.WorkerStatus{step.worker}})
		}
		var got []string
		for _, line := range lines.TakeAll() {
			got = append(got, line.Message)
		}
		if !slices.Equal(got, step.want) {
			t.Errorf("step %d: got lines %q, want %q", i, got, step.want)
		}
	}
}
