package platform

import (
	"fmt"

	"github.com/pkg/errors"
)

// Operation names a call to the store or a method of Directory.
type Operation string

// Calls to the store.
const (
	OpRange     Operation = "range"
	OpTxn       Operation = "txn"
	OpGrant     Operation = "lease-grant"
	OpKeepAlive Operation = "lease-keepalive"
	OpRevoke    Operation = "lease-revoke"
	OpWatch     Operation = "watch"
)

// Kind classifies errors by whether the call may have taken effect.
type Kind string

// Kinds of errors. After Refused, Conflict and NotFound the call had no effect
// and will have none. After the others a write may have taken effect.
const (
	// Refused means that the store rejected the call or was not reached.
	Refused Kind = "refused"
	// Conflict means that the key was at another revision than expected.
	Conflict Kind = "conflict"
	// NotFound means that the lease does not exist.
	NotFound Kind = "not-found"
	// Unknown means that no response was received in time.
	Unknown Kind = "unknown"
	// Malformed means that the response or a stored value cannot be decoded.
	Malformed Kind = "malformed"
	// Superseded means that the response to a write was lost and that another
	// writer has changed the key since. The write is not in effect and will
	// not be; whether it was in effect before that change is unknown.
	Superseded Kind = "superseded"
)

// Error is the error type of this package.
type Error struct {
	Operation Operation
	Kind      Kind
	// Key is the key concerned, if there is one.
	Key string
	// Revision is the current mod revision of the key for Conflict and
	// Superseded, 0 if the key does not exist.
	Revision Revision
	// Err is the cause, if there is one.
	Err error
}

// Error returns operation, kind, key and cause in one line.
func (e *Error) Error() string {
	s := fmt.Sprintf("store: %s: %s", e.Operation, e.Kind)
	if e.Key != "" {
		s += ": " + e.Key
	}
	if e.Kind == Conflict || e.Kind == Superseded {
		s += fmt.Sprintf(" is at revision %d", e.Revision)
	}
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of an *Error in err's chain, "" for nil, and Unknown
// for other errors.
func KindOf(err error) Kind {
	if err == nil {
		return ""
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Unknown
}

// NoEffect reports whether err proves that the call had no effect and will
// have none.
func NoEffect(err error) bool {
	switch KindOf(err) {
	case Refused, Conflict, NotFound:
		return true
	default:
		return false
	}
}

// CurrentRevision returns the revision carried by a Conflict or Superseded
// error, otherwise 0.
func CurrentRevision(err error) Revision {
	var e *Error
	if errors.As(err, &e) {
		return e.Revision
	}
	return 0
}

// withOperation returns a copy of err with op in place of its operation.
func withOperation(op Operation, err error) error {
	var e *Error
	if !errors.As(err, &e) {
		return &Error{Operation: op, Kind: Unknown, Err: err}
	}
	renamed := *e
	renamed.Operation = op
	return &renamed
}
