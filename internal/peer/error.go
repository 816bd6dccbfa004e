package peer

import (
	"github.com/pkg/errors"
)

// ErrorKind classifies the errors of this package.
type ErrorKind string

// Kinds of errors.
const (
	InvalidConfig ErrorKind = "settings"
	Network       ErrorKind = "network"
	Closed        ErrorKind = "closed"
	WrongToken    ErrorKind = "token"
	Malformed     ErrorKind = "malformed"
	TooLarge      ErrorKind = "too-large"
	Timeout       ErrorKind = "timeout"
	Silent        ErrorKind = "silent"
	QueueFull     ErrorKind = "queue-full"
	WrongPeer     ErrorKind = "wrong-peer"
	Refused       ErrorKind = "refused"
)

// Error is the error type of this package.
type Error struct {
	// Op is what was attempted.
	Op   string
	Kind ErrorKind
	// Peer is the address or incarnation of the other side, empty if unknown.
	Peer string
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	text := "peer: " + e.Op
	if e.Peer != "" {
		text += " " + e.Peer
	}
	text += ": " + string(e.Kind)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of an error of this package, or the empty kind.
func KindOf(err error) ErrorKind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}
