package loadtest

import (
	"math"
	"slices"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// contention describes clients and workers that are distributed unevenly.
type contention struct {
	// waveSwing is the amplitude of a periodic change of the callers of each zone,
	// with waveZones zones at equal distances in phase.
	waveSwing  float64
	wavePeriod clock.Millis
	waveZones  int
	// burstKind is the only kind that takes part in the burst; empty for all.
	burstKind string
	// stragglerShare is the share of tasks that take stragglerFactor times as long.
	stragglerShare float64
	// declaredObjectives is true if the objectives of callers are computed from declared
	// run times.
	declaredObjectives bool
	// remoteFactor multiplies the run time of a task outside the rack of its data.
	remoteFactor float64
	// evacuated is the zone whose workers take no tasks after evacuatedFrom.
	evacuated     ownership.Domain
	evacuatedFrom clock.Millis
}

const stragglerFactor = 7

// zoneOutcome is the value of the counted jobs that were submitted in a zone.
type zoneOutcome struct {
	offered, earned float64
}

func (z *zoneOutcome) share() float64 { return z.earned / math.Max(z.offered, 1e-9) }

// lateValue is the part of its value that a late job earns.
const lateValue = 0.2

func (f *fleet) zone(d ownership.Domain) *zoneOutcome {
	if f.zones[d] == nil {
		f.zones[d] = &zoneOutcome{}
	}
	return f.zones[d]
}

func (f *fleet) recordOffered(s *submission) {
	if s.counted {
		f.zone(s.zone).offered += s.kind.value
	}
}

func (f *fleet) recordEarned(s *submission, took clock.Millis) {
	switch {
	case took <= s.objective:
		f.zone(s.zone).earned += s.kind.value
	case took <= lateFactor*s.objective:
		f.zone(s.zone).earned += lateValue * s.kind.value
	}
}

// sharesAt returns the share of the callers of each entry at a time after the start.
func (f *fleet) sharesAt(since clock.Millis) []float64 {
	if f.waveSwing == 0 {
		return f.entryShares
	}
	shares := slices.Clone(f.entryShares)
	var sum float64
	for i := range shares {
		phase := float64(i%f.waveZones)/float64(f.waveZones) + float64(since)/float64(f.wavePeriod)
		shares[i] *= 1 + f.waveSwing*math.Sin(2*math.Pi*phase)
		sum += shares[i]
	}
	for i := range shares {
		shares[i] /= sum
	}
	return shares
}

// rackFactor returns the factor of the run time of a job's tasks on a worker.
func (f *fleet) rackFactor(c *sidecar, id batch.JobID) float64 {
	if rack := f.dataRacks[id]; rack != "" && rack != c.spec.rack {
		return f.remoteFactor
	}
	return 1
}

// scheduleEvacuation makes the workers of the evacuated zone unready.
func (f *fleet) scheduleEvacuation() {
	if f.evacuated == "" {
		return
	}
	f.after(f.evacuatedFrom, func() {
		for _, c := range f.sidecars {
			if c.spec.domain == f.evacuated {
				f.reportWorker(c, 2, true)
				c.dirty = true
			}
		}
	})
}

// broadcast delivers a note of an entry to the other entries.
func (f *fleet) broadcast(from *entry, n *wire.EntryNote) {
	for _, e := range f.entries {
		if e == from {
			continue
		}
		f.countMessage()
		f.notes++
		f.after(linkDelay, func() {
			e.core.HandleEntryNote(f.now, from.id, n)
			e.dirty = e.dirty || !scheduler.IsQueuedWorkOnly(n)
		})
	}
}
