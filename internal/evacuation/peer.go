package evacuation

// Peer decides when the process at the other end of a session is sent a set. The zero
// value is that of a session that has just begun.
type Peer struct {
	// known is the newest set that was sent to the peer or received from it.
	known *Set
}

// Note records a set that was sent to the peer or received from it.
func (p *Peer) Note(s *Set) {
	if s != nil && (p.known == nil || s.Revision >= p.known.Revision) {
		p.known = s
	}
}

// Due reports whether the peer needs the own set: if it has none or an older one with
// other domains, or if it does not know the state of a domain that the own set gives.
func (p *Peer) Due(own *Set) bool {
	switch {
	case own == nil:
		return false
	case p.known == nil:
		return true
	case own.Revision == p.known.Revision:
		return len(p.known.Undetermined) > 0 && !own.HasSameDomains(p.known)
	}
	return own.Revision > p.known.Revision && !own.HasSameDomains(p.known)
}

// HasNone reports whether no set was sent to the peer or received from it.
func (p *Peer) HasNone() bool { return p.known == nil }
