package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	serviceName = "quote-desk"
	hostName    = "quotes.example"
	maxAttempts = 4
	// callerDeadline is X-Deadline-Ms of the callers.
	callerDeadline = 1500
)

// Bounds of a small deployment (SYSTEM.md, kee-quotes).
const (
	contact  = 3 * time.Second
	finish   = 14 * time.Second
	visible  = 3 * time.Second
	cancelMs = 3 * time.Second
	stopMs   = 50 * time.Millisecond
)

var zones = []string{"khomas-a", "khomas-b", "khomas-c"}

// system is a small deployment: 3 entries and 11 workers with their sidecars as in
// kee-quotes, with stand-ins of the store and the workers.
type system struct {
	dir      string
	record   *record
	store    *store
	entries  []*process
	sidecars []*process
	workers  []*worker
	subnet   string
	port     int
	run      map[string][]string
	closing  atomic.Bool
	// isolated is the gate of the links of the first entry, if it is behind links.
	isolated *gate
}

// process is one process of the project.
type process struct {
	name, ip, settings string
	command            []string
	log                *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
}

// readRoles reads the commands of the roles from deploy/system.toml.
func readRoles() (map[string][]string, error) {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	commands := make(map[string][]string)
	var run []string
	for _, line := range strings.Split(string(data), "\n") {
		key, value, _ := strings.Cut(line, "=")
		value = strings.Trim(strings.TrimSpace(value), `"`)
		switch strings.TrimSpace(key) {
		case "run":
			run = strings.Fields(value)
		case "on":
			commands[value] = run
		}
	}
	if len(commands["edge"]) == 0 || len(commands["side"]) == 0 {
		return nil, errors.New("deploy/system.toml has no role on edge or side")
	}
	return commands, nil
}

// freeNetwork returns a part of the loopback network and a port from which on 20 ports
// are free there.
func freeNetwork() (string, int, error) {
	for range 50 {
		subnet, port := fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250)), 12000+20*rand.IntN(900)
		free := true
		for i := range 20 {
			l, err := net.Listen("tcp", fmt.Sprintf("%s1:%d", subnet, port+i))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return subnet, port, nil
		}
	}
	return "", 0, errors.New("no free ports")
}

func newSystem(rec *record, c scenario) (*system, error) {
	roles, err := readRoles()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "teaseltide-review-")
	if err != nil {
		return nil, err
	}
	s := &system{dir: dir, record: rec, run: roles}
	if s.subnet, s.port, err = freeNetwork(); err != nil {
		return s, err
	}
	if s.store, err = newStore(s.address(250, 9)); err != nil {
		return s, err
	}
	s.store.put("op/config", fmt.Sprintf(`{"version":7,"routes":[{"name":"load-check","host":%q,"prefix":"/load/","kind":"unsafe","timeout_ms":1500,`+
		`"target_latency_ms":60,"priority":0,"service":%q,"max_attempts":%d,"slack_factor":1.6}],"services":[{"name":%q}],"limits":{}}`,
		hostName, serviceName, maxAttempts, serviceName))
	if c.links {
		if err = s.isolateFirstEntry(); err != nil {
			return s, err
		}
	}
	for i := range 3 {
		p, err := s.newProcess("edge", fmt.Sprintf("edge-%s-1", zones[i]), 1+i, zones[i])
		if err != nil {
			return s, err
		}
		s.entries = append(s.entries, p)
	}
	for i := range 11 {
		zone := zones[i%3]
		p, err := s.newProcess("side", fmt.Sprintf("side-%s-%d", zone, 1+i/3), 101+i, zone)
		if err != nil {
			return s, err
		}
		s.sidecars = append(s.sidecars, p)
		labels := []string{"a", fmt.Sprintf("r%d", i/3)}
		if i < c.labelled {
			labels[0] = "b"
		}
		w, err := newWorker(fmt.Sprintf("i-%08x", rand.Uint32()), s.address(101+i, 5), s.address(101+i, 6), zone, 64000, labels, rec)
		if err != nil {
			return s, err
		}
		s.workers = append(s.workers, w)
	}
	return s, nil
}

// begin starts the processes, unless the system could not be prepared.
func (s *system) begin(err error) error {
	if err != nil {
		return err
	}
	for _, p := range s.processes() {
		if err = p.start(); err != nil {
			return err
		}
	}
	return s.waitUntilServing()
}

