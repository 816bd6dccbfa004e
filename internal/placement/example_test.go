package placement_test

import (
	"fmt"

	"github.com/teaseltide/teaseltide/internal/placement"
)

func Example() {
	p := placement.New(placement.Config{})
	p.SetWorker(0, placement.Worker{ID: "w1-a", Name: "w1", Services: []string{"quoting"}, Slots: 8})
	job := placement.JobID{Service: "quoting", Team: "electricians", Key: "7"}
	p.Enqueue(0, job, []placement.Task{{Index: 0, Declared: 200}, {Index: 1, Declared: 400}})
	for _, b := range p.Plan(0) {
		fmt.Println(b.Worker, "gets tasks", b.Tasks[0].Index, "and", b.Tasks[1].Index)
	}
	p.RecordOutcome(300, job, "w1-a", 0, placement.Succeeded, 250)
	// Output: w1-a gets tasks 1 and 0
}
