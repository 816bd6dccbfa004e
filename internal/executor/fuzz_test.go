package executor_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/executor"
	"github.com/teaseltide/teaseltide/internal/wire"
)

// Pattern: one malformed message took a whole process down. A sidecar lives after
// any orders, starts nothing that its worker cannot hold, and still serves the
// next ones.
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
		b := newBed(t)
		b.x.Orders(b.now, entryA, &o)
		b.advance(20)
		for _, c := range b.take() {
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
		b.x.Connected(entryB)
		for range 20 {
			b.x.Orders(b.now, entryB, b.orders())
			b.advance(100)
			b.list(firstToken, 1, nil, nil)
		}
	})
}
