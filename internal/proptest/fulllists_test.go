package proptest

import "testing"

// fullListing is the number of ends in a full listing of a worker.
const fullListing = 500

// fullListSchedules is the number of schedules that TestFullListSchedules runs.
const fullListSchedules = 150

// Guards against ends that a full listing omits: tasks that ran again after they had
// ended, because the inventory of a new sidecar lacked them; and jobs that stayed open,
// because an end that became visible later was reported to nobody or was ignored and
// blocked the acknowledgement of all later ones. A listing has one to four ends, so that
// a few tasks fill it.
func TestFullListSchedules(t *testing.T) {
	kinds := append([]string{"kill-sidecar", "kill-sidecar", "kill-sidecar", "turn-away", "cut-entry"}, storedFaultKinds...)
	for number := range uint64(fullListSchedules) {
		w := newStoredCores(number, 1+int(number%4), 6, unevenFleet{})
		for _, v := range runStored(w, numberedSchedule(number, 31, kinds, 500)) {
			t.Errorf("schedule %d: %s", number, v)
		}
	}
}

// Guards against best-effort jobs without an answer: the ends of unknown jobs, which nobody
// can look up here as if the store were down, filled the listings of a worker. Schedules
// 293 and 358 once showed it.
func TestFullListBestEffortSchedules(t *testing.T) {
	kinds := []string{"pause-entry", "pause-sidecar", "kill-entry", "kill-sidecar", "kill-sidecar", "turn-away", "close"}
	numbers := []uint64{293, 358}
	for number := range uint64(fullListSchedules) {
		numbers = append(numbers, number)
	}
	for _, number := range numbers {
		w := newCores(number)
		w.listLimit = 1 + int(number%4)
		for _, x := range w.sidecars {
			x.core.SetListingLimit(w.listLimit)
		}
		for _, v := range runBestEffort(w, numberedSchedule(number, 32, kinds, 1000)) {
			t.Errorf("schedule %d: %s", number, v)
		}
	}
}
