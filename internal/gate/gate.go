// Package gate is the decision core of a sidecar. It starts each task at most
// once, rejects messages of superseded owners by their epoch, stays within the
// backend server's slots and retains results until their job expires. It does
// no I/O: Handle takes events, Tick returns commands.
//
//	core := gate.New(gate.Config{Incarnation: "sidecar-1-x", Domain: "north"})
//	core.Handle(clk.Now(), gate.Registered{})
//	for _, command := range core.Tick(clk.Now()) {
//		execute(command)
//	}
package gate

import (
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// TaskID identifies one task of a job. Its partition follows from Service.
type TaskID struct {
	Service string
	Team    string
	Key     string
	Index   uint32
}

// Event is something that happened outside the core.
type Event interface{ event() }

// EntryConnected reports a session on which the entry's Hello has arrived.
// A second session of the same entry replaces the first.
type EntryConnected struct {
	Entry ownership.Incarnation
	Hello *wire.Hello
}

// EntryDisconnected reports that the session of an entry ended.
type EntryDisconnected struct {
	Entry ownership.Incarnation
}

// EntryMessage is a frame from an entry, other than Hello, Ping, Pong and Text.
type EntryMessage struct {
	Entry    ownership.Incarnation
	Envelope *wire.Envelope
}

// Registered reports that the registration of this incarnation is confirmed
// in the store.
type Registered struct{}

// RecordRead carries the ownership record as read from the store after
// Registered.
type RecordRead struct {
	Record ownership.Record
}

// BackendState reports an announcement of the backend server, or its loss.
type BackendState struct {
	State *wire.SidecarState
	// Lost is true if no announcement has arrived for the heartbeat timeout.
	Lost bool
}

// TaskFinished reports the outcome of a task started by Run: OUTCOME_DONE,
// OUTCOME_ERROR, OUTCOME_NOT_STARTED or OUTCOME_UNKNOWN.
type TaskFinished struct {
	Task    TaskID
	Outcome wire.Outcome
	// Result is the response body for OUTCOME_DONE. The core does not check
	// that it is JSON.
	Result []byte
	// Message is the reason for any other outcome.
	Message string
	// RunTime is the time from the request to the end of the response.
	RunTime clock.Millis
}

// Leave starts a graceful shutdown: the sidecar rejects new work, finishes its
// running tasks, delivers their results and deregisters.
type Leave struct{}

// Deregistered reports that the registration has been deleted.
type Deregistered struct{}

func (EntryConnected) event()    {}
func (EntryDisconnected) event() {}
func (EntryMessage) event()      {}
func (Registered) event()        {}
func (RecordRead) event()        {}
func (BackendState) event()      {}
func (TaskFinished) event()      {}
func (Leave) event()             {}
func (Deregistered) event()      {}

// Command is an action that the process performs for the core.
type Command interface{ command() }

// Send sends a frame to an entry. A frame for an entry without a session is
// dropped; the entry repeats its request after it has reconnected.
type Send struct {
	Entry    ownership.Incarnation
	Envelope *wire.Envelope
}

// Run starts a task on the backend server.
type Run struct {
	Task    TaskID
	Payload []byte
	// DeadlineAt is a Unix time, 0 for none.
	DeadlineAt clock.Millis
	// Traceparent is empty for a job that is not traced.
	Traceparent string
}

// Stop asks the backend server to stop a running task.
type Stop struct {
	Task TaskID
}

// ReadRecord reads the ownership record from the store.
type ReadRecord struct{}

// Deregister deletes the registration of this incarnation.
type Deregister struct{}

// Exit ends the process: the graceful shutdown is complete or has timed out.
type Exit struct{}

func (Send) command()       {}
func (Run) command()        {}
func (Stop) command()       {}
func (ReadRecord) command() {}
func (Deregister) command() {}
func (Exit) command()       {}

// Config holds the fixed properties of a sidecar.
type Config struct {
	Incarnation ownership.Incarnation
	Domain      ownership.Domain
	// Worker, Rack and Address are announced to entries unless the state of
	// the backend server sets others.
	Worker, Rack, Address string
	// MaxResultBytes bounds the results and messages retained for
	// resubmissions.
	MaxResultBytes int64
	// MaxQueued bounds the tasks accepted beyond the free slots.
	MaxQueued int
	// ClockSkew is how long a job is accepted and kept after its expires-at.
	ClockSkew clock.Millis
}
