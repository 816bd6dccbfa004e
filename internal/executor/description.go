package executor

import (
	"encoding/json"
	"strings"
)

const (
	// maxResource bounds each capacity of a worker: a million cores or a petabyte of
	// memory. A larger one would draw all tasks to the worker.
	maxResource = 1_000_000_000
	// maxWorkerIDBytes bounds the id of a worker, which is sent as a header.
	maxWorkerIDBytes = 256
)

// IsValid reports whether w can be the description of a worker: its id can be sent
// as a header and in a message to an entry, and its numbers are in range.
func (w *Worker) IsValid() bool {
	c := w.Capacity
	if min(w.Sequence, w.Incarnation, c.CPU, c.MemoryMB, c.Accelerators) < 0 || max(c.CPU, c.MemoryMB, c.Accelerators) > maxResource {
		return false
	}
	isOdd := func(r rune) bool { return r <= ' ' || r > '~' }
	return w.ID != "" && len(w.ID) <= maxWorkerIDBytes && strings.IndexFunc(w.ID, isOdd) < 0
}

// DecodeWorker decodes the stored description of a worker. It returns false if the
// value is not one, which another writer may have left.
func DecodeWorker(value []byte) (Worker, bool) {
	var w Worker
	if json.Unmarshal(value, &w) != nil || !w.IsValid() {
		return Worker{}, false
	}
	return w, true
}
