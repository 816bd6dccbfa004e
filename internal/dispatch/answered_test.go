package dispatch

import (
	"bytes"
	"testing"

	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const longRetention = 10 * clock.Minute

// newAnsweredHarness returns a core with one answered job of two tasks.
func newAnsweredHarness(t *testing.T) (*harness, *partition, *answeredJob) {
	t.Helper()
	b := newHarness(6)
	b.core.cfg.Retention = longRetention
	b.result = []byte("result")
	b.handle(Submit{Request: 1, Job: testJob(1, 2)})
	b.advance(200)
	p := b.core.partitionOf(benchService)
	a := p.answered.Get(jobIDOf(testJob(1, 2)))
	if b.answerCount != 1 || a == nil || p.jobs.Len() != 0 {
		t.Fatalf("got %d answers, answered job %v and %d open jobs, want one compacted job", b.answerCount, a, p.jobs.Len())
	}
	return b, p, a
}

// Guards against an answeredJob that loses a part of the answer: a
// resubmission, a cancellation and a fetch get the recorded answer, another
// body is refused, and an explanation has the decisions.
func TestAnsweredJobKeepsItsAnswer(t *testing.T) {
	b, _, _ := newAnsweredHarness(t)
	first := b.lastAnswer
	id := jobIDOf(testJob(1, 2))
	starts := b.core.Counters().Starts
	for i, e := range []Event{
		Submit{Request: 2, Job: testJob(1, 2)},
		CancelRequest{Request: 3, Service: id.Service, Team: id.Team, Key: id.Key},
		FetchRequest{Request: 4, Service: id.Service, Team: id.Team, Key: id.Key},
	} {
		b.handle(e)
		got := b.lastAnswer
		if b.answerCount != i+2 || got.GetRan() != wire.Ran_RAN_COMPLETE || len(got.GetResults()) != 2 || !bytes.Equal(got.GetResults()[1], b.result) {
			t.Fatalf("got answer %v to %T, want the recorded one", got, e)
		}
		if got.GetService() != id.Service || got.GetKey() != id.Key || got.GetElapsedMs() != first.GetElapsedMs() || got.GetWorkMs() != first.GetWorkMs() || got.GetLongestMs() != first.GetLongestMs() || got.GetMessages() != first.GetMessages() {
			t.Errorf("got %v to %T, want %v", got, e, first)
		}
		if len(got.GetDecisions()) != 0 {
			t.Errorf("got decisions in the answer to %T, want none", e)
		}
	}
	b.handle(FetchRequest{Request: 5, Service: id.Service, Team: id.Team, Key: id.Key, Explain: true})
	if got := len(b.lastAnswer.GetDecisions()); got != 2 {
		t.Errorf("got %d decisions, want accepted and answered", got)
	}
	other := testJob(1, 2)
	other.BodyHash = []byte("other")
	b.handle(Submit{Request: 6, Job: other})
	b.advance(10)
	if got, want := b.lastAnswer.GetCode(), CodeKeyConflict; got != want {
		t.Errorf("got code %q for another body, want %q", got, want)
	}
	if got := b.core.Counters().Starts; got != starts {
		t.Errorf("got %d further starts, want 0", got-starts)
	}
}

// Guards against a claim that stays at one sidecar when the other holder is
// lost, and against a reassigned claim that differs from the original.
func TestClaimOfAnsweredJobMoves(t *testing.T) {
	b, _, a := newAnsweredHarness(t)
	want := b.sentClaims[0].ref
	lost := a.holders()[0]
	b.sentClaims = nil
	b.handle(SidecarDisconnected{Sidecar: lost})
	b.advance(lostAfter + 100)
	if containsID(a.holders(), lost) || len(a.holders()) != 2 || !a.isConfirmed() {
		t.Errorf("got holders %v, confirmed %t, want two others that confirmed", a.holders(), a.isConfirmed())
	}
	if len(b.sentClaims) == 0 {
		t.Fatal("got no claim after the loss, want two")
	}
	if got := b.sentClaims[0].ref; got.String() != want.String() {
		t.Errorf("got claim %v, want %v", got, want)
	}
}

// Guards against tasks that the next owner assumes to have never started,
// because the sidecar that ran them left after the job was answered.
func TestAnsweredJobIsMarkedWhenSidecarLeaves(t *testing.T) {
	b, _, a := newAnsweredHarness(t)
	for id, s := range b.core.sidecars.All() {
		if !a.mayHaveStartedOn(s) {
			continue
		}
		b.sentClaims = nil
		b.handle(SidecarMessage{Sidecar: id, Envelope: wire.Wrap(&wire.SidecarState{Services: []string{benchService}, Slots: 8, Ready: true, Leaving: true})})
	}
	b.advance(10)
	if len(b.sentClaims) != 2 {
		t.Fatalf("got %d claims, want 2", len(b.sentClaims))
	}
	if !b.sentClaims[0].ref.GetDeparted() {
		t.Error("got a claim without the departed mark, want it marked")
	}
}

// Guards against keys that never expire, and against results of expired jobs
// that still count against the bound.
func TestAnsweredJobExpires(t *testing.T) {
	b, p, _ := newAnsweredHarness(t)
	if b.core.retained.bytes == 0 {
		t.Fatal("got no bytes retained, want those of the results")
	}
	b.now += longRetention + b.core.cfg.ClockSkew
	b.tick()
	if p.answered.Len() != 0 || len(p.answered.byKey) != 0 || b.core.retained.bytes != 0 {
		t.Errorf("got %d jobs, %d keys and %d bytes, want none", p.answered.Len(), len(p.answered.byKey), b.core.retained.bytes)
	}
}

// Guards against a failed job that keeps its tasks for ten minutes because one
// of them was still bound when the job was answered and its sidecar was lost
// later.
func TestFailedJobIsCompactedWhenItsTasksHaveEnded(t *testing.T) {
	b := newHarness(3)
	b.core.cfg.Retention = longRetention
	p := b.core.partitionOf(benchService)
	id := jobIDOf(testJob(1, 1))
	b.handle(Submit{Request: 1, Job: testJob(1, 1)})
	b.advance(5)
	j := p.jobs.Get(id)
	b.dropResults(j.tasks[0].sidecar)
	b.handle(CancelRequest{Request: 2, Service: id.Service, Team: id.Team, Key: id.Key})
	if p.jobs.Get(id) != j || p.answered.Len() != 0 {
		t.Fatal("got a compacted job while a task is bound, want none")
	}
	b.handle(SidecarDisconnected{Sidecar: j.tasks[0].sidecar})
	b.advance(lostAfter + 100)
	if a := p.answered.Get(id); a == nil || a.answer().GetCode() != CodeCancelled || p.jobs.Len() != 0 {
		t.Errorf("got answered job %v and %d open jobs, want the cancellation in a compacted job", a, p.jobs.Len())
	}
}

// Guards against retained results beyond the bound, and against an answer that
// looks complete or loses its decisions when its results are dropped.
func TestOldestResultsAreDropped(t *testing.T) {
	b, _, a := newAnsweredHarness(t)
	id := jobIDOf(testJob(1, 2))
	b.result = make([]byte, maxRetainedResultBytes/2)
	b.handle(Submit{Request: 2, Job: testJob(2, 2)})
	b.advance(200)
	if got := b.core.retained.bytes; got > maxRetainedResultBytes || a.results != nil {
		t.Errorf("got %d bytes retained and results %v of the oldest job, want at most %d and none", got, a.results, maxRetainedResultBytes)
	}
	b.handle(FetchRequest{Request: 3, Service: id.Service, Team: id.Team, Key: id.Key, Explain: true})
	got := b.lastAnswer
	if got.GetRan() != wire.Ran_RAN_FAILED || got.GetCode() != CodeResultDropped || got.GetMessage() == "" || len(got.GetResults()) != 0 || len(got.GetDecisions()) != 2 {
		t.Errorf("got %v, want %s with a message, two decisions and no results", got, CodeResultDropped)
	}
}

// Guards against jobs of different teams with the same key that replace each
// other.
func TestAnsweredJobsShareKey(t *testing.T) {
	jobs := newAnsweredJobs()
	teams := []string{"a", "b", "c"}
	for i, team := range teams {
		jobs.put(&answeredJob{claim: claim{id: JobID{Service: "s", Team: team, Key: "k"}}}, clock.Millis(10+i%2))
	}
	for _, step := range []struct {
		now  clock.Millis
		left []string
	}{{9, teams}, {10, []string{"b"}}, {11, nil}} {
		for a := jobs.expire(step.now); a != nil; a = jobs.expire(step.now) {
			if got := jobs.Get(a.id); got != nil {
				t.Errorf("got job %v after its expiry, want none", got.id)
			}
		}
		if got, want := jobs.Len(), len(step.left); got != want {
			t.Errorf("got %d jobs at %d, want %d", got, step.now, want)
		}
		for _, team := range step.left {
			if jobs.Get(JobID{Service: "s", Team: team, Key: "k"}) == nil {
				t.Errorf("got no job of team %s at %d, want one", team, step.now)
			}
		}
	}
}
