package settings

import (
	"fmt"
	"strings"

	"github.com/teaseltide/teaseltide/internal/yamltext"
)

// Kind classifies errors of this package.
type Kind string

// Kinds of errors.
const (
	// KindUnreadable means that a file could not be read.
	KindUnreadable Kind = "unreadable"
	// KindMalformed means that the text is not valid YAML, or does not match the
	// settings.
	KindMalformed Kind = "malformed"
	// KindInvalid means that a value is missing or not valid.
	KindInvalid Kind = "invalid"
)

// Error is the error type of this package. Line is 0 if only the file is known.
type Error struct {
	Op   string
	Kind Kind
	yamltext.Position
	Err error
}

// Error returns file, position and reason.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %v", e.Position, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Errors holds all faults of a file.
type Errors []*Error

// Error returns one line for each fault.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, fault := range e {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}
