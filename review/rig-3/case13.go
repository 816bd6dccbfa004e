package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	finish     = 14 * time.Second // finish_s
	idleLimit  = 3 * time.Second
	goneBefore = 8 * time.Second
	killAfter  = 1500 * time.Millisecond
	chainRunMs = 900
	chainJobs  = 5
)

// playTakeover loses a worker for good, and some seconds later the entry that has
// accepted jobs of several steps.
func playTakeover(s *system, trouble string) (verdict, error) {
	owner, other := s.entries[2], s.entries[1]
	if trouble == "" || trouble == "worker" {
		s.record.add("worker is lost for good", "worker", s.workers[5].id)
		s.workers[5].crashForGood()
	}
	time.Sleep(goneBefore)
	var jobs []string
	for n := range chainJobs {
		id := jobID(0x1301 + n)
		chain := []step{{count: 4, cpu: 1000}, {4, 1000, []int{0}}, {4, 1000, []int{1}}, {4, 1000, []int{2}}}
		if status, _, _ := s.send(owner, http.MethodPost, routePrefix+id, body(chainRunMs, false, chain...), 3*time.Second); status != http.StatusOK {
			return verdict{}, fmt.Errorf("a job was not accepted: status %d", status)
		}
		jobs = append(jobs, id)
	}
	end := time.Now()
	s.record.add("end of the traffic")
	time.Sleep(killAfter)
	if trouble == "" || trouble == "entry" {
		owner.kill()
	}
	time.Sleep(time.Until(end.Add(finish)))
	asked := time.Now()
	states := make(map[string]string)
	for _, id := range jobs {
		states[id] = s.state(other, id)
	}
	time.Sleep(time.Until(asked.Add(idleLimit + 200*time.Millisecond)))
	idle := 0
	for _, id := range jobs {
		ran := false
		for _, r := range allRuns(s.workers, id) {
			ran = ran || (r.ended.IsZero() || r.ended.After(asked)) && r.started.Before(asked.Add(idleLimit))
		}
		s.record.add("state after finish_s", "job", id, "state", states[id], "ran-in-the-3-s", ran)
		if states[id] != "complete" && !ran {
			idle++
		}
	}
	// What becomes of the jobs.
	await(20*time.Second, func() bool {
		time.Sleep(500 * time.Millisecond)
		return s.state(other, jobs[0]) == "complete"
	})
	if idle > 0 {
		return verdict{true, fmt.Sprintf("LOST: %d of %d accepted jobs were not complete finish_s after the end of the traffic and had nothing running for 3 s", idle, len(jobs))}, nil
	}
	if len(states) == 0 {
		return verdict{}, errors.New("no jobs")
	}
	return verdict{false, "no accepted job stood still"}, nil
}
