package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	host        = "jobs.example"
	prefix      = "/queue/"
	serviceName = "quote-desk"
)

// system is an installation of the project's programs with stand-ins.
type system struct {
	record   *record
	store    *store
	entries  []*process
	sidecars []*process
	workers  []*worker
	folder   string
	commands map[string][]string
	client   *http.Client

	// cpus holds the CPU of the first step of each job.
	cpusMu sync.Mutex
	cpus   map[string]int64
}

// process is a program of the project at an address of its own.
type process struct {
	sys      *system
	role, ip string
	name     string
	settings string
	front    *front

	mu   sync.Mutex
	cmd  *exec.Cmd
	gone chan struct{}
}

// size is the size of an installation.
type size struct {
	entries int
	workers []capacity
	// config is the operator's configuration.
	config string
	decide func(w *worker, task string, attempt int64) plan
}

// capacity is that of a worker, its CPU in thousandths of a core.
type capacity struct {
	cpu, gpu int64
	kind     string
}

// cpuWorkers returns the capacity of n workers of 64 cores.
func cpuWorkers(n int) []capacity {
	workers := make([]capacity, n)
	for i := range workers {
		workers[i] = capacity{cpu: 64000, kind: "a"}
	}
	return workers
}

// configuration returns a configuration with one queue.
func configuration(maxAttempts, targetLatency int) string {
	return fmt.Sprintf(`{"version":1,"routes":[{"name":"r","host":%q,"prefix":%q,"kind":"unsafe","timeout_ms":5000,"target_latency_ms":%d,`+
		`"priority":0,"service":%q,"max_attempts":%d,"slack_factor":1.6}],"services":[{"name":%q}],"limits":{}}`,
		host, prefix, targetLatency, serviceName, maxAttempts, serviceName)
}

var roleLine = regexp.MustCompile(`(?m)^run\s*=\s*"([^"]+)"`)

// deployCommands reads the commands of the deploy file.
func deployCommands(path string) (map[string][]string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	commands := make(map[string][]string)
	for _, match := range roleLine.FindAllStringSubmatch(string(data), -1) {
		words := strings.Fields(match[1])
		commands[words[len(words)-1]] = words
	}
	if commands["entry"] == nil || commands["sidecar"] == nil {
		return nil, errors.New("the deploy file has no entry or sidecar")
	}
	return commands, nil
}

// newSubnet returns the first three numbers of free loopback addresses.
func newSubnet() (string, error) {
	for i := range 200 {
		n := os.Getpid() + 251*i
		subnet := fmt.Sprintf("127.%d.%d.", 60+n/250%150, 1+n%250)
		l, err := net.Listen("tcp", subnet+"1:7310")
		if err == nil {
			_ = l.Close()
			return subnet, nil
		}
	}
	return "", errors.New("no free addresses")
}

func newSystem(rec *record, folder string, z size) (*system, error) {
	commands, err := deployCommands("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	subnet, err := newSubnet()
	if err != nil {
		return nil, err
	}
	s := &system{record: rec, folder: folder, commands: commands, cpus: map[string]int64{}, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
	if s.store, err = newStore(subnet + "250:7300"); err != nil {
		return nil, err
	}
	s.store.put("op/config", z.config)
	for i, c := range z.workers {
		p, err := s.newProcess("sidecar", fmt.Sprint("side-", i+1), fmt.Sprint(subnet, 60+i), i)
		if err != nil {
			return s, err
		}
		w := &worker{
			id: fmt.Sprint("i-", i+1), address: p.ip + ":7301", reportTo: p.ip + ":7302", service: serviceName, zone: zoneOf(i), cpu: c.cpu, gpu: c.gpu,
			labels: []string{c.kind, fmt.Sprint("r", i/3+1)}, decide: z.decide, record: rec,
		}
		if err = w.start(); err != nil {
			return nil, err
		}
		s.workers = append(s.workers, w)
		s.sidecars = append(s.sidecars, p)
	}
	for i := range z.entries {
		p, err := s.newProcess("entry", fmt.Sprint("edge-", i+1), fmt.Sprint(subnet, 1+i), i)
		if err != nil {
			return s, err
		}
		s.entries = append(s.entries, p)
	}
	for _, p := range append(append([]*process(nil), s.sidecars...), s.entries...) {
		if err = p.start(); err != nil {
			return s, err
		}
	}
	return s, nil
}

func zoneOf(i int) string { return []string{"zone-a", "zone-b", "zone-c"}[i%3] }

func (s *system) newProcess(role, name, ip string, i int) (*process, error) {
	class, serves := "edge", "edge"
	storeAddress := ip + ":7305"
	f, err := s.store.newFront(storeAddress)
	if err != nil {
		return nil, err
	}
	app := ""
	listen := fmt.Sprintf("frontend = %q\nready = %q\n", ip+":7303", ip+":7304")
	if role == "sidecar" {
		class, serves = "side", "side"
		app = fmt.Sprintf("app = %q\nservice = %q\n", ip+":7301", serviceName)
		listen = fmt.Sprintf("control_plane = %q\n", ip+":7302")
	}
	text := fmt.Sprintf(`node_name = %q
role = %q
machine_class = %q
serves = [%q]
ip = %q
zone = %q
region = "region"
port_range = [7310, 7325]
seed_nodes = []
bootstrap = true
heartbeat_interval_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform"]
control_mode = "invoke"
%s[zones]
zone-a = "region"
zone-b = "region"
zone-c = "region"
[listen_addrs]
%s[limits]
cpu_fraction = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_timeout_ms = 4000
drain_timeout_ms = 2000
grace_period_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
recovery_s = 12
hold_max_ms = 1000
stop_timeout_ms = 50
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
lease_ms = 3000
retransmit_ms = 1300
[platform]
address = %q
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`, name, role, class, serves, ip, zoneOf(i), app, listen, storeAddress)
	p := &process{front: f, sys: s, role: role, name: name, ip: ip, settings: filepath.Join(s.folder, name+".toml")}
	return p, os.WriteFile(p.settings, []byte(text), 0o600)
}

// start starts the program.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(p.sys.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	words := p.sys.commands[p.role]
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "TEASELTIDE_CONFIG=" + p.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err = cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.gone = cmd, make(chan struct{})
	p.sys.record.note("%s started", p.name)
	gone := p.gone
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		p.mu.Lock()
		p.cmd = nil
		p.mu.Unlock()
		close(gone)
	}()
	return nil
}

