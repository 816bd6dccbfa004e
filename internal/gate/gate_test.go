package gate

import (
	"fmt"
	"slices"
	"testing"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	owner     = ownership.Incarnation("entry-a")
	successor = ownership.Incarnation("entry-b")
	service   = "quoting"
	start     = clock.Millis(1_000_000)
)

var partitionID = uint32(ownership.PartitionOf(service))

// harness drives a Gate and turns its commands into short strings.
type harness struct {
	*Gate
	now clock.Millis
	log []string
}

func newHarness() *harness {
	return &harness{now: start, Gate: New(Config{Incarnation: "side-1", MaxResultBytes: 100, MaxQueued: 2, ClockSkew: 5000})}
}

// newReadyHarness returns a harness with two slots whose partitions are ready,
// fenced by owner at epoch 2.
func newReadyHarness() *harness {
	h := newHarness()
	h.step(Registered{}, RecordRead{Record: record("", 2)})
	h.step(BackendState{State: &wire.SidecarState{Services: []string{service}, Slots: 2, Connections: 64}})
	h.connect(owner, 1)
	h.fenceAt(owner, 2)
	return h
}

func record(succ ownership.Incarnation, epoch ownership.Epoch) ownership.Record {
	r := ownership.Record{Revision: 7}
	for p := range r.Partitions {
		r.Partitions[p] = ownership.Assignment{Owner: owner, Successor: succ, Epoch: epoch}
	}
	return r
}

func (h *harness) step(events ...Event) []string {
	for _, e := range events {
		h.Handle(h.now, e)
	}
	h.log = nil
	for _, c := range h.Tick(h.now) {
		h.log = append(h.log, describe(c))
	}
	return h.log
}

func (h *harness) connect(e ownership.Incarnation, revision int64, owned ...*wire.PartitionEpoch) {
	h.step(EntryConnected{Entry: e, Hello: &wire.Hello{}})
	h.message(e, wire.Wrap(&wire.Owned{RecordRevision: revision, Partitions: owned}))
}

func (h *harness) message(e ownership.Incarnation, env *wire.Envelope) {
	h.step(EntryMessage{Entry: e, Envelope: env})
}

func (h *harness) fenceAt(e ownership.Incarnation, epoch uint64) {
	f := &wire.Fence{Partitions: []*wire.PartitionEpoch{{Partition: partitionID, Epoch: epoch}}}
	h.message(e, &wire.Envelope{Body: &wire.Envelope_Fence{Fence: f}})
}

func (h *harness) dispatch(key string, epoch uint64, indexes ...uint32) {
	h.message(owner, dispatchOf(key, epoch, "hash", 0, indexes...))
}

func dispatchOf(key string, epoch uint64, hash string, deadline clock.Millis, indexes ...uint32) *wire.Envelope {
	d := &wire.Dispatch{Partition: partitionID, Epoch: epoch, Job: newJobRef(key, hash), DeadlineAtMs: int64(deadline)}
	for _, i := range indexes {
		d.Tasks = append(d.Tasks, &wire.DispatchTask{Index: i})
	}
	return &wire.Envelope{Body: &wire.Envelope_Dispatch{Dispatch: d}}
}

// withAttempt sets the attempt of all tasks of a dispatch.
func withAttempt(e *wire.Envelope, n uint64) *wire.Envelope {
	for _, t := range e.GetDispatch().GetTasks() {
		t.Attempt = n
	}
	return e
}

func newJobRef(key, hash string) *wire.JobRef {
	return &wire.JobRef{Service: service, Team: "t", Key: key, BodyHash: []byte(hash), ExpiresAtMs: int64(start + 60_000)}
}

func (h *harness) cancelJob(key string) {
	c := &wire.Cancel{Partition: partitionID, Epoch: 2, Service: service, Team: "t", Key: key}
	h.message(owner, &wire.Envelope{Body: &wire.Envelope_Cancel{Cancel: c}})
}

func (h *harness) finish(index uint32, o wire.Outcome, result string) {
	id := TaskID{Service: service, Team: "t", Key: "k", Index: index}
	h.step(TaskFinished{Task: id, Outcome: o, Result: []byte(result)})
}

