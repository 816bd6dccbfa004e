package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

var errNotAccepted = errors.New("a job was not accepted")

// killAway is for_s of node_kill.
const killAway = 3500 * time.Millisecond

// submitTries bounds the submissions of a job that is refused, as on a busy machine.
const submitTries = 10

// submitAll submits jobs to an entry, evenly over a time.
func (s *system) submitAll(p *process, jobs []*job, over time.Duration) error {
	var wg sync.WaitGroup
	for _, j := range jobs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for try := 0; j.acceptedAt.IsZero() && try < submitTries; try++ {
				if status, _ := s.submit(p, j); status/100 != 2 {
					time.Sleep(300 * time.Millisecond)
				}
			}
		}()
		time.Sleep(over / time.Duration(len(jobs)))
	}
	wg.Wait()
	for _, j := range jobs {
		if j.acceptedAt.IsZero() {
			return errNotAccepted
		}
	}
	return nil
}

// awaitTurn returns the tasks of the first step that is not done; those of the steps
// before have ended done.
func (s *system) awaitTurn(j *job) []string {
	for step := range j.spec.Ms {
		var left []string
		for _, task := range j.stepTasks(step) {
			if !s.record.isDone(task) {
				left = append(left, task)
			}
		}
		if len(left) > 0 {
			return left
		}
	}
	return nil
}

// checkFinish applies LOST finish_s after the end of the traffic: each job is known, and
// none has had nothing running for 3 s while a task's turn has come, there is capacity for
// it twice over and under half of the service's capacity is in use.
func (s *system) checkFinish(jobs []*job, trafficEnd time.Time, ask []*process) {
	time.Sleep(time.Until(trafficEnd.Add(finish)))
	used, total := s.usage()
	s.record.logf("%d of %d millicores are in use", used, total)
	for i, j := range jobs {
		state := s.state(ask[i%len(ask)], j)
		if state != "queued" && state != "active" && state != "complete" {
			s.record.breakf("LOST: job %s, accepted at %s, is shown as %s", j.id, j.entry.name, state)
			continue
		}
		if state == "complete" {
			continue
		}
		turn := s.awaitTurn(j)
		idle := s.record.idleSince(j.tasks(), j.acceptedAt)
		hasCapacity := 2*used < total && 2*j.cpu <= total-used
		if len(turn) > 0 && hasCapacity && !idle.IsZero() && time.Since(idle) >= 3*time.Second {
			s.record.breakf("LOST: job %s, accepted at %s, is shown as %s; nothing of it has run for %.1f s, %s waits", j.id, j.entry.name, state, time.Since(idle).Seconds(), turn[0])
		}
	}
}

// usage returns the CPU in use and that of all workers, in millicores.
func (s *system) usage() (used, total int64) {
	for _, w := range s.workers {
		w.mu.Lock()
		if !w.gone {
			total += w.cpu
		}
		for _, a := range w.active {
			used += a.cpu
		}
		w.mu.Unlock()
	}
	return used, total
}

// playOrphan: an entry is killed while the store is slow; some callers' requests arrive
// again at the others seconds after their 2xx, as PROTOCOL.md says.
func playOrphan(s *system, trouble bool) error {
	var jobs []*job
	for range 120 {
		jobs = append(jobs, newJob([]int64{1500, 300}, 1, 1000))
	}
	if err := s.submitAll(s.entries[0], jobs, 700*time.Millisecond); err != nil {
		return err
	}
	if trouble {
		s.record.logf("fault  the store's answers take 60 times as long")
		s.store.setAnswerTime(60 * storeAnswer)
		time.AfterFunc(4500*time.Millisecond, func() { s.store.setAnswerTime(storeAnswer) })
		s.kill(s.entries[0], killAway)
	}
	var wg sync.WaitGroup
	for i, j := range jobs {
		if i%3 != 0 {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			again := *j
			time.Sleep(time.Until(j.acceptedAt.Add(2*time.Second + time.Duration(rand.IntN(1500))*time.Millisecond)))
			s.submit(s.entries[1+i/3%2], &again)
		}()
	}
	wg.Wait()
	s.checkFinish(jobs, time.Now(), s.entries[1:])
	return nil
}

