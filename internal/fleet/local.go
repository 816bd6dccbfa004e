package fleet

import (
	"context"
	"fmt"
	"io"
)

// Local starts Kavango's installation, prints how to reach it and keeps it
// until ctx ends.
func Local(ctx context.Context, bin string, out io.Writer) error {
	shape := Kavango()
	starting, cancel := context.WithTimeout(ctx, demoLimit)
	defer cancel()
	f, err := Start(starting, bin, shape)
	if err != nil {
		return err
	}
	defer f.Close()
	fmt.Fprintf(out, "%d entries and %d workers serve %q for team %q. Interrupt to stop.\n\n", shape.Entries, shape.Workers, shape.Service, shape.Team)
	fmt.Fprintf(out, "callers=%s\noperators=%s\nstore=%s\ntoken_file=%s\n", f.CallerURL(0), f.OperatorURL(0), f.StoreURL(), f.TokenFile())
	<-ctx.Done()
	return nil
}
