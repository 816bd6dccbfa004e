package entry

import (
	"slices"

	"go.uber.org/zap"

	"github.com/teaseltide/teaseltide/internal/dispatch"
	"github.com/teaseltide/teaseltide/internal/ownership"
)

// Values of dispatch.PartitionStatus.Mode.
const (
	modeIdle    = "idle"
	modeServing = "serving"
)

// stateLogger logs the state changes inside the core: partitions taken over,
// served and released, and workers that change or are ejected. It compares
// successive snapshots of the state, so that the core needs no logger.
type stateLogger struct {
	log        *zap.Logger
	partitions map[ownership.Partition]dispatch.PartitionStatus
	workers    map[ownership.Incarnation]dispatch.WorkerStatus
	// lastCounters are the counters at the last comparison.
	lastCounters dispatch.Counters
}

// partitionsChanged reports whether partitions were fenced or released since the
// last comparison.
func (j *stateLogger) partitionsChanged(now dispatch.Counters) bool {
	return now.Takeovers != j.lastCounters.Takeovers || now.StepDowns != j.lastCounters.StepDowns
}

// logChanges logs the differences from the last comparison.
func (j *stateLogger) logChanges(counters dispatch.Counters, s dispatch.Status) {
	j.lastCounters = counters
	j.logPartitionChanges(s)
	j.logWorkerChanges(s.Workers)
}

// partitionChange groups the partitions with the same change into one log line.
type partitionChange struct {
	message string
	owner   ownership.Incarnation
}

func (j *stateLogger) logPartitionChanges(s dispatch.Status) {
	var order []partitionChange
	changed := make(map[partitionChange][]int)
	last := make(map[partitionChange]ownership.Epoch)
	present := make(map[ownership.Partition]dispatch.PartitionStatus, len(s.Partitions))
	for _, p := range s.Partitions {
		present[p.Partition] = p
		what := describeChange(s.Entry, j.partitions[p.Partition], p)
		if what == "" {
			continue
		}
		c := partitionChange{what, p.Owner}
		if changed[c] == nil {
			order = append(order, c)
		}
		changed[c] = append(changed[c], int(p.Partition))
		last[c] = max(last[c], p.Epoch)
	}
	j.partitions = present
	for _, c := range order {
		j.log.Info(c.message, zap.Ints("partitions", changed[c]), zap.Uint64("highest-epoch", uint64(last[c])), zap.String("recorded-owner", string(c.owner)))
	}
}

// describeChange returns the log message for the change of a partition, or an
// empty string if there is none.
func describeChange(self ownership.Incarnation, old, now dispatch.PartitionStatus) string {
	served := old.Mode != "" && old.Mode != modeIdle
	if now.Mode == modeIdle {
		if served {
			return "partitions released"
		}
		return ""
	}
	if old.Mode == now.Mode && old.Epoch == now.Epoch {
		return ""
	}
	switch {
	case now.Mode == modeServing:
		return "partitions served"
	case now.Owner != self:
		return "partitions taken over as the successor, fencing"
	}
	return "partitions assigned by the record, fencing"
}

func (j *stateLogger) logWorkerChanges(workers []dispatch.WorkerStatus) {
	present := make(map[ownership.Incarnation]dispatch.WorkerStatus, len(workers))
	for _, w := range workers {
		present[w.Sidecar] = w
		old := j.workers[w.Sidecar]
		log := j.log.With(zap.String("worker", w.Worker), zap.String("sidecar", string(w.Sidecar)))
		if old.State != w.State || !slices.Equal(old.Services, w.Services) || old.Slots != w.Slots {
			log.Info("worker changed", zap.String("state", w.State), zap.Strings("services", w.Services), zap.Int("slots", w.Slots))
		}
		switch {
		case w.Ejected && !old.Ejected:
			log.Warn("worker ejected", zap.String("reason", w.EjectionReason), zap.Int64("starts", w.Starts), zap.Int64("failures", w.Failures))
		case !w.Ejected && old.Ejected:
			log.Info("worker readmitted")
		}
	}
	j.workers = present
}