// playFailedTwice: an entry is killed right after it wrote to the store under a
// condition. The tasks fail twice by their own fault; max_attempts is 4.
func playFailedTwice(s *system, trouble bool) error {
	var jobs []*job
	for range 6 {
		j := newJob([]int64{4000}, 1, 6200)
		j.spec.Fail, j.spec.FailMs = 2, 1200
		jobs = append(jobs, j)
	}
	if err := s.submitAll(s.entries[0], jobs, 50*time.Millisecond); err != nil {
		return err
	}
	if trouble {
		var once sync.Once
		s.store.setAfterTxn(func(t txn) bool {
			for _, w := range t.Writes {
				if strings.Contains(w.Key, jobs[0].id) {
					once.Do(func() { s.kill(s.entries[0], killAway) })
				}
			}
			return false
		})
	}
	end := time.Now().Add(6 * time.Second)
	time.Sleep(time.Until(end.Add(finish)))
	for _, j := range jobs {
		state := s.state(s.entries[1], j)
		failed := 0
		for _, r := range s.record.runsOf(j.tasks()[0]) {
			if r.how == "failed" {
				failed++
			}
		}
		if state == "failed" && failed < maxAttempts {
			s.record.breakf("LOST: job %s is shown as failed after %d of %d failed runs", j.id, failed, maxAttempts)
		}
	}
	return nil
}

// playBudget: the store is busy while a task fails again and again.
func playBudget(s *system, trouble bool) error {
	var jobs []*job
	for i := range 40 {
		j := newJob([]int64{900}, 1, 6200)
		if i%20 == 0 {
			j.spec.Fail = 1000
		}
		jobs = append(jobs, j)
	}
	if err := s.submitAll(s.entries[0], jobs, 300*time.Millisecond); err != nil {
		return err
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		s.record.logf("fault  the store answers 503")
		s.store.setBusy(true)
		time.Sleep(4500 * time.Millisecond)
		s.store.setBusy(false)
		s.record.logf("fault  the store is back")
	}
	time.Sleep(6 * time.Second)
	for _, j := range jobs {
		s.state(s.entries[1], j)
		for _, task := range j.tasks() {
			s.checkBudget(task)
		}
	}
	return nil
}

// checkBudget applies BUDGET: no start after max_attempts runs that ended failed, if these
// ends are taken note of.
func (s *system) checkBudget(task string) {
	runs := s.record.runsOf(task)
	for _, r := range runs {
		before := 0
		for _, other := range runs {
			if other.how == "failed" && !other.noted.IsZero() && other.ended.Before(r.started) {
				before++
			}
		}
		if before >= maxAttempts {
			s.record.breakf("BUDGET: %s attempt %d was started after %d failed runs, max_attempts is %d", task, r.attempt, before, maxAttempts)
		}
	}
}

// playGoneWorker: a worker is emptied and taken away with its machine; later an entry is
// killed.
func playGoneWorker(s *system, trouble bool) error {
	if trouble {
		s.record.logf("fault  worker %s is emptied and taken away", s.workers[10].id)
		s.workers[10].setDraining()
		time.Sleep(4 * time.Second)
		s.workers[10].callSidecar("DELETE", nil)
		s.workers[10].leave()
		s.sidecars[10].signal(syscall.SIGTERM)
		s.sidecars[10].wait()
		s.record.logf("fault  its machine is gone")
	}
	var jobs []*job
	for range 60 {
		jobs = append(jobs, newJob([]int64{800, 300}, 2, 1000))
	}
	if err := s.submitAll(s.entries[0], jobs, time.Second); err != nil {
		return err
	}
	if trouble {
		s.kill(s.entries[0], killAway)
	}
	s.checkFinish(jobs, time.Now(), s.entries[1:])
	return nil
}

