package dispatch

import (
	"fmt"
	"slices"
	"testing"

	"github.com/teaseltide/teaseltide/internal/admission"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/placement"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
	"github.com/teaseltide/teaseltide/pkg/operator"
)

const (
	benchService = "quoting"
	benchRun     = clock.Millis(100)
)

// harness is a core with simulated sidecars that reply at once and finish each
// task after its run time.
type harness struct {
	core           *Core
	now            clock.Millis
	pendingResults []pendingResult
	// runTime is the run time of each task.
	runTime     clock.Millis
	answerCount int
	// answersByRan counts the answers by outcome; slowestNotRun is the longest
	// time from acceptance to a refusal.
	answersByRan  map[wire.Ran]int
	slowestNotRun clock.Millis
	frameCount    int
	// fetchCount counts the Fetch messages sent to sidecars.
	fetchCount int
	lastAnswer *wire.Answer
	sentClaims []sentClaim
	// ignoreFences holds the sidecars that do not reply to fences.
	ignoreFences map[ownership.Incarnation]bool
	// result is the result of each task.
	result []byte
	// runTimes is reported by each sidecar in its replies to fences.
	runTimes []*wire.RunTimes
	// ignoreClaims is true while no sidecar replies to claims.
	ignoreClaims bool
}

// sentClaim is a claim sent by the core.
type sentClaim struct {
	sidecar ownership.Incarnation
	ref     *wire.JobRef
}

// pendingResult is a result that a sidecar sends at the given time.
type pendingResult struct {
	at      clock.Millis
	sidecar ownership.Incarnation
	results *wire.Results
}

func newHarness(workers int) *harness {
	return newHarnessWithRunTimes(workers, nil)
}

// newHarnessWithRunTimes returns a harness whose sidecars report run times
// recorded under a former owner.
func newHarnessWithRunTimes(workers int, runTimes []*wire.RunTimes) *harness {
	b := &harness{now: 1_000_000, runTime: benchRun, answersByRan: make(map[wire.Ran]int), runTimes: runTimes}
	b.core = New(Config{Self: "entry-1", Domain: "d0", Retention: 2000, ClockSkew: 500, SuspectAfter: 1000, FenceGrace: 3000},
		placement.New(placement.Config{}), admission.New(admission.Config{}))
	b.handle(TextAdopted{Revision: 1, Text: testText()})
	b.handle(StoreState{Up: true})
	b.handle(MembersChanged{Members: []ownership.Member{{Incarnation: "entry-1", Domain: "d0"}}})
	var list []Registration
	for i := range workers {
		list = append(list, Registration{Sidecar: sidecarName(i), Domain: sidecarDomain(i)})
	}
	b.handle(RegistrationsListed{RecordRevision: 1, Revision: 1, Registrations: list})
	for i := range workers {
		b.handle(SidecarConnected{Sidecar: sidecarName(i), Hello: &wire.Hello{
			Domain: string(sidecarDomain(i)),
			Sidecar: &wire.SidecarState{
				Worker: fmt.Sprint("w", i), Services: []string{benchService}, Slots: 8, Ready: true,
			},
		}})
	}
	b.advance(100)
	return b
}

func sidecarName(i int) ownership.Incarnation { return ownership.Incarnation(fmt.Sprintf("s%04d", i)) }
func sidecarDomain(i int) ownership.Domain    { return ownership.Domain(fmt.Sprint("d", i%3)) }

func testText() *operator.Text {
	return &operator.Text{
		Teams: []operator.Team{{Name: "team", Share: 1, MaxQueuedTasks: 1 << 20}},
		Services: []operator.Service{{
			Name: benchService, MaxTasksPerJob: 820, MaxPayload: 1 << 16,
			DefaultDeadline: 60_000, MaxDeadline: 60_000, RetryBudgetPercent: 10,
		}},
	}
}

func (b *harness) handle(e Event) {
	b.core.Handle(b.now, e)
	b.tick()
}

func (b *harness) tick() {
	for _, cmd := range b.core.Tick(b.now) {
		switch cmd := cmd.(type) {
		case WriteRecord:
			record := cmd.Record
			record.Revision = 1
			b.core.Handle(b.now, RecordRead{Record: record})
		case Reply:
			b.answerCount++
			b.answersByRan[cmd.Answer.GetRan()]++
			if cmd.Answer.GetRan() == wire.Ran_RAN_NOT_RUN {
				b.slowestNotRun = max(b.slowestNotRun, clock.Millis(cmd.Answer.GetElapsedMs()))
			}
			b.lastAnswer = cmd.Answer
		case SendSidecar:
			b.frameCount++
			for _, ref := range cmd.Envelope.GetClaim().GetJobs() {
				b.sentClaims = append(b.sentClaims, sentClaim{sidecar: cmd.Sidecar, ref: ref})
			}
			b.deliverToSidecar(cmd.Sidecar, cmd.Envelope)
		}
	}
}

