package jobstore_test

import (
	"context"
	"fmt"
	"math"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/jobstore"
	"github.com/teaseltide/teaseltide/internal/platform"
	"github.com/teaseltide/teaseltide/internal/wire"
)

func put(m *memoryStore, key string, value []byte) {
	m.revision++
	m.items[key] = platform.KeyValue{Key: key, Value: value, ModRevision: m.revision}
}

func encode(t *testing.T, m proto.Message) []byte {
	t.Helper()
	data, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards against one odd record of an open job that stops all takeovers and scans
// of owners, because the list fails.
func TestOddRecordHidesNoOtherJob(t *testing.T) {
	for fault, value := range map[string][]byte{
		"text":             []byte("{}"),
		"deeply nested":    []byte(strings.Repeat("[", 20_000)),
		"cut":              encode(t, goodRecord())[:5],
		"other wire type":  {0x08, 0x01, 0x0a, 0xff, 0xff, 0xff, 0xff, 0x0f},
		"owner not UTF-8":  {0x0a, 0x01, 0xff},
		"number too large": {0x30, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f},
	} {
		t.Run(fault, func(t *testing.T) {
			m := newMemoryStore()
			put(m, "t/open/good", encode(t, goodRecord()))
			put(m, "t/open/odd", value)
			open, err := jobstore.ListOpen(context.Background(), m, keys)
			if err != nil || len(open.Jobs) != 1 || open.Jobs[0].ID != "good" {
				t.Errorf("open jobs: got %v, %v, want the good one", open.Jobs, err)
			}
			if len(open.Unreadable) != 1 || open.Unreadable[0].Key != "t/open/odd" {
				t.Errorf("unreadable records: got %v, want the odd one", open.Unreadable)
			}
		})
	}
}

func goodRecord() *wire.StoredJob {
	return &wire.StoredJob{
		Owner: string(self), Service: "s", MaxFailures: 4, ObjectiveMs: 220, AcceptedAtMs: 1_000_000,
		Steps: []*wire.StoredStep{{Count: 1, Cpu: 1}, {Count: 2, After: []uint32{0}}},
	}
}

// Guards against an odd record that takes its next entry down: a step of
// 4e9 tasks allocates without bound, and a dependency on a missing step is an index
// out of range.
func TestRecordWithValueOutOfRangeIsMalformed(t *testing.T) {
	for fault, change := range map[string]func(*wire.StoredJob){
		"count too large":          func(r *wire.StoredJob) { r.Steps[0].Count = 4_000_000_000 },
		"counts too large in all":  func(r *wire.StoredJob) { r.Steps[0].Count, r.Steps[1].Count = batch.MaxTasks, batch.MaxTasks },
		"no tasks":                 func(r *wire.StoredJob) { r.Steps[0].Count = 0 },
		"no steps":                 func(r *wire.StoredJob) { r.Steps = nil },
		"missing dependency":       func(r *wire.StoredJob) { r.Steps[1].After = []uint32{2} },
		"dependency on itself":     func(r *wire.StoredJob) { r.Steps[1].After = []uint32{1} },
		"huge dependency":          func(r *wire.StoredJob) { r.Steps[1].After = []uint32{4_294_967_295} },
		"negative processor":       func(r *wire.StoredJob) { r.Steps[0].Cpu = -1 },
		"negative memory":          func(r *wire.StoredJob) { r.Steps[0].MemoryMb = -1 },
		"negative accelerators":    func(r *wire.StoredJob) { r.Steps[0].Accelerators = -1 },
		"negative run time":        func(r *wire.StoredJob) { r.Steps[0].EstimatedMs = -1 },
		"more progress than tasks": func(r *wire.StoredJob) { r.Tasks = make([]*wire.StoredTask, 4) },
		"no owner":                 func(r *wire.StoredJob) { r.Owner = "" },
		"owner that is no process": func(r *wire.StoredJob) { r.Owner = "a" },
	} {
		t.Run(fault, func(t *testing.T) {
			record := goodRecord()
			change(record)
			m := newMemoryStore()
			put(m, "t/open/odd", encode(t, record))
			open, err := jobstore.ListOpen(context.Background(), m, keys)
			if err != nil || len(open.Jobs) != 0 || len(open.Unreadable) != 1 {
				t.Errorf("got %d jobs, %d unreadable, %v, want one unreadable", len(open.Jobs), len(open.Unreadable), err)
			}
		})
	}
}

// Guards against a mark of another writer that breaks each session on which it is
// sent: a frame with invalid UTF-8 cannot be encoded.
func TestOddMarksAreNotSent(t *testing.T) {
	kvs := []platform.KeyValue{{Key: "t/deposed/entry-b", Value: []byte(self)}}
	for i, odd := range []string{"\xff\xfe", "", "[", "a", strings.Repeat("x", 1<<20) + "-1"} {
		kvs = append(kvs,
			platform.KeyValue{Key: fmt.Sprint("t/deposed/odd-", i), Value: []byte(odd)},
			platform.KeyValue{Key: "t/deposed/" + odd, Value: []byte(self)})
	}
	successors, unreadable := keys.DecodeDeposed(kvs)
	if len(successors) != 1 || successors["entry-b"] != self || len(unreadable) != len(kvs)-1 {
		t.Errorf("got %d marks, %d unreadable, want 1 and %d", len(successors), len(unreadable), len(kvs)-1)
	}
	for deposed, successor := range successors {
		if _, err := proto.Marshal(&wire.FenceEntry{Deposed: string(deposed), Successor: string(successor)}); err != nil {
			t.Errorf("mark %.20q: got error %v, want it to be encoded", deposed, err)
		}
	}
	if !keys.IsDeposed(kvs, "odd-0") || keys.IsDeposed(kvs, self) {
		t.Errorf("entry with an odd mark, entry without one: got deposed %v, %v, want true, false", keys.IsDeposed(kvs, "odd-0"), keys.IsDeposed(kvs, self))
	}
}

// Guards against jobs that nobody continues: the mark of their entry names no
// successor, so each deposition found the entry deposed already.
func TestDeposeReplacesAnOddMark(t *testing.T) {
	for _, odd := range []string{"", "\xff", "[", strings.Repeat("x", 10_000)} {
		m := newMemoryStore()
		put(m, "t/deposed/entry-b", []byte(odd))
		put(m, "t/entries/entry-b", nil)
		depose := func() error {
			return jobstore.Depose(context.Background(), m, keys, "entry-b", self, "t/entries/entry-b")
		}
		if err := depose(); err == nil {
			t.Errorf("mark %.20q of a registered entry: got no error, want one", odd)
		}
		delete(m.items, "t/entries/entry-b")
		if err := depose(); err != nil {
			t.Errorf("mark %.20q: got error %v, want none", odd, err)
		}
		if got := string(m.items["t/deposed/entry-b"].Value); got != string(self) {
			t.Errorf("mark %.20q after the deposition: got %.20q, want %s", odd, got, self)
		}
	}
}

// Guards against an accepted job that is not taken over: its objective is computed
// from the operators' configuration, whose numbers are not bounded, and its times
// come from the clock of its owner.
func TestJobWithOddTimesIsTakenOver(t *testing.T) {
	for _, ms := range []int64{math.MinInt64, -1, 0, math.MaxInt64} {
		record := goodRecord()
		record.ObjectiveMs, record.AcceptedAtMs = ms, ms
		m := newMemoryStore()
		put(m, "t/open/a", encode(t, record))
		open, err := jobstore.ListOpen(context.Background(), m, keys)
		if err != nil || len(open.Jobs) != 1 {
			t.Errorf("objective and acceptance %d: got %d jobs, %v, want 1", ms, len(open.Jobs), err)
		}
	}
}
