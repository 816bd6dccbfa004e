// Package docscheck compares the documentation with the code: links, metrics,
// settings, codes, subcommands with their flags, make targets, packages, log
// messages and example files.
//
//	problems, err := docscheck.Check(".")
package docscheck

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Pages that must document every name of the code.
const (
	operationsPage = "docs/OPERATIONS.md"
	apiPage        = "docs/api.md"
)

// page is a Markdown file with its path below the root.
type page struct {
	path string
	text string
}

// checks lists the checks. Each takes the root of the repository and the pages and
// returns the problems found.
var checks = []func(root string, pages map[string]page) ([]string, error){
	checkLinks, checkMetrics, checkSettings, checkCodes, checkCommands, checkTargets, checkModules,
	checkLogs, checkYAML,
}

// Check returns the differences between the documentation below root and the code
// that this package is compiled with.
func Check(root string) ([]string, error) {
	pages, err := readPages(root)
	if err != nil {
		return nil, err
	}
	var problems []string
	for _, check := range checks {
		found, err := check(root, pages)
		if err != nil {
			return nil, err
		}
		problems = append(problems, found...)
	}
	return problems, nil
}

// readPages returns README.md and the pages in docs by path.
func readPages(root string) (map[string]page, error) {
	files, err := filepath.Glob(filepath.Join(root, "docs", "*.md"))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	pages := make(map[string]page)
	for _, file := range append(files, filepath.Join(root, "README.md")) {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		path, err := filepath.Rel(root, file)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		pages[filepath.ToSlash(path)] = page{path: filepath.ToSlash(path), text: string(data)}
	}
	return pages, nil
}

// sortedPages returns the pages sorted by path.
func sortedPages(pages map[string]page) []page {
	all := make([]page, 0, len(pages))
	for _, path := range slices.Sorted(maps.Keys(pages)) {
		all = append(all, pages[path])
	}
	return all
}

var (
	linkPattern    = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	headingPattern = regexp.MustCompile(`(?m)^#+ (.+)$`)
	slugPattern    = regexp.MustCompile(`[^a-z0-9 _-]`)
)

// checkLinks reports relative links to files or headings that do not exist.
func checkLinks(root string, pages map[string]page) ([]string, error) {
	var problems []string
	for _, p := range sortedPages(pages) {
		for _, m := range linkPattern.FindAllStringSubmatch(p.text, -1) {
			if !strings.Contains(m[1], "://") && !linkResolves(root, p, m[1]) {
				problems = append(problems, fmt.Sprintf("%s: link %s leads nowhere", p.path, m[1]))
			}
		}
	}
	return problems, nil
}

func linkResolves(root string, from page, link string) bool {
	file, anchor, _ := strings.Cut(link, "#")
	text := from.text
	if file != "" {
		target := filepath.Join(root, filepath.Dir(from.path), file)
		info, err := os.Stat(target)
		if err != nil {
			return false
		}
		if info.IsDir() || anchor == "" {
			return anchor == ""
		}
		data, err := os.ReadFile(target)
		if err != nil {
			return false
		}
		text = string(data)
	}
	for _, m := range headingPattern.FindAllStringSubmatch(text, -1) {
		if slug(m[1]) == anchor {
			return true
		}
	}
	return false
}

// slug returns the anchor that Markdown renderers generate for a heading.
func slug(heading string) string {
	return strings.ReplaceAll(slugPattern.ReplaceAllString(strings.ToLower(heading), ""), " ", "-")
}

// namedRows returns the cells of the table rows in a section whose first cell is a
// name in backquotes. The backquotes are removed.
func namedRows(text, heading string) [][]string {
	var out [][]string
	for _, cells := range tableRows(text, heading) {
		if strings.HasPrefix(cells[0], "`") {
			cells[0] = strings.Trim(cells[0], "`")
			out = append(out, cells)
		}
	}
	return out
}

// tableRows returns the cells of all table rows in a section, which ends at the
// next heading of the same or a higher level.
func tableRows(text, heading string) [][]string {
	var out [][]string
	inside := false
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if level := strings.IndexFunc(line, func(r rune) bool { return r != '#' }); level > 0 {
			own := strings.IndexFunc(heading, func(r rune) bool { return r != '#' })
			inside = line == heading || inside && level > own
		}
		if !inside || !strings.HasPrefix(line, "| ") {
			continue
		}
		cells := strings.Split(strings.Trim(line, "|"), "|")
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		out = append(out, cells)
	}
	return out
}

// differences reports the names that are in only one of the two sets.
func differences(where, kind string, documented, coded map[string]struct{}) []string {
	var problems []string
	for _, name := range slices.Sorted(maps.Keys(coded)) {
		if _, ok := documented[name]; !ok {
			problems = append(problems, fmt.Sprintf("%s: %s %s is not documented", where, kind, name))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(documented)) {
		if _, ok := coded[name]; !ok {
			problems = append(problems, fmt.Sprintf("%s: %s %s does not exist", where, kind, name))
		}
	}
	return problems
}
