package interference

import (
	"flag"
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/teaseltide/teaseltide/pkg/clock"
)

var unrelatedSeeds = flag.Uint64("unrelated-seeds", 12, "seeds of each load of TestUnrelatedLoadYieldsNoPair, a minute each")

// slowedBeside returns a factor for runs of a kind while runs of another are active.
func slowedBeside(k, by Kind, factor float64) func(clock.Millis, Kind, map[Kind]int) float64 {
	return func(_ clock.Millis, running Kind, active map[Kind]int) float64 {
		if running == k && active[by] > 0 {
			return factor
		}
		return 1
	}
}

// Unrelated load: declared times that are off, stragglers, jobs of several tasks, waves, a
// busy worker, one whose speed changes, a kind that follows another one. Guards against
// pairs that are learned from these.
func TestUnrelatedLoadYieldsNoPair(t *testing.T) {
	loads := map[string]func(*simulation){
		"half full":   func(s *simulation) { s.kinds = usualKinds(0.5) },
		"nearly full": func(s *simulation) { s.kinds = usualKinds(1) },
		"overload":    func(s *simulation) { s.kinds = usualKinds(1.4) },
		"wave": func(s *simulation) {
			s.kinds = usualKinds(0.8)
			s.rate = func(at clock.Millis) float64 { return 1 + 0.55*math.Sin(2*math.Pi*float64(at)/17_000) }
		},
		"slower the busier": func(s *simulation) {
			s.kinds = usualKinds(0.7)
			s.speed = func(_ clock.Millis, active int) float64 { return 1 / (1 + 0.08*float64(active)) }
		},
		"slow for six seconds at a time": func(s *simulation) {
			s.kinds = usualKinds(0.6)
			s.speed = func(at clock.Millis, _ int) float64 {
				if at/6000%3 == 1 {
					return 0.4
				}
				return 1
			}
		},
		"one kind follows another": func(s *simulation) {
			s.kinds = usualKinds(0.5)
			s.kinds[1].perSec = 0
			s.follows, s.followsAfter = [2]Kind{"short", "middle"}, 40
		},
	}
	for name, set := range loads {
		for seed := range *unrelatedSeeds {
			s := newSimulation(1000+seed, nil)
			set(s)
			s.run(clock.Minute)
			if len(s.changes) > 0 {
				t.Errorf("%s, seed %d: got %+v, want no pair", name, seed, s.changes)
			}
		}
	}
}

// One kind is slowed down by another one by half. Guards against a pair that is not found
// within some hundred runs, and against others that are found with it.
func TestPairIsFound(t *testing.T) {
	for _, want := range []Pair{{"short", "long"}, {"middle", "long"}} {
		var runs []int
		for seed := range uint64(15) {
			s := newSimulation(2000+seed, usualKinds(0.6))
			s.factor = slowedBeside(want.Slowed, want.By, 1.5)
			s.run(2 * clock.Minute)
			for i, c := range s.changes {
				if c.Pair != want {
					t.Errorf("seed %d: got %+v, want only %+v", seed, c, want)
				} else if c.Detected {
					runs = append(runs, s.changedAt[i])
					break
				}
			}
		}
		slices.Sort(runs)
		t.Logf("%v: found with %d of 15 seeds, after runs of the slowed kind: %v", want, len(runs), runs)
		if len(runs) < 12 {
			t.Errorf("%v: got it with %d of 15 seeds, want 12 or more", want, len(runs))
		} else if got := runs[len(runs)/2]; got > 900 {
			t.Errorf("%v: got it after %d runs in the median, want 900 or fewer", want, got)
		}
	}
}

// Guards against an effect that is reported for minutes after it has ended.
func TestPairIsForgottenAfterItsEnd(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimulation(3000+seed, usualKinds(0.6))
		s.factor = slowedBeside("short", "long", 2.5)
		s.run(100 * clock.Second)
		if got := s.learner.Pairs(); got != 1 {
			t.Errorf("seed %d: got %d pairs, want 1", seed, got)
		}
		s.factor = newSimulation(0, nil).factor
		s.run(clock.Minute)
		if got := s.learner.Pairs(); got != 0 {
			t.Errorf("seed %d: got %d pairs a minute after the effect ended (%+v), want none", seed, got, s.changes)
		}
	}
}

