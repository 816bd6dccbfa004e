package yamltext

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/goccy/go-yaml/ast"
	"github.com/pkg/errors"
)

// maxDepth bounds the nesting of the input before it is parsed, because the parser is
// recursive. The deepest valid text has fewer than ten levels.
const maxDepth = 64

// maxFaults bounds the faults of a document. A file with more is of another kind, and
// the list would take megabytes.
const maxFaults = 1000

// NodeKind is the type of a node.
type NodeKind int

// Kinds of nodes.
const (
	Null NodeKind = iota
	// String is a quoted or block scalar, or a plain one of no other kind.
	String
	// Number is a plain scalar that YAML resolves to a number.
	Number
	Bool
	Sequence
	Mapping
	// Invalid is a node that already has a fault. Its kind causes no further fault.
	Invalid
)

var kindDescriptions = map[NodeKind]string{
	Null: "nothing", String: "a string", Number: "a number", Bool: "true or false", Sequence: "a list", Mapping: "a mapping",
}

// Node is a value with its position.
type Node struct {
	Position Position
	Kind     NodeKind
	// Text of a scalar.
	Text string
	// Items of a sequence.
	Items []*Node
	// Fields of a mapping, in the order of the file.
	Fields []Field
}

// Field is a key with its value.
type Field struct {
	Position Position
	Name     string
	Value    *Node
}

// Document collects the faults of a file.
type Document struct {
	faults []*Error
}

// Parse parses a file of at most limit bytes: one document of plain mappings,
// sequences and scalars. Anchors, aliases, tags and merge keys are faults. Parse
// collects all faults instead of stopping at the first one. The node is nil if the
// file cannot be parsed at all; the document then has a fault.
func Parse(file string, data []byte, limit int) (*Document, *Node) {
	d := &Document{}
	start := Position{File: file, Line: 1, Column: 1}
	switch {
	case len(data) > limit:
		d.AddFault(start, TooLarge, "%d bytes exceed the limit of %d bytes", len(data), limit)
		return d, nil
	case !utf8.Valid(data):
		d.AddFault(start, Syntax, "not valid UTF-8")
		return d, nil
	case exceedsMaxDepth(data):
		d.AddFault(start, Syntax, "nested more than %d levels deep", maxDepth)
		return d, nil
	}
	f, err := parse(data)
	var fault *Error
	if errors.As(err, &fault) {
		fault.Position = cmp.Or(fault.Position, start)
		fault.File = file
		d.faults = append(d.faults, fault)
		return d, nil
	}
	if len(f.Docs) > 1 {
		d.AddFault(positionOf(f.Docs[1].Start, start), Syntax, "more than one document")
	}
	if len(f.Docs) == 0 {
		return d, &Node{Position: start}
	}
	return d, d.convert(f.Docs[0].Body, start, 0)
}

// exceedsMaxDepth reports whether the nesting may exceed maxDepth. It uses an upper
// bound: the open brackets, and for each line the indentation and the indicators
// "- ", "? " and ": ".
func exceedsMaxDepth(data []byte) bool {
	brackets := 0
	for line := range strings.SplitSeq(string(data), "\n") {
		indicators := 0
		for i, c := range line {
			switch c {
			case '[', '{':
				brackets++
			case ']', '}':
				brackets = max(0, brackets-1)
			case '-', '?', ':':
				if i+1 == len(line) || line[i+1] == ' ' || line[i+1] == '\t' {
					indicators++
				}
			}
			if brackets > maxDepth || indicators > maxDepth {
				return true
			}
		}
		if indent := len(line) - len(strings.TrimLeft(line, " ")); indent > 2*maxDepth && len(line) > indent {
			return true
		}
	}
	return false
}

// convert converts a node of the parser. parent is the position for nodes without a
// position of their own, such as empty values.
func (d *Document) convert(n ast.Node, parent Position, depth int) *Node {
	if n == nil || depth > maxDepth {
		return &Node{Position: parent}
	}
	position := positionOf(n.GetToken(), parent)
	switch n := n.(type) {
	case *ast.NullNode:
		return &Node{Position: position}
	case *ast.StringNode:
		return &Node{Position: position, Kind: String, Text: n.Value}
	case *ast.LiteralNode:
		return &Node{Position: position, Kind: String, Text: n.Value.Value}
	case *ast.BoolNode:
		return &Node{Position: position, Kind: Bool, Text: n.Token.Value}
	case *ast.IntegerNode, *ast.FloatNode, *ast.InfinityNode, *ast.NanNode:
		return &Node{Position: position, Kind: Number, Text: n.GetToken().Value}
	case *ast.SequenceNode:
		return d.convertSequence(n, position, depth)
	case *ast.MappingNode:
		return d.convertMapping(n.Values, position, depth)
	case *ast.MappingValueNode:
		return d.convertMapping([]*ast.MappingValueNode{n}, position, depth)
	default:
		d.AddFault(position, Syntax, "anchors, aliases, tags and merge keys are not allowed")
		return &Node{Position: position, Kind: Invalid}
	}
}

func (d *Document) convertSequence(n *ast.SequenceNode, position Position, depth int) *Node {
	out := &Node{Position: position, Kind: Sequence}
	for _, v := range n.Values {
		out.Items = append(out.Items, d.convert(v, position, depth+1))
	}
	return out
}

func (d *Document) convertMapping(values []*ast.MappingValueNode, position Position, depth int) *Node {
	out := &Node{Position: position, Kind: Mapping}
	seen := map[string]Position{}
	for i, v := range values {
		at := positionOf(v.Key.GetToken(), position)
		if i == 0 {
			out.Position = at
		}
		name, ok := v.Key.(*ast.StringNode)
		if !ok {
			d.AddFault(at, Syntax, "a field name must be a plain string")
			continue
		}
		if first, exists := seen[name.Value]; exists {
			d.AddFault(at, Duplicate, "field %s is already set in line %d", name.Value, first.Line)
			continue
		}
		seen[name.Value] = at
		out.Fields = append(out.Fields, Field{Position: at, Name: name.Value, Value: d.convert(v.Value, at, depth+1)})
	}
	return out
}

// AddFault adds a fault. After maxFaults it adds one TooLarge fault and drops the
// rest.
func (d *Document) AddFault(at Position, kind Kind, format string, args ...any) {
	if len(d.faults) > maxFaults {
		return
	}
	if len(d.faults) == maxFaults {
		kind, format, args = TooLarge, "more than %d faults; the others are left out", []any{maxFaults}
	}
	d.faults = append(d.faults, &Error{Op: "parse", Kind: kind, Position: at, Reason: fmt.Sprintf(format, args...)})
}

// Faults returns the faults in the order of the file.
func (d *Document) Faults() []*Error {
	slices.SortStableFunc(d.faults, func(a, b *Error) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return d.faults
}
