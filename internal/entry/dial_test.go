package entry

import (
	"testing"

	"github.com/teaseltide/teaseltide/internal/peer"
)

// Guards against sessions that are closed when leases expire while the store is
// slow, and against entries that are dialled forever.
func TestLapsedEntriesAreDialledDuringRetention(t *testing.T) {
	var d dialState
	target := peer.Target{Incarnation: "a", Address: "127.0.0.1:1"}
	if got := d.update(1000, []peer.Target{target}); len(got) != 1 {
		t.Fatalf("got %d targets, want 1", len(got))
	}
	if got := d.update(1000+lapsedEntryRetention-1, nil); len(got) != 1 || got[0] != target {
		t.Errorf("got %v after the lease expired, want %v", got, target)
	}
	if got := d.update(1000+lapsedEntryRetention, nil); len(got) != 0 {
		t.Errorf("got %v after %d ms, want none", got, lapsedEntryRetention)
	}
}
