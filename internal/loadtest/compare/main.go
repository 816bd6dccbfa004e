// Command compare prints the differences between the figures of two versions of the
// code, as written by TestLoadProfiles: the mean over the seeds of each profile, and the
// mean of the paired differences with its 95% interval. With -all it prints all figures,
// else the shares of the value and those of refused and late jobs.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"math"
	"os"
	"strings"
)

// figure identifies a figure of a profile.
type figure struct {
	profile, name string
}

// sample holds the values of a figure by seed.
type sample map[string]float64

// table holds the samples of a version; order lists them as read.
type table struct {
	samples map[figure]sample
	order   []figure
}

func main() {
	all := flag.Bool("all", false, "print all figures")
	flag.Parse()
	if flag.NArg() != 2 {
		fmt.Fprintln(os.Stderr, "usage: compare [-all] BEFORE AFTER")
		os.Exit(2)
	}
	before, err := readTable(flag.Arg(0))
	if err != nil {
		fmt.Fprintln(os.Stderr, "compare:", err)
		os.Exit(2)
	}
	after, err := readTable(flag.Arg(1))
	if err != nil {
		fmt.Fprintln(os.Stderr, "compare:", err)
		os.Exit(2)
	}
	for _, line := range compareTables(before, after, *all) {
		fmt.Println(line)
	}
}

// readTable reads lines of a profile, a seed, the name of a figure and its value.
func readTable(path string) (table, error) {
	t := table{samples: make(map[figure]sample)}
	file, err := os.Open(path) //nolint:gosec // named by the user
	if err != nil {
		return t, err
	}
	defer file.Close() //nolint:errcheck // only read
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var f figure
		var seed string
		var value float64
		if _, err := fmt.Sscan(lines.Text(), &f.profile, &seed, &f.name, &value); err != nil {
			return t, fmt.Errorf("line %q: %w", lines.Text(), err)
		}
		if t.samples[f] == nil {
			t.samples[f] = make(sample)
			t.order = append(t.order, f)
		}
		t.samples[f][seed] = value
	}
	return t, nil
}

// compareTables returns a line for each figure that both versions have, and the mean of
// the share of the value over all profiles.
func compareTables(before, after table, all bool) []string {
	lines := []string{fmt.Sprintf("%-14s %-18s %9s %9s %19s", "profile", "figure", "before", "after", "difference")}
	total := make(sample)
	profiles := 0.0
	for _, f := range before.order {
		mean := [2]float64{}
		var differences []float64
		for seed, b := range before.samples[f] {
			if a, ok := after.samples[f][seed]; ok {
				mean[0] += b
				mean[1] += a
				differences = append(differences, a-b)
				if f.name == "value" {
					total[seed] += a - b
				}
			}
		}
		n := float64(len(differences))
		if n == 0 || !all && !strings.HasPrefix(f.name, "value") && f.name != "refused" && f.name != "late" {
			continue
		}
		if f.name == "value" {
			profiles++
		}
		lines = append(lines, fmt.Sprintf("%-14s %-18s %9.4f %9.4f %s", f.profile, f.name, mean[0]/n, mean[1]/n, interval(differences)))
	}
	var means []float64
	for _, d := range total {
		means = append(means, d/profiles)
	}
	return append(lines, fmt.Sprintf("%-14s %-18s %19s %s", "mean", "value", "", interval(means)))
}

// studentT holds the 97.5% quantiles of Student's t distribution by degrees of freedom.
var studentT = []float64{0, 12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26}

// interval returns the mean of values with its 95% interval.
func interval(values []float64) string {
	n := float64(len(values))
	var sum, squares float64
	for _, v := range values {
		sum += v
	}
	mean := sum / n
	for _, v := range values {
		squares += (v - mean) * (v - mean)
	}
	if n < 2 {
		return fmt.Sprintf("%+.4f", mean)
	}
	t := 2.0
	if len(values)-1 < len(studentT) {
		t = studentT[len(values)-1]
	}
	return fmt.Sprintf("%+.4f ± %.4f", mean, t*math.Sqrt(squares/(n-1)/n))
}
