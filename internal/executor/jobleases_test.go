package executor_test

import (
	"testing"

	"github.com/teaseltide/teaseltide/internal/executor"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	granted = wire.JobLeaseAnswer_RESULT_GRANTED
	held    = wire.JobLeaseAnswer_RESULT_HELD
	over    = wire.JobLeaseAnswer_RESULT_ENDED
)

// requestLease requests the lease of a job and returns the result.
func (h *harness) requestLease(from ownership.Incarnation, job string) wire.JobLeaseAnswer_Result {
	h.t.Helper()
	h.commands = nil
	h.x.JobLeasesRequested(h.now, from, &wire.JobLeaseRequests{Requests: []*wire.JobLeaseRequest{{Job: job, Round: 7}}})
	h.tick()
	for _, c := range h.commands {
		if a, ok := c.(executor.AnswerJobLeases); ok && a.Entry == from {
			answer := a.Answers.GetAnswers()[0]
			if answer.GetJob() != job || answer.GetRound() != 7 {
				h.t.Errorf("answer: got job %s round %d, want %s and 7", answer.GetJob(), answer.GetRound(), job)
			}
			return answer.GetResult()
		}
	}
	h.t.Fatal("no answer to a lease request")
	return 0
}

func (h *harness) releaseLease(from ownership.Incarnation, job string, end wire.StoredEnd_State) {
	h.x.JobLeasesRequested(h.now, from, &wire.JobLeaseRequests{Releases: []*wire.JobLeaseRelease{{Job: job, End: end}}})
}

// Guards against two entries that hold the lease of one job, and against a lease that an
// entry that died or left the job keeps for longer than its callers stay away.
func TestJobLeaseHasOneHolder(t *testing.T) {
	for name, test := range map[string]struct {
		meanwhile func(*harness)
		want      wire.JobLeaseAnswer_Result
	}{
		"held":                {func(*harness) {}, held},
		"nearly over":         {func(h *harness) { h.now += executor.JobLeaseDuration - 1 }, held},
		"over":                {func(h *harness) { h.now += executor.JobLeaseDuration }, granted},
		"renewed":             {func(h *harness) { h.now += 600; h.requestLease(entryA, "j"); h.now += 600 }, held},
		"released":            {func(h *harness) { h.releaseLease(entryA, "j", 0) }, granted},
		"released by another": {func(h *harness) { h.releaseLease(entryB, "j", 0) }, held},
		"ended": {func(h *harness) {
			h.releaseLease(entryA, "j", wire.StoredEnd_STATE_COMPLETE)
			h.now += 9 * clock.Second
		}, over},
		"ended long ago": {func(h *harness) {
			h.releaseLease(entryA, "j", wire.StoredEnd_STATE_COMPLETE)
			h.now += 11 * clock.Second
		}, granted},
		"ended according to others": {func(h *harness) { h.releaseLease(entryB, "j", wire.StoredEnd_STATE_COMPLETE) }, held},
		"other job":                 {func(h *harness) { h.releaseLease(entryA, "k", wire.StoredEnd_STATE_FAILED) }, held},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.x.EntryConnected(entryB)
			if got := h.requestLease(entryA, "j"); got != granted {
				t.Fatalf("first request: got %v, want %v", got, granted)
			}
			test.meanwhile(h)
			if got := h.requestLease(entryB, "j"); got != test.want {
				t.Errorf("request of another entry: got %v, want %v", got, test.want)
			}
		})
	}
}
