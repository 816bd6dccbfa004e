package table

import (
	"slices"
	"testing"
)

// Guards against an iteration order that differs between runs: a failing schedule
// could not be replayed from its seed.
func TestInsertionOrderIsKeptAfterDeletion(t *testing.T) {
	tab := New[int, int]()
	for i := range 500 {
		tab.Put(i, new(int))
	}
	for i := range 500 {
		if i%5 != 0 {
			tab.Delete(i)
		}
	}
	var got []int
	for k := range tab.All() {
		got = append(got, k)
	}
	var want []int
	for i := 0; i < 500; i += 5 {
		want = append(want, i)
	}
	if !slices.Equal(got, want) {
		t.Fatalf("got %v, want %v", got, want)
	}
	if got, want := tab.Len(), 100; got != want {
		t.Errorf("got length %d, want %d", got, want)
	}
	if tab.Get(5) == nil || tab.Get(6) != nil {
		t.Errorf("got row 5 %v and row 6 %v, want only row 5", tab.Get(5), tab.Get(6))
	}
}

// Guards against memory that grows with the number of rows ever stored, in a table
// that is not iterated over while rows are added and deleted.
func TestDeletedRowsAreFreedWithoutIteration(t *testing.T) {
	tab := New[int, int]()
	for i := range 10_000 {
		tab.Put(i, new(int))
		tab.Delete(i - 10)
	}
	if got, limit := len(tab.records), 2*minDeletedToCompact; got > limit {
		t.Errorf("got %d entries for %d rows, want at most %d", got, tab.Len(), limit)
	}
}
