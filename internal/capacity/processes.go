package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/teaseltide/teaseltide/internal/fleet"
	"github.com/teaseltide/teaseltide/internal/standin/backend"
	"github.com/teaseltide/teaseltide/pkg/caller"
)

const (
	// processLimit bounds the measurements on processes.
	processLimit = 90 * time.Second
	// settleTime is the wait between the start of an installation, or a change
	// of its load, and a reading.
	settleTime = time.Second
	// idleTime and loadTime are the lengths of the windows. CPU times in
	// /metrics are multiples of 10 ms.
	idleTime = 6 * time.Second
	loadTime = 5 * time.Second
	// processTasks is the number of tasks in a job.
	processTasks = 20
	mebibyte     = 1 << 20
)

// Sizes and rates of the installations of processes.
var (
	processWorkers = []int{4, 11, 22}
	processStarts  = []float64{100, 260, 520}
)

// MeasureProcesses starts small installations as separate processes on loopback
// and reads CPU time, resident memory and frames from their /metrics. Programs
// are taken from the directory bin. Progress goes to log.
func MeasureProcesses(ctx context.Context, bin string, log io.Writer) (*Report, error) {
	ctx, cancel := context.WithTimeout(ctx, processLimit)
	defer cancel()
	const connections = 256
	fleet.SetMaxIdleConnsPerHost(connections)
	r := &Report{}
	return r, r.runSteps(log, []step{
		{"processes: idle", func(r *Report) error { return processIdle(ctx, bin, r) }},
		{"processes: starts", func(r *Report) error { return processLoad(ctx, bin, r) }},
		{"processes: held tasks, text changes", func(r *Report) error { return heldAndTexts(ctx, bin, r) }},
	})
}

// processShape returns an installation with 3 entries in 3 failure domains, and
// workers of the same speed.
func processShape(workers int) fleet.Shape {
	s := fleet.Kavango()
	s.Workers = workers
	s.Speed = func(int) float64 { return 1 }
	return s
}

// reading holds the sums over the processes of a role, CPU time in ms and memory
// in bytes.
type reading struct {
	at                    time.Time
	processes             int
	cpu, memory           float64
	starts, frames, bytes float64
	texts                 float64
}

// since returns the difference of two readings for a second, and the memory of the
// later one.
func (a reading) since(b reading) use {
	seconds := a.at.Sub(b.at).Seconds()
	return use{
		processes: a.processes, memory: a.memory / float64(a.processes) / mebibyte,
		cpu: (a.cpu - b.cpu) / seconds, starts: (a.starts - b.starts) / seconds,
		frames: (a.frames - b.frames) / seconds, bytes: (a.bytes - b.bytes) / seconds,
	}
}

// use is what the processes of a role use in a second, all together: CPU time in
// ms, starts of sidecars, frames and bytes without heartbeats. memory is the mean resident
// memory of a process in MiB.
type use struct {
	processes                  int
	memory                     float64
	cpu, starts, frames, bytes float64
}

// each returns the mean of a sum over the processes.
func (u *use) each(sum float64) float64 {
	return sum / float64(u.processes)
}

// readRole reads the metrics of processes by the URLs of their operators.
func readRole(ctx context.Context, f *fleet.Fleet, count int, url func(int) string) (reading, error) {
	sum := reading{at: time.Now(), processes: count}
	for i := range count {
		series, err := f.Metrics(ctx, url(i))
		if err != nil {
			return sum, err
		}
		sum.add(series)
	}
	return sum, nil
}

// add adds the series of one process.
func (a *reading) add(series map[string]float64) {
	for name, value := range series {
		family, _, _ := strings.Cut(name, "{")
		switch family {
		case "process_cpu_seconds_total":
			a.cpu += value * 1000
		case "process_resident_memory_bytes":
			a.memory += value
		case "teaseltide_sidecar_task_starts_total":
			a.starts += value
		case "teaseltide_peer_bytes_total":
			a.bytes += value
		case "teaseltide_peer_frames_total":
			a.addFrames(name, value)
		}
	}
}