// playPending: an entry is killed while jobs of a queue wait for a worker.
func playPending(s *system, trouble bool) error {
	var jobs []*job
	for range 12 {
		j := newJob([]int64{6000}, 1, 60000)
		j.label = "b"
		jobs = append(jobs, j)
	}
	if err := s.submitAll(s.entries[0], jobs, 200*time.Millisecond); err != nil {
		return err
	}
	time.Sleep(visible + 2*time.Second + 200*time.Millisecond)
	if trouble {
		s.kill(s.entries[0], killAway)
	}
	for until := time.Now().Add(4 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		for _, p := range s.entries[1:] {
			given := s.pending(p)
			waiting := 0
			for _, j := range jobs {
				if !s.record.hasBegun(j.tasks()[0]) {
					waiting++
				}
			}
			if given >= 0 && 2*given < waiting {
				s.record.breakf("MIXED: %s gives %d as pending; %d jobs were accepted over 5 s before and have not begun", p.name, given, waiting)
			}
		}
	}
	return nil
}

// playLostMark: an entry is killed, and the store loses one answer to a write while
// another entry takes over.
func playLostMark(s *system, trouble bool) error {
	var jobs []*job
	for range 60 {
		jobs = append(jobs, newJob([]int64{1500, 300}, 1, 1000))
	}
	if err := s.submitAll(s.entries[0], jobs, 700*time.Millisecond); err != nil {
		return err
	}
	writesBefore, _ := s.store.counts()
	if trouble {
		var once sync.Once
		s.store.setAfterTxn(func(t txn) bool {
			loses := false
			for _, w := range t.Writes {
				if strings.Contains(w.Key, "/deposed/") {
					once.Do(func() { loses = true })
				}
			}
			if loses {
				s.record.logf("fault  the store loses the answer to the write of %s", t.Writes[0].Key)
			}
			return loses
		})
		s.kill(s.entries[0], killAway)
	}
	// The others go on to take jobs.
	for end := time.Now().Add(4500 * time.Millisecond); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, p := range s.entries[1:] {
			j := newJob([]int64{60}, 1, 1000)
			if s.submit(p, j); !j.acceptedAt.IsZero() {
				jobs = append(jobs, j)
			}
		}
	}
	s.store.setAfterTxn(nil)
	writes, lost := s.store.counts()
	s.record.logf("the store lost the answers to %d of %d writes", lost, writes-writesBefore)
	s.checkFinish(jobs, time.Now(), s.entries[1:])
	return nil
}

// playLostCancel: a job of one entry is cancelled at another, which is killed right after
// it wrote to the store under a condition. The caller cancels again at the third.
func playLostCancel(s *system, trouble bool) error {
	jobs := []*job{newJob([]int64{6000, 2000}, 2, 6200)}
	if err := s.submitAll(s.entries[0], jobs, 0); err != nil {
		return err
	}
	j := jobs[0]
	time.Sleep(500 * time.Millisecond)
	if trouble {
		var once sync.Once
		s.store.setAfterTxn(func(t txn) bool {
			for _, key := range t.Delete {
				if strings.Contains(key, j.id) {
					once.Do(func() { s.kill(s.entries[1], killAway) })
				}
			}
			return false
		})
	}
	status, _ := s.call(s.entries[1], "DELETE", j.id, nil)
	for try := 0; status != 200 && status != 410; try++ {
		if try == 10 {
			return errors.New("the job was not cancelled")
		}
		time.Sleep(200 * time.Millisecond)
		status, _ = s.call(s.entries[2], "DELETE", j.id, nil)
	}
	s.checkCancelled(j, time.Now(), false)
	return nil
}

