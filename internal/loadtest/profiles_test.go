package loadtest

import (
	"bufio"
	"flag"
	"fmt"
	"os"
	"runtime"
	"strings"
	"sync"
	"testing"

	"github.com/teaseltide/teaseltide/pkg/clock"
)

var (
	figuresFile   = flag.String("figures", "", "file to which TestLoadProfiles writes its figures")
	profileSeeds  = flag.Int("profile-seeds", 1, "number of seeds that TestLoadProfiles plays")
	profileFilter = flag.String("profiles", "", "names of the profiles that TestLoadProfiles plays, separated by commas; all if empty")
	profileJobs   = flag.Int("profile-jobs", min(3, runtime.GOMAXPROCS(0)), "number of profiles that TestLoadProfiles plays at a time")
)

// installation describes the two installations with workers of several speeds and
// sizes.
type installation struct {
	kinds        []jobKind
	workers      int
	speeds       []float64
	remoteFactor float64
}

const (
	// workersPerRack is the number of workers of a rack.
	workersPerRack = 11
	// zoneCount is the number of zones of an installation.
	zoneCount = 3
	// hotRack is the rack of the data of most jobs of a kind.
	hotRack = "rack-1"
)

var installations = map[string]installation{
	"S": {
		kinds: []jobKind{
			{name: "short", perSecond: 206, meanTasks: 8, meanWork: 60, cpu: 3200, priority: 0, value: 0.00485},
			{name: "middle", perSecond: 600, meanTasks: 2, meanWork: 200, cpu: 3200, priority: 1, value: 0.00167},
			{name: "long", perSecond: 37.5, meanTasks: 4, meanWork: 900, cpu: 3200, priority: 2, value: 0.0267},
		},
		workers: 68, speeds: []float64{0.7, 0.7, 1.7}, remoteFactor: 3,
	},
	"O": {
		kinds: []jobKind{
			{name: "short", perSecond: 181, meanTasks: 8, meanWork: 51, cpu: 3300, priority: 0, value: 0.00485},
			{name: "middle", perSecond: 528, meanTasks: 2, meanWork: 170, cpu: 3300, priority: 1, value: 0.00167},
			{name: "long", perSecond: 33, meanTasks: 4, meanWork: 760, cpu: 3300, priority: 2, value: 0.0267},
		},
		workers: 70, speeds: []float64{1.0, 1.0, 1.3}, remoteFactor: 1.5,
	},
}

// load returns the traffic of an installation at a share of its capacity. Entry i is in
// zone i%3; clients are distributed over entries by their size, and the zones differ by
// a factor of 1.35.
func (in installation) load(share float64, seed uint64) workload {
	p := workload{
		kinds: append([]jobKind(nil), in.kinds...), duration: 8000, warmUp: 2500, drain: 4000, minCallerTimeout: 1500, seed: seed, runTimeError: 0.4,
		contention: contention{stragglerShare: 0.03, declaredObjectives: true, remoteFactor: in.remoteFactor},
	}
	for i := range in.workers {
		w := workerSpec{cpu: 32_000, speed: in.speeds[i%len(in.speeds)], domain: domainName(i / len(in.speeds) % zoneCount), rack: fmt.Sprintf("rack-%d", i/workersPerRack)}
		if i%len(in.speeds) == 2 {
			w.cpu = 48_000
		}
		p.workers = append(p.workers, w)
	}
	sizes, zones := []float64{0.8, 0.48, 0.144, 0.8}, []float64{1.35, 1.15, 1}
	var sum float64
	for i := range 12 {
		p.entryShares = append(p.entryShares, sizes[i/zoneCount]*zones[i%zoneCount])
		p.entryDomains = append(p.entryDomains, domainName(i%zoneCount))
		sum += p.entryShares[i]
	}
	for i := range p.entryShares {
		p.entryShares[i] /= sum
	}
	p.scale(share / (1 + p.stragglerShare*(stragglerFactor-1)))
	return p
}

// wave adds the wave of installation O.
func (p workload) wave() workload {
	p.waveSwing, p.wavePeriod, p.waveZones = 0.55, 17_000, zoneCount
	return p
}

// burst adds a burst of one kind of job.
func (p workload) burst(kind string, factor float64) workload {
	p.burstKind, p.burstFactor, p.burstFrom, p.burstUntil = kind, factor, 3500, 5500
	return p
}

// evacuate removes the workers of the first zone.
func (p workload) evacuate() workload {
	p.evacuated, p.evacuatedFrom = domainName(0), 4*clock.Second
	return p
}

// hotRack places the data of most jobs of a kind in one rack.
func (p workload) hotRack(kind string, share float64) workload {
	for i := range p.kinds {
		if p.kinds[i].name == kind {
			p.kinds[i].rack, p.kinds[i].rackShare = hotRack, share
		}
	}
	return p
}

// profile is a workload whose figures are compared between versions of the code.
type profile struct {
	name string
	load func(seed uint64) workload
}

func (p workload) withSeed(seed uint64) workload {
	p.seed = seed
	return p
}

