package cli

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// Guards against log lines for single jobs or tasks, and against state changes of
// an entry or a sidecar that are not logged.
func TestLogLines(t *testing.T) {
	core, lines := observer.New(zap.DebugLevel)
	n := newInstallation(t, zap.New(core))
	stopSidecar := n.startSidecar("side")
	t.Cleanup(n.startEntry("entry-0"))
	t.Cleanup(stopSidecar)
	n.awaitService(0)
	before := lines.Len()
	const jobs = 100
	for range jobs {
		if status := n.submit(0, ""); status != 200 {
			t.Fatalf("got status %d, want 200", status)
		}
	}
	// The last state changes of the startup may be logged during the jobs.
	const allowedLateLines = 5
	if added := lines.All()[before:]; len(added) > allowedLateLines {
		t.Errorf("got %d lines during %d jobs of two tasks, such as %q, want none for a job", len(added), jobs, added[0].Message)
	}
	// State changes are detected by a comparison once per second.
	for _, want := range []string{
		"entry started", "registration changed", "services text adopted", "ownership record written", "ownership record adopted",
		"partitions assigned by the record, fencing", "partitions served", "worker changed", "connected",
		"registered", "backend server changed", "partitions ready", "entry connected",
	} {
		for i := 0; lines.FilterMessage(want).Len() == 0; i++ {
			if i == 100 {
				t.Errorf("got no line %q within 5 s", want)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}
