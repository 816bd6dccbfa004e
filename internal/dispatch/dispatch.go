// Package dispatch is the decision core of an entry. It owns partitions,
// claims jobs, places their tasks, takes over partitions of dead entries and
// decides the answer to each caller. It does no I/O: Handle takes events, Tick
// returns commands.
//
//	core := dispatch.New(config, placement.New(placement.Config{}), admission.New(admission.Config{}))
//	core.Handle(clk.Now(), dispatch.Submit{Request: 1, Job: job})
//	for _, command := range core.Tick(clk.Now()) {
//		execute(command)
//	}
package dispatch

import (
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
	"github.com/teaseltide/teaseltide/pkg/operator"
)

// RequestID identifies a request of a caller connected to this entry. The
// process that embeds the core chooses it and never reuses it.
type RequestID uint64

// Event is an input to the core.
type Event interface{ event() }

// Submit is a job received from a caller of this entry. The process has
// validated it and has set its key, body hash and expiry.
type Submit struct {
	Request RequestID
	Job     *wire.Job
}

// CancelRequest is a caller's cancellation of a job.
type CancelRequest struct {
	Request            RequestID
	Service, Team, Key string
}

// FetchRequest asks for the state or the answer of a job.
type FetchRequest struct {
	Request            RequestID
	Service, Team, Key string
	// Explain also asks for the decisions that led to the state.
	Explain bool
}

// CallerDisconnected reports that the caller of a request has disconnected. A
// job with a caller's key continues; any other job is cancelled, since nobody
// can ask for its answer.
type CallerDisconnected struct {
	Request RequestID
}

// PeerConnected reports a session with another entry whose Hello has arrived.
type PeerConnected struct {
	Entry ownership.Incarnation
	Hello *wire.Hello
}

// PeerDisconnected reports that the session with another entry ended.
type PeerDisconnected struct {
	Entry ownership.Incarnation
}

// PeerMessage is a frame from another entry, other than Hello, Ping, Pong and
// Text.
type PeerMessage struct {
	Entry    ownership.Incarnation
	Envelope *wire.Envelope
}

// SidecarConnected reports a session with a sidecar whose Hello has arrived.
type SidecarConnected struct {
	Sidecar ownership.Incarnation
	Hello   *wire.Hello
}

// SidecarDisconnected reports that the session with a sidecar ended.
type SidecarDisconnected struct {
	Sidecar ownership.Incarnation
}

// SidecarMessage is a frame from a sidecar, other than Hello, Ping, Pong and
// Text.
type SidecarMessage struct {
	Sidecar  ownership.Incarnation
	Envelope *wire.Envelope
}

// RecordRead carries the ownership record as read from the store or received
// from a watch. A record whose revision is not above that of the known one is
// ignored.
type RecordRead struct {
	Record ownership.Record
}

// RecordWriteFailed reports that a WriteRecord had no effect or that its
// effect is unknown. The process has re-read the record if it could.
type RecordWriteFailed struct{}

// Registration is a sidecar's registration in the store.
type Registration struct {
	Sidecar ownership.Incarnation
	Domain  ownership.Domain
	// Address is the ip:port that entries dial.
	Address string
}

// RegistrationsListed carries all sidecar registrations, read from the store
// by a call that started after the record at RecordRevision was known.
type RegistrationsListed struct {
	// RecordRevision is 0 for a list received from a watch.
	RecordRevision int64
	// Revision of the store at which the list was read. A list older than a
	// previous one is ignored.
	Revision      int64
	Registrations []Registration
}

// MembersChanged carries the entries that hold a lease in the store.
type MembersChanged struct {
	Members []ownership.Member
}

// TextAdopted carries a new revision of the services text.
type TextAdopted struct {
	Revision int64
	Text     *operator.Text
}

// StoreState reports whether the store is reachable. While it is not, leases
// carry no information and a lost session is enough to suspect an owner.
type StoreState struct {
	Up bool
}

// Drain asks the entry to accept no new jobs, to finish those in flight and to
// hand its partitions over.
type Drain struct{}

func (Submit) event()              {}
func (CancelRequest) event()       {}
func (FetchRequest) event()        {}
func (CallerDisconnected) event()  {}
func (PeerConnected) event()       {}
func (PeerDisconnected) event()    {}
func (PeerMessage) event()         {}
func (SidecarConnected) event()    {}
func (SidecarDisconnected) event() {}
func (SidecarMessage) event()      {}
func (RecordRead) event()          {}
func (RecordWriteFailed) event()   {}
func (RegistrationsListed) event() {}
func (MembersChanged) event()      {}
func (TextAdopted) event()         {}
func (StoreState) event()          {}
func (Drain) event()               {}

// Command is an action that the process performs for the core.
type Command interface{ command() }

// SendPeer sends a frame to another entry. It is dropped if there is no
// session.
type SendPeer struct {
	Entry    ownership.Incarnation
	Envelope *wire.Envelope
}

// SendSidecar sends a frame to a sidecar. It is dropped if there is no
// session.
type SendSidecar struct {
	Sidecar  ownership.Incarnation
	Envelope *wire.Envelope
}

// Reply answers a request of a caller of this entry.
type Reply struct {
	Request RequestID
	Answer  *wire.Answer
}

// WriteRecord asks for a compare-and-swap of the ownership record at
// Record.Revision (0: create). The process sets the nonce, re-reads the record
// if the response is lost, and reports RecordRead or RecordWriteFailed.
type WriteRecord struct {
	Record ownership.Record
}

// ListRegistrations asks for a RegistrationsListed with this record revision.
type ListRegistrations struct {
	RecordRevision int64
}

// DeleteRegistration asks to delete the registration of a sidecar whose state
// is no longer needed.
type DeleteRegistration struct {
	Sidecar ownership.Incarnation
}

// IsolationChanged reports that this entry has become, or is no longer,
// isolated from all other failure domains while entries there are alive. While
// isolated, the process gives up its lease so that the other entries replace
// it.
type IsolationChanged struct {
	Isolated bool
}

// Drained reports that the drain is complete: no request is pending and this
// entry serves no partition that it must hand over.
type Drained struct{}

func (SendPeer) command()           {}
func (SendSidecar) command()        {}
func (Reply) command()              {}
func (WriteRecord) command()        {}
func (ListRegistrations) command()  {}
func (DeleteRegistration) command() {}
func (IsolationChanged) command()   {}
func (Drained) command()            {}

// Config holds the fixed properties of an entry.
type Config struct {
	Self   ownership.Incarnation
	Domain ownership.Domain
	// Retention is how long a key without expires-at is kept.
	Retention clock.Millis
	// ClockSkew is added to a job's expires-at before the job is dropped.
	ClockSkew clock.Millis
	// SuspectAfter is how long an owner may be without a session before its
	// successor takes over.
	SuspectAfter clock.Millis
	// FenceGrace is the grace period for missing sidecars: how long a fence
	// and a resubmitted job wait for their replies.
	FenceGrace clock.Millis
	// SingleDomain is true if all sidecars of the installation are in one
	// failure domain. Claims are then held by sidecars of that domain, and a
	// new owner needs the replies of all of them.
	SingleDomain bool
}
