package caller

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed, such as submit.
	Op string
	// Code classifies the error.
	Code Code
	// Ran states whether the job may have run.
	Ran Ran
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	return "caller: " + e.Op + ": " + string(e.Code) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
