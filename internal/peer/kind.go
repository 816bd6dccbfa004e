package peer

import "github.com/teaseltide/teaseltide/internal/wire"

// MessageKind names the kind of an envelope in metrics and logs.
type MessageKind string

// Kinds that this package handles itself.
const (
	KindHello   MessageKind = "hello"
	KindPing    MessageKind = "ping"
	KindPong    MessageKind = "pong"
	KindText    MessageKind = "text"
	KindUnknown MessageKind = "unknown"
)

// IsHeartbeat reports whether frames of this kind count as heartbeats rather
// than as messages.
func (k MessageKind) IsHeartbeat() bool {
	return k == KindPing || k == KindPong
}

// MessageKindOf returns the kind of an envelope: the field name of its body in
// kebab case.
func MessageKindOf(e *wire.Envelope) MessageKind {
	switch e.GetBody().(type) {
	case *wire.Envelope_Hello:
		return KindHello
	case *wire.Envelope_Ping:
		return KindPing
	case *wire.Envelope_Pong:
		return KindPong
	case *wire.Envelope_Text:
		return KindText
	case *wire.Envelope_Dispatch:
		return "dispatch"
	case *wire.Envelope_Cancel:
		return "cancel"
	case *wire.Envelope_Claim:
		return "claim"
	case *wire.Envelope_Fence:
		return "fence"
	case *wire.Envelope_Fetch:
		return "fetch"
	case *wire.Envelope_LeaveAck:
		return "leave-ack"
	case *wire.Envelope_Results:
		return "results"
	case *wire.Envelope_ClaimAck:
		return "claim-ack"
	case *wire.Envelope_FenceAck:
		return "fence-ack"
	case *wire.Envelope_Rejected:
		return "rejected"
	case *wire.Envelope_SidecarState:
		return "sidecar-state"
	case *wire.Envelope_Forward:
		return "forward"
	case *wire.Envelope_Answer:
		return "answer"
	case *wire.Envelope_CancelJob:
		return "cancel-job"
	case *wire.Envelope_FetchJob:
		return "fetch-job"
	case *wire.Envelope_Leaving:
		return "leaving"
	case *wire.Envelope_Owned:
		return "owned"
	case *wire.Envelope_TaskOrders:
		return "task-orders"
	case *wire.Envelope_TaskReport:
		return "task-report"
	case *wire.Envelope_EntryNote:
		return "entry-note"
	case *wire.Envelope_JobLeaseRequests:
		return "job-lease-requests"
	case *wire.Envelope_JobLeaseAnswers:
		return "job-lease-answers"
	}
	return KindUnknown
}