func (a *reading) addFrames(name string, value float64) {
	switch {
	case strings.Contains(name, `kind="ping"`), strings.Contains(name, `kind="pong"`):
	case strings.Contains(name, `kind="text"`) && strings.Contains(name, `direction="in"`):
		a.texts += value
		a.frames += value
	default:
		a.frames += value
	}
}

func readEntries(ctx context.Context, f *fleet.Fleet) (reading, error) {
	return readRole(ctx, f, len(f.Entries), f.OperatorURL)
}

func readSidecars(ctx context.Context, f *fleet.Fleet) (reading, error) {
	return readRole(ctx, f, len(f.Sidecars), f.SidecarURL)
}

// window returns what entries and sidecars used in a length of time, in which
// work runs beside it.
func window(ctx context.Context, f *fleet.Fleet, length time.Duration) (entries, sidecars use, err error) {
	// The first scrape of a process opens a connection and sets up its metrics,
	// which would count as its CPU time. The second is the first reading.
	var e, s reading
	for range 2 {
		if e, err = readEntries(ctx, f); err != nil {
			return entries, sidecars, err
		}
		if s, err = readSidecars(ctx, f); err != nil {
			return entries, sidecars, err
		}
	}
	if err = pause(ctx, length); err != nil {
		return entries, sidecars, err
	}
	e2, err := readEntries(ctx, f)
	if err != nil {
		return entries, sidecars, err
	}
	s2, err := readSidecars(ctx, f)
	return e2.since(e), s2.since(s), err
}

func pause(ctx context.Context, length time.Duration) error {
	select {
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	case <-time.After(length):
		return nil
	}
}

// processIdle measures installations of several sizes without jobs, all at
// once.
func processIdle(ctx context.Context, bin string, r *Report) error {
	type result struct {
		entries, sidecars use
		err               error
	}
	results := make([]result, len(processWorkers))
	var running sync.WaitGroup
	for i, workers := range processWorkers {
		running.Go(func() {
			f, err := fleet.Start(ctx, bin, processShape(workers))
			if err != nil {
				results[i].err = err
				return
			}
			defer f.Close()
			if results[i].err = pause(ctx, settleTime); results[i].err != nil {
				return
			}
			results[i].entries, results[i].sidecars, results[i].err = window(ctx, f, idleTime)
		})
	}
	running.Wait()
	var entryCPU, entryMemory, sidecarCPU, sidecarMemory []Point
	for i, got := range results {
		if got.err != nil {
			return got.err
		}
		x := float64(processWorkers[i])
		entryCPU = append(entryCPU, Point{x, got.entries.each(got.entries.cpu)})
		entryMemory = append(entryMemory, Point{x, got.entries.memory})
		sidecarCPU = append(sidecarCPU, Point{x, got.sidecars.each(got.sidecars.cpu)})
		sidecarMemory = append(sidecarMemory, Point{x, got.sidecars.memory})
	}
	r.add(roleEntry, "idle process, CPU", "ms/s", "worker", entryCPU...)
	r.add(roleEntry, "fresh process, resident memory", "MiB", "worker", entryMemory...)
	r.add(roleSidecar, "idle process, CPU", "ms/s", "worker", sidecarCPU...)
	r.add(roleSidecar, "fresh process, resident memory", "MiB", "worker", sidecarMemory...)
	return nil
}

