package executor

import (
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// OfferDuration is how long free room is held for the entry that it was offered to:
// its orders come after a round trip between failure domains, 2 to 4 ms.
const OfferDuration = 8 * clock.Millis(1)

// offerPause is the time until the next offer to an entry that had no use for
// the last one.
const offerPause = 25 * clock.Millis(1)

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
	// at is the time of the report that carries the offer, 0 before it is sent.
	at    clock.Millis
	until clock.Millis
}

// noteDemand takes what an entry has waiting. Orders that were decided on the
// offer's report answer it.
func (x *Executor) noteDemand(now clock.Millis, from ownership.Incarnation, e *entry, o *wire.TaskOrders) {
	e.urgency, e.cpu = o.GetDemand(), o.GetDemandCpu()
	if x.offer.entry == from && x.offer.at != 0 && o.GetGrantedFrom() >= int64(x.offer.at) {
		x.offer = offer{}
		if len(o.GetStarts()) == 0 {
			e.declinedAt = now
		}
	}
}

// offerRoom offers free room to the entry with the most urgent task, in turn
// among equals.
func (x *Executor) offerRoom(now clock.Millis) {
	if x.offer.entry != "" && now < x.offer.until {
		return
	}
	x.offer = offer{}
	if !x.ready() {
		return
	}
	free := x.free().CPU
	var best *entry
	var to ownership.Incarnation
	for id, e := range x.entries {
		if !e.connected || e.deposed || e.urgency == 0 || e.cpu > free || now-e.declinedAt < offerPause {
			continue
		}
		if best == nil || e.urgency < best.urgency ||
			e.urgency == best.urgency && (e.offeredAt < best.offeredAt || e.offeredAt == best.offeredAt && id < to) {
			best, to = e, id
		}
	}
	if best == nil {
		return
	}
	best.offeredAt = now
	x.offer = offer{entry: to, until: now + OfferDuration}
}
