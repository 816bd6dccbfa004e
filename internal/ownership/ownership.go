// Package ownership holds the record of which entry owns each partition, the
// rules for assigning epochs, and the selection of owners and successors. It
// does no I/O.
package ownership

import (
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
)

// Partitions is the number of partitions. It must not change: that would move
// idempotency keys to owners that do not know them.
const Partitions = 64

type (
	// Incarnation identifies one run of a process: its configured name, a dash
	// and a random nonce.
	Incarnation string
	// Partition is a number below Partitions.
	Partition uint32
	// Epoch orders the owners of a partition. Each epoch is used by at most
	// one incarnation.
	Epoch uint64
	// Domain is the name of a failure domain.
	Domain string
)

// maxIncarnationBytes bounds a well-formed incarnation. A name is at most a host
// name of 253 bytes, and a nonce has at most 26 characters.
const maxIncarnationBytes = 280

// IsWellFormed reports whether i has the form of an incarnation: a name, a dash and
// a nonce of ASCII letters and digits.
func (i Incarnation) IsWellFormed() bool {
	dash := strings.LastIndexByte(string(i), '-')
	if dash < 1 || dash == len(i)-1 || len(i) > maxIncarnationBytes || !utf8.ValidString(string(i)) {
		return false
	}
	return strings.IndexFunc(string(i[dash+1:]), isNotAlphanumeric) < 0
}

func isNotAlphanumeric(r rune) bool {
	return (r < '0' || r > '9') && (r < 'A' || r > 'Z') && (r < 'a' || r > 'z')
}

// PartitionOf returns the partition of a service.
func PartitionOf(service string) Partition {
	return Partition(xxhash.Sum64String(service) % Partitions)
}

// epochsPerAssignment is the number of epochs that one assignment uses: one
// for its owner and one for its successor. Every change of an assignment skips
// both, so that the successor of an older record cannot share an epoch with a
// newer one.
const epochsPerAssignment = 2

// Assignment is the owner and the successor of one partition.
type Assignment struct {
	Owner     Incarnation `json:"owner"`
	Successor Incarnation `json:"successor,omitempty"`
	// Epoch of the owner. The successor may use Epoch+1 without writing to the
	// store.
	Epoch Epoch `json:"epoch"`
}

// Record is the value of the ownership key in the store.
type Record struct {
	// Nonce of the write, by which a writer whose response was lost can tell
	// whether its write took effect.
	Nonce      string                 `json:"nonce"`
	Partitions [Partitions]Assignment `json:"partitions"`
	// Revision of the key in the store, 0 if the key does not exist.
	Revision int64 `json:"-"`
}

// Member is a live entry.
type Member struct {
	Incarnation Incarnation
	Domain      Domain
}

// Next returns the record that self should write so that every partition has a
// live owner and, if there are two entries, a live successor, and whether it
// differs from r. It changes as little as possible: a live owner stays.
// Partitions move only when they need a new owner or a leaving entry releases
// them, not to restore balance, because each move costs a takeover.
//
// active returns the epoch that self has for a partition and whether self
// serves it, possibly after a takeover that the record does not show. The
// caller sets the nonce.
func (r *Record) Next(self Incarnation, live []Member, active func(Partition) (Epoch, bool)) (Record, bool) {
	next := *r
	changed := false
	for p := range Partition(Partitions) {
		a, ok := nextAssignment(r.Partitions[p], p, self, live, active)
		if ok {
			next.Partitions[p] = a
			changed = true
		}
	}
	return next, changed
}

func nextAssignment(a Assignment, p Partition, self Incarnation, live []Member, active func(Partition) (Epoch, bool)) (Assignment, bool) {
	old := a
	if epoch, ok := active(p); ok && a.Successor == self && epoch == a.Epoch+1 {
		a.Owner = self
	}
	if !contains(live, a.Owner) {
		a.Owner = a.Successor
	}
	if !contains(live, a.Owner) {
		a.Owner = chooseMember(p, live, "")
	}
	if !contains(live, a.Successor) || a.Successor == a.Owner {
		a.Successor = chooseMember(p, live, a.Owner)
	}
	if a == old || a.Owner == "" {
		return old, false
	}
	a.Epoch += epochsPerAssignment
	return a, true
}

// chooseMember returns the member other than except with the highest
// rendezvous weight for p. Members outside the failure domain of except are
// preferred.
func chooseMember(p Partition, live []Member, except Incarnation) Incarnation {
	var domain Domain
	for _, m := range live {
		if m.Incarnation == except {
			domain = m.Domain
		}
	}
	var best Member
	for _, m := range live {
		if m.Incarnation == except {
			continue
		}
		if best.Incarnation == "" || isPreferred(p, m, best, domain) {
			best = m
		}
	}
	return best.Incarnation
}

func isPreferred(p Partition, a, b Member, avoid Domain) bool {
	if (a.Domain == avoid) != (b.Domain == avoid) {
		return b.Domain == avoid
	}
	return weight(p, a.Incarnation) > weight(p, b.Incarnation)
}

func weight(p Partition, i Incarnation) uint64 {
	return xxhash.Sum64String(strconv.Itoa(int(p)) + "/" + string(i))
}

func contains(live []Member, i Incarnation) bool {
	for _, m := range live {
		if m.Incarnation == i {
			return i != ""
		}
	}
	return false
}
