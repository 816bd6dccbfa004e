package fleet

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

const pollInterval = 50 * time.Millisecond

// WaitReady waits until every partition is served by some entry and the owner
// of the service sees all workers.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for {
		missing := f.missing(ctx)
		if missing == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("fleet: not ready: %s", missing)
		case <-time.After(pollInterval):
		}
	}
}

// missing says what keeps the fleet from being ready, or "".
func (f *Fleet) missing(ctx context.Context) string {
	served := 0
	partitions := 0
	ready := false
	for i, e := range f.Entries {
		if !e.Running() {
			continue
		}
		s, err := f.Status(ctx, i)
		if err != nil {
			return err.Error()
		}
		partitions = len(s.Partitions)
		for _, p := range s.Partitions {
			if p.Mode == "serving" {
				served++
			}
		}
		for _, svc := range s.Services {
			ready = ready || svc.Owner == s.Entry && svc.Workers == len(f.Sidecars)
		}
	}
	if served < partitions || partitions == 0 {
		return fmt.Sprintf("%d of %d partitions are served", served, partitions)
	}
	if !ready {
		return "the owner of the service does not see all workers"
	}
	return ""
}
