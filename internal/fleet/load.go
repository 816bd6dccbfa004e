package fleet

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"
)

// LoadSettings are the settings of Load.
type LoadSettings struct {
	// P99Limit is the p99 of response over ideal that ends the steps.
	P99Limit float64
	// StepDuration is the duration of the arrivals of a step.
	StepDuration time.Duration
	// Seed determines the jobs and their times of arrival.
	Seed uint64
	// Prefetch of the service.
	Prefetch int
}

const (
	// loadLimit bounds a whole run.
	loadLimit = 100 * time.Second
	// Run times at speed 1, short so that there are many starts a second.
	loadShortest, loadLongest = 5, 100
	// warmUpLoad and warmUpTime let the owner learn the speeds of the workers.
	// The jobs of the warm-up are not in the figures.
	warmUpLoad = 0.3
	warmUpTime = 3 * time.Second
	// mostLoadJobs bounds the jobs of a step; 95% of Kavango's capacity is
	// about 350 jobs a second.
	mostLoadJobs = 10_000
	// loadAnswerLimit bounds the wait for one answer.
	loadAnswerLimit = 10 * time.Second
	// loadConnections is the number of idle connections kept to each entry.
	loadConnections = 256
)

// loadSteps are the offered loads relative to the capacity of the slots.
func loadSteps() []float64 {
	return []float64{0.1, 0.3, 0.5, 0.7, 0.85, 0.95}
}

// Load starts Kavango's installation as separate processes and raises the
// offered load in steps until the p99 of response over ideal passes a limit or
// the slots are full. It prints a line for each step and the parts of the mean
// response time.
func Load(ctx context.Context, bin string, settings LoadSettings, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, loadLimit)
	defer cancel()
	SetMaxIdleConnsPerHost(loadConnections)
	printMachine(out)
	shape := Kavango()
	shape.Prefetch = settings.Prefetch
	f, err := Start(ctx, bin, shape)
	if err != nil {
		return err
	}
	defer f.Close()
	l := &loadRun{fleet: f, settings: settings}
	if _, err = l.step(ctx, "warm-up", warmUpLoad, warmUpTime); err != nil {
		return err
	}
	fmt.Fprintf(out, "%d entries, %d workers x %d slots, run times %d to %d ms at speed 1, %s a step, seed %d; CPU time in us, bytes and messages for each task\n",
		f.Shape.Entries, f.Shape.Workers, f.Shape.Slots, loadShortest, loadLongest, settings.StepDuration, settings.Seed)
	fmt.Fprintf(out, "%8s %7s %6s %7s %8s %6s %6s %6s %9s %9s %9s %9s %9s %9s %8s %7s\n", "offered", "busy", "jobs", "tasks/s", "starts/s",
		"p50", "p99", "p99.9", "entries", "sidecars", "backends", "callers", "bytes", "messages", "refused", "failed")
	var last *step
	for i, offered := range loadSteps() {
		if last, err = l.step(ctx, fmt.Sprintf("step-%d", i), offered, settings.StepDuration); err != nil {
			return errors.Wrapf(err, "logs:\n%s", f.Logs(5))
		}
		last.print(out, &f.Shape)
		if reason := last.endReason(&f.Shape, settings.P99Limit); reason != "" {
			fmt.Fprintf(out, "ended at %.0f%%: %s\n", 100*offered, reason)
			break
		}
	}
	printMachine(out)
	last.printTimes(out)
	return nil
}

// printMachine prints the load of the machine, which other programs share.
func printMachine(out io.Writer) {
	if data, err := os.ReadFile("/proc/loadavg"); err == nil {
		fmt.Fprintf(out, "load average of the machine: %s", data)
	}
}

type loadRun struct {
	fleet    *Fleet
	settings LoadSettings
}

// step submits jobs for a time and waits for their answers.
func (l *loadRun) step(ctx context.Context, name string, offered float64, length time.Duration) (*step, error) {
	jobs := NewJobGenerator(l.fleet.Shape, name, l.settings.Seed)
	jobs.Shortest, jobs.Longest = loadShortest, loadLongest
	t := &Traffic{
		Fleet: l.fleet, Jobs: jobs, Utilization: offered, MaxTasks: 820, MaxJobs: mostLoadJobs,
		AnswerTimeout: loadAnswerLimit, Seed: l.settings.Seed,
	}
	s := newStep(offered)
	var err error
	if s.before, err = l.fleet.read(ctx); err != nil {
		return nil, err
	}
	t.Start(ctx)
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
	starts, err := l.fleet.countStarts()
	if err != nil {
		return nil, err
	}
	s.starts, s.window = starts-s.before.starts, time.Since(s.before.at)
	outcomes := t.Stop()
	if s.after, err = l.fleet.read(ctx); err != nil {
		return nil, err
	}
	for i := range outcomes {
		s.add(&outcomes[i])
	}
	return s, ctx.Err()
}
