package ownership

// Successors names for each deposed entry the one that took over its jobs.
type Successors map[Incarnation]Incarnation

// CurrentOwner returns the entry that now owns the jobs of an entry, and how many
// owners they had before it.
func (s Successors) CurrentOwner(id Incarnation) (heir Incarnation, before int) {
	for range len(s) {
		next := s[id]
		if next == "" {
			break
		}
		id = next
		before++
	}
	return id, before
}
