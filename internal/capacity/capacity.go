// Package capacity measures how the load of each role grows: CPU time of the
// control threads, memory of held state, bytes and frames on the sessions, and
// calls to the store. It drives the real cores, encoders, sessions and store
// client in one process at several sizes and fits lines through the results.
// MeasureProcesses does the same with whole processes. docs/CAPACITY.md
// extrapolates from both.
//
//	report := capacity.Measure(os.Stderr)
//	report.Write(os.Stdout)
package capacity

import (
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// Point is one measurement: the value Y at the size X.
type Point struct {
	X, Y float64
}

// Line is a fitted line, Y = Intercept + Slope*X. Residual is the root mean
// square of the distances from the points, relative to the mean of Y.
type Line struct {
	Intercept, Slope, Residual float64
}

// Fit returns the line through the points by least squares. A single
// point has no slope; several need different X.
func Fit(points []Point) Line {
	if len(points) == 1 {
		return Line{Intercept: points[0].Y}
	}
	n := float64(len(points))
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		sumX += p.X
		sumY += p.Y
		sumXX += p.X * p.X
		sumXY += p.X * p.Y
	}
	slope := (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	line := Line{Slope: slope, Intercept: (sumY - slope*sumX) / n}
	squares := 0.0
	for _, p := range points {
		d := p.Y - line.Intercept - slope*p.X
		squares += d * d
	}
	if sumY != 0 {
		line.Residual = math.Abs(math.Sqrt(squares/n) / (sumY / n))
	}
	return line
}

// Row is a quantity that was measured at several sizes.
type Row struct {
	Role     string
	Quantity string
	// Unit of the quantity; PerX names what X counts.
	Unit, PerX string
	Points     []Point
}

// Report holds all measurements of a run.
type Report struct {
	Rows []Row
}

func (r *Report) add(role, quantity, unit, perX string, points ...Point) {
	r.Rows = append(r.Rows, Row{Role: role, Quantity: quantity, Unit: unit, PerX: perX, Points: points})
}

// Write prints the report as a table, one row for each quantity.
func (r *Report) Write(out io.Writer) error {
	const padding = 2
	w := tabwriter.NewWriter(out, 0, 0, padding, ' ', 0)
	fmt.Fprintln(w, "ROLE\tQUANTITY\tUNIT\tPER\tAT EACH SIZE\tINTERCEPT\tSLOPE\tRESIDUAL")
	for _, row := range r.Rows {
		line := Fit(row.Points)
		if len(row.Points) == 1 {
			fmt.Fprintf(w, "%s\t%s\t%s\t\t%s\t\t\t\n", row.Role, row.Quantity, row.Unit, number(line.Intercept))
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.1f%%\n", row.Role, row.Quantity, row.Unit, row.PerX,
			sizes(row.Points), number(line.Intercept), number(line.Slope), 100*line.Residual)
	}
	return w.Flush()
}

func sizes(points []Point) string {
	parts := make([]string, 0, len(points))
	for _, p := range points {
		parts = append(parts, fmt.Sprintf("%.6g:%s", p.X, number(p.Y)))
	}
	return strings.Join(parts, " ")
}

// number prints three significant digits without an exponent.
func number(v float64) string {
	const significant = 3
	if v == 0 {
		return "0"
	}
	digits := significant - 1 - int(math.Floor(math.Log10(math.Abs(v))))
	return strconv.FormatFloat(v, 'f', min(max(digits, 0), maxDigits), 64)
}

// maxDigits bounds the digits after the point.
const maxDigits = 6

// Measure runs all measurements. Progress goes to log.
func Measure(log io.Writer) (*Report, error) {
	r := &Report{}
	return r, r.runSteps(log, []step{
		{"entry: steady load", entryLoad},
		{"entry: idle ticks", entryIdle},
		{"entry: changes", entryChanges},
		{"entry: takeover", entryTakeover},
		{"entry: sidecars lost and back", entrySidecarLoss},
		{"entry: memory", entryMemory},
		{"sidecar: steady load", sidecarLoad},
		{"sidecar: held state", sidecarHeld},
		{"bytes of frames", frameSizes},
		{"sessions", sessions},
		{"store", storeCalls},
		{"callers' API", callerAPI},
		{"operators' commands", operatorCommands},
	})
}

// step is one measurement of a report.
type step struct {
	name string
	run  func(*Report) error
}

func (r *Report) runSteps(log io.Writer, steps []step) error {
	for _, s := range steps {
		start := time.Now()
		if err := s.run(r); err != nil {
			return err
		}
		fmt.Fprintf(log, "%s: %.1f s\n", s.name, time.Since(start).Seconds())
	}
	return nil
}
