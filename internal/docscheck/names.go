package docscheck

import (
	"context"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/teaseltide/teaseltide/internal/entry"
	"github.com/teaseltide/teaseltide/internal/settings"
	"github.com/teaseltide/teaseltide/internal/sidecar"
	"github.com/teaseltide/teaseltide/pkg/caller"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// metricRecorder is a registry that only records the names of metrics.
type metricRecorder struct {
	prometheus.Registerer
	names map[string]struct{}
}

var namePattern = regexp.MustCompile(`fqName: "([^"]+)"`)

// MustRegister implements prometheus.Registerer.
func (r metricRecorder) MustRegister(all ...prometheus.Collector) {
	for _, c := range all {
		descs := make(chan *prometheus.Desc)
		go func() {
			defer close(descs)
			c.Describe(descs)
		}()
		for d := range descs {
			if m := namePattern.FindStringSubmatch(d.String()); m != nil {
				r.names[m[1]] = struct{}{}
			}
		}
	}
}

// stoppingRecorder aborts the start of a process by a panic after its metrics are
// recorded, before the process opens files or connections.
type stoppingRecorder struct{ metricRecorder }

var errMetricsRecorded = errors.New("docscheck: the metrics are known")

// MustRegister implements prometheus.Registerer.
func (s stoppingRecorder) MustRegister(all ...prometheus.Collector) {
	s.metricRecorder.MustRegister(all...)
	panic(errMetricsRecorded)
}

// sidecarMetrics records the metrics of a sidecar, which registers all of them in one
// call at startup.
func sidecarMetrics(r metricRecorder) (err error) {
	defer func() {
		reason := recover()
		if stopped, ok := reason.(error); !ok || !errors.Is(stopped, errMetricsRecorded) {
			err = errors.Errorf("docscheck: a sidecar did not register its metrics: %v", reason)
		}
	}()
	return sidecar.Run(context.Background(), sidecar.Settings{}, sidecar.Deps{
		Metrics: stoppingRecorder{r}, Clock: clock.NewSystem(), Log: zap.NewNop(),
	})
}

var metricPattern = regexp.MustCompile(`teaseltide_[a-z_]*[a-z]`)

// checkMetrics compares the metrics of the processes with the page for operators. An
// entry and a sidecar register their own metrics at startup; shared metrics are found
// as string literals in the code.
func checkMetrics(root string, pages map[string]page) ([]string, error) {
	coded := make(map[string]struct{})
	registry := metricRecorder{names: coded}
	// Without a token an entry returns before it opens files or connections.
	if err := entry.Run(context.Background(), entry.Settings{}, entry.Deps{Metrics: registry}); err == nil {
		return nil, errors.New("docscheck: an entry without settings started")
	}
	if err := sidecarMetrics(registry); err != nil {
		return nil, err
	}
	err := visitStringLiterals(filepath.Join(root, "internal"), func(value string) {
		if value != "" && metricPattern.FindString(value) == value {
			coded[value] = struct{}{}
		}
	})
	if err != nil {
		return nil, err
	}
	documented := make(map[string]struct{})
	for _, name := range metricPattern.FindAllString(pages[operationsPage].text, -1) {
		documented[name] = struct{}{}
	}
	return differences(operationsPage, "metric", documented, coded), nil
}

// visitStringLiterals calls found with each string literal in the Go files below dir,
// except in tests and this package.
func visitStringLiterals(dir string, found func(string)) error {
	return visitFiles(dir, func(file *ast.File) {
		if file.Name.Name == "docscheck" {
			return
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if lit, ok := n.(*ast.BasicLit); ok && lit.Kind == token.STRING {
				if value, err := strconv.Unquote(lit.Value); err == nil {
					found(value)
				}
			}
			return true
		})
	})
}

// visitFiles calls visit with each Go file below dir that is not a test.
func visitFiles(dir string, visit func(*ast.File)) error {
	err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err == nil {
			visit(file)
		}
		return err
	})
	return errors.WithStack(err)
}

