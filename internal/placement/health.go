package placement

import (
	"fmt"
	"slices"

	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Parameters of ejection. A failed job adds 1 to the failure scores of the
// workers on which it failed, divided evenly among them, so that a job that fails
// everywhere adds little to each. A success halves a worker's score.
const (
	// ejectScore is the failure score at which a worker is ejected: three jobs
	// that failed there and nowhere else.
	ejectScore = 2.5
	// outlierRatio is the smallest ratio of an ejected worker's score to the mean
	// of its peers; when everything fails, no worker is at fault.
	outlierRatio = 2.0
	// successDecay is the fraction of the failure score that a success leaves.
	successDecay = 0.5
	// ejectedDivisor limits the ejected workers to this fraction of all: one in
	// ejectedDivisor.
	ejectedDivisor = 3
	// minProbeInterval and maxProbeInterval bound the time between probes, which
	// doubles with each failed probe.
	minProbeInterval = 2 * clock.Second
	maxProbeInterval = 2 * clock.Minute
)

// health holds a worker's outcomes and ejection state for one service.
type health struct {
	failureScore  float64
	ejected       bool
	reason        string
	probeInterval clock.Millis
	probeAt       clock.Millis
	// taskLimit bounds the concurrent tasks during a probe and after a
	// readmission; 0 is no limit.
	taskLimit int
	// bound counts this service's bound tasks on the worker.
	bound    int
	starts   int64
	failures int64
}

// recordSuccess records a success. It readmits an ejected worker gradually: each
// success doubles the number of tasks that it may run at a time.
func (l *link) recordSuccess() {
	if l.detached {
		return
	}
	l.addFailureScore(l.health.failureScore*successDecay - l.health.failureScore)
	h := &l.health
	if h.ejected {
		l.readmit()
		h.taskLimit = 1
		return
	}
	if h.taskLimit > 0 {
		h.taskLimit *= 2
	}
	if h.taskLimit >= l.worker.Slots {
		h.taskLimit = 0
		h.probeInterval = 0
	}
}

// recordFailure records the failure of a task of j and ejects the worker if it is
// an outlier or fails after a readmission. A worker's later failures in the same
// job don't count.
func (l *link) recordFailure(now clock.Millis, j *job) {
	h := &l.health
	h.failures++
	switch {
	case l.detached:
		return
	case h.taskLimit > 0:
		l.eject(now)
		return
	case h.ejected:
		// Started before the ejection; only probes lengthen the interval.
		return
	}
	if slices.Contains(j.failedOn, l) {
		return
	}
	n := float64(len(j.failedOn))
	for _, other := range j.failedOn {
		other.addFailureScore(1/(n+1) - 1/n)
	}
	j.failedOn = append(j.failedOn, l)
	l.addFailureScore(1 / (n + 1))
	if l.isOutlier() {
		l.eject(now)
	}
}

// addFailureScore changes the worker's failure score, which stays at least 0.
func (l *link) addFailureScore(b float64) {
	if l.detached {
		return
	}
	old := l.health.failureScore
	l.health.failureScore = max(old+b, 0)
	l.service.failureScore += l.health.failureScore - old
}

// isOutlier reports whether the worker fails so much more than its peers that it
// may be ejected.
func (l *link) isOutlier() bool {
	s := l.service
	if l.health.failureScore < ejectScore || (s.ejected+1)*ejectedDivisor > len(s.links) {
		return false
	}
	peerMean := (s.failureScore - l.health.failureScore) / float64(len(s.links)-1)
	return l.health.failureScore >= outlierRatio*peerMean
}

// eject takes the worker out of service, unless too many are ejected already, and
// schedules its next probe.
func (l *link) eject(now clock.Millis) {
	h := &l.health
	if !h.ejected {
		if (l.service.ejected+1)*ejectedDivisor > len(l.service.links) {
			return
		}
		h.ejected = true
		l.service.ejected++
		l.service.addSlots(l, -1)
		h.reason = fmt.Sprintf("blamed for %.1f failed jobs without a success", h.failureScore)
	}
	h.taskLimit = 0
	h.probeInterval = min(max(2*h.probeInterval, minProbeInterval), maxProbeInterval)
	h.probeAt = now + h.probeInterval
	l.service.scheduleProbe(l)
}

// readmit ends the ejection and resets the failure score.
func (l *link) readmit() {
	h := &l.health
	h.ejected = false
	h.reason = ""
	l.addFailureScore(-h.failureScore)
	l.service.ejected--
	l.service.addSlots(l, 1)
}

// scheduleProbe adds the worker to those that await a probe.
func (s *service) scheduleProbe(l *link) {
	if !slices.Contains(s.probes, l) {
		s.probes = append(s.probes, l)
	}
}

// startProbes allows one task on each idle ejected worker whose probe is due.
func (s *service) startProbes(now clock.Millis) {
	if len(s.probes) == 0 {
		return
	}
	s.probes = slices.DeleteFunc(s.probes, func(l *link) bool {
		if !l.health.ejected {
			return true
		}
		if now < l.health.probeAt || l.health.bound > 0 {
			return false
		}
		l.health.taskLimit = 1
		l.reindex()
		return true
	})
}

// availableSlots returns how many more tasks the worker may run for this service.
// It is negative if tasks wait at the worker.
func (l *link) availableSlots() int {
	h := &l.health
	available := l.worker.Slots - l.worker.busy
	if h.ejected && h.taskLimit == 0 {
		return 0
	}
	if h.taskLimit > 0 {
		available = min(available, h.taskLimit-h.bound)
	}
	return available
}
