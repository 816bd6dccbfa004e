package dispatch

import (
	"math"
	"testing"

	"github.com/teaseltide/teaseltide/internal/wire"
)

// Guards against a new owner that takes declared run times at face value
// although the sidecars have run such tasks: it would refuse jobs that wait
// for the takeover as too late (TestNotRepeatableJobs with seed 1: 43 s
// expected, 4 s needed).
func TestNewOwnerLearnsRunTimes(t *testing.T) {
	const jobs, tasks, declared = 200, 20, 1000
	known := []*wire.RunTimes{{
		Service: benchService, Runs: 100, Declared: 100,
		MeanRun: math.Log(float64(benchRun)), MeanDeclared: math.Log(declared),
		DeclaredVariance: 1,
	}}
	for _, tt := range []struct {
		name     string
		runTimes []*wire.RunTimes
		refused  bool
	}{
		{"reported", known, false},
		{"not reported", nil, true},
		{"malformed", []*wire.RunTimes{{Service: benchService, Runs: math.NaN()}}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarnessWithRunTimes(6, tt.runTimes)
			for i := range jobs {
				j := testJob(i, tasks)
				j.ExpiresAtMs = int64(b.now) + 60_000
				for _, task := range j.Tasks {
					task.DeclaredMs = declared
				}
				b.core.Handle(b.now, Submit{Request: RequestID(i + 1), Job: j})
			}
			b.advance(60_000)
			if got := b.answersByRan[wire.Ran_RAN_NOT_RUN] > 0; got != tt.refused {
				t.Errorf("got answers %v, want refusals: %v", b.answersByRan, tt.refused)
			}
			if b.answerCount != jobs {
				t.Errorf("got %d answers, want %d", b.answerCount, jobs)
			}
		})
	}
}
