package capacity

import (
	"fmt"
	"runtime"

	"github.com/teaseltide/teaseltide/internal/dispatch"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
)

// entryTakeover measures takeovers by the successor without the store. The
// second fence, after the record is written, is a record change that raises
// the epochs of this entry.
func entryTakeover(r *Report) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	if err := takeoverSizes(r); err != nil {
		return err
	}
	return takeoverKnown(r)
}

func takeoverSizes(r *Report) error {
	run := func(workers, partitions int) (cpu, frames, bytes float64, err error) {
		b := takeoverBed(workers, partitions)
		err = b.takeOver(partitions)
		return micros(b.control) / 1000, float64(b.out.frames() + b.in.frames()), float64(b.out.bytes() + b.in.bytes()), err
	}
	var cpu, frames, bytes []Point
	for _, workers := range workerSizes {
		c, f, n, err := run(workers, ownership.Partitions)
		if err != nil {
			return err
		}
		x := float64(workers)
		cpu = append(cpu, Point{x, c})
		frames = append(frames, Point{x, f})
		bytes = append(bytes, Point{x, n})
	}
	r.add(roleEntry, "takeover of 64 partitions", "ms", "worker", cpu...)
	r.add(roleEntry, "takeover of 64 partitions, frames", "frames", "worker", frames...)
	r.add(roleEntry, "takeover of 64 partitions, bytes", "B", "worker", bytes...)
	cpu = nil
	for _, partitions := range partitionSizes {
		c, _, _, err := run(workerSizes[2], partitions)
		if err != nil {
			return err
		}
		cpu = append(cpu, Point{float64(partitions), c})
	}
	r.add(roleEntry, "takeover at 780 workers", "ms", "partition", cpu...)
	return nil
}

// takeoverKnown measures a takeover of one partition whose sidecars remember
// jobs of 20 tasks, each task at another sidecar.
func takeoverKnown(r *Report) error {
	const tasks = 20
	p := uint32(ownership.PartitionOf(service))
	for _, workers := range []int{100, 780} {
		var cpu, decode, bytes []Point
		for _, jobs := range jobSizes {
			b := takeoverBed(workers, ownership.Partitions)
			known := knownJobs(jobs, tasks, workers)
			b.known = func(s ownership.Incarnation, of uint32) []*wire.KnownJob {
				if of != p {
					return nil
				}
				return known[s]
			}
			if err := b.takeOver(ownership.Partitions); err != nil {
				return err
			}
			cpu = append(cpu, Point{float64(jobs), micros(b.control) / 1000})
			decode = append(decode, Point{float64(jobs), micros(b.decoding) / 1000})
			bytes = append(bytes, Point{float64(jobs), float64(b.in.bytes())})
		}
		at := fmt.Sprintf("takeover at %d workers, jobs of 20 tasks known", workers)
		r.add(roleEntry, at, "ms", "known job", cpu...)
		r.add(roleEntry, at+", decoding of replies", "ms", "known job", decode...)
		r.add(roleEntry, at+", bytes in", "B", "known job", bytes...)
	}
	return nil
}

// knownJobs spreads the tasks of jobs over the sidecars.
func knownJobs(jobs, tasks, workers int) map[ownership.Incarnation][]*wire.KnownJob {
	known := make(map[ownership.Incarnation][]*wire.KnownJob)
	for n := range jobs {
		ref := jobRef(n, tasks)
		for i := range tasks {
			s := sidecarName((n*tasks + i) % workers)
			known[s] = append(known[s], &wire.KnownJob{
				Job: ref, Tasks: []*wire.KnownTask{{Index: uint32(i), Outcome: wire.Outcome_OUTCOME_DONE}},
			})
		}
	}
	return known
}

// entrySidecarLoss measures what the loss and the return of a sidecar cost while
// jobs of 20 tasks are held for resubmissions.
func entrySidecarLoss(r *Report) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	const tasks = 20
	const lost = 10
	var loss, back []Point
	for _, jobs := range jobSizes {
		x := float64(jobs)
		b := newEntryBed(100)
		if err := b.load(jobs*tasks, tasks, 0); err != nil {
			return err
		}
		b.reset()
		for i := range lost {
			b.push(dispatch.SidecarDisconnected{Sidecar: sidecarName(i)})
		}
		b.step()
		// The core gives up a sidecar 3 s after the end of its session.
		b.now += fenceGrace
		b.step()
		loss = append(loss, Point{x, micros(b.control) / lost})
		b.reset()
		for i := range lost {
			b.push(dispatch.SidecarConnected{Sidecar: sidecarName(i), Hello: sidecarHello(i)})
		}
		b.now++
		b.step()
		b.now++
		b.step()
		back = append(back, Point{x, micros(b.control) / lost})
	}
	r.add(roleEntry, "sidecar lost and given up, 100 workers", "us", "held job of 20 tasks", loss...)
	r.add(roleEntry, "sidecar connected and fenced, 100 workers", "us", "held job of 20 tasks", back...)
	return nil
}