// processLoad measures CPU time and frames of an installation at several rates
// of starts, in jobs of 20 tasks of 100 ms with keys.
func processLoad(ctx context.Context, bin string, r *Report) error {
	const workers = 11
	f, err := fleet.Start(ctx, bin, processShape(workers))
	if err != nil {
		return err
	}
	defer f.Close()
	var entryCPU, sidecarCPU, frames, bytes []Point
	for i, rate := range processStarts {
		l := startLoad(ctx, f, fmt.Sprintf("rate-%d", i), rate/processTasks)
		err = pause(ctx, settleTime)
		var entries, sidecars use
		if err == nil {
			entries, sidecars, err = window(ctx, f, loadTime)
		}
		if failed := l.stop(); failed != nil && err == nil {
			err = failed
		}
		if err != nil {
			return err
		}
		// Entries update their own counter of starts once a second only.
		starts := sidecars.starts
		entryCPU = append(entryCPU, Point{starts, entries.cpu})
		sidecarCPU = append(sidecarCPU, Point{sidecars.each(sidecars.starts), sidecars.each(sidecars.cpu)})
		frames = append(frames, Point{starts, entries.frames / starts})
		bytes = append(bytes, Point{starts, entries.bytes / starts})
	}
	r.add(roleEntry, "3 processes under load, CPU", "ms/s", "start/s", entryCPU...)
	r.add(roleEntry, "3 processes under load, frames of each start, both ends between entries", "frames", "start/s", frames...)
	r.add(roleEntry, "3 processes under load, bytes of each start, both ends between entries", "B", "start/s", bytes...)
	r.add(roleSidecar, "process under load, CPU", "ms/s", "start/s", sidecarCPU...)
	return nil
}

// load submits jobs at a constant rate through all entries.
type load struct {
	cancel context.CancelFunc
	jobs   sync.WaitGroup

	mu  sync.Mutex
	err error
}

// startLoad begins to submit jobs of 20 tasks of 100 ms.
func startLoad(ctx context.Context, f *fleet.Fleet, name string, perSecond float64) *load {
	l := &load{}
	submitting, cancel := context.WithCancel(ctx)
	l.cancel = cancel
	clients := make([]*caller.Client, f.Shape.Entries)
	for i := range clients {
		clients[i] = f.Caller(i)
	}
	l.jobs.Go(func() {
		begin := time.Now()
		for n := 0; ; n++ {
			due := begin.Add(time.Duration(float64(n) / perSecond * float64(time.Second)))
			if pause(submitting, time.Until(due)) != nil {
				return
			}
			job := processJob(f, fmt.Sprintf("%s-%d", name, n), processTasks, backend.Input{RunMillis: taskRun})
			l.jobs.Go(func() { l.submit(ctx, clients[n%len(clients)], job) })
		}
	})
	return l
}

func (l *load) submit(ctx context.Context, c *caller.Client, job *caller.Job) {
	err := submitJob(ctx, c, job)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err == nil {
		l.err = err
	}
}

// stop ends the submissions, waits for the answers and returns the first
// failure.
func (l *load) stop() error {
	l.cancel()
	l.jobs.Wait()
	return l.err
}

func processJob(f *fleet.Fleet, key string, tasks int, in backend.Input) *caller.Job {
	payload, err := json.Marshal(in)
	if err != nil {
		panic(err)
	}
	job := &caller.Job{Team: f.Shape.Team, Service: f.Shape.Service, Key: key}
	for range tasks {
		job.Tasks = append(job.Tasks, caller.Task{Payload: payload, Declared: in.RunMillis})
	}
	return job
}

func submitJob(ctx context.Context, c *caller.Client, job *caller.Job) error {
	a, err := c.Submit(ctx, job)
	if err != nil {
		return err
	}
	if a.Ran != caller.Complete {
		return errors.Errorf("capacity: a job ended as %s: %s", a.Ran, a.Message)
	}
	return nil
}

// heldAndTexts measures held tasks and changes of the text at the same time:
// the copies of a text do not depend on the load of the machine.
func heldAndTexts(ctx context.Context, bin string, r *Report) error {
	texts := &Report{}
	failed := make(chan error, 1)
	go func() { failed <- processTexts(ctx, bin, texts) }()
	err := processHeld(ctx, bin, r)
	if textErr := <-failed; err == nil {
		err = textErr
	}
	r.Rows = append(r.Rows, texts.Rows...)
	return err
}

