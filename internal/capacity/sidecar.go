package capacity

import (
	"bytes"
	"fmt"
	"runtime"

	"google.golang.org/protobuf/proto"

	"github.com/teaseltide/teaseltide/internal/gate"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/settings"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	roleSidecar = "sidecar"
	ownerEpoch  = 2
	// startsPerSecond of one sidecar at the design scale: 37,000 over 780.
	startsPerSecond = 47
	// heldTasks are the tasks that a sidecar holds at the design scale, for the
	// retention and the clock skew of 605 s.
	heldTasks = startsPerSecond * 605
)

// sidecarBed is the core of a sidecar that serves one service.
type sidecarBed struct {
	core *gate.Gate
	now  clock.Millis
	out  traffic
	sent int
	// result of each task; every task has a copy of its own.
	result []byte
}

func newSidecarBed() *sidecarBed {
	limits := settings.DefaultSidecar().Limits
	b := &sidecarBed{now: startTime, out: traffic{}, result: []byte(`{"price":120}`)}
	b.core = gate.New(gate.Config{
		Incarnation: sidecarName(0), Domain: domainName(0), Worker: "worker-000", Rack: "rack-000", Address: "10.0.0.1:7300",
		MaxResultBytes: int64(limits.MaxResultBytes), MaxQueued: limits.MaxQueued, ClockSkew: clockSkew,
	})
	record := ownership.Record{Revision: 1}
	fence := &wire.Fence{}
	for p := range record.Partitions {
		record.Partitions[p] = ownership.Assignment{Owner: self, Epoch: ownerEpoch}
		fence.Partitions = append(fence.Partitions, &wire.PartitionEpoch{Partition: uint32(p), Epoch: ownerEpoch})
	}
	b.handle(gate.Registered{})
	b.handle(gate.RecordRead{Record: record})
	b.handle(gate.EntryConnected{Entry: self, Hello: &wire.Hello{}})
	b.handle(gate.BackendState{State: sidecarState(0)})
	b.message(self, fence)
	return b
}

// handle applies an event and runs the core, as the process does when no
// further event waits.
func (b *sidecarBed) handle(e gate.Event) {
	b.core.Handle(b.now, e)
	for _, cmd := range b.core.Tick(b.now) {
		if s, ok := cmd.(gate.Send); ok {
			b.sent++
			b.out.add(s.Envelope)
		}
	}
}

func (b *sidecarBed) message(from ownership.Incarnation, body wire.Body) {
	b.handle(gate.EntryMessage{Entry: from, Envelope: wire.Wrap(body)})
}

func newDispatch(n, tasks int, now clock.Millis) *wire.Dispatch {
	ref := jobRef(n, tasks)
	ref.ExpiresAtMs = int64(now + retention)
	d := &wire.Dispatch{
		Partition: uint32(ownership.PartitionOf(service)), Epoch: ownerEpoch, Job: ref, DeadlineAtMs: int64(now + clock.Minute),
	}
	for i := range tasks {
		d.Tasks = append(d.Tasks, &wire.DispatchTask{
			Index: uint32(i), Payload: []byte(`{"run-ms":100,"part":"fuse-40a"}`), ExpectedMs: 100, Attempt: uint64(ownerEpoch<<20 + 1),
		})
	}
	return d
}

// run dispatches a job to the sidecar and finishes its tasks.
func (b *sidecarBed) run(d *wire.Dispatch) {
	b.message(self, d)
	for _, t := range d.GetTasks() {
		id := gate.TaskID{Service: service, Team: team, Key: d.GetJob().GetKey(), Index: t.GetIndex()}
		b.handle(gate.TaskFinished{Task: id, Outcome: wire.Outcome_OUTCOME_DONE, Result: bytes.Clone(b.result), RunTime: taskRun})
	}
}

// sidecarLoad measures the control thread for dispatches of several tasks.
func sidecarLoad(r *Report) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	const starts = 16_000
	var control, codec []Point
	for _, tasks := range []int{1, 2, 8} {
		b := newSidecarBed()
		jobs := starts / tasks
		all := make([]*wire.Dispatch, jobs)
		for n := range all {
			all[n] = newDispatch(n, tasks, b.now)
		}
		start := threadTime()
		for _, d := range all {
			b.run(d)
		}
		control = append(control, Point{float64(tasks), micros(threadTime()-start) / float64(jobs)})
		start = threadTime()
		for n := range all {
			if err := recode(wire.Wrap(all[n])); err != nil {
				return err
			}
		}
		codec = append(codec, Point{float64(tasks), micros(threadTime()-start) / float64(jobs)})
	}
	r.add(roleSidecar, "control thread per dispatch and its results", "us", "task", control...)
	r.add(roleSidecar, "encode and decode of a dispatch", "us", "task", codec...)
	return nil
}

