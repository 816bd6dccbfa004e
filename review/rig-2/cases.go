package main

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"
)

func init() {
	cases["listing"] = listing
	cases["attempts"] = attempts
	cases["crashes"] = crashes
	cases["accelerator"] = accelerator
	cases["waiting"] = waiting
	cases["blocked"] = blocked
	cases["cursor"] = cursor
	cases["forgotten"] = forgotten
}

// current is the system of the case, which main closes.
var current *system

func begin(rec *record, folder string, z size) (*system, error) {
	s, err := newSystem(rec, folder, z)
	current = s
	if err != nil {
		return nil, err
	}
	// All sessions have begun once every entry has had a job done.
	for i, p := range s.entries {
		id := fmt.Sprintf("%015x%x", 0xabc, i)
		until := time.Now().Add(15 * time.Second)
		for {
			status, _ := s.call(p, "POST", id, jobBody("start", phase{Count: 1, CPU: 1000, Memory: 16, Estimated: 10}))
			if status == 200 {
				break
			}
			if time.Now().After(until) {
				return nil, errors.New(p.name + " does not serve")
			}
			time.Sleep(100 * time.Millisecond)
		}
		if state := s.awaitState(id, 10*time.Second, "complete"); state != "complete" {
			return nil, errors.New("the first job of " + p.name + " is " + state)
		}
	}
	rec.note("all entries serve")
	return s, nil
}

// targetLatency is target_latency_ms of the queue.
const targetLatency = 600

// restartDelay is the short delay after which a process that was killed starts again.
const restartDelay = 100 * time.Millisecond

// listing kills the sidecar of a worker that has more ends without acknowledgement than
// one answer holds. Ten jobs come at once, each of 819 short tasks and one longer one.
func listing(rec *record, folder string) ([]string, error) {
	const (
		short, long = 20 * time.Millisecond, 3 * time.Second
		jobs        = 10
		shortTasks  = 819
	)
	s, err := begin(rec, folder, size{
		entries: 3, workers: cpuWorkers(3), config: configuration(4, targetLatency),
		decide: func(_ *worker, task string, _ int64) plan {
			if stepOf(task) == 1 {
				return plan{long, endDone}
			}
			return plan{short, endDone}
		},
	})
	if err != nil {
		return nil, err
	}
	body := jobBody("quotes", phase{Count: shortTasks, CPU: 1000, Memory: 64, Estimated: short.Milliseconds()},
		phase{Count: 1, CPU: 1000, Memory: 64, Estimated: long.Milliseconds()})
	var ids []string
	accepted := make(chan bool, jobs)
	for i := range jobs {
		id := fmt.Sprintf("%016x", 0xb100+i)
		ids = append(ids, id)
		go func() { accepted <- s.submit(i, id, body, 10*time.Second) }()
	}
	for range jobs {
		if !<-accepted {
			return nil, errors.New("job not accepted")
		}
	}
	w, p := s.workers[0], s.sidecars[0]
	const unseen = 32
	if !waitFor(20*time.Second, func() bool { return w.unacknowledged() >= listedEnds+unseen }) {
		return nil, errors.New("the ends never exceeded one answer")
	}
	rec.note("worker %s has %d ends without acknowledgement and %d active runs", w.id, w.unacknowledged(), w.active())
	if trouble {
		if err = p.restart(); err != nil {
			return nil, err
		}
	}
	for _, id := range ids {
		if state := s.awaitState(id, 40*time.Second, "complete", "failed", "cancelled", "gone"); state != "complete" {
			return rec.checkTwice(), fmt.Errorf("job %s is %q", id, state)
		}
	}
	// The last ends are acknowledged within seconds.
	time.Sleep(4 * time.Second)
	return rec.checkTwice(), nil
}

// restart kills a process, which starts again after the short delay.
func (p *process) restart() error {
	p.kill()
	time.Sleep(restartDelay)
	return p.start()
}