// playBlocked is playLostMark with more traffic afterwards: 100 jobs of 8 tasks a second.
func playBlocked(s *system, trouble bool) error {
	var jobs []*job
	for range 60 {
		jobs = append(jobs, newJob([]int64{1500, 300}, 1, 1000))
	}
	if err := s.submitAll(s.entries[0], jobs, 700*time.Millisecond); err != nil {
		return err
	}
	if trouble {
		var once sync.Once
		s.store.setAfterTxn(func(t txn) bool {
			loses := false
			for _, w := range t.Writes {
				if strings.Contains(w.Key, "/deposed/") {
					once.Do(func() { loses = true })
				}
			}
			return loses
		})
		s.kill(s.entries[0], killAway)
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for n := range 4000 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			j := newJob([]int64{60}, 8, 4000)
			if s.submit(s.entries[1+n%2], j); !j.acceptedAt.IsZero() {
				mu.Lock()
				jobs = append(jobs, j)
				mu.Unlock()
			}
		}()
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
	s.checkFinish(jobs, time.Now(), s.entries[1:])
	return nil
}

// playDeadOwner: the entry that accepted a job is killed, and the job is cancelled at
// another one.
func playDeadOwner(s *system, trouble bool) error {
	jobs := []*job{newJob([]int64{12000}, 2, 6200)}
	if err := s.submitAll(s.entries[0], jobs, 0); err != nil {
		return err
	}
	j := jobs[0]
	time.Sleep(500 * time.Millisecond)
	if trouble {
		s.kill(s.entries[0], killAway)
		time.Sleep(20 * time.Millisecond)
	}
	if status, _ := s.call(s.entries[1], "DELETE", j.id, nil); status != 200 {
		return errors.New("the job was not cancelled")
	}
	s.checkCancelled(j, time.Now(), true)
	return nil
}

// playCrashes: the worker that runs a long task crashes three times.
func playCrashes(s *system, trouble bool) error {
	jobs := []*job{newJob([]int64{6000}, 1, 6200)}
	if err := s.submitAll(s.entries[0], jobs, 0); err != nil {
		return err
	}
	task := jobs[0].tasks()[0]
	for range 3 {
		time.Sleep(5 * time.Second)
		if !trouble {
			continue
		}
		runs := s.record.runsOf(task)
		for _, w := range s.workers {
			if r := runs[len(runs)-1]; r.worker == w.id && r.ended.IsZero() {
				w.crash(4500 * time.Millisecond)
			}
		}
	}
	time.Sleep(9 * time.Second)
	failed := 0
	for _, r := range s.record.runsOf(task) {
		if r.how == "failed" {
			failed++
		}
	}
	if s.state(s.entries[1], jobs[0]) == "failed" && failed < maxAttempts {
		s.record.breakf("LOST: job %s is shown as failed after %d of %d failed runs", jobs[0].id, failed, maxAttempts)
	}
	return nil
}

// checkCancelled applies UNASKED to a cancelled job: no machine in touch starts a task of it.
// A run that goes on counts only if countsRuns is true, because the rule excuses it while a
// disruption is near.
func (s *system) checkCancelled(j *job, acknowledged time.Time, countsRuns bool) {
	time.Sleep(10 * time.Second)
	s.state(s.entries[2], j)
	for _, task := range j.tasks() {
		for _, r := range s.record.runsOf(task) {
			if r.started.After(acknowledged.Add(cancelMs)) {
				s.record.breakf("UNASKED: %s attempt %d was started %.2f s after the cancellation was acknowledged", task, r.attempt, r.started.Sub(acknowledged).Seconds())
			}
			if r.ended.IsZero() || r.ended.After(acknowledged.Add(cancelMs+stopMs)) {
				note := s.record.logf
				if countsRuns {
					note = s.record.breakf
				}
				note("UNASKED: %s attempt %d ran on for %.2f s after the cancellation was acknowledged", task, r.attempt, r.ended.Sub(acknowledged).Seconds())
			}
		}
	}
}

