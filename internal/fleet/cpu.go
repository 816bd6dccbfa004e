package fleet

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// clockTick is the unit of times in /proc/PID/stat. The kernel reports them to
// programs in hundredths of a second whatever its own timer is.
const clockTick = 10 * time.Millisecond

// Fields of /proc/PID/stat after the command's name, see proc(5): utime is
// field 14 and stime field 15, and the state after the name is field 3.
const (
	utimeField = 14 - 3
	stimeField = 15 - 3
)

// parseCPU returns utime+stime from the content of /proc/PID/stat.
func parseCPU(stat string) (time.Duration, error) {
	// The name is in parentheses and may itself hold spaces and parentheses.
	end := strings.LastIndexByte(stat, ')')
	if end < 0 {
		return 0, errors.New("fleet: stat has no command name")
	}
	fields := strings.Fields(stat[end+1:])
	if len(fields) <= stimeField {
		return 0, errors.Errorf("fleet: stat has %d fields after the command name", len(fields))
	}
	var ticks int64
	for _, field := range []int{utimeField, stimeField} {
		n, err := strconv.ParseInt(fields[field], 10, 64)
		if err != nil {
			return 0, errors.Wrap(err, "fleet: stat")
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick, nil
}

// cpuTime returns the CPU time that processes have used so far.
func cpuTime(pids ...int) (time.Duration, error) {
	var total time.Duration
	for _, pid := range pids {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		if err != nil {
			return 0, errors.Wrap(err, "fleet: CPU time")
		}
		used, err := parseCPU(string(data))
		if err != nil {
			return 0, err
		}
		total += used
	}
	return total, nil
}

func pids(processes []*Process) []int {
	var ids []int
	for _, p := range processes {
		ids = append(ids, p.PID())
	}
	return ids
}
