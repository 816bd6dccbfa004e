package entry

import (
	"slices"

	"go.uber.org/zap"

	"github.com/teaseltide/teaseltide/internal/dispatch"
	"github.com/teaseltide/teaseltide/internal/ownership"
)

// Modes of a partition in dispatch.PartitionStatus.
const (
	modeIdle    = "idle"
	modeServing = "serving"
)

// journal logs the changes of state that happen inside the core: partitions
// taken over, served and given up, and workers that change or are ejected. It
// compares the present state with the last one, so that the core stays without
// output.
type journal struct {
	log        *zap.Logger
	partitions map[ownership.Partition]dispatch.PartitionStatus
	workers    map[ownership.Incarnation]dispatch.WorkerStatus
	// counted are the counts of the last comparison.
	counted dispatch.Counters
}

// due tells whether partitions were fenced or given up since the last
// comparison.
func (j *journal) due(now dispatch.Counters) bool {
	return now.Takeovers != j.counted.Takeovers || now.StepDowns != j.counted.StepDowns
}

// compare logs what has changed.
func (j *journal) compare(counters dispatch.Counters, s dispatch.Status) {
	j.counted = counters
	j.comparePartitions(s)
	j.compareWorkers(s.Workers)
}

// partitionChange is a change that several partitions share; they make one
// line.
type partitionChange struct {
	what  string
	owner ownership.Incarnation
}

func (j *journal) comparePartitions(s dispatch.Status) {
	var order []partitionChange
	changed := make(map[partitionChange][]int)
	last := make(map[partitionChange]ownership.Epoch)
	present := make(map[ownership.Partition]dispatch.PartitionStatus, len(s.Partitions))
	for _, p := range s.Partitions {
		present[p.Partition] = p
		what := describe(s.Entry, j.partitions[p.Partition], p)
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
		j.log.Info(c.what, zap.Ints("partitions", changed[c]), zap.Uint64("highest-epoch", uint64(last[c])), zap.String("recorded-owner", string(c.owner)))
	}
}

// describe names the change of a partition, empty if there is none.
func describe(self ownership.Incarnation, old, now dispatch.PartitionStatus) string {
	served := old.Mode != "" && old.Mode != modeIdle
	if now.Mode == modeIdle {
		if served {
			return "partitions given up"
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

func (j *journal) compareWorkers(workers []dispatch.WorkerStatus) {
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
