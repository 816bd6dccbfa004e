package executor_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/executor"
	"github.com/teaseltide/teaseltide/internal/wire"
)

// Guards against a malformed message that crashes the process. After arbitrary
// orders a sidecar starts nothing that exceeds the worker's capacity and still
// handles the next orders.
func FuzzOrders(f *testing.F) {
	seed := func(o *wire.TaskOrders) {
		data, err := proto.Marshal(o)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	seed(&wire.TaskOrders{})
	seed(&wire.TaskOrders{GrantedFrom: 1 << 62, Starts: []*wire.TaskStart{{}, {Cpu: -5, MemoryMb: -1}, {Cpu: 1 << 62}}})
	seed(&wire.TaskOrders{GrantedFrom: 1_000_000, Starts: []*wire.TaskStart{{Run: &wire.TaskRun{Job: "j", Attempt: 1}, Cpu: 30_000, BestEffort: true}}})
	seed(&wire.TaskOrders{Stops: []*wire.TaskRun{{}}, Stored: []*wire.TaskRun{{}}, Releases: []*wire.TaskRun{{}}, Adopts: []*wire.TaskStart{{}}})
	seed(&wire.TaskOrders{Fences: []*wire.FenceEntry{{}, {Deposed: "entry-a", Successor: "entry-a"}}, Demand: -1, DemandCpu: -1 << 62})
	f.Fuzz(func(t *testing.T, data []byte) {
		var o wire.TaskOrders
		if proto.Unmarshal(data, &o) != nil {
			return
		}
		h := newHarness(t)
		var l wire.JobLeaseRequests
		if proto.Unmarshal(data, &l) == nil {
			h.x.JobLeasesRequested(h.now, entryA, &l)
		}
		h.x.OrdersReceived(h.now, entryA, &o)
		h.advance(20)
		for _, c := range h.take() {
			s, ok := c.(executor.StartRun)
			if !ok {
				continue
			}
			fits := false
			for _, ordered := range o.GetStarts() {
				fits = fits || batch.RunIDFromWire(ordered.GetRun()) == s.Run && ordered.GetCpu() <= 20_000
			}
			if !fits {
				t.Errorf("started %v, which a worker of 20000 thousandths of a core cannot hold", s.Run)
			}
		}
		h.x.EntryConnected(entryB)
		for range 20 {
			h.x.OrdersReceived(h.now, entryB, h.orders())
			h.advance(100)
			h.list(firstToken, 1, nil, nil)
		}
	})
}
