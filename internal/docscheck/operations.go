package docscheck

import (
	"fmt"
	"path/filepath"
	"regexp"

	"github.com/teaseltide/teaseltide/internal/settings"
	"github.com/teaseltide/teaseltide/pkg/operator"
)

var (
	// messagePattern matches a message, or the name of a field before its value.
	messagePattern = regexp.MustCompile("`([^`:]+)(?:: [^`]+)?`")
	yamlPattern    = regexp.MustCompile("(?s)```yaml (\\S+)\n(.*?)```")
)

// checkLogs reports log messages and fields in the table of failures that equal no
// string literal of the code.
func checkLogs(root string, pages map[string]page) ([]string, error) {
	coded := make(map[string]struct{})
	err := visitStringLiterals(filepath.Join(root, "internal"), func(value string) { coded[value] = struct{}{} })
	if err != nil {
		return nil, err
	}
	var problems []string
	for _, cells := range tableRows(pages[operationsPage].text, "## Failures") {
		for _, m := range messagePattern.FindAllStringSubmatch(cells[1], -1) {
			if _, ok := coded[m[1]]; !ok {
				problems = append(problems, fmt.Sprintf("%s: log message %s does not exist", operationsPage, m[1]))
			}
		}
	}
	return problems, nil
}

// checkYAML reports faults in the example files of the page for operators. The word
// after yaml is the kind of the file.
func checkYAML(_ string, pages map[string]page) ([]string, error) {
	var problems []string
	for _, m := range yamlPattern.FindAllStringSubmatch(pages[operationsPage].text, -1) {
		name, content := m[1], []byte(m[2])
		var err error
		switch name {
		case "services":
			_, err = operator.Parse(name, content)
		case "entry":
			_, err = settings.ParseEntry(name, content)
		case "sidecar":
			_, err = settings.ParseSidecar(name, content)
		default:
			problems = append(problems, fmt.Sprintf("%s: example of an unknown kind %s", operationsPage, name))
		}
		if err != nil {
			problems = append(problems, fmt.Sprintf("%s: example of %s: %s", operationsPage, name, err))
		}
	}
	return problems, nil
}