// checkSettings compares the settings and their defaults with the page for
// operators.
func checkSettings(_ string, pages map[string]page) ([]string, error) {
	documented := make(map[string]struct{})
	coded := make(map[string]struct{})
	defaults := make(map[string]string)
	for _, s := range append(settings.Reference(settings.DefaultEntry()), settings.Reference(settings.DefaultSidecar())...) {
		coded[s.Key] = struct{}{}
		defaults[s.Key] = "-"
		if s.Default != "" {
			defaults[s.Key] = "`" + s.Default + "`"
		}
	}
	var problems []string
	for _, row := range namedRows(pages[operationsPage].text, "## Settings") {
		documented[row[0]] = struct{}{}
		if want, ok := defaults[row[0]]; ok && row[1] != want {
			problems = append(problems, fmt.Sprintf("%s: setting %s has default %s, not %s", operationsPage, row[0], want, row[1]))
		}
	}
	return append(differences(operationsPage, "setting", documented, coded), problems...), nil
}

var outcomePattern = regexp.MustCompile(`([a-z-]+) (\d{3})`)

// checkCodes compares the codes and their HTTP statuses with the page for
// callers.
func checkCodes(root string, pages map[string]page) ([]string, error) {
	coded, err := codes(root)
	if err != nil {
		return nil, err
	}
	var problems []string
	documented := make(map[string]struct{})
	for _, row := range namedRows(pages[apiPage].text, "## Codes") {
		documented[row[0]] = struct{}{}
		outcomes := outcomePattern.FindAllStringSubmatch(row[1], -1)
		if len(outcomes) == 0 {
			problems = append(problems, fmt.Sprintf("%s: code %s has no outcome", apiPage, row[0]))
		}
		for _, m := range outcomes {
			a := caller.Answer{Ran: caller.Ran(m[1]), Code: caller.Code(row[0])}
			if got := strconv.Itoa(a.Status()); got != m[2] {
				problems = append(problems, fmt.Sprintf("%s: code %s with %s has status %s, not %s", apiPage, row[0], m[1], got, m[2]))
			}
		}
	}
	return append(differences(apiPage, "code", documented, coded), problems...), nil
}

// codes returns the values of the constants that packages caller, admission and
// dispatch use as codes of answers: those of type Code and those with the name prefix
// Code.
func codes(root string) (map[string]struct{}, error) {
	found := make(map[string]struct{})
	for _, dir := range []string{"pkg/caller", "internal/admission", "internal/dispatch"} {
		err := visitFiles(filepath.Join(root, dir), func(file *ast.File) {
			ast.Inspect(file, func(n ast.Node) bool {
				if spec, ok := n.(*ast.ValueSpec); ok {
					addCodes(found, spec)
				}
				return true
			})
		})
		if err != nil {
			return nil, err
		}
	}
	return found, nil
}

func addCodes(found map[string]struct{}, spec *ast.ValueSpec) {
	typed, _ := spec.Type.(*ast.Ident)
	for i, name := range spec.Names {
		if (typed == nil || typed.Name != "Code") && !strings.HasPrefix(name.Name, "Code") {
			continue
		}
		if i >= len(spec.Values) {
			continue
		}
		if lit, ok := spec.Values[i].(*ast.BasicLit); ok {
			if value, err := strconv.Unquote(lit.Value); err == nil {
				found[value] = struct{}{}
			}
		}
	}
}

var (
	targetPattern = regexp.MustCompile(`(?m)(?:^| {4}|` + "`" + `)make ((?:[a-z-]+ ?)+)`)
	rulePattern   = regexp.MustCompile(`(?m)^([a-z-]+):`)
)

// checkTargets reports make targets in the documentation that do not exist.
func checkTargets(root string, pages map[string]page) ([]string, error) {
	data, err := os.ReadFile(filepath.Join(root, "Makefile"))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	targets := make(map[string]struct{})
	for _, m := range rulePattern.FindAllStringSubmatch(string(data), -1) {
		targets[m[1]] = struct{}{}
	}
	var problems []string
	for _, p := range sortedPages(pages) {
		for _, m := range targetPattern.FindAllStringSubmatch(p.text, -1) {
			for _, name := range strings.Fields(m[1]) {
				if _, ok := targets[name]; !ok {
					problems = append(problems, fmt.Sprintf("%s: make target %s does not exist", p.path, name))
				}
			}
		}
	}
	return problems, nil
}
