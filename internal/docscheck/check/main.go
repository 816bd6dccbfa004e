// Command check compares the documentation with the code and lists the
// differences. It takes the root of the repository as its only argument.
package main

import (
	"fmt"
	"os"

	"github.com/teaseltide/teaseltide/internal/docscheck"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: check ROOT")
		os.Exit(2)
	}
	problems, err := docscheck.Check(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "check:", err)
		os.Exit(1)
	}
	for _, p := range problems {
		fmt.Fprintln(os.Stderr, p)
	}
	if len(problems) > 0 {
		os.Exit(1)
	}
}
