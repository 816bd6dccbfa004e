package wire

// Body is a message that an Envelope can carry.
type Body any

// Wrap returns an Envelope with the message. It panics for a type that is not a
// member of the Envelope, which is a programming error rather than invalid input.
func Wrap(body Body) *Envelope {
	switch b := body.(type) {
	case *Hello:
		return &Envelope{Body: &Envelope_Hello{b}}
	case *Ping:
		return &Envelope{Body: &Envelope_Ping{b}}
	case *Pong:
		return &Envelope{Body: &Envelope_Pong{b}}
	case *Text:
		return &Envelope{Body: &Envelope_Text{b}}
	case *Owned:
		return &Envelope{Body: &Envelope_Owned{b}}
	case *Forward:
		return &Envelope{Body: &Envelope_Forward{b}}
	case *Answer:
		return &Envelope{Body: &Envelope_Answer{b}}
	case *CancelJob:
		return &Envelope{Body: &Envelope_CancelJob{b}}
	case *FetchJob:
		return &Envelope{Body: &Envelope_FetchJob{b}}
	case *Leaving:
		return &Envelope{Body: &Envelope_Leaving{b}}
	case *TaskOrders:
		return &Envelope{Body: &Envelope_TaskOrders{b}}
	case *TaskReport:
		return &Envelope{Body: &Envelope_TaskReport{b}}
	case *EntryNote:
		return &Envelope{Body: &Envelope_EntryNote{b}}
	}
	return wrapSidecar(body)
}

// wrapSidecar wraps the messages between entries and sidecars.
func wrapSidecar(body Body) *Envelope {
	switch b := body.(type) {
	case *Dispatch:
		return &Envelope{Body: &Envelope_Dispatch{b}}
	case *Cancel:
		return &Envelope{Body: &Envelope_Cancel{b}}
	case *Claim:
		return &Envelope{Body: &Envelope_Claim{b}}
	case *Fence:
		return &Envelope{Body: &Envelope_Fence{b}}
	case *Fetch:
		return &Envelope{Body: &Envelope_Fetch{b}}
	case *LeaveAck:
		return &Envelope{Body: &Envelope_LeaveAck{b}}
	case *Results:
		return &Envelope{Body: &Envelope_Results{b}}
	case *ClaimAck:
		return &Envelope{Body: &Envelope_ClaimAck{b}}
	case *FenceAck:
		return &Envelope{Body: &Envelope_FenceAck{b}}
	case *Rejected:
		return &Envelope{Body: &Envelope_Rejected{b}}
	case *SidecarState:
		return &Envelope{Body: &Envelope_SidecarState{b}}
	case *JobLeaseRequests:
		return &Envelope{Body: &Envelope_JobLeaseRequests{b}}
	case *JobLeaseAnswers:
		return &Envelope{Body: &Envelope_JobLeaseAnswers{b}}
	}
	panic("wire: message is not part of Envelope")
}
