package gate

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/teaseltide/teaseltide/internal/wire"
)

// Guards against a job that is lost or found by another id when jobs share a
// key, and against an order that depends on deletions.
func TestJobTableKeepsOrder(t *testing.T) {
	tab := newJobTable()
	const jobs = 600
	const shared = 3
	id := func(i int) JobID {
		return JobID{Service: "s", Team: fmt.Sprint("t", i%shared), Key: fmt.Sprint("k", i/shared)}
	}
	for i := range jobs {
		tab.Add(&job{id: id(i)})
	}
	isKept := func(i int) bool { return i%7 == 0 }
	for i := range jobs {
		if !isKept(i) {
			tab.Delete(tab.Get(id(i)))
		}
	}
	var got, want []JobID
	for j := range tab.All() {
		got = append(got, j.id)
	}
	for i := range jobs {
		j := tab.Get(id(i))
		if isKept(i) != (j != nil) || j != nil && j.id != id(i) {
			t.Errorf("got row %v for %v, want it kept %t", j, id(i), isKept(i))
		}
		if isKept(i) {
			want = append(want, id(i))
		}
	}
	if !slices.Equal(got, want) || tab.Len() != len(want) {
		t.Errorf("got %d rows %v, want %v", tab.Len(), got, want)
	}
	if got := len(tab.rows); got != len(want) {
		t.Errorf("got %d entries for %d jobs after the deletions, want no gaps", got, len(want))
	}
}

// Guards against jobs that are skipped when jobs are deleted during the
// iteration, as sweep does.
func TestJobTableDeletesWhileIterating(t *testing.T) {
	tab := newJobTable()
	const jobs = 300
	for i := range jobs {
		tab.Add(&job{id: JobID{Key: fmt.Sprint(i)}})
	}
	seen := 0
	for j := range tab.All() {
		seen++
		tab.Delete(j)
	}
	if seen != jobs || tab.Len() != 0 || len(tab.byKey) != 0 {
		t.Errorf("got %d jobs seen, %d left and %d keys, want %d, 0 and 0", seen, tab.Len(), len(tab.byKey), jobs)
	}
}

// Guards against a task that starts twice because it is not found by its index.
func TestTaskListFindsEveryIndex(t *testing.T) {
	var list taskList
	indexes := []uint32{7, 0, 819, 3, 5, 4, 6}
	for _, i := range indexes {
		list.Put(&task{index: i})
	}
	replacement := &task{index: 5, attempt: 2}
	list.Put(replacement)
	if got, want := list.Len(), len(indexes); got != want {
		t.Errorf("got %d tasks, want %d", got, want)
	}
	for _, i := range indexes {
		if got := list.Get(i); got == nil || got.index != i {
			t.Errorf("got task %v for index %d", got, i)
		}
	}
	if list.Get(5) != replacement || list.Get(1) != nil {
		t.Errorf("got %v and %v, want the replacement of task 5 and no task 1", list.Get(5), list.Get(1))
	}
}

// Guards against a result that is dropped before older ones: its task was
// accepted, reported as not started and accepted again, so it is listed twice.
func TestTaskAcceptedAgainKeepsItsResult(t *testing.T) {
	h := newReadyHarness()
	h.message(owner, withAttempt(dispatchOf("k", 2, "hash", 0, 0), 1))
	h.finish(0, wire.Outcome_OUTCOME_NOT_STARTED, "")
	h.message(owner, withAttempt(dispatchOf("k", 2, "hash", 0, 0, 1), 2))
	result := strings.Repeat("r", int(h.cfg.MaxResultBytes)*3/5)
	h.finish(1, wire.Outcome_OUTCOME_DONE, result)
	h.finish(0, wire.Outcome_OUTCOME_DONE, result)
	fetch := &wire.Fetch{Partition: partitionID, Epoch: 2, Service: service, Team: "t", Key: "k"}
	h.message(owner, &wire.Envelope{Body: &wire.Envelope_Fetch{Fetch: fetch}})
	h.wantCommands(t, "entry-a results k 0:DONE 1:RESULT_DROPPED")
}
