package routing_test

import (
	"testing"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/routing"
)

func table(version int64) *routing.Table {
	return &routing.Table{Version: version, Routes: []routing.Route{
		{Name: "short", Host: "a.example", Prefix: "/x/", SlackFactor: 1.6, TargetLatency: 60},
		{Name: "long", Host: "a.example", Prefix: "/x/y/", SlackFactor: 2, TargetLatency: 10},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}}
}

// A job must run on the queue with the longest matching prefix of its own host.
func TestMatch(t *testing.T) {
	for _, tt := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example:8161", "/x/y/1", "long"},
		{"B.example", "/x/y/1", "other"},
		{"a.example", "/z/1", ""},
		{"c.example", "/x/1", ""},
	} {
		got := ""
		if r, ok := table(1).Match(tt.host, tt.path); ok {
			got = string(r.Name)
		}
		if got != tt.want {
			t.Errorf("route of %s%s: got %q, want %q", tt.host, tt.path, got, tt.want)
		}
	}
}

// A version that arrives late must not replace a newer one.
func TestAdoptIgnoresOlderVersions(t *testing.T) {
	var h routing.ActiveTable
	for _, tt := range []struct {
		version int64
		want    bool
	}{{3, true}, {2, false}, {3, false}, {9, true}} {
		if got := h.Adopt(table(tt.version)); got != tt.want {
			t.Errorf("adopt version %d: got %v, want %v", tt.version, got, tt.want)
		}
	}
	if got := h.Current().Version; got != 9 {
		t.Errorf("active version: got %d, want 9", got)
	}
}

// The objective covers the longest chain of steps, not their sum.
func TestObjective(t *testing.T) {
	steps := []batch.Step{{EstimatedRunTime: 100}, {EstimatedRunTime: 50}, {EstimatedRunTime: 200, DependsOn: []int{0}}, {EstimatedRunTime: 10, DependsOn: []int{1}}}
	r := table(1).Routes[0]
	if got, want := r.Objective(steps), 540; int(got) != want {
		t.Errorf("objective: got %d ms, want %d ms", got, want)
	}
}
