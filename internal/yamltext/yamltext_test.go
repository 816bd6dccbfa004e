package yamltext_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/teaseltide/teaseltide/internal/yamltext"
)

// Guards against a document that ends the process: the library panics on a scalar
// with an unknown tag in place of a list.
func TestDecodeSurvivesLibraryPanic(t *testing.T) {
	var into struct {
		Endpoints []string `yaml:"endpoints"`
	}
	err := yamltext.Decode("f", []byte("endpoints: !000000000000000000000 0"), &into)
	var got *yamltext.Error
	if !errors.As(err, &got) || got.Kind != yamltext.Syntax || got.Position != (yamltext.Position{File: "f"}) {
		t.Errorf("got %v, want an error of kind %s in f", err, yamltext.Syntax)
	}
}

func ExampleDecode() {
	var into struct {
		Name string `yaml:"name"`
	}
	err := yamltext.Decode("f", []byte("name: a\nlabel: b\n"), &into)
	fmt.Println(err)
	// Output: f:2:1: unknown field "label" (unknown-field)
}