// playHeldBack: an entry is cut off while a quarter of the callers leave early. It gets
// their requests after the cut, when their jobs run at another entry.
func playHeldBack(s *system, trouble bool) error {
	const leaving, staying = 6, 18
	var conns []net.Conn
	for range leaving {
		conn, err := net.Dial("tcp", s.address(1, 16))
		if err != nil {
			return err
		}
		conns = append(conns, conn)
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		s.record.logf("fault  %s is cut off, callers leave early", s.entries[0].name)
		s.isolated.shut()
	}
	var jobs []*job
	var wg sync.WaitGroup
	for _, conn := range conns {
		j := newJob([]int64{900}, 4, 6200)
		j.bestEffort = true
		jobs = append(jobs, j)
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.submitOn(conn, j, trouble)
			if trouble {
				time.Sleep(retransmit)
				s.submit(s.entries[1], j)
			}
		}()
	}
	for i := range staying {
		j := newJob([]int64{60}, 4, 6200)
		j.bestEffort = true
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.submit(s.entries[1+i%2], j)
		}()
	}
	time.Sleep(heldBackCut)
	if trouble {
		s.record.logf("fault  the cut ends")
		s.isolated.reopen()
	}
	wg.Wait()
	time.Sleep(3 * time.Second)
	for _, j := range jobs {
		for _, task := range j.tasks() {
			s.checkTwice(task)
		}
	}
	return nil
}

// heldBackCut is shorter than for_s of node_cut.
const heldBackCut = 1430 * time.Millisecond

// checkTwice applies the part of TWICE that holds for best-effort jobs.
func (s *system) checkTwice(task string) {
	runs := s.record.runsOf(task)
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			if both := min(sinceBegin(a.ended), sinceBegin(b.ended)) - max(sinceBegin(a.started), sinceBegin(b.started)); both > 0 {
				s.record.breakf("TWICE: %s ran twice at the same time for %d ms, on %s and %s", task, both.Milliseconds(), a.worker, b.worker)
			}
		}
	}
}

var begin = time.Now()

// sinceBegin maps times to durations; the zero time is in the future.
func sinceBegin(t time.Time) time.Duration {
	if t.IsZero() {
		return time.Hour
	}
	return t.Sub(begin)
}

// submitOn submits a job to the first entry on an open connection through its link. If
// leaves is true, the caller closes the connection early, otherwise it waits for the
// answer.
func (s *system) submitOn(conn net.Conn, j *job, leaves bool) {
	defer conn.Close()
	body := j.body()
	fmt.Fprintf(conn, "POST /load/%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s", j.id, hostName, callerDeadline, len(body), body)
	if leaves {
		s.record.logf("client POST /load/%s at %s: leaves after %s", j.id, s.entries[0].name, earlyLeave)
		time.Sleep(earlyLeave)
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(callerDeadline * time.Millisecond))
	answer := make([]byte, 512)
	n, _ := conn.Read(answer)
	line, _, _ := strings.Cut(string(answer[:n]), "\r\n")
	s.record.logf("client POST /load/%s at %s: %s", j.id, s.entries[0].name, line)
}

const (
	// retransmit is retransmit_ms.
	retransmit = 1300 * time.Millisecond
	// earlyLeave is when a caller that gives up leaves.
	earlyLeave = 50 * time.Millisecond
)

// playLateStart: a start gets no answer; its worker crashes, starts again under its id and
// carries the start out.
func playLateStart(s *system, trouble bool) error {
	jobs := []*job{newJob([]int64{9000}, 1, 6200)}
	task := jobs[0].tasks()[0]
	if trouble {
		var once sync.Once
		for _, w := range s.workers {
			w.mu.Lock()
			w.late = func(c call) bool {
				isFirst := false
				if c.Task == task {
					once.Do(func() { isFirst = true })
				}
				if isFirst {
					time.AfterFunc(time.Second, func() { w.rebirth(2 * time.Second) })
				}
				return isFirst
			}
			w.mu.Unlock()
		}
	}
	if err := s.submitAll(s.entries[0], jobs, 0); err != nil {
		return err
	}
	time.Sleep(12 * time.Second)
	s.checkTwice(task)
	return nil
}