var profiles = []profile{
	{"S-uneven", func(seed uint64) workload { return installations["S"].load(0.9, seed) }},
	{"S-burst", func(seed uint64) workload { return installations["S"].load(0.75, seed).burst("middle", 2.5) }},
	{"S-hot-rack", func(seed uint64) workload { return installations["S"].load(0.6, seed).hotRack("middle", 0.8) }},
	{"O-wave", func(seed uint64) workload { return installations["O"].load(0.92, seed).wave() }},
	{"O-wave-peak", func(seed uint64) workload { return installations["O"].load(1.1, seed).wave() }},
	{"O-evacuated", func(seed uint64) workload { return installations["O"].load(0.62, seed).wave().evacuate() }},
	{"load-0.9", func(seed uint64) workload { return pumpCheckLoad(0.9, mixedWorkers()).withSeed(seed) }},
	{"load-1.3", func(seed uint64) workload { return pumpCheckLoad(1.3, mixedWorkers()).withSeed(seed) }},
	{"slow-third", func(seed uint64) workload { return pumpCheckLoad(0.9, slowThirdWorkers()).withSeed(seed) }},
	{"one-entry", func(seed uint64) workload {
		p := pumpCheckLoad(0.85, mixedWorkers()).withSeed(seed)
		p.entryShares = []float64{.7, .1, .1, .1}
		return p
	}},
}

// figures returns the figures of a run: the share of the value in all, by kind and by
// zone, and shares of the jobs that were refused or late.
func (f *fleet) figures() []string {
	out := []string{fmt.Sprintf("value %.5f", f.valueShare())}
	var submitted, refused, late, onTime float64
	for _, k := range f.kinds {
		o := f.outcomes[k.name]
		out = append(out, fmt.Sprintf("value-%s %.5f", k.name, (float64(o.onTime)+lateValue*float64(o.late))/max(1, float64(o.submitted))))
		submitted += float64(o.submitted)
		refused += float64(o.refused)
		late += float64(o.late + o.tooLate)
		onTime += float64(o.onTime)
	}
	lowest := 1.0
	for _, z := range f.zones {
		lowest = min(lowest, z.share())
	}
	return append(out,
		fmt.Sprintf("value-lowest-zone %.5f", lowest), fmt.Sprintf("on-time %.5f", onTime/submitted),
		fmt.Sprintf("refused %.5f", refused/submitted), fmt.Sprintf("late %.5f", late/submitted),
		fmt.Sprintf("messages-per-job %.3f", f.messagesPerJob()), fmt.Sprintf("notes-per-job %.3f", float64(f.notes)/float64(f.jobs)))
}

// Plays the load profiles of both installations and some of the other tests, with the
// figures of each run for `make load-compare`. Guards against a change that serves
// callers worse under uneven load, where one seed is enough to see a breakdown.
func TestLoadProfiles(t *testing.T) {
	if *figuresFile == "" {
		t.Skip("plays minutes of load: run with -figures FILE or by make load-compare")
	}
	var mu sync.Mutex
	var lines []string
	slots := make(chan struct{}, *profileJobs)
	var running sync.WaitGroup
	for _, p := range profiles {
		if *profileFilter != "" && !strings.Contains(","+*profileFilter+",", ","+p.name+",") {
			continue
		}
		for seed := range uint64(*profileSeeds) {
			slots <- struct{}{}
			running.Go(func() {
				defer func() { <-slots }()
				f := newFleet(p.load(seed + 1))
				f.run()
				mu.Lock()
				defer mu.Unlock()
				t.Logf("%s, seed %d: %s", p.name, seed+1, f)
				for _, figure := range f.figures() {
					lines = append(lines, fmt.Sprintf("%s %d %s", p.name, seed+1, figure))
				}
			})
		}
	}
	running.Wait()
	out, err := os.Create(*figuresFile)
	if err != nil {
		t.Fatal(err)
	}
	w := bufio.NewWriter(out)
	for _, line := range lines {
		fmt.Fprintln(w, line)
	}
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	if err := out.Close(); err != nil {
		t.Fatal(err)
	}
}

// Most jobs of a kind have their data in one rack, and take three times as long elsewhere.
// Guards against workers outside the rack that are taken for slow because of remote runs, which
// delayed the clients of all other kinds: the value was 0.718 and that of short jobs 0.776.
func TestHotRack(t *testing.T) {
	f := newFleet(installations["S"].load(0.6, 1).hotRack("middle", 0.8))
	f.run()
	t.Log(f)
	if got, want := f.valueShare(), 0.735; got < want {
		t.Errorf("value share: got %.3f, want %.3f or more", got, want)
	}
	o := f.outcomes["short"]
	if got, want := (float64(o.onTime)+lateValue*float64(o.late))/float64(o.submitted), 0.785; got < want {
		t.Errorf("value share of short jobs without data: got %.3f, want %.3f or more", got, want)
	}
}

// The clients of each zone come in waves, at 110% load, and entries have from 2% to 14% of
// them. Guards against entries that refuse jobs as if the others had as much queued work: 0.179
// of the jobs were refused, and the worst zone got 0.546 of the value.
func TestWaveOfClients(t *testing.T) {
	f := newFleet(installations["O"].load(1.1, 1).wave())
	f.run()
	t.Log(f)
	submitted, refused := 0, 0
	for _, o := range f.outcomes {
		submitted += o.submitted
		refused += o.refused
	}
	if got, want := float64(refused)/float64(submitted), 0.15; got > want {
		t.Errorf("share of refused jobs: got %.3f, want %.2f or less", got, want)
	}
	for domain, z := range f.zones {
		if got, want := z.share(), 0.56; got < want {
			t.Errorf("value share of %s: got %.3f, want %.2f or more", domain, got, want)
		}
	}
	for id := range f.refused {
		if f.started[id] {
			t.Errorf("job %s was refused as not run, but a task of it started", id)
		}
	}
}
