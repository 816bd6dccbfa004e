package settings

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// Guards against faults that are accepted, or reported without their position.
// The golden file of each input in testdata holds the expected errors or settings.
func TestGolden(t *testing.T) {
	files, err := filepath.Glob("testdata/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatalf("got %d inputs (%v), want some", len(files), err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			got := describe(filepath.Base(file), data)
			golden := strings.TrimSuffix(file, ".yaml") + ".golden"
			if *update {
				if err = os.WriteFile(golden, []byte(got), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(golden)
			if err != nil {
				t.Fatal(err)
			}
			if got != string(want) {
				t.Errorf("got\n%s\nwant\n%s", got, want)
			}
		})
	}
}

func describe(name string, data []byte) string {
	if strings.HasPrefix(name, "sidecar") {
		s, err := ParseSidecar(name, data)
		return outcome(s, err)
	}
	s, err := ParseEntry(name, data)
	return outcome(s, err)
}

func outcome(s any, err error) string {
	if err != nil {
		return err.Error() + "\n"
	}
	return fmt.Sprintf("%+v\n", s)
}

// FuzzParse guards against settings that make a process panic.
func FuzzParse(f *testing.F) {
	files, _ := filepath.Glob("testdata/*.yaml")
	for _, file := range files {
		data, _ := os.ReadFile(file)
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = ParseEntry("f", data)
		_, _ = ParseSidecar("f", data)
	})
}

func ExampleReference() {
	for _, s := range Reference(DefaultSidecar())[:3] {
		fmt.Println(s.Key)
	}
	// Output:
	// name
	// failure-domain
	// peers-address
}
