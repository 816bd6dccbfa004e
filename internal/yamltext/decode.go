package yamltext

import (
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/pkg/errors"
)

// Decode decodes a document into a struct. Unknown and repeated keys are errors. The
// error is an *Error with file as its File; its Line is 0 if the library gave no
// position.
func Decode(file string, data []byte, into any) error {
	err := unmarshal(data, into)
	var fault *Error
	if errors.As(err, &fault) {
		fault.File = file
	}
	return err
}

func unmarshal(data []byte, into any) (err error) {
	defer recoverInto("decode", &err)
	if err := yaml.UnmarshalWithOptions(data, into, yaml.Strict()); err != nil {
		return libraryError("decode", err)
	}
	return nil
}

// Keys looks up the positions of keys in a document.
type Keys struct {
	file string
	// tree is nil if the document cannot be parsed.
	tree *ast.File
}

// ParseKeys parses a document that Decode has accepted.
func ParseKeys(file string, data []byte) *Keys {
	// Without a syntax tree, Position returns only the file.
	tree, _ := parse(data)
	return &Keys{file: file, tree: tree}
}

// Position returns the position of the value of a key, such as store.prefix, or only
// the file if the document does not contain the key.
func (k *Keys) Position(key string) Position {
	fallback := Position{File: k.file}
	if k.tree == nil {
		return fallback
	}
	path, err := yaml.PathString("$." + key)
	if err != nil {
		return fallback
	}
	node, err := path.FilterFile(k.tree)
	if err != nil || node == nil {
		return fallback
	}
	return positionOf(node.GetToken(), fallback)
}
