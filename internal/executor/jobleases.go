package executor

import (
	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// JobLeaseDuration is how long a sidecar, as a witness, keeps the lease of a
	// best-effort job for an entry after its last request. The callers of a dead entry
	// come again after 1.3 s, by when the lease has ended.
	JobLeaseDuration = 1100 * clock.Millis(1)
	// endedJobRetention is how long a witness remembers the end of a job for a request
	// that the network held back, or for a caller that lost the answer.
	endedJobRetention = 10 * clock.Second
)

// jobLease is the lease of a best-effort job, or the end of that job.
type jobLease struct {
	entry ownership.Incarnation
	until clock.Millis
	// end is the state in which the job ended, unspecified while it has not.
	end wire.StoredEnd_State
}

// JobLeasesRequested handles the lease requests and releases of an entry and returns the
// answers, nil without requests. No tick needs to follow.
func (x *Executor) JobLeasesRequested(now clock.Millis, from ownership.Incarnation, requests *wire.JobLeaseRequests) *wire.JobLeaseAnswers {
	x.releaseJobLeases(now, from, requests.GetReleases())
	if len(requests.GetRequests()) == 0 {
		return nil
	}
	answers := &wire.JobLeaseAnswers{}
	for _, r := range requests.GetRequests() {
		answers.Answers = append(answers.Answers, x.requestJobLease(now, from, r))
	}
	return answers
}

func (x *Executor) requestJobLease(now clock.Millis, from ownership.Incarnation, r *wire.JobLeaseRequest) *wire.JobLeaseAnswer {
	id := batch.JobID(r.GetJob())
	answer := &wire.JobLeaseAnswer{Job: r.GetJob(), Round: r.GetRound()}
	l, ok := x.jobLeases[id]
	switch {
	case ok && now < l.until && l.end != wire.StoredEnd_STATE_UNSPECIFIED:
		answer.Result, answer.End = wire.JobLeaseAnswer_RESULT_ENDED, l.end
	case ok && now < l.until && l.entry != from:
		answer.Result = wire.JobLeaseAnswer_RESULT_HELD
	default:
		answer.Result = wire.JobLeaseAnswer_RESULT_GRANTED
		x.jobLeases[id] = jobLease{entry: from, until: now + JobLeaseDuration}
	}
	return answer
}

func (x *Executor) releaseJobLeases(now clock.Millis, from ownership.Incarnation, releases []*wire.JobLeaseRelease) {
	for _, r := range releases {
		x.releaseJobLease(now, from, r)
	}
}

// releaseJobLease ends an entry's lease and records the end of the job, if it has one.
func (x *Executor) releaseJobLease(now clock.Millis, from ownership.Incarnation, r *wire.JobLeaseRelease) {
	id := batch.JobID(r.GetJob())
	l, ok := x.jobLeases[id]
	if ok && now < l.until && (l.entry != from || l.end != wire.StoredEnd_STATE_UNSPECIFIED) {
		return
	}
	if r.GetEnd() == wire.StoredEnd_STATE_UNSPECIFIED {
		delete(x.jobLeases, id)
		return
	}
	x.jobLeases[id] = jobLease{entry: from, until: now + endedJobRetention, end: r.GetEnd()}
}

// sweepJobLeases forgets the leases and ends that are over.
func (x *Executor) sweepJobLeases(now clock.Millis) {
	for id, l := range x.jobLeases {
		if now >= l.until {
			delete(x.jobLeases, id)
		}
	}
}
