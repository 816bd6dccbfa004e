package admission_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/teaseltide/teaseltide/internal/admission"
	"github.com/teaseltide/teaseltide/pkg/clock"
	"github.com/teaseltide/teaseltide/pkg/operator"
)

const now clock.Millis = 1_000_000

func text() *operator.Text {
	return &operator.Text{
		Teams: []operator.Team{
			{Name: "electricians", Share: 10, MaxQueuedTasks: 30},
			{Name: "office", Share: 1, MaxQueuedTasks: 1000},
		},
		Services: []operator.Service{
			{
				Name: "quoting", DependsOn: []string{"ledger"}, Teams: []string{"electricians"},
				MaxTasksPerJob: 20, MaxPayload: 1024, DefaultDeadline: 30 * clock.Second,
				MaxDeadline: 2 * clock.Minute, RetryBudgetPercent: 10,
			},
			{Name: "ledger", DependsOn: []string{"prices"}},
			{Name: "prices"},
		},
	}
}

func request(change func(*admission.Request)) *admission.Request {
	r := &admission.Request{
		Service: "quoting", Team: "electricians", Tasks: 10, LargestPayload: 100, HasKey: true,
		Fits: true, ServingWorkers: func(string) int { return 11 }, Estimate: 500,
	}
	change(r)
	return r
}

// Guards against a missing refusal and against a refusal with another code than
// the API specifies.
func TestAdmitRefusals(t *testing.T) {
	tests := []struct {
		want   admission.Code
		change func(*admission.Request)
	}{
		{"", func(*admission.Request) {}},
		{admission.UnknownService, func(r *admission.Request) { r.Service = "none" }},
		{admission.UnknownTeam, func(r *admission.Request) { r.Team = "none" }},
		{admission.TeamNotAllowed, func(r *admission.Request) { r.Team = "office" }},
		{admission.TooManyTasks, func(r *admission.Request) { r.Tasks = 21 }},
		{admission.PayloadTooLarge, func(r *admission.Request) { r.LargestPayload = 1025 }},
		{admission.KeyRequired, func(r *admission.Request) { r.NotRepeatable, r.HasKey = true, false }},
		{admission.ExpiryRequired, func(r *admission.Request) { r.NotRepeatable = true }},
		{admission.Expired, func(r *admission.Request) { r.ExpiresAt = now }},
		{admission.ExpiryTooFar, func(r *admission.Request) { r.ExpiresAt = now + 10*clock.Minute + 1 }},
		{"", func(r *admission.Request) { r.NotRepeatable, r.ExpiresAt = true, now+10*clock.Minute }},
		{admission.NoWorker, func(r *admission.Request) { r.ServingWorkers = func(string) int { return 0 } }},
		{admission.DependencyUnavailable, func(r *admission.Request) {
			r.ServingWorkers = func(s string) int {
				if s == "prices" {
					return 0
				}
				return 1
			}
		}},
		{admission.NoWorkerFits, func(r *admission.Request) { r.Fits = false }},
		{admission.DeadlineTooSoon, func(r *admission.Request) { r.DeadlineAt = now + 510 }},
		{admission.DeadlineTooSoon, func(r *admission.Request) { r.DeadlineAt = now - 1 }},
		{admission.DeadlineTooSoon, func(r *admission.Request) { r.Estimate = 29 * clock.Second }},
	}
	for i, tt := range tests {
		t.Run(fmt.Sprintf("%d %s", i, tt.want), func(t *testing.T) {
			c := admission.New(admission.Config{})
			c.SetText(text())
			var got admission.Code
			if refusal := c.Admit(now, request(tt.change)); refusal != nil {
				got = refusal.Code
				if refusal.Message == "" {
					t.Error("refusal without a message")
				}
			}
			if got != tt.want {
				t.Errorf("got code %q, want %q", got, tt.want)
			}
		})
	}
}

// Guards against jobs accepted before a services text is set.
func TestAdmitWithoutText(t *testing.T) {
	got := admission.New(admission.Config{}).Admit(now, request(func(*admission.Request) {}))
	if got == nil || got.Code != admission.NoServicesText {
		t.Errorf("got %v, want code %q", got, admission.NoServicesText)
	}
}

// Guards against wrong counts: the team quota and the queue bound must hold
// after any sequence of admissions, refusals, releases and SetText.
func TestQuotaHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := admission.New(admission.Config{MaxQueued: 40})
		c.SetText(text())
		admitted := map[string][]int{}
		sums := map[string]int{}
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				team := rapid.SampledFrom([]string{"electricians", "office"}).Draw(t, "team")
				tasks := rapid.IntRange(1, 20).Draw(t, "tasks")
				refusal := c.Admit(now, request(func(r *admission.Request) {
					r.Service, r.Team, r.Tasks = "ledger", team, tasks
				}))
				quota := team == "electricians" && sums[team]+tasks > 30
				full := sums["electricians"]+sums["office"]+tasks > 40
				if got, want := refusal == nil, !quota && !full; got != want {
					t.Fatalf("admitted %v, want %v", got, want)
				}
				if refusal == nil {
					admitted[team] = append(admitted[team], tasks)
					sums[team] += tasks
				}
			},
			"release": func(t *rapid.T) {
				team := rapid.SampledFrom([]string{"electricians", "office"}).Draw(t, "team")
				if len(admitted[team]) == 0 {
					// Rapid draws another action.
					t.Skip("nothing to release")
				}
				c.Release(team, "ledger", admitted[team][0])
				sums[team] -= admitted[team][0]
				admitted[team] = admitted[team][1:]
			},
			"text": func(*rapid.T) { c.SetText(text()) },
		})
	})
}

// Guards against retries that multiply the load: after the initial burst,
// reassignments are limited to the configured percentage of accepted tasks.
func TestRetryBudget(t *testing.T) {
	c := admission.New(admission.Config{RetryBurst: 5})
	c.SetText(text())
	countRetries := func() (n int) {
		for c.AllowRetry(now, "quoting") {
			n++
		}
		return n
	}
	if got, want := countRetries(), 5; got != want {
		t.Errorf("got %d retries at first, want %d", got, want)
	}
	c.Admit(now, request(func(r *admission.Request) { r.Tasks = 20 }))
	if got, want := countRetries(), 2; got != want {
		t.Errorf("got %d retries after 20 tasks at 10%%, want %d", got, want)
	}
	if c.AllowRetry(now, "prices") {
		t.Error("a service without a retry budget was allowed a retry")
	}
}

// Guards against deadlines beyond the service's maximum.
func TestDeadline(t *testing.T) {
	c := admission.New(admission.Config{})
	c.SetText(text())
	for _, tt := range []struct{ requested, want clock.Millis }{
		{0, now + 30*clock.Second},
		{now + 40*clock.Second, now + 40*clock.Second},
		{now + 3*clock.Minute, now + 2*clock.Minute},
	} {
		if got := c.Deadline(now, "quoting", tt.requested); got != tt.want {
			t.Errorf("Deadline(%d): got %d, want %d", tt.requested, got, tt.want)
		}
	}
}
