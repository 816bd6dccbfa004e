package cli

import (
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"testing"

	"github.com/teaseltide/teaseltide/internal/fleet"
	"github.com/teaseltide/teaseltide/pkg/caller"
)

// Guards against exit codes of submit from which a script cannot determine whether
// the job ran, and against an invalid command line reported as a job outcome.
func TestSubmitExitCodes(t *testing.T) {
	var answer caller.Answer
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		body, _ := answer.JSON()
		w.WriteHeader(answer.Status())
		w.Write(body)
	}))
	defer server.Close()
	dir := t.TempDir()
	job := writeFile(t, filepath.Join(dir, "job.json"), `{"team":"t","service":"pump","key":"k","tasks":[{"payload":1}]}`)
	bad := writeFile(t, filepath.Join(dir, "bad.json"), `{"team":"t"}`)
	for _, c := range []struct {
		ran       caller.Ran
		url, file string
		code      int
	}{
		{caller.Complete, server.URL, job, ExitOK},
		{caller.Failed, server.URL, job, ExitJobFailed},
		{caller.NotRun, server.URL, job, ExitJobNotRun},
		{caller.Unknown, server.URL, job, ExitJobUnknown},
		{caller.Complete, "http://" + fleet.FreeAddress(), job, ExitJobNotRun},
		{caller.Complete, server.Listener.Addr().String(), job, ExitUsage},
		{caller.Complete, server.URL, bad, ExitInvalidFile},
		{caller.Complete, server.URL, filepath.Join(dir, "absent.json"), ExitFailure},
	} {
		answer = caller.Answer{Service: "pump", Key: "k", Ran: c.ran}
		if c.ran != caller.Complete {
			answer.Code = "task-failed"
		}
		if code, stdout, stderr := runProgram("submit", c.file, "--url", c.url); code != c.code || (stdout == "") == (stderr == "") {
			t.Errorf("%s at %s with %s: got exit code %d, output %q and %q, want %d", c.file, c.url, c.ran, code, stdout, stderr, c.code)
		}
	}
}