// jobOf and stepOf return parts of the name of a task, ID.K.STEP.INDEX.
func jobOf(task string) string { return strings.Split(task, ".")[0] }

func stepOf(task string) int {
	step, _ := strconv.Atoi(strings.Split(task, ".")[2])
	return step
}

// attempts stops and starts the entries in turn while a job whose task fails waits for
// a worker.
func attempts(rec *record, folder string) ([]string, error) {
	const (
		maxAttempts = 2
		failing     = "00000000000000d0"
		first       = "00000000000000f1"
		second      = "00000000000000f2"
		third       = "00000000000000f3"
	)
	s, err := begin(rec, folder, size{
		entries: 3, workers: cpuWorkers(2), config: configuration(maxAttempts, targetLatency),
		decide: func(_ *worker, task string, _ int64) plan {
			switch jobOf(task) {
			case failing:
				return plan{300 * time.Millisecond, endFailed}
			case first, second, third:
				return plan{100 * time.Second, endDone}
			}
			return plan{10 * time.Millisecond, endDone}
		},
	})
	if err != nil {
		return nil, err
	}
	large := func(estimated int64) string {
		return jobBody("quote", phase{Count: 1, CPU: 40000, Memory: 64, Estimated: estimated})
	}
	runsOf := func(id string) int { return len(rec.byTask()[id+".0.0.0"]) }
	// Two jobs take both workers, and the failing one waits.
	for i, id := range []string{first, second} {
		if !s.submit(1+i, id, large(30_000), 10*time.Second) || !waitFor(5*time.Second, func() bool { return runsOf(id) == 1 }) {
			return nil, errors.New("a job did not start")
		}
	}
	if !s.submit(0, failing, large(300), 10*time.Second) {
		return nil, errors.New("the failing job was not accepted")
	}
	stop := func(p *process) error {
		if !trouble || p == nil {
			return nil
		}
		rec.note("the failing job is owned by %s", p.name)
		select {
		case <-p.signal(syscall.SIGTERM):
		case <-time.After(gracePeriod):
			p.kill()
		}
		time.Sleep(restartDelay)
		return p.start()
	}
	if err = stop(s.owner(failing)); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	// The first worker becomes free, and the job fails there once. Another job takes the
	// room before the next worker is free.
	s.finish(first)
	if !waitFor(20*time.Second, func() bool { return runsOf(failing) == 1 }) {
		return nil, errors.New("the failing job did not start")
	}
	if !s.submit(1, third, large(30_000), 10*time.Second) || !waitFor(10*time.Second, func() bool { return runsOf(third) == 1 }) {
		return nil, errors.New("the third job did not start")
	}
	time.Sleep(3 * time.Second)
	if err = stop(s.owner(failing)); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	s.finish(second)
	waitFor(20*time.Second, func() bool { return runsOf(failing) >= 2 })
	time.Sleep(2 * time.Second)
	s.finish(third)
	s.awaitState(failing, 15*time.Second, "failed", "complete", "cancelled", "gone")
	time.Sleep(2 * time.Second)
	return rec.checkBudget(maxAttempts), nil
}

// gracePeriod is grace_period_s of the settings.
const gracePeriod = 6 * time.Second

// finish ends the runs of a job as done.
func (s *system) finish(id string) {
	for _, w := range s.workers {
		w.mu.Lock()
		for _, r := range w.running {
			if jobOf(r.run.task) == id {
				r.plan.takes = 0
			}
		}
		w.mu.Unlock()
	}
}

