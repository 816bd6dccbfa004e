package docscheck

import (
	"fmt"
	"go/ast"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// programs maps each program to the directory that defines its arguments.
var programs = map[string]string{
	"teaseltide":         "internal/cli",
	"teaseltide-standin": "cmd/teaseltide-standin",
}

// flagsBySubcommand maps each subcommand to its flags.
type flagsBySubcommand map[string][]string

var (
	codePattern    = regexp.MustCompile("(?s)```[^\n]*\n(.*?)```|`([^`\n]+)`|(?m)^    (.+)$")
	programPattern = regexp.MustCompile(`(?:^|[\s/(;])(teaseltide(?:-standin)?) ([a-z/]+)([^\n;|]*)`)
	flagPattern    = regexp.MustCompile(`--[a-z-]+`)
)

// checkCommands reports subcommands and flags in code spans and blocks of the
// documentation that do not exist.
func checkCommands(root string, pages map[string]page) ([]string, error) {
	known := make(map[string]flagsBySubcommand)
	for program, dir := range programs {
		found, err := arguments(filepath.Join(root, dir))
		if err != nil {
			return nil, err
		}
		known[program] = found
	}
	var problems []string
	for _, p := range sortedPages(pages) {
		for _, code := range codePattern.FindAllStringSubmatch(p.text, -1) {
			text := strings.ReplaceAll(code[1]+code[2]+code[3], "\\\n", " ")
			for _, m := range programPattern.FindAllStringSubmatch(text, -1) {
				for _, problem := range unknownArguments(known[m[1]], m[2], m[3]) {
					problems = append(problems, fmt.Sprintf("%s: %s %s", p.path, m[1], problem))
				}
			}
		}
	}
	return problems, nil
}

// unknownArguments reports the unknown subcommands and flags of a command line.
// Several subcommands may be joined by slashes.
func unknownArguments(known flagsBySubcommand, subcommands, rest string) []string {
	var problems []string
	for _, name := range strings.Split(subcommands, "/") {
		has, ok := known[name]
		if !ok {
			problems = append(problems, "has no subcommand "+name)
			continue
		}
		for _, flag := range flagPattern.FindAllString(rest, -1) {
			if !slices.Contains(has, flag) {
				problems = append(problems, name+" has no flag "+flag)
			}
		}
	}
	return problems
}

// arguments reads subcommands and flags from the struct tags for go-arg:
// the struct named arguments lists the subcommands, whose own structs list
// their flags.
func arguments(dir string) (flagsBySubcommand, error) {
	structs := make(map[string]*ast.StructType)
	err := visitFiles(dir, func(file *ast.File) {
		ast.Inspect(file, func(n ast.Node) bool {
			if spec, ok := n.(*ast.TypeSpec); ok {
				if s, ok := spec.Type.(*ast.StructType); ok {
					structs[spec.Name.Name] = s
				}
			}
			return true
		})
	})
	if err != nil {
		return nil, err
	}
	found := make(flagsBySubcommand)
	for _, field := range fields(structs["arguments"]) {
		name, ok := strings.CutPrefix(argTag(field), "subcommand:")
		pointer, isPointer := field.Type.(*ast.StarExpr)
		if !ok || !isPointer {
			continue
		}
		found[name] = nil
		if ident, ok := pointer.X.(*ast.Ident); ok {
			// go-arg adds --help to every subcommand.
			found[name] = append([]string{"--help"}, flagsOf(structs, ident.Name)...)
		}
	}
	return found, nil
}

// flagsOf returns the flags of a struct and of its embedded structs.
func flagsOf(structs map[string]*ast.StructType, name string) []string {
	var found []string
	for _, field := range fields(structs[name]) {
		if flag := flagPattern.FindString(argTag(field)); flag != "" {
			found = append(found, flag)
		}
		if embedded, ok := field.Type.(*ast.Ident); ok && len(field.Names) == 0 {
			found = append(found, flagsOf(structs, embedded.Name)...)
		}
	}
	return found
}

func fields(s *ast.StructType) []*ast.Field {
	if s == nil || s.Fields == nil {
		return nil
	}
	return s.Fields.List
}

func argTag(field *ast.Field) string {
	if field.Tag == nil {
		return ""
	}
	tag, err := strconv.Unquote(field.Tag.Value)
	if err != nil {
		return ""
	}
	return reflect.StructTag(tag).Get("arg")
}
