package yamltext

import (
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/teaseltide/teaseltide/pkg/clock"
)

// MaxNameLength bounds names to the length of a DNS label.
const MaxNameLength = 63

var (
	kebabCase = regexp.MustCompile(`^[a-z][a-z0-9]*(-[a-z0-9]+)*$`)
	quantity  = regexp.MustCompile(`^([0-9]+)([A-Za-z]+)$`)
)

// units holds an example of a quantity and the factor of each unit to the base unit.
type units struct {
	example string
	factors map[string]int64
}

var (
	sizeUnits     = units{"512MiB", map[string]int64{"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}}
	durationUnits = units{"250ms", map[string]int64{"ms": 1, "s": 1000, "m": 60_000, "h": 3_600_000}}
)

// Object provides the fields of a mapping by name.
type Object struct {
	// Position of the first field.
	Position Position
	doc      *Document
	fields   map[string]*Node
}

// Object reads a mapping and reports unknown fields as faults. If n is not a mapping,
// it adds a fault and returns an empty object, so that the caller can continue.
func (d *Document) Object(n *Node, what string, allowed ...string) *Object {
	o := &Object{Position: n.Position, doc: d, fields: map[string]*Node{}}
	if n.Kind != Mapping {
		d.addMismatch(n, what, "a mapping")
		return o
	}
	for _, f := range n.Fields {
		if slices.Contains(allowed, f.Name) {
			o.fields[f.Name] = f.Value
			continue
		}
		d.AddFault(f.Position, UnknownField, "unknown field %s of %s; known are %s", f.Name, what, strings.Join(allowed, ", "))
	}
	return o
}

// Get returns the value of a field, or nil if it is absent.
func (o *Object) Get(name string) *Node { return o.fields[name] }

// Require returns the value of a field. If the field is absent, it adds a fault and
// returns nil.
func (o *Object) Require(name string) *Node {
	n := o.fields[name]
	if n == nil {
		o.doc.AddFault(o.Position, Missing, "field %s is required", name)
	}
	return n
}

// Items returns the items of a list field; none if the field is absent.
func (o *Object) Items(name string) []*Node {
	n := o.fields[name]
	if n == nil {
		return nil
	}
	if n.Kind != Sequence {
		o.doc.addMismatch(n, name, "a list")
		return nil
	}
	return n.Items
}

// Integer returns an integer field within bounds, or fallback if the field is absent
// or not valid.
func (o *Object) Integer(name string, fallback, low, high int64) int64 {
	return readField(o, name, fallback, func(n *Node) (int64, bool) { return o.doc.Integer(n, name, low, high) })
}

// Size returns a size field within bounds in bytes, or fallback.
func (o *Object) Size(name string, fallback, low, high int64) int64 {
	return readField(o, name, fallback, func(n *Node) (int64, bool) { return o.doc.Size(n, name, low, high) })
}

// Duration returns a duration field within bounds, or fallback.
func (o *Object) Duration(name string, fallback, low, high clock.Millis) clock.Millis {
	return readField(o, name, fallback, func(n *Node) (clock.Millis, bool) { return o.doc.Duration(n, name, low, high) })
}

// Bool returns a boolean field, or fallback.
func (o *Object) Bool(name string, fallback bool) bool {
	return readField(o, name, fallback, func(n *Node) (bool, bool) { return o.doc.Bool(n, name) })
}

func readField[T any](o *Object, name string, fallback T, value func(*Node) (T, bool)) T {
	n := o.fields[name]
	if n == nil {
		return fallback
	}
	if v, ok := value(n); ok {
		return v
	}
	return fallback
}

// String returns the value of a string node.
func (d *Document) String(n *Node, what string) (string, bool) {
	if n.Kind != String {
		d.addMismatch(n, what, "a string")
		return "", false
	}
	return n.Text, true
}

// Name returns the value of a node that holds a name in kebab case.
func (d *Document) Name(n *Node, what string) (string, bool) {
	s, ok := d.String(n, what)
	if !ok {
		return "", false
	}
	if !kebabCase.MatchString(s) || len(s) > MaxNameLength {
		d.AddFault(n.Position, BadName, "%s %q is not in kebab case of 1 to %d characters", what, s, MaxNameLength)
		return "", false
	}
	return s, true
}

// Bool returns the value of a boolean node.
func (d *Document) Bool(n *Node, what string) (value, ok bool) {
	if n.Kind != Bool || (n.Text != "true" && n.Text != "false") {
		d.addMismatch(n, what, "true or false")
		return false, false
	}
	return n.Text == "true", true
}

// Integer returns the value of a decimal integer node within bounds.
func (d *Document) Integer(n *Node, what string, low, high int64) (int64, bool) {
	v, err := strconv.ParseInt(n.Text, 10, 64)
	if n.Kind != Number || err != nil {
		d.addMismatch(n, what, "a decimal integer")
		return 0, false
	}
	if v < low || v > high {
		d.AddFault(n.Position, OutOfRange, "%s must be from %d to %d, not %d", what, low, high, v)
		return 0, false
	}
	return v, true
}

// Fraction returns the value of a number node within bounds.
func (d *Document) Fraction(n *Node, what string, low, high float64) (float64, bool) {
	v, err := strconv.ParseFloat(n.Text, 64)
	if n.Kind != Number || err != nil || math.IsNaN(v) {
		d.addMismatch(n, what, "a number")
		return 0, false
	}
	if v < low || v > high {
		d.AddFault(n.Position, OutOfRange, "%s must be from %g to %g, not %s", what, low, high, n.Text)
		return 0, false
	}
	return v, true
}

// Size returns the bytes of a node that holds a size with its unit, such as 64KiB.
func (d *Document) Size(n *Node, what string, low, high int64) (int64, bool) {
	v, ok := d.quantity(n, what, sizeUnits)
	if ok && (v < low || v > high) {
		d.AddFault(n.Position, OutOfRange, "%s must be from %s to %s, not %s", what, FormatSize(low), FormatSize(high), n.Text)
		return 0, false
	}
	return v, ok
}

// Duration returns the value of a node that holds a duration with its unit, such as
// 250ms.
func (d *Document) Duration(n *Node, what string, low, high clock.Millis) (clock.Millis, bool) {
	v, ok := d.quantity(n, what, durationUnits)
	m := clock.Millis(v)
	if ok && (m < low || m > high) {
		d.AddFault(n.Position, OutOfRange, "%s must be from %s to %s, not %s", what, FormatDuration(low), FormatDuration(high), n.Text)
		return 0, false
	}
	return m, ok
}

func (d *Document) quantity(n *Node, what string, u units) (int64, bool) {
	if n.Kind != String && n.Kind != Number {
		d.addMismatch(n, what, "a quantity such as "+u.example)
		return 0, false
	}
	match := quantity.FindStringSubmatch(n.Text)
	if match == nil {
		d.AddFault(n.Position, WrongUnit, "%s must be a whole number with a unit, such as %s, not %q", what, u.example, n.Text)
		return 0, false
	}
	factor, known := u.factors[match[2]]
	if !known {
		d.AddFault(n.Position, WrongUnit, "unit %s of %s is not one of %s", match[2], what, u.names())
		return 0, false
	}
	v, err := strconv.ParseInt(match[1], 10, 64)
	if err != nil || v > math.MaxInt64/factor {
		d.AddFault(n.Position, OutOfRange, "%s of %s is too large", what, n.Text)
		return 0, false
	}
	return v * factor, true
}

func (u units) names() string {
	names := make([]string, 0, len(u.factors))
	for name := range u.factors {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return int(u.factors[a] - u.factors[b]) })
	return strings.Join(names, ", ")
}

func (d *Document) addMismatch(n *Node, what, want string) {
	if n.Kind == Invalid {
		return
	}
	got := kindDescriptions[n.Kind]
	if n.Text != "" {
		got += " " + strconv.Quote(n.Text)
	}
	d.AddFault(n.Position, WrongType, "%s must be %s, not %s", what, want, got)
}

// FormatSize formats bytes in the largest unit that needs no fraction.
func FormatSize(bytes int64) string {
	return formatQuantity(bytes, sizeUnits, []string{"GiB", "MiB", "KiB"}, "B")
}

// FormatDuration formats m in the largest unit that needs no fraction.
func FormatDuration(m clock.Millis) string {
	return formatQuantity(int64(m), durationUnits, []string{"h", "m", "s"}, "ms")
}

func formatQuantity(v int64, u units, larger []string, base string) string {
	for _, name := range larger {
		if factor := u.factors[name]; v != 0 && v%factor == 0 {
			return strconv.FormatInt(v/factor, 10) + name
		}
	}
	return strconv.FormatInt(v, 10) + base
}
