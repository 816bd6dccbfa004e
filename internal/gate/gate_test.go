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

var part = uint32(ownership.PartitionOf(service))

// harness drives a Gate and turns its commands into short strings.
type harness struct {
	*Gate
	now clock.Millis
	log []string
}

func newHarness() *harness {
	return &harness{now: start, Gate: New(Config{Incarnation: "side-1", MaxResultBytes: 100, MaxQueued: 2, ClockSkew: 5000})}
}

// ready returns a harness whose partitions are ready at epoch 2 of owner,
// fenced and with two slots.
func ready() *harness {
	h := newHarness()
	h.do(Registered{}, RecordRead{Record: record("", 2)})
	h.do(BackendState{State: &wire.SidecarState{Services: []string{service}, Slots: 2, Connections: 64}})
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

func (h *harness) do(events ...Event) []string {
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
	h.do(EntryConnected{Entry: e, Hello: &wire.Hello{}})
	h.message(e, wire.Wrap(&wire.Owned{RecordRevision: revision, Partitions: owned}))
}

func (h *harness) message(e ownership.Incarnation, env *wire.Envelope) {
	h.do(EntryMessage{Entry: e, Envelope: env})
}

func (h *harness) fenceAt(e ownership.Incarnation, epoch uint64) {
	f := &wire.Fence{Partitions: []*wire.PartitionEpoch{{Partition: part, Epoch: epoch}}}
	h.message(e, &wire.Envelope{Body: &wire.Envelope_Fence{Fence: f}})
}

func (h *harness) dispatch(key string, epoch uint64, indexes ...uint32) {
	h.message(owner, dispatchOf(key, epoch, "hash", 0, indexes...))
}

func dispatchOf(key string, epoch uint64, hash string, deadline clock.Millis, indexes ...uint32) *wire.Envelope {
	d := &wire.Dispatch{Partition: part, Epoch: epoch, Job: ref(key, hash), DeadlineAtMs: int64(deadline)}
	for _, i := range indexes {
		d.Tasks = append(d.Tasks, &wire.DispatchTask{Index: i})
	}
	return &wire.Envelope{Body: &wire.Envelope_Dispatch{Dispatch: d}}
}

// attempt numbers the tasks of a dispatch.
func attempt(e *wire.Envelope, n uint64) *wire.Envelope {
	for _, t := range e.GetDispatch().GetTasks() {
		t.Attempt = n
	}
	return e
}

func ref(key, hash string) *wire.JobRef {
	return &wire.JobRef{Service: service, Team: "t", Key: key, BodyHash: []byte(hash), ExpiresAtMs: int64(start + 60_000)}
}

func (h *harness) cancelJob(key string) {
	c := &wire.Cancel{Partition: part, Epoch: 2, Service: service, Team: "t", Key: key}
	h.message(owner, &wire.Envelope{Body: &wire.Envelope_Cancel{Cancel: c}})
}

func (h *harness) finish(index uint32, o wire.Outcome, result string) {
	id := TaskID{Service: service, Team: "t", Key: "k", Index: index}
	h.do(TaskFinished{Task: id, Outcome: o, Result: []byte(result)})
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

func (h *harness) want(t *testing.T, want ...string) {
	t.Helper()
	if !slices.Equal(h.log, want) {
		t.Fatalf("got commands %q, want %q", h.log, want)
	}
}

// Guards against a second start of a task whose dispatch is repeated, in the
// same session or over a new one, while it runs and after it has ended.
func TestRepeatedDispatchStartsOnce(t *testing.T) {
	h := ready()
	h.dispatch("k", 2, 0)
	h.want(t, "run k/0")
	h.dispatch("k", 2, 0)
	h.want(t, "entry-a results k 0:RUNNING")
	h.finish(0, wire.Outcome_OUTCOME_DONE, "r")
	h.want(t, "entry-a results k 0:DONE")
	h.connect(owner, 9)
	h.fenceAt(owner, 2)
	h.dispatch("k", 2, 0)
	h.want(t, "entry-a results k 0:DONE")
}

// Guards against work accepted from a former owner, from an entry that has not
// fenced, and for a partition that is not the service's.
func TestEpochIsStrict(t *testing.T) {
	h := ready()
	h.dispatch("k", 3, 0)
	h.want(t, "entry-a rejected STALE_EPOCH [0]")
	h.connect(successor, 9)
	h.fenceAt(successor, 2)
	h.want(t, "entry-b rejected STALE_EPOCH []")
	h.fenceAt(successor, 3)
	h.want(t, "entry-b fence-ack 3<-2")
	h.dispatch("k", 2, 0)
	h.want(t, "entry-a rejected STALE_EPOCH [0]")
	h.dispatch("k", 3, 0)
	h.want(t, "entry-a rejected STALE_EPOCH [0]")
	wrong := dispatchOf("k", 3, "hash", 0, 0)
	wrong.GetDispatch().Partition = (part + 1) % ownership.Partitions
	h.message(successor, wrong)
	h.want(t, "entry-b rejected MALFORMED [0]")
}

// Guards against a start before the successor named in the record knows the
// sidecar, with the successor behind the record or already in charge.
func TestReadinessWaitsForSuccessor(t *testing.T) {
	h := newHarness()
	h.do(Registered{})
	h.want(t, "ReadRecord")
	h.do(RecordRead{Record: record(successor, 2)})
	h.connect(owner, 7)
	h.dispatch("k", 2, 0)
	h.want(t, "entry-a rejected NOT_READY [0]")
	h.connect(successor, 6, &wire.PartitionEpoch{Partition: part, Epoch: 3})
	if got, want := h.Stats().ReadyPartitions, 0; got != want {
		t.Fatalf("got %d ready partitions from a successor behind the record, want %d", got, want)
	}
	h.message(successor, wire.Wrap(&wire.Owned{RecordRevision: 7, Partitions: []*wire.PartitionEpoch{{Partition: part, Epoch: 3}}}))
	if got, want := h.Stats().ReadyPartitions, ownership.Partitions-1; got != want {
		t.Fatalf("got %d ready partitions, want %d", got, want)
	}
	h.dispatch("k", 2, 0)
	h.want(t, "entry-a rejected NOT_READY [0]")
	h.fenceAt(successor, 3)
	h.want(t, "entry-b fence-ack 3<-2")
	if got, want := h.Stats().ReadyPartitions, ownership.Partitions; got != want {
		t.Fatalf("got %d ready partitions, want %d", got, want)
	}
}

// Guards against a sidecar that waits for a dead successor without looking for
// a newer record, and against one that loads the store by looking too often.
func TestRecordIsReadAgainWithBackoff(t *testing.T) {
	h := newHarness()
	h.do(Registered{}, RecordRead{Record: record(successor, 2)})
	var reads []clock.Millis
	for h.now = start; h.now <= start+18_000; h.now += 100 {
		if slices.Contains(h.do(), "ReadRecord") {
			reads = append(reads, h.now-start)
		}
	}
	if want := []clock.Millis{1000, 3000, 7000, 12_000, 17_000}; !slices.Equal(reads, want) {
		t.Errorf("got reads at %v, want %v", reads, want)
	}
}

// Guards against a re-read record that raises the epoch of a partition in use:
// the reply to the owner's next fence would hide the epoch of its tasks.
func TestRecordDoesNotRaiseReadyPartition(t *testing.T) {
	h := ready()
	h.do(RecordRead{Record: record("", 4)})
	h.fenceAt(owner, 4)
	h.want(t, "entry-a fence-ack 4<-2")
}

// Guards against more running tasks than slots, against an unbounded queue and
// against a start after the deadline.
func TestSlotsQueueAndDeadline(t *testing.T) {
	h := ready()
	h.message(owner, dispatchOf("k", 2, "hash", start+50, 0, 1, 2, 3, 4))
	h.want(t, "run k/0", "run k/1", "entry-a rejected QUEUE_FULL [4]")
	h.finish(0, wire.Outcome_OUTCOME_DONE, "")
	h.want(t, "run k/2", "entry-a results k 0:DONE")
	h.now += 50
	h.finish(1, wire.Outcome_OUTCOME_ERROR, "")
	h.want(t, "entry-a results k 1:ERROR 3:NOT_STARTED")
}

// Guards against two jobs under one key and against tasks of a cancelled or
// expired job that arrive late.
func TestRefusedJobs(t *testing.T) {
	h := ready()
	h.dispatch("k", 2, 0)
	h.message(owner, dispatchOf("k", 2, "other", 0, 0, 1))
	h.want(t, "entry-a rejected KEY_CONFLICT [0 1]")
	h.dispatch("k", 2, 1, 2)
	h.cancelJob("k")
	h.want(t, "stop k/0", "stop k/1", "entry-a results k 2:NOT_STARTED")
	h.finish(0, wire.Outcome_OUTCOME_DONE, "")
	h.want(t, "entry-a results k 0:DONE")
	h.dispatch("k", 2, 0, 2, 3)
	h.want(t, "entry-a results k 0:DONE 2:NOT_STARTED", "entry-a rejected CANCELLED [3]")
	h.message(owner, attempt(dispatchOf("k", 2, "hash", 0, 2), 2))
	h.want(t, "entry-a rejected CANCELLED [2]")
	h.cancelJob("unseen")
	h.dispatch("unseen", 2, 0)
	h.want(t, "entry-a rejected CANCELLED [0]")
	h.now = start + 65_000
	h.finish(1, wire.Outcome_OUTCOME_DONE, "")
	h.do()
	h.dispatch("k", 2, 0)
	h.want(t, "entry-a rejected EXPIRED [0]")
	if got := h.Stats(); got.ResultBytes != 0 || got.Running != 0 {
		t.Errorf("got %+v, want no bytes and no running task", got)
	}
}

// Guards against a result that is lost with a session, whether it was sent just
// before the end or became known in between, and against a stale not-started
// answer after a reconnect.
func TestResultsSurviveReconnect(t *testing.T) {
	h := ready()
	h.dispatch("k", 2, 0, 1, 2)
	h.finish(0, wire.Outcome_OUTCOME_DONE, "a")
	h.finish(1, wire.Outcome_OUTCOME_NOT_STARTED, "")
	h.do(EntryDisconnected{Entry: owner})
	h.finish(2, wire.Outcome_OUTCOME_DONE, "b")
	h.want(t)
	h.now += 3000
	h.connect(owner, 9)
	h.fenceAt(owner, 2)
	h.want(t, "entry-a results k 0:DONE 2:DONE", "entry-a fence-ack 2<-2 k 0:DONE 1:NOT_STARTED 2:DONE")
	h.dispatch("k", 2, 1)
	h.want(t, "entry-a results k 1:NOT_STARTED")
	h.message(owner, attempt(dispatchOf("k", 2, "hash", 0, 1), 2))
	h.want(t, "run k/1")
}

// Guards against a new owner that waits for a task whose end was sent to
// nobody: its fence reply names the end, and Fetch returns the result.
func TestTakeoverSeesEndedTasks(t *testing.T) {
	h := ready()
	h.dispatch("k", 2, 0)
	h.connect(successor, 9)
	h.Handle(h.now, TaskFinished{Task: TaskID{Service: service, Team: "t", Key: "k"}, Outcome: wire.Outcome_OUTCOME_DONE})
	h.fenceAt(successor, 3)
	h.want(t, "entry-b fence-ack 3<-2 k 0:DONE")
	f := &wire.Fetch{Partition: part, Epoch: 3, Service: service, Team: "t", Key: "k"}
	h.message(successor, &wire.Envelope{Body: &wire.Envelope_Fetch{Fetch: f}})
	h.want(t, "entry-b results k 0:DONE")
}

// Guards against results that outgrow the memory of the worker, and against a
// dropped result that is reported as an empty one.
func TestResultBytesAreBounded(t *testing.T) {
	h := ready()
	h.dispatch("k", 2, 0, 1)
	h.finish(0, wire.Outcome_OUTCOME_DONE, string(make([]byte, 60)))
	h.finish(1, wire.Outcome_OUTCOME_DONE, string(make([]byte, 60)))
	h.dispatch("k", 2, 0, 1)
	h.want(t, "entry-a results k 0:RESULT_DROPPED 1:DONE")
	if got := h.Stats().ResultBytes; got != 60 {
		t.Errorf("got %d bytes held, want 60", got)
	}
}

// Guards against a lost backend server that keeps queued tasks waiting, and
// against running ones being reported before their outcome is known.
func TestBackendLost(t *testing.T) {
	h := ready()
	h.dispatch("k", 2, 0, 1, 2)
	h.do(BackendState{Lost: true})
	h.want(t, "entry-a state slots=0 leaving=false", "entry-a results k 2:NOT_STARTED")
	h.finish(0, wire.Outcome_OUTCOME_UNKNOWN, "")
	h.want(t, "entry-a results k 0:UNKNOWN")
}

// Guards against work accepted while leaving, against a deregistration before
// the owner has copied its claims, and against a stop that never ends while the
// store is down.
func TestLeave(t *testing.T) {
	h := ready()
	h.dispatch("k", 2, 0)
	h.do(Leave{})
	h.want(t, "entry-a state slots=2 leaving=true")
	h.dispatch("k", 2, 0, 1)
	h.want(t, "entry-a results k 0:RUNNING", "entry-a rejected LEAVING [1]")
	c := &wire.Claim{Partition: part, Epoch: 2, Jobs: []*wire.JobRef{ref("c", "hash")}}
	h.message(owner, &wire.Envelope{Body: &wire.Envelope_Claim{Claim: c}})
	h.want(t, "entry-a rejected LEAVING []")
	h.finish(0, wire.Outcome_OUTCOME_DONE, "")
	h.want(t, "entry-a results k 0:DONE")
	// A confirmation of a former epoch, or of somebody else, says nothing.
	h.message(owner, leaveAckAt(1))
	h.message(successor, leaveAckAt(2))
	h.want(t)
	h.message(owner, leaveAckAt(2))
	h.want(t, "Deregister")
	h.now += leaveBound
	h.do()
	h.want(t, "Exit")
}

func leaveAckAt(epoch uint64) *wire.Envelope {
	return wire.Wrap(&wire.LeaveAck{Partitions: []*wire.PartitionEpoch{{Partition: part, Epoch: epoch}}})
}

// Guards against a second start when a dispatch that was sent again crosses the
// report that the task did not start, after which the owner moves the task.
func TestResentDispatchDoesNotRestart(t *testing.T) {
	h := ready()
	first := attempt(dispatchOf("k", 2, "hash", 0, 0), 1)
	h.message(owner, first)
	h.finish(0, wire.Outcome_OUTCOME_NOT_STARTED, "")
	h.message(owner, first)
	h.want(t, "entry-a results k 0:NOT_STARTED")
	h.message(owner, attempt(dispatchOf("k", 2, "hash", 0, 0), 2))
	h.want(t, "run k/0")
}

// Guards against a frame that a session refuses for its size: a job with large
// results is reported in several messages.
func TestLargeResultsAreSplit(t *testing.T) {
	h := ready()
	h.cfg.MaxResultBytes = 1 << 30
	h.dispatch("k", 2, 0, 1)
	large := make([]byte, maxFrameBytes-1)
	for i := range uint32(2) {
		h.Handle(h.now, TaskFinished{Task: TaskID{Service: service, Team: "t", Key: "k", Index: i}, Outcome: wire.Outcome_OUTCOME_DONE, Result: large})
	}
	h.do()
	h.want(t, "entry-a results k 0:DONE", "entry-a results k 1:DONE")
}

// Guards against a start for a former owner: the successor took the partition
// over and stepped down again, and a new sidecar has read an older record.
func TestSuccessorThatSteppedDown(t *testing.T) {
	h := newHarness()
	h.do(Registered{}, RecordRead{Record: record(successor, 2)})
	h.connect(owner, 7)
	h.do(EntryConnected{Entry: successor, Hello: &wire.Hello{}})
	seen := []*wire.PartitionEpoch{{Partition: part, Epoch: 3}}
	h.message(successor, wire.Wrap(&wire.Owned{RecordRevision: 7, Seen: seen}))
	h.dispatch("k", 2, 0)
	h.want(t, "entry-a rejected NOT_READY [0]")
}

// Guards against a reply to a fence that exceeds a frame, which would end the
// session and the fence with it, again and again.
func TestFenceReplyIsSplit(t *testing.T) {
	h := ready()
	c := &wire.Claim{Partition: part, Epoch: 2}
	for i := range knownPerReply + 1 {
		c.Jobs = append(c.Jobs, ref(fmt.Sprint("k", i), "hash"))
	}
	h.message(owner, wire.Wrap(c))
	h.Handle(h.now, EntryMessage{Entry: owner, Envelope: wire.Wrap(&wire.Fence{Partitions: []*wire.PartitionEpoch{{Partition: part, Epoch: 4}}})})
	var got []bool
	jobs := 0
	for _, cmd := range h.Tick(h.now) {
		if s, ok := cmd.(Send); ok && s.Envelope.GetFenceAck() != nil {
			got = append(got, s.Envelope.GetFenceAck().GetMore())
			jobs += len(s.Envelope.GetFenceAck().GetJobs())
		}
	}
	if want := []bool{true, false}; !slices.Equal(got, want) || jobs != knownPerReply+1 {
		t.Errorf("got parts %v with %d jobs, want %v with %d", got, jobs, want, knownPerReply+1)
	}
}