func describe(c Command) string {
	switch c := c.(type) {
	case Run:
		return fmt.Sprintf("run %s/%d", c.Task.Key, c.Task.Index)
	case Stop:
		return fmt.Sprintf("stop %s/%d", c.Task.Key, c.Task.Index)
	case Send:
		return string(c.Entry) + " " + describeFrame(c.Envelope)
	}
	return fmt.Sprintf("%T", c)[len("gate."):]
}

func describeFrame(env *wire.Envelope) string {
	switch b := env.GetBody().(type) {
	case *wire.Envelope_Results:
		s := "results " + b.Results.GetKey()
		for _, t := range b.Results.GetTasks() {
			s += fmt.Sprintf(" %d:%s", t.GetIndex(), t.GetOutcome().String()[len("OUTCOME_"):])
		}
		return s
	case *wire.Envelope_Rejected:
		return fmt.Sprintf("rejected %s %v", b.Rejected.GetReason().String()[len("REASON_"):], b.Rejected.GetIndexes())
	case *wire.Envelope_FenceAck:
		s := fmt.Sprintf("fence-ack %d<-%d", b.FenceAck.GetEpoch(), b.FenceAck.GetPreviousEpoch())
		for _, j := range b.FenceAck.GetJobs() {
			s += " " + j.GetJob().GetKey()
			for _, t := range j.GetTasks() {
				s += fmt.Sprintf(" %d:%s", t.GetIndex(), t.GetOutcome().String()[len("OUTCOME_"):])
			}
		}
		return s
	case *wire.Envelope_ClaimAck:
		return fmt.Sprintf("claim-ack %d", len(b.ClaimAck.GetJobs()))
	case *wire.Envelope_SidecarState:
		return fmt.Sprintf("state slots=%d leaving=%t", b.SidecarState.GetSlots(), b.SidecarState.GetLeaving())
	}
	return "?"
}

func (h *harness) wantCommands(t *testing.T, want ...string) {
	t.Helper()
	if !slices.Equal(h.log, want) {
		t.Fatalf("got commands %q, want %q", h.log, want)
	}
}

// Guards against a second start of a task whose dispatch is repeated on the
// same session or a new one, while it runs or after it has ended.
func TestRepeatedDispatchStartsOnce(t *testing.T) {
	h := newReadyHarness()
	h.dispatch("k", 2, 0)
	h.wantCommands(t, "run k/0")
	h.dispatch("k", 2, 0)
	h.wantCommands(t, "entry-a results k 0:RUNNING")
	h.finish(0, wire.Outcome_OUTCOME_DONE, "r")
	h.wantCommands(t, "entry-a results k 0:DONE")
	h.connect(owner, 9)
	h.fenceAt(owner, 2)
	h.dispatch("k", 2, 0)
	h.wantCommands(t, "entry-a results k 0:DONE")
}

// Guards against work accepted from a superseded owner, from an entry that has
// not fenced the partition, and for a partition other than the service's.
func TestStaleEpochIsRejected(t *testing.T) {
	h := newReadyHarness()
	h.dispatch("k", 3, 0)
	h.wantCommands(t, "entry-a rejected STALE_EPOCH [0]")
	h.connect(successor, 9)
	h.fenceAt(successor, 2)
	h.wantCommands(t, "entry-b rejected STALE_EPOCH []")
	h.fenceAt(successor, 3)
	h.wantCommands(t, "entry-b fence-ack 3<-2")
	h.dispatch("k", 2, 0)
	h.wantCommands(t, "entry-a rejected STALE_EPOCH [0]")
	h.dispatch("k", 3, 0)
	h.wantCommands(t, "entry-a rejected STALE_EPOCH [0]")
	wrong := dispatchOf("k", 3, "hash", 0, 0)
	wrong.GetDispatch().Partition = (partitionID + 1) % ownership.Partitions
	h.message(successor, wrong)
	h.wantCommands(t, "entry-b rejected MALFORMED [0]")
}

