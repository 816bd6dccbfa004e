package executor

import "github.com/teaseltide/teaseltide/pkg/clock"

// maxListedEnds is the greatest number of ends in one listing. A full listing may
// omit ends, so it tells nothing about the runs missing from it. The ends behind
// them are listed only after some of the listed ones have been acknowledged.
const maxListedEnds = 500

// backlog is the state of reading the worker's ends. After the start of a sidecar the
// worker may have more ends than a listing holds. Until the list has been read to its
// end, the omitted ones belong to runs that this sidecar does not know: it starts
// nothing and sends partial inventories only.
type backlog struct {
	// listLimit is the number of ends in a full listing.
	listLimit int
	// read is true after a listing that was not full. Further runs are started by this
	// sidecar, which keeps them until their ends are listed, so it stays true for this
	// incarnation of the worker.
	read bool
	// reading is true after a full listing, until read is.
	reading bool
	// lapsed is true if the worker's lease has lapsed before read was true. The ends that
	// were not listed yet are older.
	lapsed bool
	// full is true if the last listing was full.
	full bool
}

// SetListingLimit sets the number of ends in a full listing, for tests.
func (x *Executor) SetListingLimit(n int) { x.backlog.listLimit = n }

// ReadingEnds reports that the worker has more ends than it could list, or that all of
// them have been read. It asks for no action.
type ReadingEnds struct {
	// Unread is true if the worker may have further ends.
	Unread bool
}

func (ReadingEnds) command() {}

// recordListedEnds records whether a listing under this sidecar's token has all of the
// worker's ends.
func (x *Executor) recordListedEnds(full bool) {
	b := &x.backlog
	b.full = full
	switch {
	case b.read || full && b.reading:
		return
	case full:
		b.reading = true
		x.commands = append(x.commands, ReadingEnds{Unread: true})
		return
	case b.reading:
		x.commands = append(x.commands, ReadingEnds{})
	}
	b.read, b.reading = true, false
	x.loadVersion++
	for _, e := range x.entries {
		e.inventoryDue = e.inventoryDue || e.partialInventory
		e.partialInventory = false
	}
}

// resetBacklog handles a new incarnation of the worker, which has ends of its own.
func (x *Executor) resetBacklog() {
	x.backlog = backlog{listLimit: x.backlog.listLimit}
}

// pauseReading handles an unreachable worker. The entries stop granting for runs that
// are not listed yet until the next partial inventory.
func (x *Executor) pauseReading() {
	if !x.backlog.reading {
		return
	}
	for _, e := range x.entries {
		e.inventoryDue = true
	}
}

// isReading reports whether the worker answers and has ends that it has not listed.
func (x *Executor) isReading() bool { return x.runsListed && x.backlog.reading }

// backlogLease returns the time until which the worker's lease may be renewed on behalf
// of the ends that are not listed yet, 0 if no entry grants. They count only if they are
// acknowledged before the lease lapses. Their entries are unknown; one that no longer
// grants voids its ends when it returns.
func (x *Executor) backlogLease() clock.Millis {
	var until clock.Millis
	for _, e := range x.entries {
		if e.storedGrantedFrom != 0 && !e.deposed {
			until = max(until, e.storedGrantedFrom+GrantDuration)
		}
	}
	return until
}
