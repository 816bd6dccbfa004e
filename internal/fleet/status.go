package fleet

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/teaseltide/teaseltide/internal/dispatch"
)

// Status returns the status of an entry.
func (f *Fleet) Status(ctx context.Context, entry int) (dispatch.Status, error) {
	var s dispatch.Status
	err := getJSON(ctx, f.OperatorURL(entry)+"/v1/status", f.Token(), &s)
	return s, err
}

// Explain returns what an entry knows of a job.
func (f *Fleet) Explain(ctx context.Context, entry int, j Job) (*dispatch.Explanation, error) {
	e := &dispatch.Explanation{}
	url := fmt.Sprintf("%s/v1/explain/%s/%s/%s", f.OperatorURL(entry), j.Service, j.Team, j.Key)
	if err := getJSON(ctx, url, f.Token(), e); err != nil {
		return nil, err
	}
	return e, nil
}

// SidecarStatus is the part of a sidecar's status that tests look at.
type SidecarStatus struct {
	Ready        bool  `json:"ready"`
	TextRevision int64 `json:"text-revision"`
}

// SidecarStatus returns the status of a sidecar.
func (f *Fleet) SidecarStatus(ctx context.Context, worker int) (SidecarStatus, error) {
	var s SidecarStatus
	err := getJSON(ctx, f.SidecarURL(worker)+"/v1/status", f.Token(), &s)
	return s, err
}

// Metric returns the value of a series at the operators' listener of a process,
// 0 if the process has not counted it yet. The series is written as in the text
// format, with its labels in alphabetical order.
func (f *Fleet) Metric(ctx context.Context, operatorURL, series string) (float64, error) {
	all, err := f.Metrics(ctx, operatorURL)
	return all[series], err
}

// Metrics returns the values of all series at the operators' listener of a
// process by their names with labels, as in the text format.
func (f *Fleet) Metrics(ctx context.Context, operatorURL string) (map[string]float64, error) {
	body, err := get(ctx, operatorURL+"/metrics", f.Token())
	if err != nil {
		return nil, err
	}
	return parseMetrics(string(body))
}

func parseMetrics(text string) (map[string]float64, error) {
	all := make(map[string]float64)
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		// The values of labels may hold spaces.
		end := strings.LastIndexByte(line, ' ')
		if end < 0 {
			return nil, errors.Errorf("fleet: metric %q has no value", line)
		}
		value, err := strconv.ParseFloat(line[end+1:], 64)
		if err != nil {
			return nil, errors.Wrapf(err, "fleet: metric %s", line[:end])
		}
		all[line[:end]] = value
	}
	return all, nil
}

// Owner returns the index of the running entry that serves the service.
func (f *Fleet) Owner(ctx context.Context) (int, error) {
	for i, e := range f.Entries {
		if !e.Running() {
			continue
		}
		s, err := f.Status(ctx, i)
		if err != nil {
			return 0, err
		}
		for _, svc := range s.Services {
			if svc.Service == f.Shape.Service && svc.Owner == s.Entry {
				return i, nil
			}
		}
	}
	return 0, errors.Errorf("fleet: no entry serves %s", f.Shape.Service)
}
