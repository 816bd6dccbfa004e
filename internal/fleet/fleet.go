// Package fleet starts the processes of a small installation on loopback, for
// the demo, the load command and the tests of failures: the store's stand-in,
// entries, and backend servers with their sidecars. It is a tool for this
// repository and not part of the dispatcher.
package fleet

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Shape is the size of an installation.
type Shape struct {
	Domains int
	Entries int
	Workers int
	Slots   int
	// Service that all workers serve.
	Service string
	Team    string
	// Prefetch is the number of tasks bound to a worker beyond its free slots.
	Prefetch int
	// Speed returns the speed of a worker; the run time of a task is divided
	// by it.
	Speed func(worker int) float64
}

// Kavango is the installation in khomas: three failure domains, 11 workers
// with 8 slots, whose speeds differ by 4 times.
func Kavango() Shape {
	return Shape{
		Domains: 3, Entries: 3, Workers: 11, Slots: 8, Service: "quoting", Team: "electricians",
		Speed: func(worker int) float64 { return 1 + 3*float64(worker)/10 },
	}
}

// Fleet is a running installation.
type Fleet struct {
	Shape    Shape
	Store    *Process
	Entries  []*Process
	Sidecars []*Process
	Backends []*Process

	dir string
	bin string
	// addresses holds the loopback address of each purpose, such as
	// entry-0/callers.
	addresses map[string]string
}

// ServicesText returns a services text for the shape.
func (s *Shape) ServicesText() string {
	return fmt.Sprintf(`teams:
  - name: %s
    share: 1
    max-queued-tasks: 20000
services:
  - name: %s
    max-tasks-per-job: 820
    default-deadline: 30s
    max-deadline: 2m
    prefetch: %d
`, s.Team, s.Service, s.Prefetch)
}

// startLogLines is the number of lines of each log in the error of Start.
const startLogLines = 20

// Start starts all processes of a shape. Programs are taken from the directory
// bin; settings and logs go to a new temporary directory that Close removes.
func Start(ctx context.Context, bin string, shape Shape) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "teaseltide-fleet-")
	if err != nil {
		return nil, errors.Wrap(err, "fleet: make directory")
	}
	f := &Fleet{Shape: shape, dir: dir, bin: bin, addresses: make(map[string]string)}
	if err := f.start(ctx); err != nil {
		err = errors.Wrapf(err, "logs:\n%s", f.Logs(startLogLines))
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	if err := f.writeFile("token", "fleet-token\n"); err != nil {
		return err
	}
	f.Store = f.process("store", "teaseltide-standin", "store", "--listen", f.address("store"))
	if err := f.Store.Start(); err != nil {
		return err
	}
	if err := waitTCP(ctx, f.address("store")); err != nil {
		return err
	}
	if err := f.Apply(ctx, f.Shape.ServicesText()); err != nil {
		return err
	}
	for i := range f.Shape.Entries {
		if err := f.startEntry(i); err != nil {
			return err
		}
	}
	for i := range f.Shape.Workers {
		if err := f.startWorker(i); err != nil {
			return err
		}
	}
	return f.WaitReady(ctx)
}

func (f *Fleet) startEntry(i int) error {
	name := fmt.Sprintf("entry-%d", i)
	settings := f.settings(name, i) + fmt.Sprintf("callers-address: %s\n", f.address(name+"/callers"))
	if err := f.writeFile(name+".yaml", settings); err != nil {
		return err
	}
	p := f.process(name, "teaseltide", "entry", filepath.Join(f.dir, name+".yaml"))
	f.Entries = append(f.Entries, p)
	return p.Start()
}

// settings returns the settings that entries and sidecars share.
func (f *Fleet) settings(name string, i int) string {
	return fmt.Sprintf(`name: %s
failure-domain: domain-%d
peers-address: %s
operators-address: %s
store:
  endpoints: [http://%s]
token-file: %s
`, name, i%f.Shape.Domains, f.address(name+"/peers"), f.address(name+"/operators"),
		f.address("store"), filepath.Join(f.dir, "token"))
}

