package gate

import (
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// recordRetryMin is the first delay before the ownership record is read
	// again while a partition is not ready. It doubles up to recordRetryMax.
	recordRetryMin = clock.Second
	recordRetryMax = 5 * clock.Second
)

// partition is the ownership of a partition as known to the sidecar.
type partition struct {
	epoch ownership.Epoch
	// owner is the only entry that may use the epoch. It receives the results.
	owner ownership.Incarnation
	// ownerActive is true if the owner has used the epoch on its current
	// session.
	ownerActive bool
	successor   ownership.Incarnation
	// ready is true if work for the partition is accepted.
	ready bool
}

// startup tracks the three steps before a task may start: registration, read of
// the ownership record, readiness of the partition.
type startup struct {
	registered      bool
	recordRead      bool
	recordRevision  int64
	readyPartitions int
	nextReadAt      clock.Millis
	retryDelay      clock.Millis
}

// needsRecord reports whether the ownership record is still to be read.
func (s *startup) needsRecord() bool {
	return s.registered && s.readyPartitions < ownership.Partitions
}

func (g *Gate) registered(now clock.Millis) {
	if g.startup.registered {
		return
	}
	g.startup.registered = true
	g.startup.nextReadAt = now
	g.startup.retryDelay = recordRetryMin
}

// requestRecord reads the ownership record when it is due.
func (g *Gate) requestRecord(now clock.Millis) {
	if !g.startup.needsRecord() || g.leave.active || now < g.startup.nextReadAt {
		return
	}
	g.commands = append(g.commands, ReadRecord{})
	g.startup.nextReadAt = now + g.startup.retryDelay
	g.startup.retryDelay = min(2*g.startup.retryDelay, recordRetryMax)
}

// recordRead applies the record to the partitions that are not ready. Only a
// Fence may raise the epoch of a ready partition: its acknowledgement must name
// the epoch at which tasks were started here.
func (g *Gate) recordRead(r *ownership.Record) {
	if !g.startup.registered || g.startup.recordRead && r.Revision < g.startup.recordRevision {
		return
	}
	g.startup.recordRead = true
	g.stateChanged = true
	g.startup.recordRevision = r.Revision
	for i := range g.partitions {
		p := &g.partitions[i]
		if p.ready {
			continue
		}
		a := r.Partitions[i]
		p.successor = a.Successor
		if a.Epoch > p.epoch {
			g.setEpoch(p, a.Epoch, a.Owner)
		}
	}
	g.updateReady()
}

func (g *Gate) setEpoch(p *partition, e ownership.Epoch, owner ownership.Incarnation) {
	p.epoch = e
	p.owner = owner
	p.ownerActive = false
	g.epochChanges++
}

// updateReady marks the partitions as ready whose successor knows this sidecar.
func (g *Gate) updateReady() {
	if !g.startup.recordRead {
		return
	}
	for i := range g.partitions {
		p := &g.partitions[i]
		if !p.ready && g.successorKnows(ownership.Partition(i), p) {
			p.ready = true
			g.startup.readyPartitions++
		}
	}
}

// successorKnows reports whether the successor of p knows this sidecar, so that
// it would fence it before it serves p, and has seen no epoch above the one
// known here. The successor may have taken over and stepped down again; the
// owner in the record that was read here is then superseded.
func (g *Gate) successorKnows(id ownership.Partition, p *partition) bool {
	if p.successor == "" {
		return true
	}
	e := g.entries.Get(p.successor)
	if e == nil || e.recordRevision == 0 || e.recordRevision < g.startup.recordRevision {
		return false
	}
	return e.seenEpochs[id] <= p.epoch
}

// checkEpoch returns why a message about a partition is rejected for its sender
// or epoch, or accepted. It marks the owner as active.
func (g *Gate) checkEpoch(from ownership.Incarnation, id uint32, epoch uint64) wire.Rejected_Reason {
	if id >= ownership.Partitions {
		return wire.Rejected_REASON_MALFORMED
	}
	p := &g.partitions[id]
	if ownership.Epoch(epoch) != p.epoch || from != p.owner {
		return wire.Rejected_REASON_STALE_EPOCH
	}
	if !p.ready {
		return wire.Rejected_REASON_NOT_READY
	}
	p.ownerActive = true
	return accepted
}

