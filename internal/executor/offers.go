package executor

import (
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// OfferDuration is how long free room is held for the entry that it was offered to:
// its orders come after a round trip between failure domains, 2 to 4 ms.
const OfferDuration = 8 * clock.Millis(1)

// declinedOfferPause is the time until the next offer to an entry that had no use for
// the last one.
const declinedOfferPause = 25 * clock.Millis(1)

// demand is what an entry has waiting for room.
type demand struct {
	// urgency of its most urgent task, 1 for the highest; 0 if none waits.
	urgency int32
	// cpu that this task needs.
	cpu int64
	// offeredAt is when the entry last got an offer, declinedAt when it last had
	// no use for one.
	offeredAt, declinedAt clock.Millis
}

// offer is free room that is held for one entry. Without offers all entries
// would order tasks for the same room, and all but one of them in vain.
type offer struct {
	entry ownership.Incarnation
	// sentAt is the time of the report that carries the offer, 0 before it is sent.
	sentAt    clock.Millis
	expiresAt clock.Millis
}

// updateDemand takes what an entry has waiting. Orders that were decided on the
// offer's report answer it.
func (x *Executor) updateDemand(now clock.Millis, from ownership.Incarnation, e *entry, o *wire.TaskOrders) {
	e.urgency, e.cpu = o.GetDemand(), o.GetDemandCpu()
	if x.offer.entry == from && x.offer.sentAt != 0 && o.GetGrantedFrom() >= int64(x.offer.sentAt) {
		x.offer = offer{}
		if len(o.GetStarts()) == 0 {
			e.declinedAt = now
		}
	}
}

// offerCapacity offers free room to the entry with the most urgent task, in turn
// among equals.
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
		if best == nil || e.urgency < best.urgency ||
			e.urgency == best.urgency && (e.offeredAt < best.offeredAt || e.offeredAt == best.offeredAt && id < bestID) {
			best, bestID = e, id
		}
	}
	if best == nil {
		return
	}
	best.offeredAt = now
	x.offer = offer{entry: bestID, expiresAt: now + OfferDuration}
}