// crashes crashes the worker of a job's task three times, each time another one.
func crashes(rec *record, folder string) ([]string, error) {
	const (
		maxAttempts = 4
		id          = "00000000000000c1"
		takes       = 10 * time.Second
		away        = 4500 * time.Millisecond
		times       = 3
	)
	s, err := begin(rec, folder, size{
		entries: 3, workers: cpuWorkers(7), config: configuration(maxAttempts, targetLatency),
		decide: func(_ *worker, task string, _ int64) plan {
			if jobOf(task) == id {
				return plan{takes, endDone}
			}
			return plan{10 * time.Millisecond, endDone}
		},
	})
	if err != nil {
		return nil, err
	}
	if !s.submit(0, id, jobBody("quote", phase{Count: 1, CPU: 6200, Memory: 64, Estimated: takes.Milliseconds()}), 10*time.Second) {
		return nil, errors.New("job not accepted")
	}
	for range times {
		if !trouble {
			break
		}
		var hit *worker
		if !waitFor(15*time.Second, func() bool {
			for _, w := range s.workers {
				if w.active() > 0 {
					hit = w
				}
			}
			return hit != nil
		}) {
			break
		}
		time.Sleep(2 * time.Second)
		hit.crash()
		time.Sleep(away)
		if err = hit.start(); err != nil {
			return nil, err
		}
		time.Sleep(2 * time.Second)
	}
	state := s.awaitState(id, 40*time.Second, "complete", "failed", "cancelled", "gone")
	failed := 0
	for _, run := range rec.byTask()[id+".0.0.0"] {
		if run.how == endFailed {
			failed++
		}
	}
	var broken []string
	if state == "failed" && failed < maxAttempts {
		broken = append(broken, fmt.Sprintf("job %s is shown as failed after %d ends failed, of %d attempts", id, failed, maxAttempts))
	}
	if state != "failed" && state != "complete" {
		return broken, fmt.Errorf("the job is %q", state)
	}
	return broken, nil
}

// idle returns since when a task has had no run, given its runs. The zero time means that
// one is active.
func idle(runs []run, from time.Time) time.Time {
	for _, r := range runs {
		if r.endedAt.IsZero() {
			return time.Time{}
		}
		if r.endedAt.After(from) {
			from = r.endedAt
		}
	}
	return from
}

// accelerator crashes the only worker with accelerators under the task of a job that needs
// one. The worker comes back.
func accelerator(rec *record, folder string) ([]string, error) {
	const (
		id     = "00000000000000a1"
		takes  = 4 * time.Second
		away   = 4500 * time.Millisecond
		finish = 14 * time.Second
		stalls = 3 * time.Second
	)
	workers := cpuWorkers(7)
	workers[0].gpu = 4
	s, err := begin(rec, folder, size{
		entries: 3, workers: workers, config: configuration(4, targetLatency),
		decide: func(_ *worker, task string, _ int64) plan {
			if jobOf(task) == id {
				return plan{takes, endDone}
			}
			return plan{10 * time.Millisecond, endDone}
		},
	})
	if err != nil {
		return nil, err
	}
	if !s.submit(0, id, jobBody("quote", phase{Count: 1, CPU: 6200, Memory: 64, GPU: 1, Estimated: takes.Milliseconds()}), 10*time.Second) {
		return nil, errors.New("job not accepted")
	}
	w := s.workers[0]
	if !waitFor(10*time.Second, func() bool { return w.active() == 1 }) {
		return nil, errors.New("the job did not start on the worker with accelerators")
	}
	time.Sleep(time.Second)
	if trouble {
		w.crash()
		time.Sleep(away)
		if err = w.start(); err != nil {
			return nil, err
		}
	}
	// The traffic has ended; the job is asked for after finish, and then for 3 s more.
	rec.note("the traffic ends")
	time.Sleep(finish)
	return s.checkStalled([]string{id}, stalls, phase{CPU: 6200, Memory: 64, GPU: 1})
}

