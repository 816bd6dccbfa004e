package fleet

import (
	"bytes"
	"context"
	"os"
	"strings"

	"github.com/pkg/errors"

	"github.com/teaseltide/teaseltide/internal/standin/backend"
)

// Counts returns the counts of all running backend servers, by worker.
func (f *Fleet) Counts(ctx context.Context) (map[int]backend.Counts, error) {
	counts := make(map[int]backend.Counts)
	for i, b := range f.Backends {
		if !b.Running() {
			continue
		}
		var c backend.Counts
		if err := getJSON(ctx, f.BackendURL(i)+"/counts", "", &c); err != nil {
			return nil, err
		}
		counts[i] = c
	}
	return counts, nil
}

// Starts returns the workers that started each task, one entry for each start.
// It reads the journals of the backend servers, so that starts at servers that
// have ended since are included.
func (f *Fleet) Starts() (map[string][]int, error) {
	starts := make(map[string][]int)
	for i := range f.Backends {
		data, err := f.readJournal(i)
		if err != nil {
			return nil, err
		}
		for id := range strings.Lines(string(data)) {
			id = strings.TrimSuffix(id, "\n")
			starts[id] = append(starts[id], i)
		}
	}
	return starts, nil
}

// countStarts returns the number of starts in the journals of all backend
// servers.
func (f *Fleet) countStarts() (int, error) {
	total := 0
	for i := range f.Backends {
		data, err := f.readJournal(i)
		if err != nil {
			return 0, err
		}
		total += bytes.Count(data, []byte{'\n'})
	}
	return total, nil
}

// readJournal returns one line for each start at a backend server. A server
// that has started nothing may have no journal.
func (f *Fleet) readJournal(worker int) ([]byte, error) {
	data, err := os.ReadFile(f.journal(worker))
	if err != nil && !os.IsNotExist(err) {
		return nil, errors.Wrap(err, "fleet: read journal")
	}
	return data, nil
}
