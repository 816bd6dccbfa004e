// Package evacuation holds the set of failure domains that are evacuated, and the rule
// by which the sets of several processes are merged.
package evacuation

import (
	"slices"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
)

// Set is the set of evacuated failure domains at a revision of the store. A nil Set means
// that no set is known; it contains no domain.
type Set struct {
	Revision int64
	// Domains is sorted and without duplicates.
	Domains []ownership.Domain
	// Undetermined holds the domains whose value could not be read and whose earlier state
	// is not known. They are not evacuated, but do not overrule what another set says.
	Undetermined []Undetermined
}

// Undetermined is a failure domain with the revision of its unreadable value.
type Undetermined struct {
	Domain   ownership.Domain
	Revision int64
}

// New returns the set of some domains at a revision.
func New(revision int64, domains ...ownership.Domain) *Set {
	s := &Set{Revision: revision, Domains: slices.Clone(domains)}
	s.normalize()
	return s
}

func (s *Set) normalize() {
	slices.Sort(s.Domains)
	s.Domains = slices.Compact(s.Domains)
}

// Contains reports whether a domain is evacuated.
func (s *Set) Contains(d ownership.Domain) bool {
	if s == nil {
		return false
	}
	_, found := slices.BinarySearch(s.Domains, d)
	return found
}

// HasSameDomains reports whether two sets evacuate the same domains. Revisions do not
// matter.
func (s *Set) HasSameDomains(other *Set) bool { return slices.Equal(s.Domains, other.Domains) }

// IsUndetermined reports whether the state of a domain is not known.
func (s *Set) IsUndetermined(d ownership.Domain) bool {
	if s == nil {
		return false
	}
	return slices.ContainsFunc(s.Undetermined, func(u Undetermined) bool { return u.Domain == d })
}

// Wire returns the message form of the set, nil for a nil set.
func (s *Set) Wire() *wire.EvacuationSet {
	if s == nil {
		return nil
	}
	m := &wire.EvacuationSet{Revision: s.Revision}
	for _, d := range s.Domains {
		m.Domains = append(m.Domains, string(d))
	}
	for _, u := range s.Undetermined {
		m.Undetermined = append(m.Undetermined, &wire.UndeterminedDomain{Domain: string(u.Domain), Revision: u.Revision})
	}
	return m
}

// FromWire decodes a message, nil for one that is unset or has no revision of the store.
func FromWire(m *wire.EvacuationSet) *Set {
	if m.GetRevision() <= 0 {
		return nil
	}
	s := &Set{Revision: m.GetRevision()}
	for _, d := range m.GetDomains() {
		s.Domains = append(s.Domains, ownership.Domain(d))
	}
	for _, u := range m.GetUndetermined() {
		s.Undetermined = append(s.Undetermined, Undetermined{ownership.Domain(u.GetDomain()), u.GetRevision()})
	}
	s.normalize()
	return s
}

// merge returns the set that replaces current once next is known: the one with the higher
// revision, in which domains that are undetermined keep the state that the other one
// gives them. An older set gives a state only if it was read after the unreadable value
// was written: before, the domain may have changed again. The result is current itself
// if nothing changes.
func merge(current, next *Set) *Set {
	switch {
	case next == nil:
		return current
	case current == nil:
		return next
	case next.Revision > current.Revision:
		return next.determinedBy(current, func(Undetermined) bool { return true })
	}
	return current.determinedBy(next, func(u Undetermined) bool { return next.Revision >= u.Revision })
}

// determinedBy returns s with the state that other gives to those undetermined domains
// for which permitted returns true; s itself if there are none.
func (s *Set) determinedBy(other *Set, permitted func(Undetermined) bool) *Set {
	isDetermined := func(u Undetermined) bool { return permitted(u) && !other.IsUndetermined(u.Domain) }
	if !slices.ContainsFunc(s.Undetermined, isDetermined) {
		return s
	}
	out := &Set{Revision: s.Revision, Domains: slices.Clone(s.Domains)}
	for _, u := range s.Undetermined {
		switch {
		case !isDetermined(u):
			out.Undetermined = append(out.Undetermined, u)
		case other.Contains(u.Domain):
			out.Domains = append(out.Domains, u.Domain)
		}
	}
	out.normalize()
	return out
}
