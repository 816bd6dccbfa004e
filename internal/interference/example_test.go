package interference_test

import (
	"fmt"
	"math/rand/v2"

	"github.com/teaseltide/teaseltide/internal/interference"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Scans take twice as long while an export is active beside them. A backup, which is as
// often active, does not matter.
func Example() {
	learner := interference.New()
	random := rand.New(rand.NewPCG(1, 1))
	now := clock.Millis(1)
	for job := range 400 {
		var export, backup *interference.Run
		took := clock.Millis(80 + random.IntN(40))
		if random.IntN(2) == 0 {
			export = learner.Start(now, "export", interference.Group(fmt.Sprint("export-", job)), 300, 0.1)
			took *= 2
		}
		if random.IntN(2) == 0 {
			backup = learner.Start(now, "backup", interference.Group(fmt.Sprint("backup-", job)), 300, 0.1)
		}
		scan := learner.Start(now, "scan", interference.Group(fmt.Sprint("scan-", job)), 100, 0.1)
		now += took
		learner.End(now, scan, true)
		now += 300 - took
		learner.End(now, export, true)
		learner.End(now, backup, true)
		now += 20
		for _, change := range learner.Evaluate(now) {
			fmt.Println(change.Pair.Slowed, "beside", change.Pair.By, "detected:", change.Detected)
		}
	}
	learner.Start(now, "export", "export-400", 300, 0.1)
	for _, slowdown := range learner.Slowdowns(now) {
		fmt.Println("a further", slowdown.Kind, "would be slowed down:", slowdown.Factor > 170)
	}
	// Output:
	// scan beside export detected: true
	// a further scan would be slowed down: true
}
