package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against differences between figures of different seeds or profiles: runs that
// only one version has must not count.
func TestDifferencesArePaired(t *testing.T) {
	read := func(name, text string) table {
		path := filepath.Join(t.TempDir(), name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		figures, err := readTable(path)
		if err != nil {
			t.Fatal(err)
		}
		return figures
	}
	before := read("before", "a 1 value 0.5\na 2 value 0.7\na 3 value 0.1\nb 1 refused 0.2\n")
	after := read("after", "a 2 value 0.8\na 1 value 0.6\nc 1 value 0.9\nb 1 refused 0.1\n")
	var got []string
	for _, line := range compareTables(before, after, false)[1:] {
		got = append(got, strings.Join(strings.Fields(line), " "))
	}
	want := []string{"a value 0.6000 0.7000 +0.1000 ± 0.0000", "b refused 0.2000 0.1000 -0.1000", "mean value +0.1000 ± 0.0000"}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("comparison: got %q, want %q", got, want)
	}
}