// accepted is the reason of a message that is not rejected.
const accepted = wire.Rejected_REASON_UNSPECIFIED

func (g *Gate) reject(to ownership.Incarnation, r *wire.Rejected) {
	if r.Partition < ownership.Partitions {
		r.CurrentEpoch = uint64(g.partitions[r.Partition].epoch)
	}
	g.reply(to, &wire.Envelope{Body: &wire.Envelope_Rejected{Rejected: r}})
}

// pendingFence is an accepted Fence of a partition that is not yet acknowledged.
type pendingFence struct {
	entry     ownership.Incarnation
	partition ownership.Partition
	epoch     ownership.Epoch
	previous  ownership.Epoch
	// isTakeover is true if another entry owned the partition before.
	isTakeover bool
}

func (g *Gate) fence(from ownership.Incarnation, f *wire.Fence) {
	for _, pe := range f.GetPartitions() {
		g.fencePartition(from, pe)
	}
	g.updateReady()
}

func (g *Gate) fencePartition(from ownership.Incarnation, pe *wire.PartitionEpoch) {
	if pe.GetPartition() >= ownership.Partitions {
		g.reject(from, &wire.Rejected{Reason: wire.Rejected_REASON_MALFORMED, Partition: pe.GetPartition(), Epoch: pe.GetEpoch()})
		return
	}
	p := &g.partitions[pe.GetPartition()]
	epoch := ownership.Epoch(pe.GetEpoch())
	if epoch < p.epoch || epoch == p.epoch && from != p.owner {
		g.reject(from, &wire.Rejected{Reason: wire.Rejected_REASON_STALE_EPOCH, Partition: pe.GetPartition(), Epoch: pe.GetEpoch()})
		return
	}
	ack := pendingFence{entry: from, partition: ownership.Partition(pe.GetPartition()), epoch: epoch, previous: p.epoch}
	ack.isTakeover = from != p.owner
	if epoch > p.epoch {
		g.setEpoch(p, epoch, from)
	}
	p.ownerActive = true
	g.pendingFences = append(g.pendingFences, ack)
	g.reportUndelivered(ack.partition)
}

// flushFences acknowledges the accepted fences. The acknowledgements describe
// the jobs after the results of this tick were sent, so that no task can end
// unnoticed between the two.
func (g *Gate) flushFences() {
	if len(g.pendingFences) == 0 {
		return
	}
	known := g.knownJobs()
	for _, f := range g.pendingFences {
		g.sendFenceAck(f, known[f.partition])
	}
	g.pendingFences = nil
}

// maxJobsPerFenceAck bounds the jobs in one FenceAck. A session takes frames of
// up to 16 MiB; a job of 820 tasks takes up to 5 KB.
const maxJobsPerFenceAck = 2000

func (g *Gate) sendFenceAck(f pendingFence, jobs []*wire.KnownJob) {
	for {
		chunk := jobs[:min(len(jobs), maxJobsPerFenceAck)]
		jobs = jobs[len(chunk):]
		ack := &wire.FenceAck{
			Partition:     uint32(f.partition),
			Epoch:         uint64(f.epoch),
			PreviousEpoch: uint64(f.previous),
			Jobs:          chunk,
			More:          len(jobs) > 0,
		}
		if !ack.More {
			ack.RunTimes = g.runTimes(f.partition)
		}
		g.send(f.entry, wire.Wrap(ack))
		if !ack.More {
			return
		}
	}
}

// knownJobs returns the known jobs of the partitions with pending fences.
func (g *Gate) knownJobs() map[ownership.Partition][]*wire.KnownJob {
	known := make(map[ownership.Partition][]*wire.KnownJob)
	for _, f := range g.pendingFences {
		known[f.partition] = nil
	}
	for j := range g.jobs.All() {
		if _, ok := known[j.partition]; ok {
			known[j.partition] = append(known[j.partition], j.toKnownJob())
		}
	}
	return known
}
