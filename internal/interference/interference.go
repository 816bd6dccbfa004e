// Package interference learns from the run times on one worker which kinds of tasks
// slow each other down there. It does no I/O and takes the time as an argument.
//
// The logarithm of the ratio of actual to declared run time is regressed, for each kind,
// on the time shares during which runs of the other kinds were active beside the run.
// Deviations from the recent mean of the kind are used instead of the values, which
// removes the worker's speed, the kind's usual ratio and slow changes of both.
package interference

import (
	"math"
	"slices"

	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// MaxKinds is the number of kinds for which observations are kept. A further one
	// replaces the kind without active runs that was seen least recently.
	MaxKinds = 8
	// MinEffect is the smallest factor that counts as interference.
	MinEffect = 1.10
	// minDeclared is the declared run time below which a run is not used: the calls
	// around a shorter run take too large a part.
	minDeclared = 20 * clock.Millis(1)
	// maxDeviation bounds the logarithmic deviation of one run. Stragglers are seven times
	// as long as others (1.9) and would dominate the variance.
	maxDeviation = 0.9
	// maxWindow bounds the time during which the kinds beside a run are recorded.
	maxWindow = 10 * clock.Second
	// fewRuns is added to the number of runs of which a mean deviation is taken, because
	// that of few runs is mostly chance.
	fewRuns = 3
	// othersDelay is how long after the end of a group the runs of other kinds still count
	// as ended beside it: those that a pause of the worker has delayed end after it.
	othersDelay = 300 * clock.Millis(1)
	// maxOthers is the mean deviation of the runs of other kinds above which a group is left
	// out, because the speed of the worker itself has changed.
	maxOthers = 0.3
	// maxOpenRuns bounds the runs that are observed at a time.
	maxOpenRuns = 512
	// evaluationInterval is the interval between two evaluations of the pairs.
	evaluationInterval = 1 * clock.Second
)

// Kind is a kind of tasks with similar demands: the route of their jobs.
type Kind string

// Group identifies runs whose declared run times have the same error: those of one job.
type Group string

// Percent is a factor in percent.
type Percent int

// Pair is an ordered pair of kinds: runs of Slowed take longer beside runs of By.
type Pair struct{ Slowed, By Kind }

// Change reports that a pair was detected or forgotten.
type Change struct {
	Pair     Pair
	Detected bool
	// Factor is the estimated factor of the run times at the time of the change.
	Factor Percent
}

// Slowdown is the expected factor of the run times that a further run of a kind would
// cause, of its own and of those that are active.
type Slowdown struct {
	Kind   Kind
	Factor Percent
}

// Learner learns the interference on one worker. It is not safe for concurrent use.
type Learner struct {
	// now is the time up to which the integrals are computed.
	now   clock.Millis
	kinds [MaxKinds]kindState
	// presence is the time during which at least one run of a kind was active, count the
	// integral of the number of its active runs.
	presence, count [MaxKinds]float64
	active          [MaxKinds]int
	// busy is the integral of the used part of the capacity, usedCapacity that part.
	busy, usedCapacity float64
	// open holds the runs whose window has not ended.
	open       []*Run
	nextWindow clock.Millis
	groups     map[Group]*group
	evaluateAt clock.Millis
	pairCount  int
	// waiting holds the groups that have ended and are not used yet, oldest first.
	waiting []*group
}

// kindState is what is known about a kind.
type kindState struct {
	kind Kind
	// generation distinguishes the successive kinds in one place.
	generation int
	seenAt     clock.Millis
	// usualTime is the mean logarithm of the run times in ms.
	usualTime float64
	timed     int
	// deviations is the sum of the deviations of the runs that ended, ended their number.
	deviations, ended float64
	fit               regression
	pairs             [MaxKinds]pairState
}

// Run is an observed run.
type Run struct {
	slot, generation int
	capacity         float64
	declared         clock.Millis
	startedAt        clock.Millis
	// windowEnd is when the recording of the kinds beside the run ends. It depends neither on
	// the actual nor on the declared time of the run: otherwise whatever tends to start
	// after such a run would be active for a larger share beside long runs, and the other
	// runs of the job beside those whose declared time is too short.
	windowEnd clock.Millis
	endedAt   clock.Millis
	windowed  bool
	ended     bool
	usable    bool
	// features holds the integrals at the start, later the shares in the window.
	features features
	group    *group
	groupID  Group
}