// processHeld fills one sidecar with the tasks of the design scale, each of a
// job of its own with a result of 1 KiB, and measures its memory and CPU time.
// The jobs have no keys, because all sidecars here are in one failure domain.
func processHeld(ctx context.Context, bin string, r *Report) error {
	const steps = 3
	shape := processShape(1)
	shape.Domains, shape.Entries, shape.Slots = 1, 1, 64
	f, err := fleet.Start(ctx, bin, shape)
	if err != nil {
		return err
	}
	defer f.Close()
	var memory, peak, heap, goMemory, results, cpu []Point
	done := 0
	for step := range steps + 1 {
		goal := heldTasks * step / steps
		before, err := f.Metrics(ctx, f.SidecarURL(0))
		if err != nil {
			return err
		}
		if err = fill(ctx, f, goal-done); err != nil {
			return err
		}
		if err = pause(ctx, settleTime); err != nil {
			return err
		}
		after, err := f.Metrics(ctx, f.SidecarURL(0))
		if err != nil {
			return err
		}
		x := after["teaseltide_sidecar_jobs"]
		most, err := f.Sidecars[0].PeakMemory()
		if err != nil {
			return err
		}
		memory = append(memory, Point{x, after["process_resident_memory_bytes"] / mebibyte})
		peak = append(peak, Point{x, most / mebibyte})
		heap = append(heap, Point{x, after["go_memstats_heap_alloc_bytes"] / mebibyte})
		goMemory = append(goMemory, Point{x, (after["go_memstats_sys_bytes"] - after["go_memstats_heap_released_bytes"]) / mebibyte})
		results = append(results, Point{x, after["teaseltide_sidecar_result_bytes"] / mebibyte})
		if step > 0 {
			used := after["process_cpu_seconds_total"] - before["process_cpu_seconds_total"]
			cpu = append(cpu, Point{x, used * 1e6 / float64(goal-done)})
		}
		done = goal
	}
	r.add(roleSidecar, "process with held tasks, resident memory", "MiB", "task held", memory...)
	r.add(roleSidecar, "process with held tasks, peak resident memory", "MiB", "task held", peak...)
	r.add(roleSidecar, "process with held tasks, memory of the Go runtime", "MiB", "task held", goMemory...)
	r.add(roleSidecar, "process with held tasks, heap with garbage", "MiB", "task held", heap...)
	r.add(roleSidecar, "process with held tasks, results held", "MiB", "task held", results...)
	r.add(roleSidecar, "process with held tasks, CPU for each start", "us", "task held", cpu...)
	return nil
}

// fill runs jobs of one task, as fast as they are answered.
func fill(ctx context.Context, f *fleet.Fleet, jobs int) error {
	const resultBytes = 1 << 10
	const parallel = 48
	var submitters sync.WaitGroup
	faults := make(chan error, parallel)
	for n := range parallel {
		submitters.Go(func() {
			c := f.Caller(0)
			for i := n; i < jobs; i += parallel {
				job := processJob(f, "", 1, backend.Input{RunMillis: 1, ResultBytes: resultBytes})
				if err := submitJob(ctx, c, job); err != nil {
					faults <- err
					return
				}
			}
		})
	}
	submitters.Wait()
	close(faults)
	return <-faults
}

// processTexts counts how often a sidecar gets the services text for each
// change of it, with 3 entries.
func processTexts(ctx context.Context, bin string, r *Report) error {
	const workers = 11
	const changes = 12
	// Entries ping within a second of a change.
	const between = 1200 * time.Millisecond
	f, err := fleet.Start(ctx, bin, processShape(workers))
	if err != nil {
		return err
	}
	defer f.Close()
	if err = pause(ctx, settleTime); err != nil {
		return err
	}
	var copies []Point
	last, err := readSidecars(ctx, f)
	if err != nil {
		return err
	}
	for n := range changes {
		shape := f.Shape
		shape.Prefetch = n + 1
		if err = f.Apply(ctx, shape.ServicesText()); err != nil {
			return err
		}
		if err = pause(ctx, between); err != nil {
			return err
		}
		next, err := readSidecars(ctx, f)
		if err != nil {
			return err
		}
		copies = append(copies, Point{float64(n + 1), (next.texts - last.texts) / workers})
		last = next
	}
	r.add(roleSidecar, "copies of a changed text, 3 entries", "frames", "change", copies...)
	mean := 0.0
	for _, p := range copies {
		mean += p.Y / changes
	}
	r.add(roleSidecar, "copies of a changed text, 3 entries, mean", "frames", "", Point{1, mean})
	return nil
}
