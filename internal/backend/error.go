package backend

import "strings"

// Kind classifies an Error.
type Kind string

// Kinds of errors. The value is the code in responses to the backend server.
const (
	// KindMalformed means that a request is not a valid announcement.
	KindMalformed Kind = "malformed-announcement"
	// KindMethod means that the path does not support the request's method.
	KindMethod Kind = "method-not-allowed"
	// KindListen means that the listener could not start.
	KindListen Kind = "listen-failed"
	// KindStop means that the backend server did not acknowledge a request to
	// stop a task.
	KindStop Kind = "stop-failed"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	// Detail is an explanation for people. It may be empty.
	Detail string
	Err    error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	parts := []string{"backend: " + e.Op, string(e.Kind)}
	if e.Detail != "" {
		parts = append(parts, e.Detail)
	}
	if e.Err != nil {
		parts = append(parts, e.Err.Error())
	}
	return strings.Join(parts, ": ")
}

// Unwrap returns the cause, if any.
func (e *Error) Unwrap() error { return e.Err }
