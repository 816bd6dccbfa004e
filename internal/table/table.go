// Package table provides an ordered map for the state of the decision cores.
// Iteration follows insertion order, so that a run with the same inputs makes
// the same decisions.
package table

// Table maps keys to rows and iterates over them in insertion order. Rows are
// pointers, so that a row can be changed during an iteration. The zero value is
// not usable; call New. A Table is not safe for concurrent use.
type Table[K comparable, V any] struct {
	index   map[K]int
	records []record[K, V]
	deleted int
	// iterations counts the iterations in progress, whose positions a compaction
	// would invalidate.
	iterations int
}

// record is a row with its key; the zero value marks a deleted row.
type record[K comparable, V any] struct {
	key  K
	row  *V
	live bool
}

// New returns an empty table.
func New[K comparable, V any]() *Table[K, V] {
	return &Table[K, V]{index: make(map[K]int)}
}

// Len returns the number of rows.
func (t *Table[K, V]) Len() int {
	return len(t.index)
}

// Get returns the row for key, or nil if there is none.
func (t *Table[K, V]) Get(key K) *V {
	i, ok := t.index[key]
	if !ok {
		return nil
	}
	return t.records[i].row
}

// Put stores row under key. An existing key keeps its position.
func (t *Table[K, V]) Put(key K, row *V) {
	if i, ok := t.index[key]; ok {
		t.records[i].row = row
		return
	}
	// Compact here too: the table may never be iterated over.
	t.compact()
	t.index[key] = len(t.records)
	t.records = append(t.records, record[K, V]{key: key, row: row, live: true})
}

// Delete removes the row for key, if any. It may be called while iterating.
func (t *Table[K, V]) Delete(key K) {
	i, ok := t.index[key]
	if !ok {
		return
	}
	delete(t.index, key)
	t.records[i] = record[K, V]{}
	t.deleted++
}

// All iterates over the rows in insertion order. Rows added during the
// iteration are visited; rows deleted before they are reached are not.
func (t *Table[K, V]) All() func(yield func(K, *V) bool) {
	return func(yield func(K, *V) bool) {
		t.compact()
		t.iterations++
		defer func() { t.iterations-- }()
		for i := 0; i < len(t.records); i++ {
			e := t.records[i]
			if e.live && !yield(e.key, e.row) {
				return
			}
		}
	}
}

// minDeletedToCompact is the number of deleted rows below which compaction costs
// more than it saves.
const minDeletedToCompact = 64

// compact removes the records of deleted rows, unless an iteration is in progress
// or they are fewer than minDeletedToCompact or than the live rows.
func (t *Table[K, V]) compact() {
	if t.iterations > 0 || t.deleted < minDeletedToCompact || t.deleted < len(t.index) {
		return
	}
	records := make([]record[K, V], 0, len(t.index))
	for _, e := range t.records {
		if e.live {
			t.index[e.key] = len(records)
			records = append(records, e)
		}
	}
	t.records = records
	t.deleted = 0
}
