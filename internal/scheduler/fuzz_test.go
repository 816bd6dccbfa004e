package scheduler_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/teaseltide/teaseltide/internal/wire"
)

// A malformed message must not terminate the process: an entry survives any
// report and note, including ones about runs that it does not know.
func FuzzReport(f *testing.F) {
	seed := func(r *wire.TaskReport) {
		data, err := proto.Marshal(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	seed(&wire.TaskReport{})
	seed(&wire.TaskReport{Inventory: true, Events: []*wire.TaskEvent{{}, {Run: &wire.TaskRun{Job: "j", Step: 9, Index: 1 << 31, Attempt: -1}, State: 99}}})
	seed(&wire.TaskReport{SentAt: -1 << 63, Received: 1 << 62, Load: &wire.WorkerLoad{Cpu: -1, FreeCpu: 1 << 62, Ready: true, Service: "s"}, Offer: true, Held: true})
	seed(&wire.TaskReport{Unclaimed: []*wire.TaskRun{{}}, Fenced: []string{""}, Load: &wire.WorkerLoad{Cpu: 20_000, FreeCpu: 20_000, MemoryMb: 1, FreeMemoryMb: 100, Ready: true, Service: "s"}})
	leases, err := proto.Marshal(&wire.JobLeaseAnswers{Answers: []*wire.JobLeaseAnswer{{}, {Job: "j", Round: 1, Result: 3, End: 99}, {Job: "k", Round: -1, Result: 99}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(leases)
	f.Fuzz(func(t *testing.T, data []byte) {
		var r wire.TaskReport
		if proto.Unmarshal(data, &r) != nil {
			return
		}
		b := newTestbed(t, 1)
		b.submit(job("j", 2, true))
		b.submit(job("k", 2, false))
		b.s.HandleReport(b.now, sidecar("w0"), &r)
		b.tick()
		b.s.ReleaseRuns("w0", nil)
		b.submit(job("l", 1, true))
		b.advance(2000)
		b.s.HandleReport(b.now, sidecar("w0"), &r)
		b.tick()
		var n wire.EntryNote
		if proto.Unmarshal(data, &n) == nil {
			b.s.HandleEntryNote(b.now, "entry-b", &n)
			b.tick()
		}
		var l wire.JobLeaseAnswers
		if proto.Unmarshal(data, &l) == nil {
			b.s.HandleJobLeaseAnswers(b.now, sidecar("w0"), &l)
			b.tick()
		}
		if b.s.OpenJobs() > 3 {
			t.Errorf("open jobs: got %d, want at most the three that were submitted", b.s.OpenJobs())
		}
	})
}
