package operator

import (
	"fmt"
	"strings"

	"github.com/teaseltide/teaseltide/internal/yamltext"
)

// Operation names what failed.
type Operation string

// OpParse is the parsing and validation of a services text.
const OpParse Operation = "parse"

// Kind classifies a fault of a text.
type Kind string

// Kinds of faults.
const (
	Syntax            Kind = Kind(yamltext.Syntax)
	UnknownField      Kind = Kind(yamltext.UnknownField)
	WrongType         Kind = Kind(yamltext.WrongType)
	WrongUnit         Kind = Kind(yamltext.WrongUnit)
	OutOfRange        Kind = Kind(yamltext.OutOfRange)
	Duplicate         Kind = Kind(yamltext.Duplicate)
	Missing           Kind = Kind(yamltext.Missing)
	BadName           Kind = Kind(yamltext.BadName)
	DanglingReference Kind = Kind(yamltext.DanglingReference)
	DependencyCycle   Kind = Kind(yamltext.DependencyCycle)
	// Impossible marks values that are valid alone but contradict each other.
	Impossible Kind = Kind(yamltext.Impossible)
	TooLarge   Kind = Kind(yamltext.TooLarge)
)

// Error is one fault of a text.
type Error struct {
	Operation Operation
	Kind      Kind
	// File is the name passed to Parse. Line and Column count from 1; Column
	// counts characters.
	File   string
	Line   int
	Column int
	Reason string
}

// Error returns file:line:column, reason and kind in one line.
func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s (%s)", e.File, e.Line, e.Column, e.Reason, e.Kind)
}

// Errors holds all faults of a text in the order of its lines.
type Errors []*Error

// Error returns one line for each fault.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, fault := range e {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the single faults.
func (e Errors) Unwrap() []error {
	out := make([]error, len(e))
	for i, one := range e {
		out[i] = one
	}
	return out
}

func convertFaults(faults []*yamltext.Error) Errors {
	out := make(Errors, 0, len(faults))
	for _, f := range faults {
		out = append(out, &Error{
			Operation: OpParse, Kind: Kind(f.Kind), File: f.File, Line: f.Line, Column: f.Column, Reason: f.Reason,
		})
	}
	return out
}
