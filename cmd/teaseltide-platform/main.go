// Command teaseltide-platform runs teaseltide on the users' platform.
package main

import (
	"os"

	"github.com/teaseltide/teaseltide/platform"
)

func main() {
	os.Exit(platform.Main(os.Args[1:], os.Stdout, os.Stderr))
}
