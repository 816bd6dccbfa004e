package capacity

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"

	"github.com/teaseltide/teaseltide/pkg/operator"
)

const roleOperators = "operators"

// operatorCommands measures what the operators' commands cost.
func operatorCommands(r *Report) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var parse, size, status, statusCPU []Point
	for _, services := range []int{20, 100, 500} {
		text := yamlText(services)
		start := threadTime()
		if _, err := operator.Parse("services.yaml", []byte(text)); err != nil {
			return err
		}
		parse = append(parse, Point{float64(services), micros(threadTime()-start) / 1000})
		size = append(size, Point{float64(services), float64(len(text))})
	}
	r.add(roleOperators, "check a text with 130 teams", "ms", "service", parse...)
	r.add(roleOperators, "bytes of a text with 130 teams", "B", "service", size...)
	for _, workers := range workerSizes {
		b := newEntryBed(workers)
		start := threadTime()
		s := b.core.Status()
		statusCPU = append(statusCPU, Point{float64(workers), micros(threadTime() - start)})
		out, err := json.Marshal(s)
		if err != nil {
			return err
		}
		status = append(status, Point{float64(workers), float64(len(out))})
	}
	r.add(roleOperators, "status, control thread of the entry", "us", "worker", statusCPU...)
	r.add(roleOperators, "status, bytes", "B", "worker", status...)
	return nil
}

// yamlText returns a services text as operators write it.
func yamlText(services int) string {
	const teams = 130
	var b strings.Builder
	b.WriteString("teams:\n")
	for i := range teams {
		fmt.Fprintf(&b, "  - name: team-%03d\n    share: 10\n    max-queued-tasks: 20000\n", i)
	}
	b.WriteString("services:\n")
	for i := range services {
		fmt.Fprintf(&b, "  - name: service-%03d\n    teams: [team-%03d]\n    max-tasks-per-job: 820\n", i, i%teams)
		b.WriteString("    default-deadline: 30s\n    max-deadline: 2m\n")
	}
	return b.String()
}
