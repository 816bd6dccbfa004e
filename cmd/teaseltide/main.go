// Command teaseltide runs the processes of the dispatcher and the operators'
// commands.
package main

import (
	"os"

	"github.com/teaseltide/teaseltide/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
