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
	requests := &wire.JobLeaseRequests{Requests: []*wire.JobLeaseRequest{{Job: job, Round: 7}}}
	answers := h.x.JobLeasesRequested(h.now, from, requests).GetAnswers()
	if len(answers) != 1 || answers[0].GetJob() != job || answers[0].GetRound() != 7 {
		h.t.Fatalf("answers: got %v, want one to job %s and round 7", answers, job)
	}
	return answers[0].GetResult()
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

// Guards against a lease that an entry keeps although its orders released it.
func TestOrdersReleaseJobLeases(t *testing.T) {
	h := newHarness(t)
	h.x.EntryConnected(entryB)
	h.requestLease(entryA, "given-up")
	h.requestLease(entryA, "ended")
	h.x.OrdersReceived(h.now, entryA, &wire.TaskOrders{JobLeaseReleases: []*wire.JobLeaseRelease{
		{Job: "given-up"}, {Job: "ended", End: wire.StoredEnd_STATE_COMPLETE},
	}})
	if got := h.requestLease(entryB, "given-up"); got != granted {
		t.Errorf("request for a job that was given up: got %v, want %v", got, granted)
	}
	if got := h.requestLease(entryB, "ended"); got != over {
		t.Errorf("request for a job that has ended: got %v, want %v", got, over)
	}
}
