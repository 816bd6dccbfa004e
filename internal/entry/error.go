package entry

// ErrorKind classifies the errors of this package.
type ErrorKind string

// Kinds of errors.
const (
	Listen         ErrorKind = "listen"
	DrainTimeout   ErrorKind = "drain-timeout"
	UnexpectedRole ErrorKind = "role"
	SelfSession    ErrorKind = "self-session"
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	text := "entry: " + e.Op + ": " + string(e.Kind)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
