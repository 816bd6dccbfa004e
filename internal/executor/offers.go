package executor

import (
	"cmp"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// OfferDuration is how long free capacity is reserved for the entry to which it
// was offered. Its orders arrive after one round trip between failure domains,
// 2 to 4 ms.
const OfferDuration = 8 * clock.Millis(1)

// declinedOfferPause is the time during which an entry that declined an offer gets
// no other one.
const declinedOfferPause = 25 * clock.Millis(1)

// demand describes the most urgent task of an entry that waits for capacity, and
// the offers made to the entry.
type demand struct {
	// urgency is 1 for the most urgent tasks, higher for others, 0 if no task waits.
	urgency int32
	// cpu is what the task needs, in thousandths of a core.
	cpu int64
	// dueAt is the time of the objective of the task, by the clock of this sidecar.
	dueAt clock.Millis
	// offeredAt is when the entry last got an offer, declinedAt when it last
	// declined one.
	offeredAt, declinedAt clock.Millis
}

// offer reserves the free capacity for one entry. Without offers all entries would
// order tasks for the same capacity, and all but one order would be returned.
type offer struct {
	entry ownership.Incarnation
	// sentAt is the time of the report that carries the offer, 0 before it is sent.
	sentAt    clock.Millis
	expiresAt clock.Millis
}

// updateDemand records the demand of an entry. Orders that are based on the report
// with the offer, or on a later one, answer the offer; without a start they
// decline it.
func (x *Executor) updateDemand(now clock.Millis, from ownership.Incarnation, e *entry, o *wire.TaskOrders) {
	e.urgency, e.cpu, e.dueAt = o.GetDemand(), o.GetDemandCpu(), now+clock.Millis(o.GetDemandDueMs())
	if x.offer.entry == from && x.offer.sentAt != 0 && o.GetGrantedFrom() >= int64(x.offer.sentAt) {
		x.offer = offer{}
		if len(o.GetStarts()) == 0 {
			e.declinedAt = now
		}
	}
}

// offerCapacity offers the free capacity to the entry with the most urgent task, and among
// equally urgent ones to that with the earliest objective. Entries with the same objective
// take turns.
func (x *Executor) offerCapacity(now clock.Millis) {
	if x.offer.entry != "" && now < x.offer.expiresAt {
		return
	}
	x.offer = offer{}
	if !x.ready() {
		return
	}
	free := x.available().CPU
	var best *entry
	var bestID ownership.Incarnation
	for id, e := range x.entries {
		if !e.connected || e.deposed || e.urgency == 0 || e.cpu > free || now-e.declinedAt < declinedOfferPause {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(e.urgency, best.urgency), cmp.Compare(e.dueAt, best.dueAt), cmp.Compare(e.offeredAt, best.offeredAt), cmp.Compare(id, bestID)) < 0 {
			best, bestID = e, id
		}
	}
	if best == nil {
		return
	}
	best.offeredAt = now
	x.offer = offer{entry: bestID, expiresAt: now + OfferDuration}
}
