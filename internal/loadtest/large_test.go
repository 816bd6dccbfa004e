package loadtest

import (
	"fmt"
	"testing"

	"github.com/teaseltide/teaseltide/internal/ownership"
)

// fleetSize is the size of a deployment.
type fleetSize struct {
	entries, workers, domains int
}

// normalLoad is the share of the worker capacity that normal traffic uses.
const normalLoad = 0.68

// quotingLoad returns the normal traffic of the large quoting service, whose tasks use
// a sixth of a worker each. Entries have callers in proportion to their size; workers
// have three speeds.
func quotingLoad(size fleetSize) workload {
	p := workload{
		kinds: []jobKind{
			{name: "load-check", perSecond: 309, meanTasks: 8, meanWork: 60, cpu: 10_000, priority: 0, value: 0.00323},
			{name: "breaker-sizing", perSecond: 56.2, meanTasks: 4, meanWork: 900, cpu: 10_000, priority: 2, value: 0.0178},
			{name: "compliance-note", perSecond: 901, meanTasks: 2, meanWork: 200, cpu: 10_000, priority: 1, value: 0.00111},
		},
		duration: 5000, drain: 4000, warmUp: 2000, minCallerTimeout: 1500, seed: 1, runTimeError: 0.4,
	}
	speeds := []float64{0.7, 0.9, 1.5}
	for i := range size.workers {
		p.workers = append(p.workers, workerSpec{cpu: 64_000, speed: speeds[i%len(speeds)], domain: domainName(i % size.domains)})
	}
	shares := []float64{0.8, 0.144, 0.8, 0.48, 0.144}
	var sum float64
	for i := range size.entries {
		sum += shares[i%len(shares)]
	}
	for i := range size.entries {
		p.entryShares = append(p.entryShares, shares[i%len(shares)]/sum)
		p.entryDomains = append(p.entryDomains, domainName(i/len(shares)%size.domains))
	}
	p.scale(normalLoad)
	return p
}

func domainName(i int) ownership.Domain { return ownership.Domain(fmt.Sprintf("domain-%d", i)) }

var (
	mediumSize = fleetSize{entries: 12, workers: 62, domains: 3}
	largeSize  = fleetSize{entries: 35, workers: 160, domains: 5}
)

// 35 entries share 160 workers. The messages that an entry receives about workers
// must not grow with the number of both, and not at the expense of callers: messages
// per job stay within 1.5 times those of 12 entries with 62 workers, and the value
// share falls by at most 0.02.
func TestMessagesOfALargeFleet(t *testing.T) {
	medium, large := newFleet(quotingLoad(mediumSize)), newFleet(quotingLoad(largeSize))
	medium.run()
	large.run()
	t.Logf("12 entries: %v", medium)
	t.Logf("35 entries: %v", large)
	if got, want := large.messagesPerJob(), 1.5*medium.messagesPerJob(); got > want {
		t.Errorf("messages per job at 35 entries: got %.1f, want %.1f or fewer", got, want)
	}
	if got, want := large.valueShare(), medium.valueShare()-0.02; got < want {
		t.Errorf("value share at 35 entries: got %.3f, want %.3f or more", got, want)
	}
}

// A burst of 1.6 times the jobs for two seconds, on a large fleet at 68% load.
// Entries that request capacity from all workers at once would overload them with
// messages.
func TestBurstOnALargeFleet(t *testing.T) {
	p := quotingLoad(largeSize)
	p.burstFactor, p.burstFrom, p.burstUntil = 1.6, 2500, 4500
	f := newFleet(p)
	f.run()
	t.Log(f)
	if got := f.valueShare(); got < minValueShare {
		t.Errorf("value share: got %.3f, want %.2f or more", got, minValueShare)
	}
	for id := range f.refused {
		if f.started[id] {
			t.Errorf("job %s was refused as not run, but a task of it started", id)
		}
	}
}

// Half of the callers use the entries of one failure domain, which has a fifth of the
// workers: their jobs need 1.7 times its capacity. Its entries must use the workers of
// the other domains.
func TestCallersOfOneDomain(t *testing.T) {
	p := quotingLoad(largeSize)
	var sum float64
	for i := range p.entryShares {
		if p.entryDomains[i] == domainName(0) {
			p.entryShares[i] *= 2.5
		}
		sum += p.entryShares[i]
	}
	for i := range p.entryShares {
		p.entryShares[i] /= sum
	}
	f := newFleet(p)
	f.run()
	t.Log(f)
	if got, want := f.valueShare(), 0.85; got < want {
		t.Errorf("value share: got %.3f, want %.2f or more", got, want)
	}
}
