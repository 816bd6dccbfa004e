package sidecarnode

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Guards against two runs of a task at once: a worker that starts again may execute a late
// start until its first listing, which came up to 100 ms after its return. Without such a
// start the pause stays long, since each listing costs processor time.
func TestReturnedWorkerIsListedSoon(t *testing.T) {
	refused := errors.WithMessage(ErrNotSent, "connection refused")
	c := clock.NewManual(1_000_000)
	p := &Process{deps: Deps{Clock: c}}
	for name, tt := range map[string]struct {
		lateStartsUntil clock.Millis
		err             error
		want            time.Duration
	}{
		"answered":                         {1_005_000, nil, listPause},
		"timed out":                        {1_005_000, context.DeadlineExceeded, listPause},
		"refused, late starts possible":    {1_005_000, refused, returnPause},
		"refused, no late starts possible": {1_000_000, refused, retryPause},
		"failed, late starts possible":     {1_005_000, errors.New("status 500"), retryPause},
	} {
		t.Run(name, func(t *testing.T) {
			p.lateStartsUntil.Store(int64(tt.lateStartsUntil))
			if got := p.pauseAfter(tt.err); got != tt.want {
				t.Errorf("pause: got %v, want %v", got, tt.want)
			}
		})
	}
}