// signal sends a signal and returns a channel that is closed when the process has ended.
func (p *process) signal(sig syscall.Signal) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		ended := make(chan struct{})
		close(ended)
		return ended
	}
	_ = p.cmd.Process.Signal(sig)
	p.sys.record.note("%s gets %v", p.name, sig)
	return p.gone
}

func (p *process) kill() { <-p.signal(syscall.SIGKILL) }

// close ends all processes and stand-ins.
func (s *system) close() {
	for _, p := range append(append([]*process(nil), s.entries...), s.sidecars...) {
		p.kill()
	}
	for _, w := range s.workers {
		w.close()
	}
	s.store.close()
}

// call makes a request of a client at an entry. The status is 0 without an answer.
func (s *system) call(p *process, method, id, body string) (int, string) {
	const deadline = 4 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+p.ip+":7303"+prefix+id, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = host
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if body != "" {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := s.client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, strings.TrimSpace(string(data))
}

// submit hands a job in until it is accepted, as a client does, at the entries in turn.
func (s *system) submit(first int, id, body string, limit time.Duration) bool {
	s.recordCPU(id, body)
	until := time.Now().Add(limit)
	for i := first; time.Now().Before(until); i++ {
		p := s.entries[i%len(s.entries)]
		status, text := s.call(p, http.MethodPost, id, body)
		s.record.note("POST %s at %s: %d %s", id, p.name, status, text)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks the entries in turn for the state of a job, "" if none tells.
func (s *system) state(id string) string {
	for _, p := range s.entries {
		status, text := s.call(p, http.MethodGet, id, "")
		var answer struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal([]byte(text), &answer) == nil {
			return answer.State
		}
		if status == http.StatusGone {
			return "gone"
		}
	}
	return ""
}

// shown is state with a line in the record.
func (s *system) shown(id string) string {
	state := s.state(id)
	s.record.note("GET %s: %q", id, state)
	return state
}

// awaitState waits until a job has one of the states and returns the last one.
func (s *system) awaitState(id string, limit time.Duration, states ...string) string {
	last := "-"
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		state := s.state(id)
		if state != last {
			s.record.note("GET %s: %q", id, state)
			last = state
		}
		for _, want := range states {
			if state == want {
				return state
			}
		}
	}
	return last
}

// waitFor waits until a condition holds and reports whether it did.
func waitFor(limit time.Duration, condition func() bool) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(2 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// phase is a step of a job.
type phase struct {
	Count     int    `json:"count"`
	CPU       int64  `json:"cpu"`
	Memory    int64  `json:"mem_mb"`
	GPU       int64  `json:"gpu,omitempty"`
	Estimated int64  `json:"estimated_ms"`
	Label     string `json:"requirements,omitempty"`
	After     []int  `json:"after,omitempty"`
}

func jobBody(spec string, phases ...phase) string {
	data, _ := json.Marshal(map[string]any{"spec": spec, "phases": phases})
	return string(data)
}

// owner returns the entry that owns an open job, nil if there is none. It looks for the
// names of the entries in the record of the job.
func (s *system) owner(id string) *process {
	for _, key := range s.store.keys("teaseltide/open/") {
		if !strings.HasSuffix(key, id) {
			continue
		}
		value := s.store.value(key)
		for _, p := range s.entries {
			if bytes.Contains(value, []byte(p.name+"-")) {
				return p
			}
		}
	}
	return nil
}

// recordCPU keeps the CPU of the tasks of a job's first step.
func (s *system) recordCPU(id, body string) {
	var job struct {
		Phases []phase `json:"phases"`
	}
	if json.Unmarshal([]byte(body), &job) != nil || len(job.Phases) == 0 {
		return
	}
	s.cpusMu.Lock()
	defer s.cpusMu.Unlock()
	s.cpus[id] = job.Phases[0].CPU
}

// cpuOf returns the CPU of a task.
func (s *system) cpuOf(task string) int64 {
	s.cpusMu.Lock()
	defer s.cpusMu.Unlock()
	return s.cpus[jobOf(task)]
}
