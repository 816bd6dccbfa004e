package interference

import (
	"math"

	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// detectionDeviations is the number of standard errors by which an effect must exceed
	// zero, selfDetectionDeviations the same for a kind beside itself: the number of runs
	// beside a run of the same kind also grows while the worker or this kind is slow. The
	// observations of the nine pairs of three kinds are renewed every 20 s; normally
	// distributed estimates of the six pairs of two kinds would exceed 4.5 standard errors
	// once in some 13 worker-hours. docs/design/interference.md has the measured rate.
	detectionDeviations     = 4.5
	selfDetectionDeviations = 5.5
	// keptDeviations is the same for a pair to remain detected, keptPart the part of its
	// strongest effect: the estimate of a strong effect that has ended decays for longer.
	keptDeviations = 2
	keptPart       = 1.0 / 3
	// strongestDecay is the part by which the strongest effect decays with each evaluation.
	strongestDecay = 0.01
	// maxFactor bounds reported factors.
	maxFactor Percent = 400
	// retryInterval and retryDuration say how often and for how long a pair that was kept
	// apart is not reported, so that it is observed again. A window of a second takes some
	// 20 runs, and the memory of the observations spans two.
	retryInterval = 10 * clock.Second
	retryDuration = 1 * clock.Second
	// unobservedTimeout is the time without a run beside the other kind after which a pair
	// is forgotten.
	unobservedTimeout = 1 * clock.Minute
)

// pairState is what is known about the effect of one kind on another.
type pairState struct {
	detected   bool
	effect     float64
	strongest  float64
	detectedAt clock.Millis
	// besideAt is when a run of both kinds was last active.
	besideAt clock.Millis
}

// Evaluate evaluates the observations if that is due and returns the changes.
func (l *Learner) Evaluate(now clock.Millis) []Change {
	if now < l.evaluateAt {
		return nil
	}
	l.advance(now)
	l.evaluateAt = now + evaluationInterval
	var changes []Change
	for slowed := range l.kinds {
		k := &l.kinds[slowed]
		if k.kind == "" {
			continue
		}
		estimates := k.fit.estimates(now)
		for by := range k.pairs {
			if l.active[slowed] > 0 && l.beside(slowed, by) > 0 {
				k.pairs[by].besideAt = now
			}
			if l.kinds[by].kind != "" && k.pairs[by].update(now, estimates[by], l.usualNumber(slowed, by), deviationsFor(slowed, by)) {
				changes = append(changes, l.change(slowed, by))
			}
		}
	}
	return changes
}

// usualNumber returns how many runs of a kind count for one effect: the mean number for a
// kind beside itself, otherwise 1.
func (l *Learner) usualNumber(slowed, by int) float64 {
	if slowed != by {
		return 1
	}
	return max(1, l.kinds[slowed].fit.means[slowed])
}

// deviationsFor returns the number of standard errors by which the effect of a pair must
// exceed zero.
func deviationsFor(slowed, by int) float64 {
	if slowed == by {
		return selfDetectionDeviations
	}
	return detectionDeviations
}

// update updates a pair and reports whether it was detected or forgotten.
func (p *pairState) update(now clock.Millis, e estimate, number, deviations float64) bool {
	least := math.Log(MinEffect)
	was := p.detected
	switch {
	case e.known && !was:
		p.detected = e.effect*number > least && e.effect > deviations*e.deviation
		p.detectedAt, p.strongest = now, e.effect
	case e.known:
		p.strongest = max(p.strongest*(1-strongestDecay), e.effect)
		p.detected = e.effect*number > least && e.effect > keptDeviations*e.deviation && e.effect > keptPart*p.strongest
	case was && now-max(p.besideAt, p.detectedAt) >= unobservedTimeout:
		p.detected = false
	}
	if e.known {
		p.effect = e.effect
	}
	return p.detected != was
}

// change returns the change of a pair that has just changed.
func (l *Learner) change(slowed, by int) Change {
	p := &l.kinds[slowed].pairs[by]
	if p.detected {
		l.pairCount++
	} else {
		l.pairCount--
	}
	return Change{
		Pair: Pair{Slowed: l.kinds[slowed].kind, By: l.kinds[by].kind}, Detected: p.detected,
		Factor: percent(p.effect * l.usualNumber(slowed, by)),
	}
}

// Pairs returns the number of detected pairs.
func (l *Learner) Pairs() int { return l.pairCount }

// Slowdowns returns the kinds of which a further run would be slowed down by the active
// runs or slow them down, nil without a detected pair.
func (l *Learner) Slowdowns(now clock.Millis) []Slowdown {
	if l.pairCount == 0 {
		return nil
	}
	var slowdowns []Slowdown
	for i := range l.kinds {
		effect := 0.0
		for j, n := range l.active {
			if n == 0 {
				continue
			}
			effect += l.effect(now, i, j)
			// Where runs of the kind are active, a further one slows down others no more: the
			// kinds gather on different workers.
			if j != i && l.active[i] == 0 {
				effect += l.effect(now, j, i)
			}
		}
		if factor := percent(effect); factor > 100 {
			slowdowns = append(slowdowns, Slowdown{Kind: l.kinds[i].kind, Factor: factor})
		}
	}
	return slowdowns
}

// effect returns the logarithmic effect of the active runs of one kind on a run of
// another, 0 unless the pair is detected and not being retried.
func (l *Learner) effect(now clock.Millis, slowed, by int) float64 {
	p := &l.kinds[slowed].pairs[by]
	if !p.detected || p.retried(now) {
		return 0
	}
	if slowed == by {
		return p.effect * float64(l.active[by])
	}
	return p.effect
}

// beside returns the number of active runs of a kind beside one run of another.
func (l *Learner) beside(slowed, by int) int {
	if slowed == by {
		return l.active[by] - 1
	}
	return l.active[by]
}

// retried reports whether a pair is not reported at the moment, so that it is observed.
// The windows count from its detection, so that workers don't retry at the same time.
func (p *pairState) retried(now clock.Millis) bool {
	return (now-p.detectedAt)%retryInterval >= retryInterval-retryDuration
}

func percent(effect float64) Percent {
	return min(maxFactor, Percent(math.Round(100*math.Exp(effect))))
}
