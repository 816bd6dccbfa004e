package scheduler_test

import (
	"fmt"
	"testing"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// BenchmarkPlacement measures a tick with 2,000 jobs of three or of 2,000 sizes that wait for
// 70 workers: full ones, or idle ones that lack the label of the jobs. An entry ticks many
// times a second with 0.144 of a core.
func BenchmarkPlacement(b *testing.B) {
	for _, tt := range []struct {
		name, label string
		sizes       int
	}{{"full", "", 3}, {"no-worker", "rare", 3}, {"full-distinct", "", 2000}} {
		b.Run(tt.name, func(b *testing.B) {
			label := tt.label
			const now = clock.Millis(1_000_000)
			s := scheduler.New(settings)
			s.RecordStoreContact(now)
			s.SetEntries([]ownership.Incarnation{self})
			report := func(freeCPU int64, labels ...string) {
				for i := range 70 {
					load := &wire.WorkerLoad{Cpu: 32_000, FreeCpu: freeCPU, MemoryMb: 1000, FreeMemoryMb: 1000, Ready: true, Service: "s", Labels: labels}
					s.HandleReport(now, sidecar(address(i)), &wire.TaskReport{Inventory: true, SentAt: int64(now), Load: load})
				}
			}
			for i := range 70 {
				s.SidecarConnected(address(i), "", sidecar(address(i)))
			}
			report(900, "rare")
			for i := range 2000 {
				s.Submit(now, scheduler.Request(i+1), batch.Job{
					ID: batch.JobID(fmt.Sprint("j", i)), Service: "s", Priority: i % 3, MaxFailures: 4, Objective: clock.Minute + clock.Millis(i),
					Steps: []batch.Step{{Count: 4, Required: batch.Resources{CPU: int64(1000 + 500*(i%3) + i%tt.sizes), MemoryMB: 1}, EstimatedRunTime: 100, RequiredLabel: label}},
				})
			}
			for _, c := range s.Tick(now) {
				if save, ok := c.(scheduler.Save); ok {
					s.HandleSaveResult(now, save.ID, save.Kind, scheduler.SaveDone, 7)
				}
			}
			if label != "" {
				report(32_000)
			}
			if got, want := s.OpenJobs(), 2000; got != want {
				b.Fatalf("open jobs: got %d, want %d", got, want)
			}
			b.ResetTimer()
			for range b.N {
				s.Tick(now)
			}
		})
	}
}
