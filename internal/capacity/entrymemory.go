package capacity

import (
	"runtime"

	"github.com/teaseltide/teaseltide/internal/dispatch"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
)

// entryMemory measures the memory of jobs that are held for resubmissions, of
// waiting tasks, and of workers, partitions and known jobs in the tables.
func entryMemory(r *Report) error {
	if err := heldMemory(r); err != nil {
		return err
	}
	return tableMemory(r)
}

// heldMemory measures jobs that are waiting, and answered ones with and without
// their results. An entry holds 32 MiB of results; older jobs lose theirs.
func heldMemory(r *Report) error {
	const jobs = 800
	var held, dropped, queued []Point
	for _, tasks := range taskSizes {
		x := float64(tasks)
		b := newEntryBed(workerSizes[2])
		before := heap()
		if err := b.load(jobs*tasks, tasks, 0); err != nil {
			return err
		}
		held = append(held, Point{x, (heap() - before) / jobs})
		runtime.KeepAlive(b)

		each, err := droppedMemory(tasks)
		if err != nil {
			return err
		}
		dropped = append(dropped, Point{x, each})

		b = newEntryBed(workerSizes[0])
		before = heap()
		for n := range jobs / 4 {
			b.push(dispatch.Submit{Request: dispatch.RequestID(n + 1), Job: newJob(n, tasks)})
		}
		b.now++
		b.step()
		b.now++
		b.step()
		queued = append(queued, Point{x, (heap() - before) / (jobs / 4)})
		runtime.KeepAlive(b)
	}
	r.add(roleEntry, "memory of a held job with its results", "B", "task", held...)
	r.add(roleEntry, "memory of a held job without its results", "B", "task", dropped...)
	r.add(roleEntry, "memory of a queued or running job", "B", "task", queued...)
	return nil
}

// droppedMemory returns the memory of each further job when the bound of the
// results is reached already. With few further jobs the growth of the tables'
// maps, which comes in steps, would decide the figure.
func droppedMemory(tasks int) (float64, error) {
	const jobs = 800
	const bound = 32 << 20
	const furtherTasks = 400_000
	further := min(20_000, max(jobs, furtherTasks/tasks))
	b := newEntryBed(workerSizes[2])
	b.result = make([]byte, bound/jobs/tasks+1)
	if err := b.load(jobs*tasks, tasks, 0); err != nil {
		return 0, err
	}
	before := heap()
	err := b.load(further*tasks, tasks, jobs)
	each := (heap() - before) / float64(further)
	runtime.KeepAlive(b)
	return each, err
}

// tableMemory measures workers, partitions and known jobs.
func tableMemory(r *Report) error {
	var rows, known []Point
	for _, workers := range workerSizes {
		before := heap()
		b := newEntryBed(workers)
		rows = append(rows, Point{float64(workers), heap() - before})
		runtime.KeepAlive(b)
	}
	r.add(roleEntry, "memory of the core, 64 partitions served", "B", "worker", rows...)
	for _, n := range jobSizes {
		b := takeoverBed(100, ownership.Partitions)
		jobs := knownJobs(n, 20, 100)
		b.known = func(s ownership.Incarnation, of uint32) []*wire.KnownJob {
			if of != uint32(ownership.PartitionOf(service)) {
				return nil
			}
			return jobs[s]
		}
		before := heap()
		if err := b.takeOver(ownership.Partitions); err != nil {
			return err
		}
		known = append(known, Point{float64(n), heap() - before})
		runtime.KeepAlive(b)
		runtime.KeepAlive(jobs)
	}
	r.add(roleEntry, "memory of known jobs of 20 tasks", "B", "known job", known...)
	return nil
}
