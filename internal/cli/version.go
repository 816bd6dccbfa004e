package cli

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"
)

type versionCommand struct{}

func (*versionCommand) run(_ context.Context, stdout, _ io.Writer) int {
	fmt.Fprintln(stdout, versionText())
	return ExitOK
}

// versionText describes the build, from the build information embedded by the Go
// toolchain.
func versionText() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "teaseltide, built without build information"
	}
	text := "teaseltide " + info.Main.Version + " " + info.GoVersion
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" || s.Key == "vcs.time" || s.Key == "vcs.modified" {
			text += " " + s.Key + "=" + s.Value
		}
	}
	return text
}
