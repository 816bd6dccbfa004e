package docscheck

import (
	"os"
	"path"
	"path/filepath"
	"regexp"

	"github.com/pkg/errors"
)

const designPage = "docs/design.md"

// packagePattern matches the names in a cell such as `internal/a`, `internal/b`.
var packagePattern = regexp.MustCompile(`[a-z][a-z/-]*`)

// checkModules compares the table of packages with the directories. Nested packages
// are covered by the row of their parent.
func checkModules(root string, pages map[string]page) ([]string, error) {
	documented := make(map[string]struct{})
	for _, cells := range namedRows(pages[designPage].text, "## Modules") {
		for _, name := range packagePattern.FindAllString(cells[0], -1) {
			documented[name] = struct{}{}
		}
	}
	// The models in spec have a row but no Go package.
	coded := map[string]struct{}{"spec": {}}
	for _, parent := range []string{"cmd", "internal", "pkg"} {
		entries, err := os.ReadDir(filepath.Join(root, parent))
		if err != nil {
			return nil, errors.WithStack(err)
		}
		for _, e := range entries {
			name := path.Join(parent, e.Name())
			if e.IsDir() && hasFiles(filepath.Join(root, name)) {
				coded[name] = struct{}{}
			}
		}
	}
	return differences(designPage, "package", documented, coded), nil
}

// hasFiles reports whether a directory contains Go files. Empty directories are not
// part of the repository.
func hasFiles(dir string) bool {
	for _, pattern := range []string{"*.go", "*/*.go"} {
		if found, _ := filepath.Glob(filepath.Join(dir, pattern)); len(found) > 0 {
			return true
		}
	}
	return false
}