func (s *system) processes() []*process {
	return append(append([]*process{}, s.entries...), s.sidecars...)
}

func (s *system) address(machine, port int) string {
	return s.subnet + strconv.Itoa(machine) + ":" + strconv.Itoa(s.port+port)
}

// linkDelay and callerDelay are the delays of a message between machines and from a
// caller.
const (
	linkDelay   = 500 * time.Microsecond
	callerDelay = 3 * time.Millisecond
)

// isolateFirstEntry puts the first entry behind links that its gate can cut: to the
// callers, the store, the sidecars and the other entries.
func (s *system) isolateFirstEntry() error {
	s.isolated = newGate()
	view, others := make(map[string]string), map[string]string{s.address(1, 10): s.address(1, 18)}
	links := [][2]string{{s.address(1, 18), s.address(1, 10)}}
	for i := range 11 {
		real, through := s.address(101+i, 10), s.address(101+i, 18)
		view[real] = through
		links = append(links, [2]string{through, real})
	}
	if err := s.store.serveAt(s.address(1, 17), view); err != nil {
		return err
	}
	links = append(links, [2]string{s.address(1, 8), s.address(1, 17)})
	for _, l := range links {
		if err := newLink(l[0], l[1], linkDelay, s.isolated); err != nil {
			return err
		}
	}
	for machine := 2; machine <= 3; machine++ {
		if err := s.store.serveAt(s.address(machine, 8), others); err != nil {
			return err
		}
	}
	return newLink(s.address(1, 16), s.address(1, 1), callerDelay, s.isolated)
}

// newProcess writes the settings of a machine (DEPLOY.md).
func (s *system) newProcess(class, name string, machine int, zone string) (*process, error) {
	ip := s.subnet + strconv.Itoa(machine)
	listen := fmt.Sprintf("frontend = %q\nready = %q\ncontrol_plane = %q\n", s.address(machine, 1), s.address(machine, 7), s.address(machine, 6))
	app, memory, storeAddress := "", 284, s.store.address
	if s.isolated != nil && class == "edge" {
		storeAddress = s.address(machine, 8)
	}
	if class == "side" {
		listen = fmt.Sprintf("control_plane = %q\n", s.address(machine, 6))
		app, memory = fmt.Sprintf("app = %q\nservice = %q\n", s.address(machine, 5), serviceName), 152
	}
	text := fmt.Sprintf(`node_name = %q
role = %q
machine_class = %q
ip = %q
zone = %q
region = "khomas"
port_range = [%d,%d]
seed_nodes = []
bootstrap = true
heartbeat_interval_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform"]
control_mode = "invoke"
%s[zones]
khomas-a = "khomas"
khomas-b = "khomas"
khomas-c = "khomas"
[listen_addrs]
%s[limits]
cpu_fraction = 0.4
cores = 1
memory_mb = %d
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
contact_ms = 3000
ack_timeout_ms = 4000
drain_timeout_ms = 2000
grace_period_s = 6
config_apply_ms = 2000
hold_max_ms = 1000
stop_timeout_ms = 50
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
retransmit_ms = 1300
[platform]
address = %q
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`, name, class, class, ip, zone, s.port+10, s.port+15, app, listen, memory, storeAddress)
	settings := filepath.Join(s.dir, name+".toml")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(s.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	return &process{name: name, ip: ip, settings: settings, command: s.run[class], log: log}, nil
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = exec.Command(p.command[0], p.command[1:]...)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "TEASELTIDE_CONFIG=" + p.settings}
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	return p.cmd.Start()
}

func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(sig)
	}
}

// wait waits until the process has ended.
func (p *process) wait() {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd != nil && cmd.Process != nil {
		_ = cmd.Wait()
	}
}

// kill kills a process and, if away is not 0, starts it again after that time.
func (s *system) kill(p *process, away time.Duration) {
	s.record.logf("fault  SIGKILL of %s", p.name)
	p.signal(syscall.SIGKILL)
	go func() {
		p.wait()
		if away > 0 {
			time.Sleep(away)
			if s.closing.Load() {
				return
			}
			s.record.logf("fault  %s starts again", p.name)
			_ = p.start()
		}
	}()
}

