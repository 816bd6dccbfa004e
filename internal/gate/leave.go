package gate

import (
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// leaveTimeout is how long a leaving sidecar waits for the entries and the
// store after its last task has ended. Without their answers it exits and stays
// registered, so that a takeover treats it as a sidecar that died with its
// claims.
const leaveTimeout = 10 * clock.Second

// leave is the state of a graceful shutdown.
type leave struct {
	active bool
	// acks holds the epoch at which the owner of each partition acknowledged
	// the departure.
	acks map[ownership.Partition]ownership.Epoch
	// idleAt is the time since which no task is queued or running, 0 before.
	idleAt         clock.Millis
	deregisterSent bool
	deregistered   bool
	exited         bool
}

// startLeaving stops accepting work. The next tick reports the queued tasks as
// not started, so that their owner can place them elsewhere at once.
func (g *Gate) startLeaving() {
	g.stateChanged = true
	g.leave.active = true
}

// leaveAck records the partitions for which the owner needs nothing more from
// this sidecar.
func (g *Gate) leaveAck(from ownership.Incarnation, m *wire.LeaveAck) {
	for _, pe := range m.GetPartitions() {
		id := ownership.Partition(pe.GetPartition())
		if g.leave.active && id < ownership.Partitions && g.partitions[id].owner == from {
			g.leave.acks[id] = ownership.Epoch(pe.GetEpoch())
		}
	}
}

// advanceLeave deregisters and exits once no task is queued or running.
func (g *Gate) advanceLeave(now clock.Millis) {
	if !g.leave.active || g.running > 0 || len(g.queue) > 0 {
		return
	}
	if g.leave.idleAt == 0 {
		g.leave.idleAt = now
	}
	if !g.leave.deregisterSent && g.canDeregister() {
		g.leave.deregisterSent = true
		g.commands = append(g.commands, Deregister{})
	}
	if g.leave.deregistered || now >= g.leave.idleAt+leaveTimeout {
		g.leave.exited = true
		g.replies = append(g.replies, Exit{})
	}
}

// canDeregister reports whether every result has been sent and, for each
// partition with known jobs, the owner at the current epoch has acknowledged
// the departure. Without the acknowledgement only this sidecar knows which of
// their tasks were started.
func (g *Gate) canDeregister() bool {
	for j := range g.jobs.All() {
		p := &g.partitions[j.partition]
		if j.hasUndelivered() || p.epoch == 0 || g.leave.acks[j.partition] != p.epoch {
			return false
		}
	}
	return true
}