// Guards against a start before the successor named in the record knows the
// sidecar. The successor has read an older record, or has already taken over.
func TestReadinessWaitsForSuccessor(t *testing.T) {
	h := newHarness()
	h.step(Registered{})
	h.wantCommands(t, "ReadRecord")
	h.step(RecordRead{Record: record(successor, 2)})
	h.connect(owner, 7)
	h.dispatch("k", 2, 0)
	h.wantCommands(t, "entry-a rejected NOT_READY [0]")
	h.connect(successor, 6, &wire.PartitionEpoch{Partition: partitionID, Epoch: 3})
	if got, want := h.Stats().ReadyPartitions, 0; got != want {
		t.Fatalf("got %d ready partitions with a successor that has read an older record, want %d", got, want)
	}
	h.message(successor, wire.Wrap(&wire.Owned{RecordRevision: 7, Partitions: []*wire.PartitionEpoch{{Partition: partitionID, Epoch: 3}}}))
	if got, want := h.Stats().ReadyPartitions, ownership.Partitions-1; got != want {
		t.Fatalf("got %d ready partitions, want %d", got, want)
	}
	h.dispatch("k", 2, 0)
	h.wantCommands(t, "entry-a rejected NOT_READY [0]")
	h.fenceAt(successor, 3)
	h.wantCommands(t, "entry-b fence-ack 3<-2")
	if got, want := h.Stats().ReadyPartitions, ownership.Partitions; got != want {
		t.Fatalf("got %d ready partitions, want %d", got, want)
	}
}

// Guards against a sidecar that waits for a dead successor without reading the
// record again, and against reads so frequent that they load the store.
func TestRecordIsReadAgainWithBackoff(t *testing.T) {
	h := newHarness()
	h.step(Registered{}, RecordRead{Record: record(successor, 2)})
	var reads []clock.Millis
	for h.now = start; h.now <= start+18_000; h.now += 100 {
		if slices.Contains(h.step(), "ReadRecord") {
			reads = append(reads, h.now-start)
		}
	}
	if want := []clock.Millis{1000, 3000, 7000, 12_000, 17_000}; !slices.Equal(reads, want) {
		t.Errorf("got reads at %v, want %v", reads, want)
	}
}

// Guards against a re-read record that raises the epoch of a ready partition:
// the reply to the owner's next fence would not name the epoch of its tasks.
func TestRecordDoesNotRaiseReadyPartition(t *testing.T) {
	h := newReadyHarness()
	h.step(RecordRead{Record: record("", 4)})
	h.fenceAt(owner, 4)
	h.wantCommands(t, "entry-a fence-ack 4<-2")
}

// Guards against more running tasks than slots, an unbounded queue and a start
// after the deadline.
func TestSlotsQueueAndDeadline(t *testing.T) {
	h := newReadyHarness()
	h.message(owner, dispatchOf("k", 2, "hash", start+50, 0, 1, 2, 3, 4))
	h.wantCommands(t, "run k/0", "run k/1", "entry-a rejected QUEUE_FULL [4]")
	h.finish(0, wire.Outcome_OUTCOME_DONE, "")
	h.wantCommands(t, "run k/2", "entry-a results k 0:DONE")
	h.now += 50
	h.finish(1, wire.Outcome_OUTCOME_ERROR, "")
	h.wantCommands(t, "entry-a results k 1:ERROR 3:NOT_STARTED")
}

// Guards against two jobs with one key and against late tasks of a cancelled or
// expired job that start.
func TestRejectedJobs(t *testing.T) {
	h := newReadyHarness()
	h.dispatch("k", 2, 0)
	h.message(owner, dispatchOf("k", 2, "other", 0, 0, 1))
	h.wantCommands(t, "entry-a rejected KEY_CONFLICT [0 1]")
	h.dispatch("k", 2, 1, 2)
	h.cancelJob("k")
	h.wantCommands(t, "stop k/0", "stop k/1", "entry-a results k 2:NOT_STARTED")
	h.finish(0, wire.Outcome_OUTCOME_DONE, "")
	h.wantCommands(t, "entry-a results k 0:DONE")
	h.dispatch("k", 2, 0, 2, 3)
	h.wantCommands(t, "entry-a results k 0:DONE 2:NOT_STARTED", "entry-a rejected CANCELLED [3]")
	h.message(owner, withAttempt(dispatchOf("k", 2, "hash", 0, 2), 2))
	h.wantCommands(t, "entry-a rejected CANCELLED [2]")
	h.cancelJob("unseen")
	h.dispatch("unseen", 2, 0)
	h.wantCommands(t, "entry-a rejected CANCELLED [0]")
	h.now = start + 65_000
	h.finish(1, wire.Outcome_OUTCOME_DONE, "")
	h.step()
	h.dispatch("k", 2, 0)
	h.wantCommands(t, "entry-a rejected EXPIRED [0]")
	if got := h.Stats(); got.ResultBytes != 0 || got.Running != 0 {
		t.Errorf("got %+v, want no retained bytes and no running task", got)
	}
}

