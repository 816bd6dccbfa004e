package jobstore_test

import (
	"context"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

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
