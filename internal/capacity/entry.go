package capacity

import (
	"fmt"
	"runtime"

	"github.com/pkg/errors"

	"github.com/teaseltide/teaseltide/internal/dispatch"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const roleEntry = "entry"

// Sizes at which the roles are measured.
var (
	workerSizes    = []int{11, 100, 780}
	taskSizes      = []int{1, 20, 820}
	partitionSizes = []int{1, 16, 64}
	entrySizes     = []int{2, 4, 8}
	jobSizes       = []int{250, 1000, 4000}
)

// minStarts is the number of task starts in one measurement.
const minStarts = 40_000

// repeats is how often a load is measured. The run with the least CPU time of
// the control thread counts, since other processes of the machine only add.
const repeats = 3

// entryLoad keeps half of the slots busy and measures the control thread.
func entryLoad(r *Report) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for _, workers := range workerSizes {
		var control, codec, frames, bytes []Point
		for _, tasks := range taskSizes {
			b, jobs, err := measuredLoad(workers, tasks)
			if err != nil {
				return err
			}
			n := float64(jobs)
			x := float64(tasks)
			control = append(control, Point{x, micros(b.control) / n})
			codec = append(codec, Point{x, micros(b.encoding+b.decoding) / n})
			frames = append(frames, Point{x, float64(b.out.frames()+b.in.frames()) / n})
			bytes = append(bytes, Point{x, float64(b.out.bytes()+b.in.bytes()) / n})
		}
		at := fmt.Sprintf(" at %d workers", workers)
		r.add(roleEntry, "control thread per job"+at, "us", "task", control...)
		r.add(roleEntry, "encode and decode per job"+at, "us", "task", codec...)
		r.add(roleEntry, "frames per job"+at, "frames", "task", frames...)
		r.add(roleEntry, "bytes per job"+at, "B", "task", bytes...)
	}
	return nil
}

// measuredLoad returns the best run and its number of jobs.
func measuredLoad(workers, tasks int) (*entryBed, int, error) {
	var best *entryBed
	jobs := 0
	for range repeats {
		b := newEntryBed(workers)
		if err := b.load(minStarts/4, tasks, 0); err != nil {
			return nil, 0, err
		}
		b.reset()
		first := b.answers
		if err := b.load(minStarts, tasks, first); err != nil {
			return nil, 0, err
		}
		if best == nil || b.control < best.control {
			best = b
			jobs = b.answers - first
		}
	}
	return best, jobs, nil
}

// load submits jobs so that half of the slots are busy, until all are answered.
func (b *entryBed) load(starts, tasks, first int) error {
	workers := len(b.registered)
	perMilli := float64(workers*slots) / 2 / float64(taskRun)
	due := float64(tasks)
	submitted := 0
	n := first
	for submitted < starts {
		for due >= float64(tasks) && submitted < starts {
			due -= float64(tasks)
			n++
			submitted += tasks
			b.push(dispatch.Submit{Request: dispatch.RequestID(n), Job: newJob(n, tasks)})
		}
		b.advance(1)
		due += perMilli
	}
	for i := 0; b.answers < n; i++ {
		if i > int(clock.Minute) {
			return errors.Errorf("capacity: %d of %d jobs answered", b.answers, n)
		}
		b.advance(1)
	}
	if b.refused != "" {
		return errors.Errorf("capacity: a job was refused: %s", b.refused)
	}
	return nil
}

// entryIdle measures what the core costs when nothing happens: its ticks every
// 10 ms and the check of each session every second.
func entryIdle(r *Report) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	const ticks = 2000
	const sweeps = 20
	var idle, sweep []Point
	for _, workers := range workerSizes {
		b := newEntryBed(workers)
		b.reset()
		b.advance(ticks * idleTick)
		idle = append(idle, Point{float64(workers), micros(b.control) / ticks})
		start := threadTime()
		for range sweeps {
			for i := range workers {
				b.core.AwaitsReply(sidecarName(i))
			}
		}
		sweep = append(sweep, Point{float64(workers), micros(threadTime()-start) / sweeps})
	}
	r.add(roleEntry, "idle tick (100/s)", "us", "worker", idle...)
	r.add(roleEntry, "check of sessions (1/s), 64 partitions served", "us", "worker", sweep...)
	return nil
}