// group accumulates runs of one job that are active at the same time.
type group struct {
	slot, generation int
	pending          int
	size             float64
	deviation        float64
	features         features
	// deviations and endedRuns are those of the other kinds at the start of the group.
	deviations, endedRuns float64
	endedAt               clock.Millis
}

// New returns a Learner without observations.
func New() *Learner {
	return &Learner{groups: make(map[Group]*group)}
}

// Start records the start of a run that takes a part of the worker's capacity. It returns
// nil if the run can't be observed, which End accepts.
func (l *Learner) Start(now clock.Millis, kind Kind, id Group, declared clock.Millis, capacity float64) *Run {
	l.advance(now)
	slot := l.slot(kind)
	if slot < 0 || len(l.open) >= maxOpenRuns {
		return nil
	}
	k := &l.kinds[slot]
	k.seenAt = l.now
	r := &Run{
		slot: slot, generation: k.generation, capacity: capacity, declared: declared, startedAt: l.now,
		usable: declared >= minDeclared, features: l.integrals(l.now, slot), groupID: id,
	}
	r.windowEnd = l.now + k.window(declared)
	l.active[slot]++
	l.usedCapacity += capacity
	if r.usable {
		r.group = l.groups[id]
		if r.group == nil || r.group.slot != slot || r.group.generation != k.generation {
			r.group = &group{slot: slot, generation: k.generation}
			r.group.deviations, r.group.endedRuns = l.others(slot)
			l.groups[id] = r.group
		}
		r.group.pending++
		l.open = append(l.open, r)
		if len(l.open) == 1 || r.windowEnd < l.nextWindow {
			l.nextWindow = r.windowEnd
		}
	}
	return r
}

// End records the end of a run. Only the time of a run that completed regularly is used.
func (l *Learner) End(now clock.Millis, r *Run, completed bool) {
	if r == nil || r.ended {
		return
	}
	l.advance(now)
	r.ended = true
	r.endedAt = l.now
	r.usable = r.usable && completed && r.endedAt > r.startedAt
	l.active[r.slot]--
	l.usedCapacity -= r.capacity
	l.finish(r)
}

// window returns how long the kinds beside a run are recorded: the kind's usual run time.
func (k *kindState) window(declared clock.Millis) clock.Millis {
	if k.timed > 0 {
		declared = clock.Millis(math.Exp(k.usualTime))
	}
	return max(1, min(maxWindow, declared))
}

// UsualRatio returns the usual ratio of actual to declared run time of a kind on this
// worker, 1 as long as it is not known.
func (l *Learner) UsualRatio(kind Kind) float64 {
	for i := range l.kinds {
		if k := &l.kinds[i]; k.kind == kind && kind != "" && k.fit.observed > 0 {
			return math.Exp(k.fit.mean)
		}
	}
	return 1
}

// others returns the sum of the deviations of the ended runs of the other kinds and their
// number.
func (l *Learner) others(slot int) (deviations, ended float64) {
	for i := range l.kinds {
		if i != slot {
			deviations += l.kinds[i].deviations
			ended += l.kinds[i].ended
		}
	}
	return deviations, ended
}

// slot returns the place of a kind, which it assigns if there is none, -1 if all places
// are taken by kinds with active runs.
func (l *Learner) slot(kind Kind) int {
	if kind == "" {
		return -1
	}
	oldest := -1
	for i := range l.kinds {
		switch {
		case l.kinds[i].kind == kind:
			return i
		case l.active[i] == 0 && (oldest < 0 || l.kinds[i].seenAt < l.kinds[oldest].seenAt):
			oldest = i
		}
	}
	if oldest >= 0 {
		l.replace(oldest, kind)
	}
	return oldest
}

