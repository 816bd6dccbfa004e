package fleet

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Process is one process of a fleet. Its methods are not safe for concurrent
// use.
type Process struct {
	Name string
	path string
	args []string
	log  string
	cmd  *exec.Cmd
	done chan struct{}
}

// Start starts the process, or starts it again after it has ended.
func (p *Process) Start() error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "fleet: open log")
	}
	// The child has its own copy of the descriptor.
	defer func() { _ = log.Close() }()
	p.cmd = exec.Command(p.path, p.args...) //nolint:gosec,noctx // Programs of this repository, ended by Kill or Stop.
	p.cmd.Stdout = log
	p.cmd.Stderr = log
	if err := p.cmd.Start(); err != nil {
		return errors.Wrapf(err, "fleet: start %s", p.Name)
	}
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(p.cmd, p.done)
	return nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	if p.Running() {
		_ = p.cmd.Process.Signal(s)
	}
}

// Running tells whether the process has not ended.
func (p *Process) Running() bool {
	if p == nil || p.cmd == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	if !p.Running() {
		return
	}
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Stop asks the process to stop and waits for its end, at most for limit. It
// returns the exit code, or an error if the process did not end.
func (p *Process) Stop(limit time.Duration) (int, error) {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-time.After(limit):
		return 0, errors.Errorf("fleet: %s did not stop within %s", p.Name, limit)
	}
}

// Pause stops the process without ending it; Resume lets it go on.
func (p *Process) Pause() { p.Signal(syscall.SIGSTOP) }

// Resume lets a paused process go on.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// PID returns the process id.
func (p *Process) PID() int {
	return p.cmd.Process.Pid
}

// PeakMemory returns the largest resident memory so far in bytes.
func (p *Process) PeakMemory() (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return 0, errors.Wrap(err, "fleet: peak memory")
	}
	return parsePeakMemory(string(data))
}

// parsePeakMemory reads VmHWM from the content of /proc/PID/status.
func parsePeakMemory(status string) (float64, error) {
	for line := range strings.Lines(status) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kib, err := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 64)
			return kib * 1024, errors.Wrap(err, "fleet: peak memory")
		}
	}
	return 0, errors.New("fleet: status has no VmHWM")
}

// Tail returns the last lines of the log.
func (p *Process) Tail(lines int) string {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	all := strings.Split(strings.TrimSpace(string(data)), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

// Command runs an operators' command of the teaseltide program and returns its
// output.
func (f *Fleet) Command(ctx context.Context, args ...string) (string, error) {
	cmd := exec.CommandContext(ctx, filepath.Join(f.bin, "teaseltide"), args...) //nolint:gosec // A program of this repository.
	out, err := cmd.CombinedOutput()
	return string(out), err
}
