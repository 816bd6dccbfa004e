// Command teaseltide-standin simulates the external systems of teaseltide, the store
// and a backend server, and runs a demo and a load test of a complete installation
// on loopback. It is for tests and demonstrations only.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/lesismal/nbio/logging"

	"github.com/teaseltide/teaseltide/internal/fleet"
	"github.com/teaseltide/teaseltide/internal/standin/backend"
	"github.com/teaseltide/teaseltide/internal/standin/store"
)

type arguments struct {
	Store   *storeCommand   `arg:"subcommand:store" help:"run a stand-in for the store"`
	Backend *backendCommand `arg:"subcommand:backend" help:"run a stand-in for a backend server"`
	Demo    *demoCommand    `arg:"subcommand:demo" help:"start an installation, submit jobs and check the answers"`
	Load    *loadCommand    `arg:"subcommand:load" help:"start an installation, raise the offered load in steps and print the figures of each"`
	Local   *localCommand   `arg:"subcommand:local" help:"start an installation on loopback and keep it until interrupted"`
}

type storeCommand struct {
	Listen string `arg:"--listen" default:"127.0.0.1:2379" help:"IP address and port to serve on"`
}

func (c *storeCommand) run(ctx context.Context) error {
	return store.Run(ctx, store.Settings{Listen: c.Listen})
}

type backendCommand struct {
	Name        string   `arg:"--name,required" help:"name of the worker"`
	Service     []string `arg:"--service,required" help:"services to serve"`
	Slots       int      `arg:"--slots" default:"8" help:"tasks that run at once"`
	Connections int      `arg:"--connections" default:"64" help:"connections that the sidecar may open"`
	Speed       float64  `arg:"--speed" default:"1" help:"divides the run time of every task"`
	Sidecar     string   `arg:"--sidecar,required" help:"IP address and port that takes the announcements"`
	Listen      string   `arg:"--listen,required" help:"IP address and port to serve on"`
	Journal     string   `arg:"--journal" help:"file that gets a line with the id of every task started"`
	Mode        string   `arg:"--mode" default:"serve" help:"serve, fail-all, freeze or leave"`
}

func (c *backendCommand) run(ctx context.Context) error {
	return backend.Run(ctx, backend.Settings{
		Name: c.Name, Services: c.Service, Slots: c.Slots, Connections: c.Connections, Speed: c.Speed,
		MemoryMiB: 256 << 10, CPUs: 64, Sidecar: c.Sidecar, Listen: c.Listen, Mode: backend.Mode(c.Mode),
		Journal: c.Journal,
	})
}

// programDir selects the directory of the programs that an installation runs.
type programDir struct {
	Bin string `arg:"--bin" help:"directory of the programs; by default that of this one"`
}

func (p *programDir) path() (string, error) {
	if p.Bin != "" {
		return p.Bin, nil
	}
	self, err := os.Executable()
	return filepath.Dir(self), err
}

type demoCommand struct {
	programDir
}

func (c *demoCommand) run(ctx context.Context) error {
	bin, err := c.path()
	if err != nil {
		return err
	}
	return fleet.Demo(ctx, bin, os.Stdout)
}

type loadCommand struct {
	programDir
	P99Limit float64       `arg:"--p99-limit" default:"2" help:"p99 of response over ideal that ends the steps"`
	Step     time.Duration `arg:"--step" default:"8s" help:"duration of the arrivals of a step"`
	Seed     uint64        `arg:"--seed" default:"1" help:"determines the jobs and their times of arrival"`
	Prefetch int           `arg:"--prefetch" default:"0" help:"tasks bound to a worker beyond its free slots"`
}

func (c *loadCommand) run(ctx context.Context) error {
	bin, err := c.path()
	if err != nil {
		return err
	}
	return fleet.Load(ctx, bin, fleet.LoadSettings{P99Limit: c.P99Limit, StepDuration: c.Step, Seed: c.Seed, Prefetch: c.Prefetch}, os.Stdout)
}

type localCommand struct {
	programDir
}

func (c *localCommand) run(ctx context.Context) error {
	bin, err := c.path()
	if err != nil {
		return err
	}
	return fleet.Local(ctx, bin, os.Stdout)
}

func main() {
	logging.SetLevel(logging.LevelNone)
	var a arguments
	p := arg.MustParse(&a)
	cmd, ok := p.Subcommand().(interface{ run(context.Context) error })
	if !ok {
		p.Fail("a subcommand is required")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := cmd.run(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "teaseltide-standin:", err)
		os.Exit(1)
	}
}
