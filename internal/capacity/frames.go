package capacity

import (
	"strings"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/peer"
	"github.com/teaseltide/teaseltide/internal/wire"
)

const roleFrames = "frames"

// sizedMessage is a kind of message whose size depends on a number.
type sizedMessage struct {
	// perX names what the number counts; empty for a message of one size.
	perX  string
	sizes []int
	build func(n int) wire.Body
}

// frameSizes measures each kind of message with values of the usual lengths.
// Heartbeats are rows of their own.
func frameSizes(r *Report) error {
	for _, m := range messages() {
		var points []Point
		var kind peer.MessageKind
		for _, n := range m.sizes {
			e := wire.Wrap(m.build(n))
			kind = peer.MessageKindOf(e)
			points = append(points, Point{float64(n), float64(frameBytes(e))})
		}
		name := string(kind)
		if kind.IsHeartbeat() {
			name += " (heartbeat)"
		}
		r.add(roleFrames, name, "B", m.perX, points...)
	}
	return nil
}

func messages() []sizedMessage {
	once := []int{1}
	return append([]sizedMessage{
		{"", once, func(int) wire.Body {
			return &wire.Ping{Sequence: 100_000, RecordRevision: 100_000, TextRevision: 100_000}
		}},
		{"", once, func(int) wire.Body {
			return &wire.Pong{Sequence: 100_000, RecordRevision: 100_000, TextRevision: 100_000}
		}},
		{"", once, func(int) wire.Body { return sidecarHello(0) }},
		{"", once, func(int) wire.Body { return sidecarState(0) }},
		{"", once, func(int) wire.Body { return &wire.LeaveAck{} }},
		{"", once, func(int) wire.Body { return &wire.Leaving{} }},
		{"", once, func(int) wire.Body {
			return &wire.Cancel{Partition: 20, Epoch: 100, Service: service, Team: team, Key: jobRef(1, 1).GetKey()}
		}},
		{"", once, func(int) wire.Body {
			return &wire.Fetch{Partition: 20, Epoch: 100, Service: service, Team: team, Key: jobRef(1, 1).GetKey()}
		}},
		{"", once, func(int) wire.Body {
			return &wire.CancelJob{Request: 100_000, Service: service, Team: team, Key: jobRef(1, 1).GetKey()}
		}},
		{"", once, func(int) wire.Body {
			return &wire.FetchJob{Request: 100_000, Service: service, Team: team, Key: jobRef(1, 1).GetKey()}
		}},
		{"byte of text", []int{16 << 10, 64 << 10, 512 << 10}, func(n int) wire.Body {
			return &wire.Text{Revision: 100_000, Text: []byte(strings.Repeat("x", n))}
		}},
	}, listMessages()...)
}

// listMessages are the messages that carry a list.
func listMessages() []sizedMessage {
	return []sizedMessage{
		{"task", taskSizes, func(n int) wire.Body { return newDispatch(1, n, startTime) }},
		{"task", taskSizes, func(n int) wire.Body { return newResults(n) }},
		{"task", taskSizes, func(n int) wire.Body {
			rejected := &wire.Rejected{Reason: wire.Rejected_REASON_NOT_READY, Partition: 20, Epoch: 100, CurrentEpoch: 100, Service: service, Team: team, Key: jobRef(1, 1).GetKey()}
			for i := range n {
				rejected.Indexes = append(rejected.Indexes, uint32(i))
			}
			return rejected
		}},
		{"task", taskSizes, func(n int) wire.Body { return &wire.Forward{Request: 100_000, Job: newJob(1, n)} }},
		{"task", taskSizes, func(n int) wire.Body {
			a := &wire.Answer{Request: 100_000, Service: service, Key: jobRef(1, 1).GetKey(), Ran: wire.Ran_RAN_COMPLETE, ElapsedMs: 300, WorkMs: 3000, LongestMs: 200, Messages: 40}
			for range n {
				a.Results = append(a.Results, []byte(`{"price":120}`))
			}
			return a
		}},
		{"job", taskSizes, func(n int) wire.Body { return &wire.Claim{Partition: 20, Epoch: 100, Jobs: refs(n)} }},
		{"job", taskSizes, func(n int) wire.Body { return &wire.ClaimAck{Partition: 20, Epoch: 100, Jobs: refs(n)} }},
		{"partition", partitionSizes, func(n int) wire.Body { return &wire.Fence{Partitions: epochs(n)} }},
		{"partition", partitionSizes, func(n int) wire.Body { return ownedAndSeen(n) }},
		{"known job with one task", []int{0, 20, 820}, func(n int) wire.Body {
			ack := &wire.FenceAck{Partition: 20, Epoch: 100, PreviousEpoch: 99}
			for _, ref := range refs(n) {
				ack.Jobs = append(ack.Jobs, &wire.KnownJob{Job: ref, Tasks: []*wire.KnownTask{{Index: 7, Outcome: wire.Outcome_OUTCOME_DONE}}})
			}
			return ack
		}},
	}
}

func newResults(n int) *wire.Results {
	m := &wire.Results{Partition: 20, Service: service, Team: team, Key: jobRef(1, 1).GetKey()}
	for i := range n {
		m.Tasks = append(m.Tasks, &wire.TaskResult{
			Index: uint32(i), Outcome: wire.Outcome_OUTCOME_DONE, Result: []byte(`{"price":120}`), RunMs: 100, Attempt: 100<<20 + 1,
		})
	}
	return m
}

func refs(n int) []*wire.JobRef {
	all := make([]*wire.JobRef, n)
	for i := range all {
		all[i] = jobRef(i, 20)
	}
	return all
}

func epochs(n int) []*wire.PartitionEpoch {
	all := make([]*wire.PartitionEpoch, n)
	for i := range all {
		all[i] = &wire.PartitionEpoch{Partition: uint32(i), Epoch: 300}
	}
	return all
}

// ownedAndSeen is the Owned message to a sidecar from an entry that serves n
// partitions and knows an epoch of every one.
func ownedAndSeen(n int) *wire.Owned {
	return &wire.Owned{RecordRevision: 100_000, Partitions: epochs(n), Seen: epochs(ownership.Partitions)}
}
