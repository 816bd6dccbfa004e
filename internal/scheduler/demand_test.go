package scheduler_test

import "testing"

// Guards against sidecars that cannot tell which of two entries' tasks is due first: the time
// left must refer to the sending of the orders, not to the acceptance of the job.
func TestDemandTellsTheTimeLeft(t *testing.T) {
	b := newSharedTestbed(t)
	b.starts()
	j := job("j", 1, true)
	j.Objective = 1000
	b.submit(j)
	b.advanceFull(200)
	found := false
	for _, sent := range b.sent {
		for _, o := range sent {
			if o.GetDemand() == 0 {
				continue
			}
			found = true
			if got := o.GetDemandDueMs(); got < 800 || got > 1000-3 {
				t.Errorf("time left in the first 200 ms of a job due in 1000 ms: got %d", got)
			}
		}
	}
	if !found {
		t.Error("no demand was sent")
	}
}
