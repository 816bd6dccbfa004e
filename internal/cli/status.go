package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/teaseltide/teaseltide/internal/dispatch"
)

type statusCommand struct {
	URL       string `arg:"--url,required" help:"base URL of an entry's operators listener"`
	TokenFile string `arg:"--token-file,required" help:"file with the operators' token"`
	Job       string `arg:"--job" help:"explain the job SERVICE/TEAM/KEY instead"`
	JSON      bool   `arg:"--json" help:"print JSON instead of tables"`
}

const statusTimeout = 10 * time.Second

func (c *statusCommand) run(ctx context.Context, stdout, stderr io.Writer) int {
	if err := c.check(); err != nil {
		return reportError(stderr, ExitUsage, err)
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	path := "/v1/status"
	if c.Job != "" {
		path = "/v1/explain/" + c.Job
	}
	body, err := c.get(ctx, path)
	if err != nil {
		return reportError(stderr, ExitFailure, err)
	}
	if c.JSON {
		_, _ = stdout.Write(body)
		return ExitOK
	}
	if err := render(stdout, body, c.Job != ""); err != nil {
		return reportError(stderr, ExitFailure, err)
	}
	return ExitOK
}

func (c *statusCommand) check() error {
	if parts := strings.Split(c.Job, "/"); c.Job != "" && (len(parts) != 3 || slices.Contains(parts, "")) {
		return errors.Errorf("--job %q is not of the form SERVICE/TEAM/KEY", c.Job)
	}
	return checkURL(c.URL)
}

func (c *statusCommand) get(ctx context.Context, path string) ([]byte, error) {
	token, err := os.ReadFile(c.TokenFile)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(c.URL, "/")+path, nil)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	req.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(token)))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("the entry answered %s: %s%s", resp.Status, strings.TrimSpace(string(body)), refusalHint(resp.StatusCode))
	}
	return body, nil
}

// refusalHint names the argument to correct after an error status.
func refusalHint(status int) string {
	switch status {
	case http.StatusUnauthorized:
		return "; --token-file must hold the token that the entry's settings name in token-file"
	case http.StatusNotFound:
		return "; --url must be the operators-address of the entry's settings"
	}
	return ""
}

func render(out io.Writer, body []byte, job bool) error {
	if job {
		var e dispatch.Explanation
		if err := json.Unmarshal(body, &e); err != nil {
			return errors.WithStack(err)
		}
		return renderExplanation(out, &e)
	}
	var s dispatch.Status
	if err := json.Unmarshal(body, &s); err != nil {
		return errors.WithStack(err)
	}
	return renderStatus(out, &s)
}

const tablePadding = 2

func renderStatus(out io.Writer, s *dispatch.Status) error {
	fmt.Fprintf(out, "entry %s in %s, store up: %t, draining: %t, record revision %d, text revision %d, %d requests\n\n",
		s.Entry, s.Domain, s.StoreUp, s.Draining, s.RecordRevision, s.TextRevision, s.Requests)
	w := tabwriter.NewWriter(out, 0, 0, tablePadding, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tPARTITION\tOWNER\tWORKERS")
	for _, v := range s.Services {
		fmt.Fprintf(w, "%s\t%d\t%s\t%d\n", v.Service, v.Partition, v.Owner, v.Workers)
	}
	fmt.Fprintln(w, "\nWORKER\tSIDECAR\tDOMAIN\tRACK\tSTATE\tSLOTS\tBUSY\tSLOWDOWN\tSTARTS\tFAILURES\tEJECTED")
	for _, v := range s.Workers {
		ejected := "no"
		if v.Ejected {
			ejected = "yes: " + v.EjectionReason
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%.2f\t%d\t%d\t%s\n",
			v.Worker, v.Sidecar, v.Domain, v.Rack, v.State, v.Slots, v.Busy, v.Slowdown, v.Starts, v.Failures, ejected)
	}
	fmt.Fprintln(w, "\nENTRY\tDOMAIN\tCONNECTED\tLEAVING")
	for _, v := range s.Peers {
		fmt.Fprintf(w, "%s\t%s\t%t\t%t\n", v.Entry, v.Domain, v.Connected, v.Leaving)
	}
	fmt.Fprintln(w, "\nPARTITION\tOWNER\tSUCCESSOR\tEPOCH\tMODE\tACTIVE\tHELD\tKNOWN")
	for _, v := range s.Partitions {
		if v.ActiveJobs+v.HeldJobs+v.KnownJobs == 0 {
			continue
		}
		mode := v.Mode
		if v.ClaimsIncomplete {
			mode += ", claims incomplete"
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t%d\t%s\t%d\t%d\t%d\n", v.Partition, v.Owner, v.Successor, v.Epoch, mode, v.ActiveJobs, v.HeldJobs, v.KnownJobs)
	}
	return errors.WithStack(w.Flush())
}

func renderExplanation(out io.Writer, e *dispatch.Explanation) error {
	fmt.Fprintf(out, "%s/%s: %s", e.Service, e.Key, e.Ran)
	if e.Code != "" {
		fmt.Fprintf(out, " (%s: %s)", e.Code, e.Message)
	}
	fmt.Fprintf(out, ", %d ms, %d messages\n\n", e.Elapsed, e.Messages)
	w := tabwriter.NewWriter(out, 0, 0, tablePadding, ' ', 0)
	fmt.Fprintln(w, "AT-MS\tSTEP\tDETAIL")
	for _, d := range e.Decisions {
		fmt.Fprintf(w, "%d\t%s\t%s\n", d.At, d.Step, d.Detail)
	}
	return errors.WithStack(w.Flush())
}
