package ownership

// Successors maps each deposed entry to the entry that took over its jobs.
type Successors map[Incarnation]Incarnation

// CurrentOwner returns the entry that now owns the jobs of an entry, and the
// number of takeovers in between. A cycle ends the search after len(s) steps.
func (s Successors) CurrentOwner(id Incarnation) (owner Incarnation, takeovers int) {
	for range len(s) {
		next := s[id]
		if next == "" {
			break
		}
		id = next
		takeovers++
	}
	return id, takeovers
}