func recode(e *wire.Envelope) error {
	data, err := proto.Marshal(e)
	if err != nil {
		return err
	}
	return proto.Unmarshal(data, &wire.Envelope{})
}

// sidecarHeld measures what the memory of a sidecar costs: its bytes, the sweep
// every second, the reply to fences and the end of a session.
func sidecarHeld(r *Report) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var memory, sweep, fence, lost, frame []Point
	for _, held := range []int{1000, 10_000, heldTasks} {
		x := float64(held)
		before := heap()
		b := newSidecarBed()
		for n := range held {
			b.run(newDispatch(n, 1, b.now))
		}
		memory = append(memory, Point{x, heap() - before})
		sweep = append(sweep, Point{x, b.sweep()})
		cpu, bytes := b.takeOver()
		fence = append(fence, Point{x, cpu})
		frame = append(frame, Point{x, bytes})
		start := threadTime()
		b.handle(gate.EntryDisconnected{Entry: other})
		lost = append(lost, Point{x, micros(threadTime()-start) / 1000})
	}
	r.add(roleSidecar, "memory of jobs with one task each", "B", "job and task", memory...)
	r.add(roleSidecar, "sweep (1/s)", "ms", "job held", sweep...)
	r.add(roleSidecar, "fence of 64 partitions by a new owner", "ms", "job held", fence...)
	r.add(roleSidecar, "fence reply, bytes", "B", "job held", frame...)
	r.add(roleSidecar, "end of the owner's session", "ms", "job held", lost...)
	sidecarMemory(r)
	return nil
}

// sidecarMemory measures the memory of tasks, claims and entries.
func sidecarMemory(r *Report) {
	var tasks, claims []Point
	for _, held := range []int{1000, 10_000, 30_000} {
		before := heap()
		b := newSidecarBed()
		for n := range held / slots {
			b.run(newDispatch(n, slots, b.now))
		}
		tasks = append(tasks, Point{float64(held), heap() - before})
		runtime.KeepAlive(b)
		before = heap()
		b = newSidecarBed()
		for n := range held {
			c := &wire.Claim{Partition: uint32(ownership.PartitionOf(service)), Epoch: ownerEpoch, Jobs: []*wire.JobRef{jobRef(n, 20)}}
			b.message(self, c)
		}
		claims = append(claims, Point{float64(held), heap() - before})
		runtime.KeepAlive(b)
	}
	r.add(roleSidecar, "memory of tasks, 8 in each job", "B", "task", tasks...)
	r.add(roleSidecar, "memory of claims", "B", "claim", claims...)

	var sessions []Point
	for _, entries := range entrySizes {
		before := heap()
		b := newSidecarBed()
		for e := range entries {
			id := ownership.Incarnation(fmt.Sprintf("entry-%d-abcdefghij", e))
			b.handle(gate.EntryConnected{Entry: id, Hello: &wire.Hello{}})
			b.message(id, ownedAndSeen(ownership.Partitions))
		}
		sessions = append(sessions, Point{float64(entries), heap() - before})
		runtime.KeepAlive(b)
	}
	r.add(roleSidecar, "memory of the core, nothing held", "B", "entry", sessions...)
}

// sweep returns the CPU time of one search for expired jobs, in ms.
func (b *sidecarBed) sweep() float64 {
	const sweeps = 10
	start := threadTime()
	for range sweeps {
		b.now += clock.Second
		b.core.Tick(b.now)
	}
	return micros(threadTime()-start) / 1000 / sweeps
}

// takeOver fences all partitions by another entry and returns the CPU time in
// ms and the bytes of the replies.
func (b *sidecarBed) takeOver() (cpu, bytes float64) {
	b.handle(gate.EntryConnected{Entry: other, Hello: &wire.Hello{}})
	fence := &wire.Fence{}
	for p := range uint32(ownership.Partitions) {
		fence.Partitions = append(fence.Partitions, &wire.PartitionEpoch{Partition: p, Epoch: ownerEpoch + 1})
	}
	b.out = traffic{}
	start := threadTime()
	b.message(other, fence)
	cpu = micros(threadTime()-start) / 1000
	return cpu, float64(b.out.bytes())
}
