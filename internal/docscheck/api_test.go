package docscheck

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/teaseltide/teaseltide/internal/fleet"
	"github.com/teaseltide/teaseltide/pkg/caller"
)

// exampleTimeout bounds the start of the installation and all examples.
const exampleTimeout = 60 * time.Second

// documentedURL is the base URL of the entry in the examples.
const documentedURL = "http://127.0.0.1:8080"

// example is a curl command with its response.
type example struct {
	method, path, body string
	status             int
	answer             string
}

var (
	examplePattern = regexp.MustCompile("(?s)```sh\n(curl [^`]*?)\n```\n\n```json status=(\\d+)\n(.*?)```")
	methodPattern  = regexp.MustCompile(`-X ([A-Z]+)`)
	urlPattern     = regexp.MustCompile(`http://\S+`)
	bodyPattern    = regexp.MustCompile(`(?s)-d '([^']*)'`)
)

func examples(t *testing.T) []example {
	t.Helper()
	pages, err := readPages(root)
	if err != nil {
		t.Fatal(err)
	}
	var all []example
	for _, m := range examplePattern.FindAllStringSubmatch(pages[apiPage].text, -1) {
		e := example{method: http.MethodGet, path: strings.TrimPrefix(urlPattern.FindString(m[1]), documentedURL), answer: m[3]}
		if b := bodyPattern.FindStringSubmatch(m[1]); b != nil {
			e.method = http.MethodPost
			e.body = b[1]
		}
		if x := methodPattern.FindStringSubmatch(m[1]); x != nil {
			e.method = x[1]
		}
		if e.status, err = strconv.Atoi(m[2]); err != nil {
			t.Fatal(err)
		}
		all = append(all, e)
	}
	if got, want := len(all), strings.Count(pages[apiPage].text, "```json status="); got != want || got == 0 {
		t.Fatalf("got %d examples, want %d", got, want)
	}
	return all
}

// Guards against examples in docs/api.md that differ from the answers of an entry.
// Workers and times vary between runs and are not compared.
func TestAPIExamples(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), exampleTimeout)
	defer cancel()
	bin := t.TempDir()
	build := exec.CommandContext(ctx, "go", "build", "-o", bin+string(filepath.Separator), "./cmd/...")
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	shape := fleet.Kavango()
	shape.Workers = 3
	f, err := fleet.Start(ctx, bin, shape)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	for _, e := range examples(t) {
		status, body := call(ctx, t, f.CallerURL(0), e)
		if status != e.status {
			t.Errorf("%s %s: got status %d, want %d: %s", e.method, e.path, status, e.status, body)
		}
		if got, want := maskVariableFields(t, body), maskVariableFields(t, e.answer); !reflect.DeepEqual(got, want) {
			t.Errorf("%s %s: got %v, want %v", e.method, e.path, got, want)
		}
	}
	if t.Failed() {
		t.Log(f.Logs(5))
	}
}

func call(ctx context.Context, t *testing.T, url string, e example) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, e.method, url+e.path, strings.NewReader(e.body))
	if err != nil {
		t.Fatal(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res.StatusCode, string(body)
}

// maskVariableFields decodes an answer and replaces the values that vary between
// runs; the field names stay.
func maskVariableFields(t *testing.T, body string) map[string]any {
	t.Helper()
	var answer map[string]any
	if err := json.Unmarshal([]byte(body), &answer); err != nil {
		t.Fatalf("%v: %s", err, body)
	}
	for _, name := range []string{"elapsed-ms", "work-ms", "longest-ms", "messages"} {
		if _, ok := answer[name].(float64); ok {
			answer[name] = "number"
		}
	}
	results, _ := answer["results"].([]any)
	for _, r := range results {
		if object, ok := r.(map[string]any); ok && object["worker"] != nil {
			object["worker"] = "some"
		}
	}
	return answer
}

// Guards against a README whose example job is rejected.
func TestReadmeJob(t *testing.T) {
	data, err := os.ReadFile(filepath.Join(root, "README.md"))
	if err != nil {
		t.Fatal(err)
	}
	m := bodyPattern.FindStringSubmatch(string(data))
	if m == nil {
		t.Fatal("got no job in README.md, want one")
	}
	if _, err := caller.DecodeJob([]byte(m[1])); err != nil {
		t.Error(err)
	}
}
