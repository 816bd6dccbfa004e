package evacuation

import (
	"maps"
	"sync"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Holder holds the newest set that a process knows. It is safe for concurrent use.
type Holder struct {
	onChange func(s *Set, since map[ownership.Domain]clock.Millis, source string)

	mu      sync.Mutex
	current *Set
	// since is when this process learned of the evacuation of each domain.
	since map[ownership.Domain]clock.Millis
}

// NewHolder returns a Holder without a set. onChange, if not nil, is called with the
// first set and with each one that changes the evacuated domains, with the time since
// which each domain has been evacuated. Its calls are not concurrent; it must not call
// the Holder.
func NewHolder(onChange func(s *Set, since map[ownership.Domain]clock.Millis, source string)) *Holder {
	return &Holder{onChange: onChange, since: make(map[ownership.Domain]clock.Millis)}
}

// Current returns the newest set, nil if none is known. It must not be modified.
func (h *Holder) Current() *Set {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current
}

// Adopt merges a set into the current one and reports whether the evacuated domains
// changed, which includes the first set. source names where the set comes from.
func (h *Holder) Adopt(now clock.Millis, s *Set, source string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	previous := h.current
	h.current = merge(previous, s)
	if h.current == nil || previous != nil && h.current.HasSameDomains(previous) {
		return false
	}
	maps.DeleteFunc(h.since, func(d ownership.Domain, _ clock.Millis) bool { return !h.current.Contains(d) })
	for _, d := range h.current.Domains {
		if _, ok := h.since[d]; !ok {
			h.since[d] = now
		}
	}
	if h.onChange != nil {
		h.onChange(h.current, maps.Clone(h.since), source)
	}
	return true
}

// Since returns since when a domain has been evacuated as far as this process knows, and
// whether it is.
func (h *Holder) Since(d ownership.Domain) (clock.Millis, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, ok := h.since[d]
	return at, ok
}
