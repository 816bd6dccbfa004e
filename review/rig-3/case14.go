package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

const bestEffortRunMs = 900

// playCancelledBestEffort cancels a job that needn't be kept at another entry than the
// one that has it.
func playCancelledBestEffort(s *system, trouble string) (verdict, error) {
	owner, other := s.entries[0], s.entries[1]
	job := jobID(0x1401)
	var chain []step
	for i := range 8 {
		st := step{count: 4, cpu: 1000}
		if i > 0 {
			st.after = []int{i - 1}
		}
		chain = append(chain, st)
	}
	// One of four jobs is cancelled.
	for n := range 3 {
		go s.send(s.entries[n], http.MethodPost, routePrefix+jobID(0x1410+n), body(bestEffortRunMs, true, step{count: 2, cpu: 1000}), 10*time.Second)
	}
	go s.send(owner, http.MethodPost, routePrefix+job, body(bestEffortRunMs, true, chain...), 20*time.Second)
	if !await(3*time.Second, func() bool { return len(allRuns(s.workers, job)) == 4 }) {
		return verdict{}, errors.New("the tasks did not start")
	}
	time.Sleep(300 * time.Millisecond)
	if trouble == "0" {
		time.Sleep(9 * time.Second)
		if n := len(allRuns(s.workers, job)); n != 32 {
			return verdict{true, fmt.Sprintf("%d of 32 tasks ran without the cancelling", n)}, nil
		}
		return verdict{false, "the job ran to its end without the cancelling"}, nil
	}
	if trouble == "same" {
		other = owner
	}
	status, _, acknowledged := s.send(other, http.MethodDelete, routePrefix+job, "", 4*time.Second)
	if status/100 != 2 && status != http.StatusGone {
		return verdict{}, fmt.Errorf("the cancellation was not acknowledged: status %d", status)
	}
	time.Sleep(cancelMs + 5*time.Second)
	return judgeCancelled(s, job, acknowledged), nil
}
