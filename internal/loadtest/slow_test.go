package loadtest

import "testing"

// minIndexerShare is the share of the value of all jobs that users require of the
// index compiler service, whose traffic has the shape of pumpCheckLoad.
const minIndexerShare = 0.84

// slowThirdWorkers returns workers of which a third is almost three times slower
// than the others.
func slowThirdWorkers() []workerSpec {
	var w []workerSpec
	for i := range 12 {
		spec := workerSpec{cpu: 16_000, speed: 1.4}
		if i%3 == 0 {
			spec = workerSpec{cpu: 24_000, speed: 0.5}
		}
		w = append(w, spec)
	}
	return w
}

// A third of the workers is slow, and 90% of the capacity of all is needed. Guards
// against slow workers that are idle while jobs wait for fast ones: a slow worker
// must get all tasks that it can end in time, not one at a time.
func TestSlowWorkersShareTheLoad(t *testing.T) {
	for seed := range uint64(3) {
		p := pumpCheckLoad(0.9, slowThirdWorkers())
		p.seed = seed
		f := newFleet(p)
		f.run()
		t.Logf("seed %d: %s", seed, f)
		if got := f.valueShare(); got < minIndexerShare {
			t.Errorf("seed %d: value share: got %.3f, want %.2f or more", seed, got, minIndexerShare)
		}
	}
}

// A third of the workers is slow, and more work comes than all workers do. Guards
// against callers that wait for several objectives until they are refused, because
// the free CPU of the slow workers hides that the fast ones are full.
func TestRefusalsAreSoonBesideSlowWorkers(t *testing.T) {
	for _, load := range []float64{1.1, 1.3, 1.6} {
		f := newFleet(pumpCheckLoad(load, slowThirdWorkers()))
		f.run()
		t.Logf("load %.1f: %s", load, f)
		for name, o := range f.outcomes {
			if o.maxRefusalDelay > 1 {
				t.Errorf("load %.1f, %s: got a refusal after %.2f objectives, want it within the objective", load, name, o.maxRefusalDelay)
			}
		}
		for id := range f.refused {
			if f.started[id] {
				t.Errorf("load %.1f: job %s was refused as not run, but a task of it started", load, id)
			}
		}
	}
}
