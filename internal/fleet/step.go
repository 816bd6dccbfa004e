package fleet

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"github.com/teaseltide/teaseltide/pkg/caller"
)

const (
	// fullSlots is the part of the slots in use from which they count as full.
	fullSlots = 0.95
	// ratioUnit is the resolution of the recorded ratios, a thousandth.
	ratioUnit = 1000
	maxRatio  = 10_000 * ratioUnit
)

// step holds the figures of one offered load.
type step struct {
	offered float64
	// jobs that were answered completely, refused ones by code, and jobs that
	// failed or got no answer.
	jobs, failed int
	refused      map[string]int
	ratio        *hdrhistogram.Histogram
	// Sums over the complete jobs: the response time at the caller, its ideal,
	// the time at the owner from acceptance to answer, the run time of the
	// longest task and that of all tasks.
	response, ideal, elapsed, longest, work time.Duration
	// tasks of the complete jobs, submitted those of all jobs.
	tasks, submitted int
	// window is the time in which jobs arrived, starts the starts in it.
	window time.Duration
	starts int
	// before the first arrival and after the last answer.
	before, after readings
}

func newStep(offered float64) *step {
	return &step{offered: offered, refused: make(map[string]int), ratio: hdrhistogram.New(1, maxRatio, 3)}
}

// add records the outcome of a job.
func (s *step) add(o *Outcome) {
	s.submitted += len(o.Tasks)
	switch o.Ran() {
	case caller.Complete:
	case caller.NotRun:
		s.refused[refusalCode(o)]++
		return
	default:
		s.failed++
		return
	}
	s.jobs++
	s.tasks += len(o.Tasks)
	s.response += o.ResponseTime()
	s.ideal += o.ideal
	s.elapsed += o.Answer.Elapsed.Duration()
	s.longest += o.Answer.Longest.Duration()
	s.work += o.Answer.Work.Duration()
	ratio := int64(ratioUnit * float64(o.ResponseTime()) / float64(o.ideal))
	_ = s.ratio.RecordValue(min(ratio, maxRatio))
}

func refusalCode(o *Outcome) string {
	if o.Answer != nil {
		return string(o.Answer.Code)
	}
	var e *caller.Error
	if errors.As(o.Err, &e) && e.Code != "" {
		return string(e.Code)
	}
	return "no-answer"
}

// at returns a percentile of response over ideal.
func (s *step) at(percentile float64) float64 {
	return float64(s.ratio.ValueAtQuantile(percentile)) / ratioUnit
}

// busy returns the part of the slots that were in use while jobs arrived: the
// starts in that time and the mean run time of a task.
func (s *step) busy(shape *Shape) float64 {
	if s.tasks == 0 || s.window == 0 {
		return 0
	}
	run := s.work.Seconds() / float64(s.tasks)
	return float64(s.starts) / s.window.Seconds() * run / float64(shape.Workers*shape.Slots)
}

// endReason tells why no higher load follows, or "".
func (s *step) endReason(shape *Shape, p99Limit float64) string {
	switch {
	case s.jobs == 0:
		return "no job was answered"
	case s.at(99) > p99Limit:
		return fmt.Sprintf("the p99 of response over ideal, %.2f, is above %.2f", s.at(99), p99Limit)
	case s.busy(shape) >= fullSlots:
		return fmt.Sprintf("%.0f%% of the slots are in use", 100*s.busy(shape))
	}
	return ""
}

func (s *step) print(out io.Writer, shape *Shape) {
	tasks := float64(max(1, s.after.starts-s.before.starts))
	perTask := func(before, after time.Duration) float64 {
		return float64((after - before).Microseconds()) / tasks
	}
	refusals := 0
	var codes []string
	for code, n := range s.refused {
		refusals += n
		codes = append(codes, fmt.Sprintf("%s %d", code, n))
	}
	slices.Sort(codes)
	fmt.Fprintf(out, "%7.0f%% %6.0f%% %6d %7.0f %8.0f %6.2f %6.2f %6.2f %9.0f %9.0f %9.0f %9.0f %9.0f %9.2f %8d %7d",
		100*s.offered, 100*s.busy(shape), s.jobs, float64(s.submitted)/s.window.Seconds(), float64(s.starts)/s.window.Seconds(), s.at(50), s.at(99), s.at(99.9),
		perTask(s.before.entries, s.after.entries), perTask(s.before.sidecars, s.after.sidecars),
		perTask(s.before.backends, s.after.backends), perTask(s.before.callers, s.after.callers),
		(s.after.bytes-s.before.bytes)/tasks, (s.after.frames-s.before.frames)/tasks, refusals, s.failed)
	fmt.Fprintln(out, " "+strings.Join(codes, ", "))
}

// printTimes prints the parts of the mean response time.
func (s *step) printTimes(out io.Writer) {
	if s.jobs == 0 {
		return
	}
	mean := func(d time.Duration) float64 {
		return float64(d.Microseconds()) / 1000 / float64(s.jobs)
	}
	fmt.Fprintf(out, "mean of %d jobs at %.0f%%: response %.1f ms (ideal %.1f) = longest task's run time at the backend servers %.1f + other time at the owner %.1f (elapsed %.1f, whole ms) + outside the owner %.1f; run time of a task %.1f ms\n",
		s.jobs, 100*s.offered, mean(s.response), mean(s.ideal), mean(s.longest), mean(s.elapsed-s.longest), mean(s.elapsed),
		mean(s.response-s.elapsed), float64(s.work.Microseconds())/1000/float64(s.tasks))
}
