package capacity

import (
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/teaseltide/teaseltide/internal/admission"
	"github.com/teaseltide/teaseltide/internal/dispatch"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/placement"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// entryBed is the core of an entry with sidecars that answer in its next step
// and finish each task after taskRun.
type entryBed struct {
	core    *dispatch.Core
	now     clock.Millis
	events  []dispatch.Event
	pending []finishing
	answers int
	// result is what each task returns.
	result []byte
	// refused is the last answer that was not complete.
	refused string
	// control is the CPU time of Handle and Tick, encoding and decoding that
	// of the frames.
	control, encoding, decoding time.Duration
	out, in                     traffic
	// known is what a sidecar tells of a partition in its reply to a fence.
	known    func(sidecar ownership.Incarnation, p uint32) []*wire.KnownJob
	revision int64
	// registered lists the sidecars in the store.
	registered []dispatch.Registration
	// written is the record that the core asked to write.
	written *ownership.Record
}

type finishing struct {
	at      clock.Millis
	sidecar ownership.Incarnation
	results *wire.Results
}

// bareEntryBed returns a core with a text, a lease and two other entries.
func bareEntryBed() *entryBed {
	b := &entryBed{now: startTime, out: traffic{}, in: traffic{}, result: []byte(`{"price":120}`)}
	b.core = dispatch.New(dispatch.Config{
		Self: self, Domain: "domain-0", Retention: retention, ClockSkew: clockSkew, SuspectAfter: suspectAfter, FenceGrace: fenceGrace,
	}, placement.New(placement.Config{}), admission.New(admission.Config{}))
	b.push(dispatch.TextAdopted{Revision: 1, Text: servicesText()})
	b.push(dispatch.StoreState{Up: true})
	b.push(dispatch.MembersChanged{Members: []ownership.Member{{Incarnation: self, Domain: "domain-0"}, {Incarnation: third, Domain: "domain-1"}}})
	return b
}

// connect lists and connects sidecars.
func (b *entryBed) connect(workers int) {
	for i := range workers {
		b.registered = append(b.registered, dispatch.Registration{Sidecar: sidecarName(i), Domain: domainName(i), Address: "10.0.0.1:7300"})
	}
	b.push(dispatch.RegistrationsListed{RecordRevision: 1, Revision: 1, Registrations: b.registered})
	for i := range workers {
		b.push(dispatch.SidecarConnected{Sidecar: sidecarName(i), Hello: sidecarHello(i)})
	}
}

// newEntryBed returns the core of an entry that serves all partitions.
func newEntryBed(workers int) *entryBed {
	b := bareEntryBed()
	b.connect(workers)
	b.step()
	b.advance(100)
	b.reset()
	return b
}

// takeoverBed returns a core that is the successor of a dead entry for the
// first partitions. The other partitions belong to a live one. The store is
// down, so that the core fences once, without a write of the record.
func takeoverBed(workers, partitions int) *entryBed {
	record := ownership.Record{Revision: 1}
	for p := range record.Partitions {
		record.Partitions[p] = ownership.Assignment{Owner: third, Successor: other, Epoch: 2}
		if p < partitions {
			record.Partitions[p] = ownership.Assignment{Owner: other, Successor: self, Epoch: 2}
		}
	}
	b := bareEntryBed()
	b.revision = 1
	b.push(dispatch.StoreState{Up: false})
	b.push(dispatch.RecordRead{Record: record})
	b.push(dispatch.PeerConnected{Entry: third, Hello: &wire.Hello{Domain: "domain-1"}})
	b.connect(workers)
	b.step()
	b.now++
	b.step()
	b.reset()
	return b
}

// takeOver lets the owner be suspected and runs until the partitions serve.
func (b *entryBed) takeOver(partitions int) error {
	b.now += suspectAfter
	const steps = 300
	for range steps {
		b.now += idleTick
		b.step()
		if b.serving() >= partitions && len(b.events) == 0 {
			return nil
		}
	}
	return errors.Errorf("capacity: %d of %d partitions serve", b.serving(), partitions)
}

func (b *entryBed) serving() int {
	n := 0
	for _, p := range b.core.Status().Partitions {
		if p.Mode == "serving" {
			n++
		}
	}
	return n
}

func (b *entryBed) push(e dispatch.Event) { b.events = append(b.events, e) }

// step applies the waiting events and runs the core, timed, and then lets the
// sidecars answer.
func (b *entryBed) step() {
	events := b.events
	b.events = nil
	start := threadTime()
	for _, e := range events {
		b.core.Handle(b.now, e)
	}
	commands := b.core.Tick(b.now)
	b.control += threadTime() - start
	for _, cmd := range commands {
		b.execute(cmd)
	}
}

func (b *entryBed) execute(cmd dispatch.Command) {
	switch cmd := cmd.(type) {
	case dispatch.WriteRecord:
		record := cmd.Record
		// The measured entry owns every partition, with another as successor.
		for p := range record.Partitions {
			record.Partitions[p].Owner, record.Partitions[p].Successor = self, third
		}
		b.written = &record
		b.revision++
		record.Revision = b.revision
		b.push(dispatch.RecordRead{Record: record})
	case dispatch.ListRegistrations:
		b.push(dispatch.RegistrationsListed{RecordRevision: cmd.RecordRevision, Revision: b.revision, Registrations: b.registered})
	case dispatch.Reply:
		b.answers++
		if cmd.Answer.GetRan() != wire.Ran_RAN_COMPLETE {
			b.refused = cmd.Answer.GetCode() + ": " + cmd.Answer.GetMessage()
		}
	case dispatch.SendPeer:
		b.sent(cmd.Envelope)
	case dispatch.SendSidecar:
		b.sidecar(cmd.Sidecar, b.sent(cmd.Envelope))
	}
}

// sent encodes and decodes a frame as the sessions do.
func (b *entryBed) sent(e *wire.Envelope) *wire.Envelope {
	b.out.add(e)
	start := threadTime()
	data, err := proto.Marshal(e)
	b.encoding += threadTime() - start
	if err != nil {
		panic(err)
	}
	copied := &wire.Envelope{}
	if err := proto.Unmarshal(data, copied); err != nil {
		panic(err)
	}
	return copied
}

// receive hands a sidecar's frame to the core in the next step.
func (b *entryBed) receive(id ownership.Incarnation, body wire.Body) {
	e := wire.Wrap(body)
	b.in.add(e)
	data, err := proto.Marshal(e)
	if err != nil {
		panic(err)
	}
	copied := &wire.Envelope{}
	start := threadTime()
	err = proto.Unmarshal(data, copied)
	b.decoding += threadTime() - start
	if err != nil {
		panic(err)
	}
	b.push(dispatch.SidecarMessage{Sidecar: id, Envelope: copied})
}

func (b *entryBed) sidecar(id ownership.Incarnation, e *wire.Envelope) {
	switch m := e.GetBody().(type) {
	case *wire.Envelope_Fence:
		for _, pe := range m.Fence.GetPartitions() {
			ack := &wire.FenceAck{Partition: pe.GetPartition(), Epoch: pe.GetEpoch(), PreviousEpoch: 2}
			if b.known != nil {
				ack.Jobs = b.known(id, pe.GetPartition())
			}
			b.receive(id, ack)
		}
	case *wire.Envelope_Claim:
		b.receive(id, &wire.ClaimAck{Partition: m.Claim.GetPartition(), Epoch: m.Claim.GetEpoch(), Jobs: m.Claim.GetJobs()})
	case *wire.Envelope_Dispatch:
		d := m.Dispatch
		r := &wire.Results{Partition: d.GetPartition(), Service: d.GetJob().GetService(), Team: d.GetJob().GetTeam(), Key: d.GetJob().GetKey()}
		for _, t := range d.GetTasks() {
			r.Tasks = append(r.Tasks, &wire.TaskResult{
				Index: t.GetIndex(), Outcome: wire.Outcome_OUTCOME_DONE, Result: b.result, RunMs: int64(taskRun), Attempt: t.GetAttempt(),
			})
		}
		b.pending = append(b.pending, finishing{at: b.now + taskRun, sidecar: id, results: r})
	}
}

// advance moves the clock, in steps of a millisecond. As in the process, the
// core runs when there are events and at least every 10 ms.
func (b *entryBed) advance(d clock.Millis) {
	for range d {
		b.now++
		for len(b.pending) > 0 && b.pending[0].at <= b.now {
			f := b.pending[0]
			b.pending = b.pending[1:]
			b.receive(f.sidecar, f.results)
		}
		if len(b.events) > 0 || b.now%idleTick == 0 {
			b.step()
		}
	}
}

// reset clears the counts, after a warm-up.
func (b *entryBed) reset() {
	b.control, b.encoding, b.decoding = 0, 0, 0
	b.out, b.in = traffic{}, traffic{}
}