// Entries keep the kinds of a pair apart. Guards against a pair that is reported without
// pause, so that it is never observed again, and one that is kept for ever unobserved.
func TestPairThatIsKeptApart(t *testing.T) {
	s := newSimulation(1, usualKinds(0.6))
	s.factor = slowedBeside("short", "long", 2.5)
	s.run(clock.Minute)
	l := s.learner
	slot := l.slot("long")
	l.active[l.slot("short")] = 1
	reported := 0
	for range 100 {
		s.now += 100
		l.active[slot] = 1
		if slices.ContainsFunc(l.Slowdowns(s.now), func(d Slowdown) bool { return d.Kind == "short" }) {
			reported++
		}
	}
	if reported != 90 {
		t.Errorf("reports of the pair in 10 s: got %d of 100, want 90", reported)
	}
	l.active[slot] = 0
	for range 200 {
		s.now += clock.Second
		l.Evaluate(s.now)
	}
	if got := l.Pairs(); got != 0 {
		t.Errorf("pairs after 200 s without a run: got %d, want none", got)
	}
}

// Runs of one kind always follow those of another. Guards against shares of time that
// depend on the actual or declared run time of the run itself: long runs, or those with too
// short a declared time, would seem to be slowed down by what follows them.
func TestSharesDoNotDependOnTheRunItself(t *testing.T) {
	l := New()
	now := clock.Millis(1)
	share := func(declared, took clock.Millis) float64 {
		now += 1000
		first := l.Start(now, "first", Group(fmt.Sprint(now)), declared, 0.1)
		started := now
		now += 40
		second := l.Start(now, "second", Group(fmt.Sprint(now)), 0, 0.1)
		l.End(started+max(took, 40), first, true)
		now = started + 600
		l.End(now, second, true)
		l.advance(now + 1000)
		return first.features[l.slot("second")]
	}
	for range 30 {
		share(100, 100)
	}
	want := share(100, 100)
	for _, run := range [][2]clock.Millis{{100, 40}, {100, 500}, {50, 100}, {300, 100}} {
		if got := share(run[0], run[1]); math.Abs(got-want) > 0.1 {
			t.Errorf("share of a run of %d ms declared as %d ms: got %.2f, want %.2f", run[1], run[0], got, want)
		}
	}
}

// Guards against memory that grows with the number of kinds, and against observations of a
// replaced kind that are taken for those of its successor.
func TestManyKinds(t *testing.T) {
	l := New()
	now := clock.Millis(1)
	for i := range 1000 {
		now += 50
		r := l.Start(now, Kind(fmt.Sprint("kind-", i%20)), Group(fmt.Sprint(i)), 40, 0.1)
		if r == nil {
			t.Fatalf("run %d: got none, want a place for its kind", i)
		}
		now += 60
		l.End(now, r, true)
		l.Evaluate(now)
	}
	if got := len(l.groups) + len(l.open) + len(l.waiting); got > 20 {
		t.Errorf("groups and runs that are kept: got %d, want 20 or fewer", got)
	}
	var active []*Run
	for i := range MaxKinds + 2 {
		active = append(active, l.Start(now, Kind(fmt.Sprint("active-", i)), "job", 40, 0.1))
	}
	if got := active[MaxKinds]; got != nil {
		t.Errorf("run of a kind beyond the places, all of which are in use: got %+v, want none", got)
	}
	for _, r := range active {
		l.End(now+10, r, false)
	}
	if l.usedCapacity > 1e-9 {
		t.Errorf("capacity in use without runs: got %v, want 0", l.usedCapacity)
	}
}

// The cost of the start and the end of a run, with the evaluation of all pairs at 40 runs
// per second.
func BenchmarkRun(b *testing.B) {
	l := New()
	var active [10]*Run
	kinds := []Kind{"short", "middle", "long"}
	for i := range b.N {
		now := clock.Millis(25 * i)
		l.End(now, active[i%10], true)
		active[i%10] = l.Start(now, kinds[i%3], Group(fmt.Sprint(i/2)), 200, 0.1)
		l.Evaluate(now)
	}
}
