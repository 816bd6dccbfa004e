package processtest

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/teaseltide/teaseltide/internal/fleet"
	"github.com/teaseltide/teaseltide/pkg/caller"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// waveJobs jobs of waveTasks tasks are submitted at once. They are several
	// times as many tasks as there are slots, so that some jobs are still queued
	// at the owner when the cancellations begin, and a job has more tasks than one worker
	// has slots.
	waveJobs  = 40
	waveTasks = 10
	// waveDelay lets the first jobs start and is shorter than any task, so that
	// no result arrives before the cancellation and the messages of an answer
	// are only dispatches and cancel frames.
	waveDelay = 300 * time.Millisecond
	// settle is the time in which the last frames arrive.
	settle = time.Second
)

const (
	cancelsSent     = `teaseltide_peer_frames_total{direction="out",kind="cancel"}`
	cancelsReceived = `teaseltide_peer_frames_total{direction="in",kind="cancel"}`
)

// Guards against a wave of cancellations that multiplies messages: more than
// one for each sidecar of a job, or one for a job of which no task left the
// owner. Guards also against a second start of a task in the wave, and against
// callers who cannot tell that their job did not run.
func TestCancellationWave(t *testing.T) {
	t.Parallel()
	r := start(t, smallShape())
	owner := r.owner()
	r.traffic = r.newTraffic("wave", 100)
	r.traffic.MaxJobs, r.traffic.MaxTasks = waveJobs, waveTasks
	r.traffic.Jobs.Shortest, r.traffic.Jobs.Longest = 1000, 2000
	// Until the owner has estimated the speeds of the workers, its run time
	// estimates are too long, and with wrong declarations and the default
	// deadline it would reject some of the jobs.
	r.traffic.Prepare = func(j *fleet.Job) {
		j.Deadline = clock.Millis(answerLimit.Milliseconds())
		for i := range j.Tasks {
			j.Tasks[i].Declared = r.traffic.Jobs.Longest
		}
	}
	r.traffic.Start(r.ctx)
	time.Sleep(waveDelay)
	cancellers := r.cancelHalf("wave")
	r.traffic.Wait()
	time.Sleep(settle)
	outcomes := r.finish()
	cancelled := func(o *fleet.Outcome) bool { return o.Answer != nil && o.Answer.Code == caller.Cancelled }
	r.wantComplete(outcomes, cancelled)

	starts := r.starts()
	most, pairs, never, left, unknown := 0, 0, 0, 0, 0
	for i := range outcomes {
		o := &outcomes[i]
		if !cancelled(o) {
			continue
		}
		// Each sidecar that gets a cancel frame got at least one dispatch, so
		// the cancel frames are at most half of the messages.
		messages := int(o.Answer.Messages)
		at := 0
		for w := range r.Shape.Workers {
			if startedAt(o, starts, w) {
				at++
			}
		}
		if at > 0 {
			left++
		}
		if messages == 0 {
			never++
			if o.Ran() != caller.NotRun || cancellers[o.Key] != caller.NotRun {
				unknown++
			}
		}
		// A dispatch in flight causes a cancel frame, so a single
		// message is a cancel frame without a dispatch.
		if messages == 1 || messages == 0 && at > 0 {
			t.Errorf("job %s: %d messages and starts at %d workers", o.Key, messages, at)
		}
		pairs += at
		most += min(messages/2, r.Shape.Workers)
	}
	sent, received := r.metric(r.OperatorURL(owner), cancelsSent), 0
	for i := range r.Sidecars {
		received += r.metric(r.SidecarURL(i), cancelsReceived)
	}
	t.Logf("cancelled: %d jobs with a start, %d jobs of which no task left the owner; %d cancel frames sent, %d received, at most %d allowed; %d pairs of a job and a worker with a start",
		left, never, sent, received, most, pairs)
	t.Logf("%d of the %d jobs of which no task left the owner were not answered %s to both the submitter and the canceller", unknown, never, caller.NotRun)
	if unknown > 0 {
		t.Errorf("got %d cancelled jobs without a start that were not answered %s, want 0", unknown, caller.NotRun)
	}
	if left < 2 || never < 2 || pairs <= left {
		t.Errorf("got %d cancelled jobs with a start at %d workers in all and %d without a message, so the case was not met", left, pairs, never)
	}
	if sent == 0 || sent > most || received != sent {
		t.Errorf("got %d cancel frames sent and %d received, want as many received as sent and between 1 and %d", sent, received, most)
	}
}

// cancelHalf cancels every second job of the wave at once, through all entries:
// every second of the jobs that have started and every second of the others, so
// that each kind occurs with every seed. It returns the cancellers' answers by
// key.
func (r *run) cancelHalf(name string) map[string]caller.Ran {
	r.Helper()
	hasStarted := make(map[string]bool)
	for id := range r.starts() {
		hasStarted[strings.Split(id, ":")[2]] = true
	}
	var started, waiting []string
	for i := 1; i <= waveJobs; i++ {
		key := fmt.Sprintf("%s-%d", name, i)
		if hasStarted[key] {
			started = append(started, key)
		} else {
			waiting = append(waiting, key)
		}
	}
	ctx, done := context.WithTimeout(r.ctx, answerLimit)
	defer done()
	var all sync.WaitGroup
	var mu sync.Mutex
	answers := make(map[string]caller.Ran)
	for i, key := range append(started, waiting...) {
		if i%2 == 1 {
			continue
		}
		all.Go(func() {
			a, err := r.Caller(i/2%r.Shape.Entries).Cancel(ctx, r.Shape.Service, r.Shape.Team, key)
			if err != nil {
				r.Errorf("cancel %s: %v", key, err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answers[key] = a.Ran
		})
	}
	all.Wait()
	return answers
}

// metric returns the value of a series of a process, 0 if it has none.
func (r *run) metric(operators, series string) int {
	r.Helper()
	value, err := r.Metric(r.ctx, operators, series)
	r.must(err)
	return int(value)
}