// replace assigns a place to another kind.
func (l *Learner) replace(slot int, kind Kind) {
	old := &l.kinds[slot]
	for i := range l.kinds {
		if old.pairs[i].detected {
			l.pairCount--
		}
		if i == slot {
			continue
		}
		if l.kinds[i].pairs[slot].detected {
			l.pairCount--
		}
		l.kinds[i].pairs[slot] = pairState{}
		l.kinds[i].fit.forget(slot)
	}
	*old = kindState{kind: kind, generation: old.generation + 1}
}

// advance updates the integrals up to now and ends the windows that are over.
func (l *Learner) advance(now clock.Millis) {
	if now <= l.now {
		return
	}
	if len(l.open) > 0 && l.nextWindow <= now {
		l.endWindows(now)
	}
	elapsed := float64(now - l.now)
	for i, n := range l.active {
		if n > 0 {
			l.presence[i] += elapsed
			l.count[i] += elapsed * float64(n)
		}
	}
	l.busy += elapsed * l.usedCapacity
	l.now = now
}

// endWindows ends the windows that are over at now.
func (l *Learner) endWindows(now clock.Millis) {
	l.nextWindow = math.MaxInt64
	l.open = slices.DeleteFunc(l.open, func(r *Run) bool {
		if r.windowEnd > now {
			l.nextWindow = min(l.nextWindow, r.windowEnd)
			return false
		}
		end := l.integrals(r.windowEnd, r.slot)
		length := float64(r.windowEnd - r.startedAt)
		own := length
		if r.ended {
			own = float64(r.endedAt - r.startedAt)
		}
		end[r.slot] -= own
		end[busyFeature] -= own * r.capacity
		for i := range othersFeature {
			r.features[i] = (end[i] - r.features[i]) / length
		}
		r.windowed = true
		l.finish(r)
		return true
	})
}

// integrals returns the integrals at a time since the last change of the active runs, for
// a run of the kind in slot: the number of runs for this kind, presence for the others.
func (l *Learner) integrals(at clock.Millis, slot int) features {
	elapsed := float64(at - l.now)
	var f features
	for i, n := range l.active {
		switch {
		case i == slot:
			f[i] = l.count[i] + elapsed*float64(n)
		case n > 0:
			f[i] = l.presence[i] + elapsed
		default:
			f[i] = l.presence[i]
		}
	}
	f[busyFeature] = l.busy + elapsed*l.usedCapacity
	return f
}

// finish adds a run to its group once the run and its window have ended, and the group to
// the observations of its kind once that holds for all of its runs.
func (l *Learner) finish(r *Run) {
	g := r.group
	if g == nil || !r.ended || !r.windowed {
		return
	}
	r.group = nil
	k := &l.kinds[g.slot]
	if r.usable && k.generation == g.generation {
		took := math.Log(float64(r.endedAt - r.startedAt))
		k.timed++
		k.usualTime += (took - k.usualTime) / float64(min(k.timed, localRuns))
		deviation := k.fit.deviation(took - math.Log(float64(r.declared)))
		g.deviation += deviation
		if k.fit.observed >= medianRuns {
			k.deviations += deviation
			k.ended++
		}
		for i := range g.features {
			g.features[i] += r.features[i]
		}
		g.size++
	}
	g.pending--
	if g.pending > 0 {
		return
	}
	if l.groups[r.groupID] == g {
		delete(l.groups, r.groupID)
	}
	if g.size > 0 {
		g.endedAt = l.now
		l.waiting = append(l.waiting, g)
	}
	l.useWaiting()
}

// useWaiting adds the groups that ended othersDelay ago to the observations of their kinds.
func (l *Learner) useWaiting() {
	for len(l.waiting) > 0 && l.now-l.waiting[0].endedAt >= othersDelay {
		g := l.waiting[0]
		l.waiting = l.waiting[1:]
		k := &l.kinds[g.slot]
		if k.generation != g.generation {
			continue
		}
		for i := range g.features {
			g.features[i] /= g.size
		}
		deviations, ended := l.others(g.slot)
		others := (deviations - g.deviations) / (ended - g.endedRuns + fewRuns)
		g.features[othersFeature] = others
		if math.Abs(others) < maxOthers {
			k.fit.observe(g.endedAt, g.deviation/g.size, g.features, g.size)
		} else {
			k.fit.shift(g.deviation / g.size)
		}
	}
}