// Guards against a result that is lost with a session, sent just before its end
// or known only after it, and against a stale not-started report after a
// reconnect.
func TestResultsSurviveReconnect(t *testing.T) {
	h := newReadyHarness()
	h.dispatch("k", 2, 0, 1, 2)
	h.finish(0, wire.Outcome_OUTCOME_DONE, "a")
	h.finish(1, wire.Outcome_OUTCOME_NOT_STARTED, "")
	h.step(EntryDisconnected{Entry: owner})
	h.finish(2, wire.Outcome_OUTCOME_DONE, "b")
	h.wantCommands(t)
	h.now += 3000
	h.connect(owner, 9)
	h.fenceAt(owner, 2)
	h.wantCommands(t, "entry-a results k 0:DONE 2:DONE", "entry-a fence-ack 2<-2 k 0:DONE 1:NOT_STARTED 2:DONE")
	h.dispatch("k", 2, 1)
	h.wantCommands(t, "entry-a results k 1:NOT_STARTED")
	h.message(owner, withAttempt(dispatchOf("k", 2, "hash", 0, 1), 2))
	h.wantCommands(t, "run k/1")
}

// Guards against a new owner that waits for a task whose outcome was sent to no
// entry: its fence reply has the outcome, and Fetch returns the result.
func TestTakeoverSeesEndedTasks(t *testing.T) {
	h := newReadyHarness()
	h.dispatch("k", 2, 0)
	h.connect(successor, 9)
	h.Handle(h.now, TaskFinished{Task: TaskID{Service: service, Team: "t", Key: "k"}, Outcome: wire.Outcome_OUTCOME_DONE})
	h.fenceAt(successor, 3)
	h.wantCommands(t, "entry-b fence-ack 3<-2 k 0:DONE")
	f := &wire.Fetch{Partition: partitionID, Epoch: 3, Service: service, Team: "t", Key: "k"}
	h.message(successor, &wire.Envelope{Body: &wire.Envelope_Fetch{Fetch: f}})
	h.wantCommands(t, "entry-b results k 0:DONE")
}

// Guards against results that exceed the memory of the worker, and against a
// dropped result that is reported as empty.
func TestResultBytesAreBounded(t *testing.T) {
	h := newReadyHarness()
	h.dispatch("k", 2, 0, 1)
	h.finish(0, wire.Outcome_OUTCOME_DONE, string(make([]byte, 60)))
	h.finish(1, wire.Outcome_OUTCOME_DONE, string(make([]byte, 60)))
	h.dispatch("k", 2, 0, 1)
	h.wantCommands(t, "entry-a results k 0:RESULT_DROPPED 1:DONE")
	if got := h.Stats().ResultBytes; got != 60 {
		t.Errorf("got %d retained bytes, want 60", got)
	}
}

// Guards against tasks that stay queued after the backend server is lost, and
// against running ones that are reported before their outcome is known.
func TestBackendLost(t *testing.T) {
	h := newReadyHarness()
	h.dispatch("k", 2, 0, 1, 2)
	h.step(BackendState{Lost: true})
	h.wantCommands(t, "entry-a state slots=0 leaving=false", "entry-a results k 2:NOT_STARTED")
	h.finish(0, wire.Outcome_OUTCOME_UNKNOWN, "")
	h.wantCommands(t, "entry-a results k 0:UNKNOWN")
}