// checkStalled watches jobs of one task for a time, and returns those that are accepted and
// had nothing running all the while, although there was room for their task twice over
// and under half of the capacity was in use.
func (s *system) checkStalled(ids []string, watch time.Duration, task phase) ([]string, error) {
	from := time.Now()
	stalled := make(map[string]bool)
	for _, id := range ids {
		stalled[id] = true
	}
	for time.Since(from) < watch {
		room, used, total := s.room(task)
		if room < 2 || 2*used >= total {
			return nil, fmt.Errorf("room for %d tasks, %d of %d cores used", room, used, total)
		}
		runs := s.record.byTask()
		for _, id := range ids {
			if idle(runs[id+".0.0.0"], from).IsZero() {
				delete(stalled, id)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	room, used, total := s.room(task)
	s.record.note("for %v there was room for %d tasks, %d of %d thousandths of a core were used", watch, room, used, total)
	var broken []string
	for _, id := range ids {
		if !stalled[id] {
			continue
		}
		switch state := s.shown(id); state {
		case "complete":
		case "active", "queued":
			broken = append(broken, fmt.Sprintf("job %s is shown as %s and has had nothing running for %v", id, state, watch))
		default:
			broken = append(broken, fmt.Sprintf("job %s is shown as %q", id, state))
		}
	}
	return broken, nil
}

// room returns for how many tasks the workers have room, and their used and whole CPU.
func (s *system) room(task phase) (tasks, used, total int64) {
	for _, w := range s.workers {
		w.mu.Lock()
		if w.up {
			var taken int64
			for _, r := range w.running {
				taken += s.cpuOf(r.run.task)
			}
			used, total = used+taken, total+w.cpu
			if task.GPU <= w.gpu && (task.Label == "" || slices.Contains(w.labels, task.Label)) {
				fit := (w.cpu - taken) / task.CPU
				if task.GPU > 0 {
					fit = min(fit, w.gpu/task.GPU)
				}
				tasks += fit
			}
		}
		w.mu.Unlock()
	}
	return tasks, used, total
}

// waiting crashes one of seven workers, while each runs tasks of many jobs that take long.
func waiting(rec *record, folder string) ([]string, error) {
	const (
		jobs   = 600
		takes  = 40 * time.Second
		away   = 4500 * time.Millisecond
		finish = 14 * time.Second
		stalls = 3 * time.Second
	)
	task := phase{Count: 1, CPU: 250, Memory: 64, Estimated: takes.Milliseconds()}
	s, err := begin(rec, folder, size{
		entries: 3, workers: cpuWorkers(7), config: configuration(4, targetLatency),
		decide: func(_ *worker, task string, _ int64) plan {
			if strings.HasPrefix(jobOf(task), "00000000000e") {
				return plan{takes, endDone}
			}
			return plan{10 * time.Millisecond, endDone}
		},
	})
	if err != nil {
		return nil, err
	}
	var ids []string
	accepted := make(chan bool, jobs)
	for i := range jobs {
		id := fmt.Sprintf("00000000000e%04x", i)
		ids = append(ids, id)
		go func() { accepted <- s.submit(i, id, jobBody("quote", task), 10*time.Second) }()
		time.Sleep(5 * time.Millisecond)
	}
	for range jobs {
		if !<-accepted {
			return nil, errors.New("job not accepted")
		}
	}
	rec.note("the traffic ends")
	ended := time.Now()
	time.Sleep(time.Second)
	if trouble {
		rec.note("worker %s has %d active runs", s.workers[0].id, s.workers[0].active())
		s.workers[0].crash()
		time.Sleep(away)
		if err = s.workers[0].start(); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Until(ended.Add(finish)))
	return s.checkStalled(ids, stalls, task)
}

// blocked loses the only worker of a kind for good, while jobs are in a step before the one
// that needs it, and then submits jobs for the workers of the other kind, which are idle.
func blocked(rec *record, folder string) ([]string, error) {
	const (
		before  = 2 * time.Second
		takes   = 40 * time.Second
		jobs    = 120
		others  = 12
		finish  = 14 * time.Second
		stalls  = 3 * time.Second
		waiting = "00000000000e0"
	)
	workers := cpuWorkers(7)
	workers[0].kind = "b"
	s, err := begin(rec, folder, size{
		entries: 3, workers: workers, config: configuration(4, targetLatency),
		decide: func(_ *worker, task string, _ int64) plan {
			switch {
			case strings.HasPrefix(task, waiting) && stepOf(task) == 0:
				return plan{before, endDone}
			case strings.HasPrefix(task, "00000000000e"):
				return plan{takes, endDone}
			}
			return plan{10 * time.Millisecond, endDone}
		},
	})
	if err != nil {
		return nil, err
	}
	accepted := make(chan bool, jobs)
	body := jobBody("quote", phase{Count: 1, CPU: 500, Memory: 64, Estimated: before.Milliseconds(), Label: "a"},
		phase{Count: 1, CPU: 500, Memory: 64, Estimated: takes.Milliseconds(), Label: "b", After: []int{0}})
	for i := range jobs {
		go func() { accepted <- s.submit(i, fmt.Sprintf("%s%03x", waiting, i), body, 10*time.Second) }()
		time.Sleep(2 * time.Millisecond)
	}
	for range jobs {
		if !<-accepted {
			return nil, errors.New("job not accepted")
		}
	}
	time.Sleep(before / 2)
	if trouble {
		s.workers[0].crash()
	}
	time.Sleep(before)
	task := phase{Count: 1, CPU: 1000, Memory: 64, Estimated: (before + takes).Milliseconds(), Label: "a"}
	var ids []string
	for i := range others {
		id := fmt.Sprintf("00000000000ea%03x", i)
		ids = append(ids, id)
		if !s.submit(i, id, jobBody("quote", task), 10*time.Second) {
			return nil, errors.New("job not accepted")
		}
	}
	rec.note("the traffic ends")
	time.Sleep(finish)
	return s.checkStalled(ids, stalls, task)
}

// cursor kills the sidecar of a worker shortly before runs end there, while the store turns
// its machine away, so that the entries find the new sidecar late. The traffic goes on.
func cursor(rec *record, folder string) ([]string, error) {
	const (
		first   = "00000000000000c0"
		takes   = 5 * time.Second
		short   = 200 * time.Millisecond
		turned  = 8 * time.Second
		traffic = 25 * time.Second
		finish  = 14 * time.Second
		stalls  = 3 * time.Second
	)
	s, err := begin(rec, folder, size{
		entries: 3, workers: cpuWorkers(3), config: configuration(4, targetLatency),
		decide: func(_ *worker, task string, _ int64) plan {
			if jobOf(task) == first {
				return plan{takes, endDone}
			}
			return plan{short, endDone}
		},
	})
	if err != nil {
		return nil, err
	}
	p, w := s.sidecars[0], s.workers[0]
	if !s.submit(0, first, jobBody("quote", phase{Count: 24, CPU: 6200, Memory: 64, Estimated: takes.Milliseconds()}), 10*time.Second) {
		return nil, errors.New("job not accepted")
	}
	time.Sleep(takes - 300*time.Millisecond)
	if trouble {
		rec.note("the store turns %s away; worker %s has %d active runs", p.name, w.id, w.active())
		p.front.refuse.Store(true)
		time.AfterFunc(turned, func() {
			p.front.refuse.Store(false)
			rec.note("the store serves %s again", p.name)
		})
		if err = p.restart(); err != nil {
			return nil, err
		}
	}
	time.Sleep(turned + 4*time.Second)
	var ids []string
	until := time.Now().Add(traffic)
	for i := 0; time.Now().Before(until); i++ {
		id := fmt.Sprintf("00000000000e%04x", i)
		body := jobBody("quote", phase{Count: 16, CPU: 1000, Memory: 64, Estimated: short.Milliseconds()})
		if s.submit(i, id, body, 2*time.Second) {
			ids = append(ids, id)
		}
		time.Sleep(30 * time.Millisecond)
	}
	rec.note("the traffic ends; worker %s has %d ends without acknowledgement", w.id, w.unacknowledged())
	time.Sleep(finish)
	return s.checkIdle(append(ids, first), stalls)
}

// checkIdle watches for a time and returns the jobs that are not complete, if no run is
// active and none starts all the while.
func (s *system) checkIdle(ids []string, watch time.Duration) ([]string, error) {
	open := make(map[string]string)
	for _, id := range ids {
		if state := s.shown(id); state != "complete" {
			open[id] = state
		}
	}
	from, runs, active := time.Now(), len(s.record.all()), 0
	for time.Since(from) < watch {
		for _, w := range s.workers {
			active += w.active()
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.record.note("for %v: %d runs started, %d were active; %d of %d jobs are not complete", watch, len(s.record.all())-runs, active, len(open), len(ids))
	for _, w := range s.workers {
		s.record.note("worker %s has %d ends without acknowledgement", w.id, w.unacknowledged())
	}
	if len(open) > 0 && (active > 0 || len(s.record.all()) > runs) {
		return nil, fmt.Errorf("%d jobs are not complete, and some runs are active", len(open))
	}
	var broken []string
	for id := range open {
		if state := s.shown(id); state != "complete" {
			broken = append(broken, fmt.Sprintf("job %s is shown as %q, and nothing has run for %v", id, state, watch))
		}
	}
	return broken, nil
}

// forgotten kills the sidecar of a worker that has more ends without acknowledgement than
// one answer holds, while further jobs come that are due sooner.
func forgotten(rec *record, folder string) ([]string, error) {
	const (
		short, long, urgent = 15 * time.Millisecond, 3 * time.Second, 2 * time.Second
		shortTasks          = 700
		urgentTasks         = 150
		finish              = 14 * time.Second
		stalls              = 3 * time.Second
		first               = "00000000000f"
		second              = "00000000000e"
	)
	s, err := begin(rec, folder, size{
		entries: 3, workers: cpuWorkers(3), config: configuration(4, targetLatency),
		decide: func(_ *worker, task string, _ int64) plan {
			switch {
			case strings.HasPrefix(task, first) && stepOf(task) == 1:
				return plan{long, endDone}
			case strings.HasPrefix(task, second):
				return plan{urgent, endDone}
			}
			return plan{short, endDone}
		},
	})
	if err != nil {
		return nil, err
	}
	var ids []string
	accepted := make(chan bool, 4*len(s.entries))
	submit := func(prefix, body string) {
		for i := range s.entries {
			id := fmt.Sprintf("%s%03x", prefix, i)
			ids = append(ids, id)
			go func() { accepted <- s.submit(i, id, body, 10*time.Second) }()
		}
	}
	w, p := s.workers[0], s.sidecars[0]
	const unseen = 40
	reached := false
	for burst := 0; burst < 3 && !reached; burst++ {
		submit(fmt.Sprint(first, burst), jobBody("quotes", phase{Count: shortTasks, CPU: 1000, Memory: 64, Estimated: short.Milliseconds()},
			phase{Count: 1, CPU: 1000, Memory: 64, Estimated: long.Milliseconds()}))
		reached = waitFor(6*time.Second, func() bool { return w.unacknowledged() >= listedEnds+unseen })
	}
	rec.note("worker %s has %d ends without acknowledgement and %d active runs", w.id, w.unacknowledged(), w.active())
	if !reached {
		return nil, errors.New("the ends never exceeded one answer")
	}
	submit(second+"0", jobBody("quotes", phase{Count: urgentTasks, CPU: 1000, Memory: 64, Estimated: urgent.Milliseconds()}))
	if trouble {
		if err = p.restart(); err != nil {
			return nil, err
		}
	}
	for range ids {
		if !<-accepted {
			return nil, errors.New("job not accepted")
		}
	}
	rec.note("the traffic ends")
	time.Sleep(finish)
	return s.checkIdle(ids, stalls)
}
