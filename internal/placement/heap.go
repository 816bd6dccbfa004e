package placement

// groupHeap is a binary heap of groups by sort key, then by age. It does not use
// container/heap, whose interface calls cost about half of a placement decision.
type groupHeap []*taskGroup

func (h groupHeap) less(i, j int) bool {
	if h[i].sortKey != h[j].sortKey {
		return h[i].sortKey < h[j].sortKey
	}
	return h[i].sequence < h[j].sequence
}

func (h groupHeap) swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position = i
	h[j].position = j
}

func (h groupHeap) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(i, parent) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h groupHeap) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h) {
			return
		}
		if child+1 < len(h) && h.less(child+1, child) {
			child++
		}
		if !h.less(child, i) {
			return
		}
		h.swap(i, child)
		i = child
	}
}

func (h *groupHeap) push(g *taskGroup) {
	g.position = len(*h)
	*h = append(*h, g)
	h.up(g.position)
}

func (h *groupHeap) remove(g *taskGroup) {
	i := g.position
	last := len(*h) - 1
	h.swap(i, last)
	(*h)[last] = nil
	*h = (*h)[:last]
	g.position = -1
	if i < last {
		h.fix(i)
	}
}

func (h groupHeap) fix(i int) {
	h.up(i)
	h.down(i)
}
