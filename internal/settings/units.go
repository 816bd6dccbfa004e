package settings

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
	"github.com/pkg/errors"

	"github.com/teaseltide/teaseltide/internal/yamltext"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Duration is a duration in ms, written with a unit: 250ms, 10s, 2m.
type Duration clock.Millis

// Millis returns the duration in ms.
func (d Duration) Millis() clock.Millis {
	return clock.Millis(d)
}

// String returns the duration with its unit.
func (d Duration) String() string {
	return clock.Millis(d).Duration().String()
}

// UnmarshalYAML parses a duration with its unit.
func (d *Duration) UnmarshalYAML(node ast.Node) error {
	text := node.String()
	v, err := time.ParseDuration(text)
	if err != nil || v < 0 || v%time.Millisecond != 0 {
		return unitError(node, text, "a length of time in whole ms with its unit, such as 250ms, 10s or 2m")
	}
	*d = Duration(clock.FromDuration(v))
	return nil
}

// Size is a number of bytes, written with a unit: 64KiB, 8MiB, 1GiB.
type Size int64

var sizeUnits = []struct {
	suffix string
	bytes  int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}

// String returns the size with the largest unit that divides it.
func (s Size) String() string {
	return yamltext.FormatSize(int64(s))
}

// UnmarshalYAML parses a size with its unit.
func (s *Size) UnmarshalYAML(node ast.Node) error {
	text := node.String()
	for _, u := range sizeUnits {
		number, ok := strings.CutSuffix(text, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(number, 10, 64)
		if err != nil || n < 0 || n > math.MaxInt64/u.bytes {
			break
		}
		*s = Size(n * u.bytes)
		return nil
	}
	return unitError(node, text, "a size with its unit, such as 64KiB or 8MiB")
}

func unitError(node ast.Node, text, want string) error {
	return &Error{
		Op: "parse", Kind: KindInvalid, Position: yamltext.NodePosition(node),
		Err: errors.Errorf("%q is not %s", text, want),
	}
}