func (b *harness) deliverToSidecar(id ownership.Incarnation, e *wire.Envelope) {
	reply := func(body wire.Body) {
		b.core.Handle(b.now, SidecarMessage{Sidecar: id, Envelope: wire.Wrap(body)})
	}
	switch m := e.GetBody().(type) {
	case *wire.Envelope_Fence:
		for _, pe := range m.Fence.GetPartitions() {
			if b.ignoreFences[id] {
				continue
			}
			ack := &wire.FenceAck{Partition: pe.GetPartition(), Epoch: pe.GetEpoch()}
			if pe.GetPartition() == uint32(ownership.PartitionOf(benchService)) {
				ack.RunTimes = b.runTimes
			}
			reply(ack)
		}
	case *wire.Envelope_Claim:
		if b.ignoreClaims {
			return
		}
		reply(&wire.ClaimAck{Partition: m.Claim.GetPartition(), Epoch: m.Claim.GetEpoch(), Jobs: m.Claim.GetJobs(), Confirm: m.Claim.GetConfirm()})
	case *wire.Envelope_Fetch:
		b.fetchCount++
	case *wire.Envelope_Dispatch:
		d := m.Dispatch
		r := &wire.Results{Partition: d.GetPartition(), Service: d.GetJob().GetService(), Team: d.GetJob().GetTeam(), Key: d.GetJob().GetKey()}
		for _, t := range d.GetTasks() {
			r.Tasks = append(r.Tasks, &wire.TaskResult{Index: t.GetIndex(), Outcome: wire.Outcome_OUTCOME_DONE, Result: b.result, RunMs: int64(b.runTime), Attempt: t.GetAttempt()})
		}
		b.pendingResults = append(b.pendingResults, pendingResult{at: b.now + b.runTime, sidecar: id, results: r})
	}
}

// dropResults discards the results that a sidecar has not sent yet.
func (b *harness) dropResults(id ownership.Incarnation) {
	b.pendingResults = slices.DeleteFunc(b.pendingResults, func(f pendingResult) bool { return f.sidecar == id })
}

// advance moves the clock forward by d in steps of a millisecond and delivers
// due results.
func (b *harness) advance(d clock.Millis) {
	for range d {
		b.now++
		for len(b.pendingResults) > 0 && b.pendingResults[0].at <= b.now {
			f := b.pendingResults[0]
			b.pendingResults = b.pendingResults[1:]
			b.core.Handle(b.now, SidecarMessage{Sidecar: f.sidecar, Envelope: wire.Wrap(f.results)})
		}
		b.tick()
	}
}

// BenchmarkCore measures the CPU time, memory and frames of the control thread
// per task start, by fleet size and job size.
func BenchmarkCore(b *testing.B) {
	for _, workers := range []int{11, 100, 780} {
		for _, tasks := range []int{1, 20, 820} {
			b.Run(fmt.Sprintf("workers=%d/tasks=%d", workers, tasks), func(b *testing.B) {
				benchmarkCore(b, workers, tasks)
			})
		}
	}
}

func benchmarkCore(b *testing.B, workers, tasks int) {
	h := newHarness(workers)
	jobs := 0
	submitted := 0
	// The load keeps half of the slots busy.
	perMilli := float64(workers*8) / 2 / float64(benchRun)
	due := 0.0
	frames := h.frameCount
	b.ReportAllocs()
	b.ResetTimer()
	for submitted < b.N {
		due += perMilli
		for due >= float64(tasks) {
			due -= float64(tasks)
			jobs++
			submitted += tasks
			h.core.Handle(h.now, Submit{Request: RequestID(jobs), Job: testJob(jobs, tasks)})
		}
		h.advance(1)
	}
	for i := 0; h.answerCount < jobs && i < 10_000; i++ {
		h.advance(1)
	}
	b.StopTimer()
	if h.answerCount != jobs {
		b.Fatalf("got %d answers, want %d", h.answerCount, jobs)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(submitted), "ns/start")
	b.ReportMetric(float64(h.frameCount-frames)/float64(submitted), "frames/start")
}

func testJob(n, tasks int) *wire.Job {
	j := &wire.Job{Key: fmt.Sprint("k", n), CallerKey: true, Team: "team", Service: benchService, BodyHash: []byte("hash")}
	for range tasks {
		j.Tasks = append(j.Tasks, &wire.TaskSpec{Payload: []byte(`{"run-ms":100}`), DeclaredMs: 100})
	}
	return j
}

// Guards against a core that loses jobs in the absence of faults.
func TestCoreAnswersEveryJob(t *testing.T) {
	h := newHarness(11)
	for i := range 50 {
		h.core.Handle(h.now, Submit{Request: RequestID(i + 1), Job: testJob(i, 1+i*3)})
	}
	h.advance(20_000)
	if got, want := h.answerCount, 50; got != want {
		t.Errorf("got %d answers, want %d", got, want)
	}
}

// BenchmarkRefusal measures the control thread's cost of a job that is refused
// because its deadline cannot be met, including the confirmation that a
// caller's key requires.
func BenchmarkRefusal(b *testing.B) {
	for _, workers := range []int{11, 780} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			h := newHarness(workers)
			queued := workers * 8 * 40 / 820
			for i := range queued {
				h.handle(Submit{Request: RequestID(i + 1), Job: testJob(i, 820)})
			}
			h.advance(3)
			answers := h.answerCount
			b.ResetTimer()
			for i := range b.N {
				j := testJob(queued+i, 20)
				j.DeadlineAtMs = int64(h.now) + 50
				h.handle(Submit{Request: RequestID(queued + i + 1), Job: j})
			}
			h.tick()
			b.StopTimer()
			if got := h.answerCount - answers; got != b.N {
				b.Fatalf("got %d refusals, want %d", got, b.N)
			}
		})
	}
}
