package ownership_test

import (
	"testing"

	"github.com/teaseltide/teaseltide/internal/ownership"
)

// Jobs whose owner and then its successor died belong to the last one; a record
// that names two entries as each other's successors must not hang.
func TestHeir(t *testing.T) {
	s := ownership.Successors{"a": "b", "b": "c", "x": "y", "y": "x"}
	for _, tt := range []struct {
		id, want ownership.Incarnation
		before   int
	}{{"a", "c", 2}, {"b", "c", 1}, {"c", "c", 0}} {
		if got, before := s.CurrentOwner(tt.id); got != tt.want || before != tt.before {
			t.Errorf("heir of %s: got %s after %d, want %s after %d", tt.id, got, before, tt.want, tt.before)
		}
	}
	s.CurrentOwner("x")
}
