package scheduler

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// witnessesPerJob is the number of witnesses of a job. With three, the loss of one
	// delays no job.
	witnessesPerJob = 3
	// maxLooseReportAge is maxReportAge for a worker outside the subset, whose reports
	// arrive every 900 ms.
	maxLooseReportAge = 1500 * clock.Millis(1)
	// witnessSettleTime is how long after the arrival of a sidecar those that are silent
	// remain witnesses. An entry that was cut off finds the sidecars again one after the
	// other; until it has them all, it must not ask others than the other entries do.
	witnessSettleTime = 1 * clock.Second
	// witnessUpdateInterval is the interval between updates of the witnesses.
	witnessUpdateInterval = 20 * clock.Millis(1)
	// maxUpdateDelay is how late an update may be. Later ones follow a pause of the process,
	// after which sidecars that report every 150 ms appear silent until their reports have
	// been read.
	maxUpdateDelay = 200 * clock.Millis(1)
)

// witness is a sidecar that may record which entry holds the lease of a job. Entries may
// know it by different addresses, so its incarnation identifies it.
type witness struct {
	id   ownership.Incarnation
	hash uint64
	// node is nil without a session with this incarnation of the sidecar.
	node      *node
	isPresent bool
	// isListed is true if the sidecar is registered in the store.
	isListed bool
}

// witnessSet holds all sidecars that may be witnesses.
type witnessSet struct {
	all []*witness
	// arrivedAt is when a sidecar last became present, or a pause of the process ended.
	arrivedAt   clock.Millis
	hasArrived  bool
	updateDueAt clock.Millis
}

// SetSidecars sets the registered sidecars.
func (s *Scheduler) SetSidecars(registered []ownership.Incarnation) {
	for _, w := range s.witnesses.all {
		w.isListed = false
	}
	for _, id := range registered {
		s.witnesses.find(id).isListed = true
	}
	s.witnesses.all = slices.DeleteFunc(s.witnesses.all, func(w *witness) bool { return !w.isListed && w.node == nil })
}

// find returns the witness of an incarnation, which it adds if there is none.
func (ws *witnessSet) find(id ownership.Incarnation) *witness {
	for _, w := range ws.all {
		if w.id == id {
			return w
		}
	}
	w := &witness{id: id, hash: xxhash.Sum64String(string(id))}
	ws.all = append(ws.all, w)
	return w
}

// disconnect records the end of the session with a sidecar.
func (ws *witnessSet) disconnect(id ownership.Incarnation) {
	ws.all = slices.DeleteFunc(ws.all, func(w *witness) bool { return w.id == id && !w.isListed })
	for _, w := range ws.all {
		if w.id == id {
			w.node, w.isPresent = nil, false
		}
	}
}

// hasUnready reports whether the worker of a registered sidecar is not known to be ready.
// A sidecar that starts reports its load before its worker is.
func (ws *witnessSet) hasUnready() bool {
	return slices.ContainsFunc(ws.all, func(w *witness) bool {
		return w.isListed && (w.node == nil || !w.node.load.GetReady() && !w.node.evacuated)
	})
}

// isUnsupported reports whether sidecars are known and none answers lease requests.
func (ws *witnessSet) isUnsupported() bool {
	known := false
	for _, w := range ws.all {
		known = known || w.node != nil && w.node.load != nil
		if w.node == nil || w.node.load == nil || w.node.grantsJobLeases {
			return false
		}
	}
	return known
}

// updateWitnesses updates which sidecars are present.
func (s *Scheduler) updateWitnesses(now clock.Millis) {
	if now < s.witnesses.updateDueAt {
		return
	}
	if now-s.witnesses.updateDueAt >= maxUpdateDelay {
		s.witnesses.arrivedAt = now
	}
	s.witnesses.updateDueAt = now + witnessUpdateInterval
	for _, w := range s.witnesses.all {
		wasPresent := w.isPresent
		w.isPresent = w.node != nil && w.node.isPresent(now)
		if w.isPresent && !wasPresent {
			s.witnesses.arrivedAt, s.witnesses.hasArrived = now, true
		}
	}
}

// isPresent reports whether the sidecar's reports arrive.
func (n *node) isPresent(now clock.Millis) bool {
	longest := maxReportAge
	if n.outsideSubset {
		longest = maxLooseReportAge
	}
	return n.load != nil && now-n.reportReceivedAt <= longest
}

// witnessesOf returns the witnesses of a job, present ones first: the highest by
// rendezvous hashing, so that all entries ask the same ones. A silent sidecar may be silent
// for this entry alone, so others replace it only if fewer than a quorum of the highest are
// present, and once the entry has been in touch with all others for some time.
func (s *Scheduler) witnessesOf(now clock.Millis, id batch.JobID) []*witness {
	best := s.witnesses.highest(id, false)
	settled := s.witnesses.hasArrived && now-s.witnesses.arrivedAt >= witnessSettleTime
	if settled && countPresent(best) < len(best)/2+1 {
		best = s.witnesses.highest(id, true)
	}
	var present, silent []*witness
	for _, w := range best {
		if w.isPresent {
			present = append(present, w)
		} else {
			silent = append(silent, w)
		}
	}
	return append(present, silent...)
}

func countPresent(witnesses []*witness) int {
	n := 0
	for _, w := range witnesses {
		if w.isPresent {
			n++
		}
	}
	return n
}

// highest returns the highest candidates by rendezvous hashing, of all sidecars or of the
// present ones.
func (ws *witnessSet) highest(id batch.JobID, presentOnly bool) []*witness {
	key := xxhash.Sum64String(string(id))
	var best [witnessesPerJob]*witness
	var ranks [witnessesPerJob]uint64
	for _, w := range ws.all {
		if !w.isCandidate(presentOnly) {
			continue
		}
		rank := mix(key ^ w.hash)
		for i := range best {
			if best[i] == nil || rank > ranks[i] {
				best[i], w = w, best[i]
				ranks[i], rank = rank, ranks[i]
			}
			if w == nil {
				break
			}
		}
	}
	return slices.DeleteFunc(best[:], func(w *witness) bool { return w == nil })
}

// isCandidate reports whether a sidecar may be a witness.
func (w *witness) isCandidate(presentOnly bool) bool {
	switch {
	case w.node != nil && w.node.load != nil && !w.node.grantsJobLeases:
		return false
	case w.isPresent:
		return true
	}
	return !presentOnly && (w.isListed || w.node != nil)
}

// mix spreads the bits of a hash (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
