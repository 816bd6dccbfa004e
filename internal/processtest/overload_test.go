package processtest

import (
	"testing"
	"time"

	"github.com/teaseltide/teaseltide/internal/fleet"
	"github.com/teaseltide/teaseltide/pkg/caller"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// burstLoad is the offered load of the burst relative to the capacity.
	burstLoad = 10
	burstTime = 12 * time.Second
	// burstFill is the start of the burst, in which the workers fill up and the
	// goodput is not measured.
	burstFill                  = 2 * time.Second
	burstDeadline clock.Millis = 4000
	// goodputLimit is the minimum work of jobs completed by their deadline
	// relative to the capacity.
	goodputLimit = 0.9
	// refusalLimit is the longest response time of a rejected job.
	refusalLimit = time.Second
)

// Guards against an overload in which the workers run jobs that miss their
// deadline, and against rejections that are late or follow a start.
func TestBurst(t *testing.T) {
	r := start(t, smallShape())
	r.load()
	r.extra = r.traffic.Stop()
	r.traffic = r.newTraffic("burst", burstLoad)
	r.traffic.Jobs.Shortest, r.traffic.Jobs.Longest = 50, 500
	r.traffic.MaxJobs = 10_000
	r.traffic.Prepare = func(j *fleet.Job) { j.Deadline = burstDeadline }
	begin := time.Now()
	r.traffic.Start(r.ctx)
	time.Sleep(burstTime)
	end := time.Now()
	burst := r.traffic.Stop()
	r.finish()

	var offered, done clock.Millis
	ran := make(map[string]int)
	slowest := time.Duration(0)
	for i := range burst {
		o := &burst[i]
		offered += o.Work
		switch {
		case o.Ran() == caller.Complete:
			if o.ResponseTime() <= burstDeadline.Duration() && o.End.After(begin.Add(burstFill)) && o.End.Before(end) {
				done += o.Work
			}
			ran["complete"]++
		case o.Answer == nil:
			t.Errorf("job %s: %s", o.Key, reason(o))
		default:
			ran[string(o.Answer.Ran)+" "+string(o.Answer.Code)]++
			if o.Ran() == caller.NotRun {
				slowest = max(slowest, o.ResponseTime())
			}
		}
	}
	window := end.Sub(begin) - burstFill
	goodput := float64(done) / (r.Shape.Capacity() * float64(window.Milliseconds()))
	load := float64(offered) / (r.Shape.Capacity() * float64(end.Sub(begin).Milliseconds()))
	t.Logf("%.1f times the capacity arrived; goodput %.3f of the capacity; the slowest refusal took %d ms; %v", load, goodput, slowest.Milliseconds(), ran)
	if load < 0.9*burstLoad {
		t.Errorf("got a load of %.1f times the capacity, want %d, so the case was not met", load, burstLoad)
	}
	if goodput < goodputLimit {
		t.Errorf("got a goodput of %.3f of the capacity, want at least %.1f", goodput, goodputLimit)
	}
	if slowest > refusalLimit {
		t.Errorf("a refusal took %s, want at most %s", slowest, refusalLimit)
	}
}
