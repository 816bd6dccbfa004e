package sidecarnode

import (
	"testing"
	"time"
)

// Guards against tasks that miss their objective because a lost answer to their start is
// noticed late, and against starts that are given up although the worker is merely slow.
// The load: 4% of the answers are lost while each worker gets 40 starts a second.
func TestStartTimeoutFollowsTheWorker(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		answers  []time.Duration
		timeouts int
		min, max time.Duration
	}{
		"no-answer-yet":          {min: 40 * ms, max: 40 * ms},
		"fast":                   {answers: []time.Duration{ms, ms, 2 * ms, ms, ms, 2 * ms, ms, ms}, min: 12 * ms, max: 12 * ms},
		"fast-one-lost":          {answers: []time.Duration{ms, ms, ms}, timeouts: 1, min: 24 * ms, max: 24 * ms},
		"fast-many-lost":         {answers: []time.Duration{ms, ms, ms}, timeouts: 40, min: 40 * ms, max: 40 * ms},
		"slow":                   {answers: []time.Duration{20 * ms, 25 * ms, 22 * ms, 30 * ms}, min: 40 * ms, max: 40 * ms},
		"steady-and-not-so-fast": {answers: []time.Duration{8 * ms, 8 * ms, 8 * ms, 9 * ms, 8 * ms, 8 * ms, 8 * ms, 8 * ms, 8 * ms, 8 * ms}, min: 12 * ms, max: 20 * ms},
		"sometimes-paused":       {answers: []time.Duration{ms, ms, ms, ms, 30 * ms}, min: 35 * ms, max: 40 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			var timeout startTimeout
			for _, a := range c.answers {
				timeout.RecordAnswer(a)
			}
			for range c.timeouts {
				timeout.RecordTimeout()
			}
			if got := timeout.Current(); got < c.min || got > c.max {
				t.Errorf("timeout: got %v, want %v to %v", got, c.min, c.max)
			}
		})
	}
}

// Guards against a timeout that stays long after single lost answers.
func TestStartTimeoutReturnsWithTheNextAnswer(t *testing.T) {
	var timeout startTimeout
	for range 10 {
		timeout.RecordAnswer(time.Millisecond)
	}
	timeout.RecordTimeout()
	timeout.RecordTimeout()
	timeout.RecordAnswer(time.Millisecond)
	if got, want := timeout.Current(), minStartTimeout; got != want {
		t.Errorf("timeout after the next answer: got %v, want %v", got, want)
	}
}
