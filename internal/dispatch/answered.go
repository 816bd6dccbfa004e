package dispatch

import (
	"encoding/binary"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// shortIDBytes is the encoded size of a sidecar's short ID.
const shortIDBytes = 4

// answeredJob is an answered job, retained until its key expires. At the peak
// rate an entry holds ten minutes of them, so each keeps only what is needed
// for resubmission, fetch, cancellation, explanation, reassignment of the
// claim and expiry.
type answeredJob struct {
	claim
	// next is another job with the same key but another service or team.
	next *answeredJob
	// encodedAnswer is the encoded answer with the decisions, without service,
	// key and results.
	encodedAnswer string
	results       [][]byte
	// sentTo holds the short IDs of the sidecars that may have started tasks,
	// four bytes each. A string takes 8 B less than a slice.
	sentTo string
}

// answeredJobs holds the answered jobs of a partition.
type answeredJobs struct {
	// byKey is indexed by the key alone, which makes its entries a third of
	// the size of entries indexed by JobID.
	byKey    map[string]*answeredJob
	expiries expiryQueue[*answeredJob]
	// internedNames holds one copy of each service and team name.
	internedNames map[string]string
}

func newAnsweredJobs() answeredJobs {
	return answeredJobs{byKey: make(map[string]*answeredJob), internedNames: make(map[string]string)}
}

// Len returns the number of jobs.
func (t *answeredJobs) Len() int {
	return t.expiries.Len()
}

// Get returns a job, or nil.
func (t *answeredJobs) Get(id JobID) *answeredJob {
	for a := t.byKey[id.Key]; a != nil; a = a.next {
		if a.id == id {
			return a
		}
	}
	return nil
}

// All iterates over the jobs in a deterministic order.
func (t *answeredJobs) All() func(yield func(*answeredJob) bool) {
	return t.expiries.All()
}

func (t *answeredJobs) put(a *answeredJob, expiry clock.Millis) {
	a.id.Service = t.intern(a.id.Service)
	a.id.Team = t.intern(a.id.Team)
	a.next = t.byKey[a.id.Key]
	t.byKey[a.id.Key] = a
	t.expiries.add(expiry, a)
}

// intern returns the shared copy of a name.
func (t *answeredJobs) intern(name string) string {
	if known, ok := t.internedNames[name]; ok {
		return known
	}
	t.internedNames[name] = name
	return name
}

// expire removes and returns a job that expires at or before now, or nil.
func (t *answeredJobs) expire(now clock.Millis) *answeredJob {
	a, ok := t.expiries.popDue(now)
	if !ok {
		return nil
	}
	first := t.byKey[a.id.Key]
	switch {
	case first != a:
		for first.next != a {
			first = first.next
		}
		first.next = a.next
	case a.next == nil:
		delete(t.byKey, a.id.Key)
	default:
		t.byKey[a.id.Key] = a.next
	}
	return a
}

// compactAnswered replaces an answered job by an answeredJob once none of its
// tasks is bound.
func (c *Core) compactAnswered(j *job) {
	p := c.partitionOf(j.id.Service)
	if j.answer == nil || j.bound > 0 || p.jobs.Get(j.id) != j {
		return
	}
	c.removeJob(p, j)
	j.tasks = nil
	a := &answeredJob{
		claim:         j.compact(),
		encodedAnswer: encodeAnswer(j.answer, j.decisions),
		results:       j.answer.GetResults(),
		sentTo:        c.shortIDsOf(j.sentTo),
	}
	j.transferTo(&a.claim)
	p.answered.put(a, a.expiresAt()+c.cfg.ClockSkew)
	c.retainResults(a)
}

// shortIDsOf returns the short IDs of sidecars. A sidecar that is no longer in
// the table has left, and the claim has been marked as departed for it.
func (c *Core) shortIDsOf(ids []ownership.Incarnation) string {
	numbers := make([]byte, 0, shortIDBytes*len(ids))
	for _, id := range ids {
		if s := c.sidecars.Get(id); s != nil {
			numbers = binary.LittleEndian.AppendUint32(numbers, s.shortID)
		}
	}
	return string(numbers)
}

// mayHaveStartedOn reports whether a sidecar may have started tasks of the
// job.
func (a *answeredJob) mayHaveStartedOn(s *sidecar) bool {
	var number [shortIDBytes]byte
	binary.LittleEndian.PutUint32(number[:], s.shortID)
	for rest := a.sentTo; len(rest) > 0; rest = rest[shortIDBytes:] {
		if rest[:shortIDBytes] == string(number[:]) {
			return true
		}
	}
	return false
}

func encodeAnswer(a *wire.Answer, decisions []*wire.Decision) string {
	outcome := &wire.Answer{
		Ran:       a.GetRan(),
		Code:      a.GetCode(),
		Message:   a.GetMessage(),
		ElapsedMs: a.GetElapsedMs(),
		WorkMs:    a.GetWorkMs(),
		LongestMs: a.GetLongestMs(),
		Messages:  a.GetMessages(),
		Decisions: decisions,
	}
	data, err := proto.Marshal(outcome)
	if err != nil {
		// Invalid UTF-8 cannot be encoded.
		outcome.Message = strings.ToValidUTF8(outcome.Message, "?")
		outcome.Decisions = nil
		data, _ = proto.Marshal(outcome)
	}
	return string(data)
}

// answer returns the recorded answer with its decisions.
func (a *answeredJob) answer() *wire.Answer {
	answer := &wire.Answer{}
	if err := proto.Unmarshal([]byte(a.encodedAnswer), answer); err != nil {
		answer = &wire.Answer{Ran: wire.Ran_RAN_UNKNOWN, Code: CodeOutcomeUnknown, Message: "the recorded answer cannot be read"}
	}
	if answer.GetCode() == CodeResultDropped && answer.GetMessage() == "" {
		// Most jobs have lost their results, so the message is not stored with
		// each.
		answer.Message = "the job completed, but its results are no longer held"
	}
	answer.Service = a.id.Service
	answer.Key = a.id.Key
	answer.Results = a.results
	return answer
}

// callerAnswer returns the recorded answer as callers get it, without
// decisions.
func (a *answeredJob) callerAnswer() *wire.Answer {
	answer := a.answer()
	answer.Decisions = nil
	return answer
}

// retainedResults tracks the results retained for resubmissions, oldest first.
type retainedResults struct {
	bytes int64
	jobs  []*answeredJob
}

// maxRetainedResultBytes bounds the size of retained results.
const maxRetainedResultBytes = 32 << 20

// retainResults retains the results of a job and drops the oldest ones beyond
// the bound.
func (c *Core) retainResults(a *answeredJob) {
	size := resultBytes(a)
	if size == 0 {
		return
	}
	h := &c.retained
	h.bytes += size
	h.jobs = append(h.jobs, a)
	for len(h.jobs) > 1 && (h.bytes > maxRetainedResultBytes || h.jobs[0].results == nil) {
		c.dropResults(h.jobs[0])
		h.jobs[0] = nil
		h.jobs = h.jobs[1:]
	}
}

// dropResults records that the results of a job are no longer retained.
func (c *Core) dropResults(a *answeredJob) {
	if a.results == nil {
		return
	}
	decisions := a.answer().GetDecisions()
	c.releaseResults(a)
	a.encodedAnswer = encodeAnswer(&wire.Answer{Ran: wire.Ran_RAN_FAILED, Code: CodeResultDropped}, decisions)
}

// releaseResults removes the results of a job from the retained ones.
func (c *Core) releaseResults(a *answeredJob) {
	c.retained.bytes -= resultBytes(a)
	a.results = nil
}

func resultBytes(a *answeredJob) int64 {
	size := int64(0)
	for _, r := range a.results {
		size += int64(len(r))
	}
	return size
}
