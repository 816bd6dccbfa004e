// Package yamltext parses YAML strictly and reports faults with file, line and
// column. Parse returns nodes with positions, for texts of which all faults are
// listed; Decode fills a struct and stops at the first fault:
//
//	doc, root := yamltext.Parse("services.yaml", data, limit)
//	err := yamltext.Decode("entry.yaml", data, &settings)
//
// Both recover from panics of the YAML library: fuzzing found malformed documents on
// which goccy/go-yaml v1.19.2 panics, and a text from an operator must not end a
// process.
package yamltext

import (
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
	"github.com/pkg/errors"
)

// Kind classifies errors of this package.
type Kind string

// Kinds of errors.
const (
	Syntax            Kind = "syntax"
	UnknownField      Kind = "unknown-field"
	WrongType         Kind = "wrong-type"
	WrongUnit         Kind = "wrong-unit"
	OutOfRange        Kind = "out-of-range"
	Duplicate         Kind = "duplicate"
	Missing           Kind = "missing"
	BadName           Kind = "bad-name"
	DanglingReference Kind = "dangling-reference"
	DependencyCycle   Kind = "dependency-cycle"
	// Impossible marks values that are valid alone but contradict each other.
	Impossible Kind = "impossible"
	TooLarge   Kind = "too-large"
)

// Position is a place in a file. Line and Column count from 1; Column counts
// characters. Line is 0 if only the file is known.
type Position struct {
	File   string
	Line   int
	Column int
}

// String returns file:line:column, or the file alone.
func (p Position) String() string {
	if p.Line == 0 {
		return p.File
	}
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// Error is a fault of a file.
type Error struct {
	Op   string
	Kind Kind
	Position
	Reason string
	// Err is the cause in the library or in a custom unmarshaler, or nil.
	Err error
}

// Error returns position, reason and kind in one line.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s (%s)", e.Position, e.Reason, e.Kind)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// parse returns the syntax tree. Repeated keys are left to Parse and Decode,
// which report them. The error is an *Error without a file.
func parse(data []byte) (file *ast.File, err error) {
	defer recoverInto("parse", &err)
	file, err = parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, libraryError("parse", err)
	}
	return file, nil
}

// recoverInto turns a panic of the library into an error.
func recoverInto(op string, err *error) {
	if r := recover(); r != nil {
		*err = &Error{Op: op, Kind: Syntax, Reason: "the document uses YAML that is not supported", Err: errors.Errorf("yaml library: %v", r)}
	}
}

// libraryError converts an error of the library, with its kind, position and reason.
func libraryError(op string, err error) *Error {
	e := &Error{Op: op, Kind: Syntax, Reason: err.Error(), Err: errors.WithStack(err)}
	var positioned yaml.Error
	if errors.As(err, &positioned) {
		e.Kind = kindOf(positioned)
		e.Reason = positioned.GetMessage()
		e.Position = positionOf(positioned.GetToken(), Position{})
	}
	return e
}

func kindOf(err yaml.Error) Kind {
	switch err.(type) {
	case *yaml.UnknownFieldError:
		return UnknownField
	case *yaml.TypeError, *yaml.UnexpectedNodeTypeError:
		return WrongType
	case *yaml.OverflowError:
		return OutOfRange
	case *yaml.DuplicateKeyError:
		return Duplicate
	default:
		return Syntax
	}
}

// positionOf returns the position of a token in the file of fallback, or
// fallback if the token has none.
func positionOf(t *token.Token, fallback Position) Position {
	if t == nil || t.Position == nil || t.Position.Line < 1 {
		return fallback
	}
	return Position{File: fallback.File, Line: t.Position.Line, Column: max(1, t.Position.Column)}
}

// NodePosition returns the position of a node, without a file, for custom
// unmarshalers.
func NodePosition(n ast.Node) Position {
	return positionOf(n.GetToken(), Position{})
}