func (f *Fleet) startWorker(i int) error {
	name := fmt.Sprintf("sidecar-%d", i)
	settings := f.settings(name, i) + fmt.Sprintf("worker: worker-%d\nrack: rack-%d\nannounce-address: %s\n", i, i/3, f.address(name+"/announce"))
	if err := f.writeFile(name+".yaml", settings); err != nil {
		return err
	}
	sidecar := f.process(name, "teaseltide", "sidecar", filepath.Join(f.dir, name+".yaml"))
	f.Sidecars = append(f.Sidecars, sidecar)
	if err := sidecar.Start(); err != nil {
		return err
	}
	server := fmt.Sprintf("backend-%d", i)
	b := f.process(server, "teaseltide-standin", "backend",
		"--name", fmt.Sprintf("worker-%d", i), "--service", f.Shape.Service, "--slots", fmt.Sprint(f.Shape.Slots),
		"--connections", "64", "--speed", fmt.Sprint(f.Shape.Speed(i)),
		"--sidecar", f.address(name+"/announce"), "--listen", f.address(server), "--journal", f.journal(i))
	f.Backends = append(f.Backends, b)
	return b.Start()
}

// journal returns the path of the file in which a backend server notes starts.
func (f *Fleet) journal(worker int) string {
	return filepath.Join(f.dir, fmt.Sprintf("backend-%d.starts", worker))
}

// process describes a process without starting it.
func (f *Fleet) process(name, program string, args ...string) *Process {
	return &Process{Name: name, path: filepath.Join(f.bin, program), args: args, log: filepath.Join(f.dir, name+".log")}
}

// address returns the loopback address for a purpose, the same one each time.
func (f *Fleet) address(purpose string) string {
	a, ok := f.addresses[purpose]
	if !ok {
		a = FreeAddress()
		f.addresses[purpose] = a
	}
	return a
}

// CallerURL returns the base URL at which an entry serves callers.
func (f *Fleet) CallerURL(entry int) string {
	return "http://" + f.address(fmt.Sprintf("entry-%d/callers", entry))
}

// OperatorURL returns the base URL at which an entry serves operators.
func (f *Fleet) OperatorURL(entry int) string {
	return "http://" + f.address(fmt.Sprintf("entry-%d/operators", entry))
}

// SidecarURL returns the base URL at which a sidecar serves operators.
func (f *Fleet) SidecarURL(worker int) string {
	return "http://" + f.address(fmt.Sprintf("sidecar-%d/operators", worker))
}

// StoreURL returns the base URL of the store's stand-in.
func (f *Fleet) StoreURL() string {
	return "http://" + f.address("store")
}

// BackendURL returns the base URL of a backend server.
func (f *Fleet) BackendURL(worker int) string {
	return "http://" + f.address(fmt.Sprintf("backend-%d", worker))
}

// PeerAddress returns the address at which a sidecar takes sessions of entries.
func (f *Fleet) PeerAddress(worker int) string {
	return f.address(fmt.Sprintf("sidecar-%d/peers", worker))
}

// Token returns the token for operators.
func (f *Fleet) Token() string {
	return "fleet-token"
}

// TokenFile returns the path of the file with the token.
func (f *Fleet) TokenFile() string {
	return filepath.Join(f.dir, "token")
}

func (f *Fleet) writeFile(name, content string) error {
	return errors.Wrap(os.WriteFile(filepath.Join(f.dir, name), []byte(content), 0o600), "fleet: write file")
}

// Apply applies a services text with the operators' command.
func (f *Fleet) Apply(ctx context.Context, text string) error {
	if err := f.writeFile("services.yaml", text); err != nil {
		return err
	}
	out, err := f.Command(ctx, "apply", filepath.Join(f.dir, "services.yaml"), "--store", f.StoreURL())
	return errors.Wrapf(err, "fleet: apply: %s", out)
}

// Close ends all processes and removes the files.
func (f *Fleet) Close() {
	for _, group := range [][]*Process{f.Backends, f.Sidecars, f.Entries, {f.Store}} {
		for _, p := range group {
			p.Kill()
		}
	}
	_ = os.RemoveAll(f.dir)
}

// Logs returns the last lines of every process's log, for a test that failed.
func (f *Fleet) Logs(lines int) string {
	var b strings.Builder
	for _, group := range [][]*Process{{f.Store}, f.Entries, f.Sidecars, f.Backends} {
		for _, p := range group {
			if p != nil {
				fmt.Fprintf(&b, "== %s\n%s\n", p.Name, p.Tail(lines))
			}
		}
	}
	return b.String()
}

func waitTCP(ctx context.Context, address string) error {
	for {
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", address)
		if err == nil {
			return c.Close()
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(err, "fleet: wait for %s", address)
		case <-time.After(10 * time.Millisecond):
		}
	}
}
