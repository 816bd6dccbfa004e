package ownership_test

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/teaseltide/teaseltide/internal/ownership"
)

// Guards against two incarnations that may use the same epoch of a partition:
// the owner uses a record's epoch and the successor the next one.
func TestEpochsHaveOneUser(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		users := make(map[ownership.Epoch]ownership.Incarnation)
		use := func(e ownership.Epoch, i ownership.Incarnation) {
			if i == "" {
				return
			}
			if other, ok := users[e]; ok && other != i {
				t.Fatalf("epoch %d is used by %s and %s", e, other, i)
			}
			users[e] = i
		}
		var record ownership.Record
		for range 20 {
			var live []ownership.Member
			for i := range 4 {
				if rapid.Bool().Draw(t, "live") {
					live = append(live, ownership.Member{
						Incarnation: ownership.Incarnation(fmt.Sprint("e", i, rapid.IntRange(0, 2).Draw(t, "restarts"))),
						Domain:      ownership.Domain(fmt.Sprint("d", i%2)),
					})
				}
			}
			if len(live) == 0 {
				continue
			}
			writer := live[rapid.IntRange(0, len(live)-1).Draw(t, "writer")].Incarnation
			took := rapid.Bool().Draw(t, "writer took over")
			old := record
			next, changed := record.Next(writer, live, func(p ownership.Partition) (ownership.Epoch, bool) {
				a := old.Partitions[p]
				return a.Epoch + 1, took && a.Successor == writer
			})
			a, b := old.Partitions[0], next.Partitions[0]
			if b.Epoch < a.Epoch {
				t.Fatalf("epoch went from %d to %d", a.Epoch, b.Epoch)
			}
			if a != b && !changed {
				t.Fatalf("assignment changed from %v to %v without a report", a, b)
			}
			use(b.Epoch, b.Owner)
			use(b.Epoch+1, b.Successor)
			record = next
		}
	})
}

// Guards against unnecessary takeovers: a live owner and a live successor keep
// their partitions when other entries come and go.
func TestLiveOwnersStay(t *testing.T) {
	none := func(ownership.Partition) (ownership.Epoch, bool) { return 0, false }
	live := []ownership.Member{{Incarnation: "a", Domain: "1"}, {Incarnation: "b", Domain: "2"}}
	var empty ownership.Record
	first, _ := empty.Next("a", live, none)
	second, changed := first.Next("a", append(live, ownership.Member{Incarnation: "c", Domain: "3"}), none)
	if changed || second.Partitions != first.Partitions {
		t.Errorf("got a changed record when an entry was added, want the same")
	}
}

func ExampleRecord_Next() {
	var r ownership.Record
	live := []ownership.Member{{Incarnation: "entry-a-1", Domain: "east"}, {Incarnation: "entry-b-1", Domain: "west"}}
	next, changed := r.Next("entry-a-1", live, func(ownership.Partition) (ownership.Epoch, bool) { return 0, false })
	p := ownership.PartitionOf("quoting")
	fmt.Println(changed, next.Partitions[p].Owner != next.Partitions[p].Successor, next.Partitions[p].Epoch)
	// Output: true true 2
}

// Guards against keys of other writers that are taken as processes, and against
// incarnations that are not.
func TestIsWellFormed(t *testing.T) {
	for id, want := range map[ownership.Incarnation]bool{
		"entry-1-abcdefghij": true, "side-1-x": true, "a-ABC7": true,
		"": false, "a": false, "-x": false, "a-": false, "a-b/c": false, "a-\xff": false, "\xff-x": false,
		ownership.Incarnation(strings.Repeat("a", 1000)) + "-x": false,
	} {
		if got := id.IsWellFormed(); got != want {
			t.Errorf("%.20q: got well-formed %v, want %v", id, got, want)
		}
	}
}
