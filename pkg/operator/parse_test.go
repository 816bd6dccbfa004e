package operator_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/teaseltide/teaseltide/pkg/operator"
)

var update = flag.Bool("update", false, "write the golden files")

// Guards against changed defaults, missed faults and wrong positions. The golden
// file of each input in testdata holds the parsed text or the faults.
func TestParseGolden(t *testing.T) {
	inputs, err := filepath.Glob("testdata/*.yaml")
	if err != nil || len(inputs) == 0 {
		t.Fatalf("got %d inputs, %v", len(inputs), err)
	}
	for _, input := range inputs {
		t.Run(filepath.Base(input), func(t *testing.T) {
			data, err := os.ReadFile(input)
			if err != nil {
				t.Fatal(err)
			}
			golden := strings.TrimSuffix(input, ".yaml") + ".golden"
			got := []byte(describe(t, filepath.Base(input), data))
			if *update {
				if err = os.WriteFile(golden, got, 0o600); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(golden)
			if err != nil || !bytes.Equal(got, want) {
				t.Errorf("got:\n%s\nwant (%v):\n%s", got, err, want)
			}
		})
	}
}

func describe(t *testing.T, name string, data []byte) string {
	t.Helper()
	text, err := operator.Parse(name, data)
	if err != nil {
		return err.Error() + "\n"
	}
	out, err := json.MarshalIndent(text, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	return string(out) + "\n"
}

// Guards against inputs that exhaust the parser and against texts too large for
// the store.
func TestParseHostileInputs(t *testing.T) {
	large := "services:\n" + strings.Repeat("# comment\n", operator.MaxTextBytes/10)
	cases := map[string]struct {
		text string
		kind operator.Kind
	}{
		"too large":        {large, operator.TooLarge},
		"brackets":         {strings.Repeat("[", 500_000), operator.Syntax},
		"braces":           {strings.Repeat("{a: ", 100_000), operator.Syntax},
		"sequences":        {strings.Repeat("- ", 200_000), operator.Syntax},
		"keys":             {strings.Repeat("? ", 200_000), operator.Syntax},
		"not UTF-8":        {"services: [\xff]", operator.Syntax},
		"billion laughs":   {"a: &a [x]\nb: &b [*a, *a]\nservices: [*b, *b]", operator.Syntax},
		"merge":            {"services:\n  - <<: {name: a}\n", operator.Syntax},
		"explicit null":    {"services: ~", operator.WrongType},
		"complex key":      {"? [a]\n: b\n", operator.Syntax},
		"tag":              {"services: !!seq []", operator.Syntax},
		"unclosed quote":   {"services: \"", operator.Syntax},
		"many faults":      {"services:\n" + strings.Repeat(" - x\n", 10_000), operator.TooLarge},
		"only a directive": {"%YAML 1.2\n", operator.Syntax},
	}
	for name, c := range cases {
		_, err := operator.Parse("f", []byte(c.text))
		var list operator.Errors
		if !errors.As(err, &list) {
			t.Errorf("%s: got %v, want Errors", name, err)
			continue
		}
		found := false
		for _, e := range list {
			found = found || e.Kind == c.kind
		}
		if !found {
			t.Errorf("%s: got %v, want kind %s", name, err, c.kind)
		}
	}
}

// Guards against panics, faults without a position, and accepted texts that
// violate the invariants of Text.
func FuzzParse(f *testing.F) {
	inputs, _ := filepath.Glob("testdata/*.yaml")
	for _, input := range inputs {
		data, err := os.ReadFile(input)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		text, err := operator.Parse("f", data)
		var list operator.Errors
		if errors.As(err, &list) {
			for _, e := range list {
				if e.Line < 1 || e.Column < 1 || e.Reason == "" || e.Kind == "" {
					t.Errorf("got incomplete fault %+v", e)
				}
			}
			return
		}
		for _, s := range text.Services {
			if s.DefaultDeadline > s.MaxDeadline || s.DefaultDeadline <= 0 || s.MaxTasksPerJob < 1 {
				t.Errorf("got service %+v", s)
			}
			for _, name := range s.DependsOn {
				if text.Service(name) == nil || name == s.Name {
					t.Errorf("got dependency %s of %s", name, s.Name)
				}
			}
		}
	})
}
