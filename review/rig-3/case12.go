package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	cancelMs       = 3000 * time.Millisecond // cancel_ms
	behindCut      = 5500 * time.Millisecond // for_s of core_cut
	cancelledRunMs = 900
)

// playCancelledBehindCut cuts the entry that owns a job off from the store and from the
// machines of the other zones. Meanwhile the client cancels the job at another entry.
func playCancelledBehindCut(s *system, trouble string) (verdict, error) {
	owner, other := s.entries[0], s.entries[1]
	job := jobID(0x1201)
	// One of four jobs is cancelled; the others end before the cut.
	for n := range 3 {
		if status, _, _ := s.send(other, http.MethodPost, routePrefix+jobID(0x1210+n), body(100, false, step{count: 2, cpu: 1000}), 3*time.Second); status != http.StatusOK {
			return verdict{}, fmt.Errorf("a job was not accepted: status %d", status)
		}
	}
	// Each worker has room for eight tasks of one core.
	if status, _, _ := s.send(owner, http.MethodPost, routePrefix+job, body(cancelledRunMs, false, step{count: 600, cpu: 1000}), 3*time.Second); status != http.StatusOK {
		return verdict{}, fmt.Errorf("the job was not accepted: status %d", status)
	}
	if !await(3*time.Second, func() bool { return len(allRuns(s.workers, job)) > 20 }) {
		return verdict{}, errors.New("the tasks did not start")
	}
	if trouble == "" {
		s.cutNear(owner, true)
		time.AfterFunc(behindCut, func() { s.cutNear(owner, false) })
	}
	time.Sleep(500 * time.Millisecond)
	status, _, acknowledged := s.send(other, http.MethodDelete, routePrefix+job, "", 4*time.Second)
	if status/100 != 2 && status != http.StatusGone {
		return verdict{}, fmt.Errorf("the cancellation was not acknowledged: status %d", status)
	}
	time.Sleep(cancelMs + 6*time.Second)
	return judgeCancelled(s, job, acknowledged), nil
}

// cutNear cuts an entry off from the store and the machines of other zones, or ends that.
func (s *system) cutNear(m *machine, on bool) {
	s.record.add("cut of store and other zones", "machine", m.name, "begins", on)
	m.storeLink.cut(on)
	for _, other := range s.machines() {
		if other.zone == m.zone {
			continue
		}
		m.paths[other.name].cut(on)
		if other.role == "edge" {
			other.paths[m.name].cut(on)
		}
	}
}

// judgeCancelled looks for tasks of a job that start or run on too long after the
// acknowledgement of its cancelling.
func judgeCancelled(s *system, job string, acknowledged time.Time) verdict {
	late, longest := 0, time.Duration(0)
	runOn := 0
	for _, r := range allRuns(s.workers, job) {
		if after := r.started.Sub(acknowledged); after > cancelMs {
			late++
			longest = max(longest, after)
			s.record.add("start after the cancelling", "run", r, "ms", after.Milliseconds())
		}
		if gone := acknowledged.Add(cancelMs + 50*time.Millisecond); r.started.Before(gone) && (r.ended.IsZero() || r.ended.After(gone)) {
			runOn++
			s.record.add("runs on after the cancelling", "run", r)
		}
	}
	if late+runOn == 0 {
		return verdict{false, "no task of the cancelled job started or ran on too late"}
	}
	return verdict{true, fmt.Sprintf("UNASKED: %d tasks started later than cancel_ms after the acknowledgement, the last one %d ms after it; %d ran on", late, longest.Milliseconds(), runOn)}
}
