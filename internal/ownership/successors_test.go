package ownership_test

import (
	"testing"

	"github.com/teaseltide/teaseltide/internal/ownership"
)

// Guards against jobs assigned to a dead entry after the owner and then its
// successor died, and against a loop when two entries are recorded as each
// other's successors.
func TestCurrentOwner(t *testing.T) {
	s := ownership.Successors{"a": "b", "b": "c", "x": "y", "y": "x"}
	for _, tt := range []struct {
		id, want  ownership.Incarnation
		takeovers int
	}{{"a", "c", 2}, {"b", "c", 1}, {"c", "c", 0}} {
		if got, takeovers := s.CurrentOwner(tt.id); got != tt.want || takeovers != tt.takeovers {
			t.Errorf("owner of the jobs of %s: got %s after %d takeovers, want %s after %d", tt.id, got, takeovers, tt.want, tt.takeovers)
		}
	}
	s.CurrentOwner("x")
}