// close ends everything that the case started.
func (s *system) close() {
	s.closing.Store(true)
	for _, p := range s.processes() {
		p.signal(syscall.SIGKILL)
	}
	time.Sleep(200 * time.Millisecond)
	for _, p := range s.processes() {
		p.signal(syscall.SIGKILL)
		_ = p.log.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}

// waitUntilServing waits until each entry has completed jobs on a fleet that is up.
func (s *system) waitUntilServing() error {
	deadline := time.Now().Add(20 * time.Second)
	time.Sleep(2 * time.Second)
	for i, p := range s.entries {
		for {
			j := newJob([]int64{10}, 1, 1000)
			j.bestEffort = true
			if status, _ := s.submit(p, j); status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("entry %d does not serve", i)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	return nil
}

// job is a job of a case. Each step depends on the one before.
type job struct {
	id         string
	spec       spec
	count      int
	cpu        int64
	label      string
	bestEffort bool
	acceptedAt time.Time
	entry      *process
}

func newJob(ms []int64, count int, cpu int64) *job {
	return &job{id: fmt.Sprintf("%016x", rand.Uint64()), spec: spec{Ms: ms, CPU: cpu}, count: count, cpu: cpu}
}

func (j *job) body() []byte {
	text, _ := json.Marshal(j.spec)
	var phases []map[string]any
	for i, ms := range j.spec.Ms {
		phase := map[string]any{"count": j.count, "cpu": j.cpu, "mem_mb": 64, "estimated_ms": ms}
		if i > 0 {
			phase["after"] = []int{i - 1}
		}
		if j.label != "" {
			phase["requirements"] = j.label
		}
		phases = append(phases, phase)
	}
	body := map[string]any{"spec": string(text), "phases": phases}
	if j.bestEffort {
		body["best_effort"] = true
	}
	data, _ := json.Marshal(body)
	return data
}

// stepTasks returns the names of the tasks of a step.
func (j *job) stepTasks(step int) []string {
	var tasks []string
	for i := range j.count {
		tasks = append(tasks, fmt.Sprintf("%s.0.%d.%d", j.id, step, i))
	}
	return tasks
}

func (j *job) tasks() []string {
	var tasks []string
	for step := range j.spec.Ms {
		tasks = append(tasks, j.stepTasks(step)...)
	}
	return tasks
}

func stepOf(task string) int {
	step, _ := strconv.Atoi(strings.Split(task, ".")[2])
	return step
}

var client = &http.Client{Timeout: callerDeadline * time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// call makes a caller's request. The status is 0 without a complete answer.
func (s *system) call(p *process, method, path string, body []byte) (int, []byte) {
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d/load/%s", p.ip, s.port+1, path), bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Host = hostName
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Ms", strconv.Itoa(callerDeadline))
	answer, err := client.Do(r)
	if err != nil {
		s.record.logf("client %s /load/%s at %s: no answer", method, path, p.name)
		return 0, nil
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		s.record.logf("client %s /load/%s at %s: broken off", method, path, p.name)
		return 0, nil
	}
	s.record.logf("client %s /load/%s at %s: %d %s", method, path, p.name, answer.StatusCode, strings.TrimSpace(string(data)))
	return answer.StatusCode, data
}

func (s *system) submit(p *process, j *job) (int, []byte) {
	status, data := s.call(p, http.MethodPost, j.id, j.body())
	if status/100 == 2 && j.acceptedAt.IsZero() {
		j.acceptedAt, j.entry = time.Now(), p
	}
	return status, data
}

// state returns the state of a job as an entry shows it, or the status if that is not
// 200.
func (s *system) state(p *process, j *job) string {
	status, data := s.call(p, http.MethodGet, j.id, nil)
	var answer struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(data, &answer) != nil {
		return strconv.Itoa(status)
	}
	return answer.State
}

// pending returns the number of pending jobs that an entry gives, -1 for no answer.
func (s *system) pending(p *process) int {
	status, data := s.call(p, http.MethodGet, "", nil)
	var answer struct {
		Pending int `json:"pending"`
	}
	if status != http.StatusOK || json.Unmarshal(data, &answer) != nil {
		return -1
	}
	return answer.Pending
}
