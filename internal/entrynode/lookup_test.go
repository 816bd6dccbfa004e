package entrynode

import (
	"context"
	"fmt"
	"testing"

	"go.uber.org/zap"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/jobstore"
	"github.com/teaseltide/teaseltide/internal/platform"
)

// readCountingStore has one open job with an unreadable record and counts the reads.
type readCountingStore struct {
	platform.Transactor
	keys    jobstore.Keys
	open    string
	failing bool
	reads   int
}

func (s *readCountingStore) Get(_ context.Context, key string) (platform.KeyValue, error) {
	s.reads++
	if s.failing {
		return platform.KeyValue{}, &platform.Error{Kind: platform.Unknown}
	}
	if key == s.open {
		return platform.KeyValue{Key: key, ModRevision: 7}, nil
	}
	return platform.KeyValue{Key: key}, nil
}

func (s *readCountingStore) Range(context.Context, platform.Scope, platform.Revision) (platform.Listing, error) {
	s.reads++
	if s.failing {
		return platform.Listing{}, &platform.Error{Kind: platform.Unknown}
	}
	return platform.Listing{KeyValues: []platform.KeyValue{{Key: s.open, Value: []byte("x"), ModRevision: 7}}, Revision: 9}, nil
}

// Guards against two reads of the store for each unclaimed run: after the loss of all
// entries and sidecars, all runs of best-effort jobs are unclaimed.
func TestManyUnclaimedRunsCostOneListing(t *testing.T) {
	keys := jobstore.Keys{Prefix: "t/"}
	for name, c := range map[string]struct {
		jobs, maxReads int
		failing        bool
	}{
		"few":          {jobs: 3, maxReads: 6},
		"many":         {jobs: 200, maxReads: 1},
		"many-failing": {jobs: 200, maxReads: 1, failing: true},
	} {
		t.Run(name, func(t *testing.T) {
			store := &readCountingStore{keys: keys, open: keys.OpenPrefix() + "job-1", failing: c.failing}
			p := &Process{settings: Settings{Keys: keys}, deps: Deps{Store: store, Log: zap.NewNop()}, ctx: t.Context()}
			var runs []batch.RunID
			for i := range c.jobs {
				runs = append(runs, batch.RunID{TaskID: batch.TaskID{Job: batch.JobID(fmt.Sprintf("job-%d", i))}})
			}
			isOpen := p.openJobsAmong(runs)
			for _, id := range runs {
				if got, want := isOpen[id.Job], c.failing || id.Job == "job-1"; got != want {
					t.Errorf("%s open: got %v, want %v", id.Job, got, want)
				}
			}
			if store.reads > c.maxReads {
				t.Errorf("reads: got %d, want at most %d", store.reads, c.maxReads)
			}
		})
	}
}
