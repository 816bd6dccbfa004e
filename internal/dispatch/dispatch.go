// Package dispatch is the decision core of an entry. It owns partitions,
// claims jobs, places their tasks, takes over partitions of dead entries and
// decides what each caller is told. It does no I/O: events go in by Handle,
// commands come out of Tick.
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

// RequestID names a request of a caller connected to this entry. The process
// that wires the core chooses it; it is not reused.
type RequestID uint64

// Event is something that happened outside the core.
type Event interface{ event() }

// Submit is a job received from a caller of this entry. The process has
// checked its form and filled key, body hash and expiry.
type Submit struct {
	Request RequestID
	Job     *wire.Job
}

// CancelRequest is a caller's cancellation of a job.
type CancelRequest struct {
	Request            RequestID
	Service, Team, Key string
}

// FetchRequest asks for the state or answer of a job.
type FetchRequest struct {
	Request            RequestID
	Service, Team, Key string
	// Explain asks for the decisions that led to the state, too.
	Explain bool
}

// CallerDisconnected reports that the caller of a request has gone. A job with a caller's
// key goes on; another one is cancelled, since nobody can ask for its answer.
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

// RecordRead carries the ownership record as read from the store or seen by a
// watch. A record with a lower revision than a known one is ignored.
type RecordRead struct {
	Record ownership.Record
}

// RecordWriteFailed reports that a WriteRecord did not take effect or that its
// effect is unknown; the process has read the record again if it could.
type RecordWriteFailed struct{}

// Registration is a sidecar's entry in the store.
type Registration struct {
	Sidecar ownership.Incarnation
	Domain  ownership.Domain
	// Address is the ip:port that entries dial.
	Address string
}

// RegistrationsListed carries all registrations of sidecars, read from the
// store by a call that began after the record of RecordRevision was known.
type RegistrationsListed struct {
	// RecordRevision is 0 for a list seen by a watch.
	RecordRevision int64
	// Revision of the store at which the list was read. An older list than
	// one seen before is ignored.
	Revision      int64
	Registrations []Registration
}

// MembersChanged carries the live entries by their leases in the store.
type MembersChanged struct {
	Members []ownership.Member
}

// TextAdopted carries the services text at a new revision.
type TextAdopted struct {
	Revision int64
	Text     *operator.Text
}

// StoreState reports whether the store answers. While it does not, leases tell
// nothing and a lost session is enough to suspect an owner.
type StoreState struct {
	Up bool
}

// Drain asks the entry to accept no new jobs, finish those in flight and
// leave its partitions to others.
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

// Command is something that the process does for the core.
type Command interface{ command() }

// SendPeer sends a frame to another entry; dropped without a session.
type SendPeer struct {
	Entry    ownership.Incarnation
	Envelope *wire.Envelope
}

// SendSidecar sends a frame to a sidecar; dropped without a session.
type SendSidecar struct {
	Sidecar  ownership.Incarnation
	Envelope *wire.Envelope
}

// Reply answers a request of a caller of this entry.
type Reply struct {
	Request RequestID
	Answer  *wire.Answer
}

// WriteRecord asks to compare-and-swap the ownership record at the revision
// in Record.Revision (0: create). The process sets the nonce, reads again
// when the response is lost, and feeds RecordRead or RecordWriteFailed.
type WriteRecord struct {
	Record ownership.Record
}

// ListRegistrations asks for RegistrationsListed with this record revision.
type ListRegistrations struct {
	RecordRevision int64
}

// DeleteRegistration asks to delete the registration of a sidecar whose state
// no longer matters.
type DeleteRegistration struct {
	Sidecar ownership.Incarnation
}

// IsolationChanged reports that this entry has become, or is no longer, cut off from
// all other failure domains while entries there are alive. The process gives up
// its lease meanwhile, so that the others replace it.
type IsolationChanged struct {
	Isolated bool
}

// Drained reports that no job and no partition is left.
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
	// Retention is how long a key without expires-at is remembered.
	Retention clock.Millis
	// ClockSkew is added to a job's expires-at before it is forgotten.
	ClockSkew clock.Millis
	// SuspectAfter is how long an owner may be without a session before its
	// successor takes over.
	SuspectAfter clock.Millis
	// FenceGrace is how long a resubmitted job waits for missing sidecars.
	FenceGrace clock.Millis
	// SingleDomain is true if all sidecars of the installation are in one
	// failure domain. Claims are then held by sidecars of that domain, and a new
	// owner needs the replies of all of them.
	SingleDomain bool
}