// Guards against work accepted while leaving, a deregistration before the owner
// has copied its claims, and a shutdown that never ends while the store is down.
func TestLeave(t *testing.T) {
	h := newReadyHarness()
	h.dispatch("k", 2, 0)
	h.step(Leave{})
	h.wantCommands(t, "entry-a state slots=2 leaving=true")
	h.dispatch("k", 2, 0, 1)
	h.wantCommands(t, "entry-a results k 0:RUNNING", "entry-a rejected LEAVING [1]")
	c := &wire.Claim{Partition: partitionID, Epoch: 2, Jobs: []*wire.JobRef{newJobRef("c", "hash")}}
	h.message(owner, &wire.Envelope{Body: &wire.Envelope_Claim{Claim: c}})
	h.wantCommands(t, "entry-a rejected LEAVING []")
	h.finish(0, wire.Outcome_OUTCOME_DONE, "")
	h.wantCommands(t, "entry-a results k 0:DONE")
	// An acknowledgement at an earlier epoch or from another entry is ignored.
	h.message(owner, leaveAckAt(1))
	h.message(successor, leaveAckAt(2))
	h.wantCommands(t)
	h.message(owner, leaveAckAt(2))
	h.wantCommands(t, "Deregister")
	h.now += leaveTimeout
	h.step()
	h.wantCommands(t, "Exit")
}

func leaveAckAt(epoch uint64) *wire.Envelope {
	return wire.Wrap(&wire.LeaveAck{Partitions: []*wire.PartitionEpoch{{Partition: partitionID, Epoch: epoch}}})
}

// Guards against a second start when a resent dispatch crosses the report that
// the task was not started, after which the owner moves the task.
func TestResentDispatchDoesNotRestart(t *testing.T) {
	h := newReadyHarness()
	first := withAttempt(dispatchOf("k", 2, "hash", 0, 0), 1)
	h.message(owner, first)
	h.finish(0, wire.Outcome_OUTCOME_NOT_STARTED, "")
	h.message(owner, first)
	h.wantCommands(t, "entry-a results k 0:NOT_STARTED")
	h.message(owner, withAttempt(dispatchOf("k", 2, "hash", 0, 0), 2))
	h.wantCommands(t, "run k/0")
}

// Guards against a frame too large for the session: a job with large results is
// reported in several messages.
func TestLargeResultsAreSplit(t *testing.T) {
	h := newReadyHarness()
	h.cfg.MaxResultBytes = 1 << 30
	h.dispatch("k", 2, 0, 1)
	large := make([]byte, maxResultsMessageBytes-1)
	for i := range uint32(2) {
		h.Handle(h.now, TaskFinished{Task: TaskID{Service: service, Team: "t", Key: "k", Index: i}, Outcome: wire.Outcome_OUTCOME_DONE, Result: large})
	}
	h.step()
	h.wantCommands(t, "entry-a results k 0:DONE", "entry-a results k 1:DONE")
}

// Guards against a start for a superseded owner: the successor has taken over
// and stepped down again, and a new sidecar has read an older record.
func TestSuccessorThatSteppedDown(t *testing.T) {
	h := newHarness()
	h.step(Registered{}, RecordRead{Record: record(successor, 2)})
	h.connect(owner, 7)
	h.step(EntryConnected{Entry: successor, Hello: &wire.Hello{}})
	seen := []*wire.PartitionEpoch{{Partition: partitionID, Epoch: 3}}
	h.message(successor, wire.Wrap(&wire.Owned{RecordRevision: 7, Seen: seen}))
	h.dispatch("k", 2, 0)
	h.wantCommands(t, "entry-a rejected NOT_READY [0]")
}

// Guards against a fence reply that exceeds a frame, which would end the session
// at each repetition of the fence.
func TestFenceReplyIsSplit(t *testing.T) {
	h := newReadyHarness()
	c := &wire.Claim{Partition: partitionID, Epoch: 2}
	for i := range maxJobsPerFenceAck + 1 {
		c.Jobs = append(c.Jobs, newJobRef(fmt.Sprint("k", i), "hash"))
	}
	h.message(owner, wire.Wrap(c))
	h.Handle(h.now, EntryMessage{Entry: owner, Envelope: wire.Wrap(&wire.Fence{Partitions: []*wire.PartitionEpoch{{Partition: partitionID, Epoch: 4}}})})
	var got []bool
	jobs := 0
	for _, cmd := range h.Tick(h.now) {
		if s, ok := cmd.(Send); ok && s.Envelope.GetFenceAck() != nil {
			got = append(got, s.Envelope.GetFenceAck().GetMore())
			jobs += len(s.Envelope.GetFenceAck().GetJobs())
		}
	}
	if want := []bool{true, false}; !slices.Equal(got, want) || jobs != maxJobsPerFenceAck+1 {
		t.Errorf("got parts %v with %d jobs, want %v with %d", got, jobs, want, maxJobsPerFenceAck+1)
	}
}
