package fleet

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/teaseltide/teaseltide/pkg/caller"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// demoLimit bounds the demo, which takes a few seconds on an idle machine.
const demoLimit = 45 * time.Second

// Demo starts Kavango's installation as separate processes, submits jobs of 1,
// 100 and 820 tasks through different entries, submits one of them again under
// its key elsewhere, and prints a line for each. It fails unless every answer
// is whole and the backend servers counted one start for every task.
func Demo(ctx context.Context, bin string, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, demoLimit)
	defer cancel()
	shape := Kavango()
	begin := time.Now()
	f, err := Start(ctx, bin, shape)
	if err != nil {
		return err
	}
	defer f.Close()
	fmt.Fprintf(out, "%d entries, %d workers with %d slots in %d failure domains ready after %d ms\n",
		shape.Entries, shape.Workers, shape.Slots, shape.Domains, time.Since(begin).Milliseconds())
	d := &demo{fleet: f, out: out, jobs: NewJobGenerator(shape, "demo", 1)}
	if err := d.run(ctx); err != nil {
		return errors.Wrapf(err, "logs:\n%s", f.Logs(5))
	}
	return d.checkStarts()
}

type demo struct {
	fleet *Fleet
	out   io.Writer
	jobs  *JobGenerator
	done  []Job
}

func (d *demo) run(ctx context.Context) error {
	fmt.Fprintf(d.out, "%-14s %6s %6s %9s %9s %11s %13s\n", "job", "entry", "tasks", "ideal-ms", "took-ms", "over ideal", "messages/task")
	// The owner learns the speeds of the workers from the first jobs.
	for i, tasks := range []int{1, 100, 820, 100, 820, 1} {
		j := d.jobs.Next(tasks)
		if err := d.submit(ctx, j, i%d.fleet.Shape.Entries, ""); err != nil {
			return err
		}
		d.done = append(d.done, j)
	}
	for i := range d.fleet.Shape.Entries {
		if err := d.submit(ctx, d.done[1], i, " (again)"); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) submit(ctx context.Context, j Job, entry int, note string) error {
	begin := time.Now()
	a, err := caller.New(d.fleet.CallerURL(entry)).Submit(ctx, j.Job)
	if err != nil {
		return errors.Wrapf(err, "job %s", j.Key)
	}
	if a.Ran != caller.Complete || len(a.Results) != len(j.Tasks) {
		return errors.Errorf("job %s: got %s (%s: %s) with %d results, want %s with %d",
			j.Key, a.Ran, a.Code, a.Message, len(a.Results), caller.Complete, len(j.Tasks))
	}
	took := clock.FromDuration(time.Since(begin))
	// A forwarded job costs a forward and an answer on top.
	messages := float64(a.Messages) / float64(len(j.Tasks))
	fmt.Fprintf(d.out, "%-14s %6d %6d %9d %9d %11.2f %13.2f\n",
		j.Key+note, entry, len(j.Tasks), j.Ideal, took, float64(took)/float64(j.Ideal), messages)
	return nil
}

// checkStarts compares the backend servers' own counts with the tasks of the
// jobs.
func (d *demo) checkStarts() error {
	starts, err := d.fleet.Starts()
	if err != nil {
		return err
	}
	tasks := 0
	for _, j := range d.done {
		for i := range j.Tasks {
			id := TaskID(j.Job, i)
			if len(starts[id]) != 1 {
				return errors.Errorf("task %s started %d times, want 1", id, len(starts[id]))
			}
			tasks++
		}
	}
	if len(starts) != tasks {
		return errors.Errorf("the backend servers counted %d tasks, want %d", len(starts), tasks)
	}
	fmt.Fprintf(d.out, "%d answers are whole; the backend servers counted one start for each of %d tasks\n",
		len(d.done)+d.fleet.Shape.Entries, tasks)
	return nil
}

// TaskID returns the id by which a backend server counts a task.
func TaskID(j *caller.Job, index int) string {
	return fmt.Sprintf("%s:%s:%s:%d", url.QueryEscape(j.Service), url.QueryEscape(j.Team), url.QueryEscape(j.Key), index)
}
