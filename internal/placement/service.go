package placement

import (
	"math"
	"slices"

	"github.com/teaseltide/teaseltide/pkg/clock"
)

// service is the queue of a service and the workers that serve it.
type service struct {
	name     string
	config   *Config
	prefetch int
	model    model
	// speeds holds the learned speeds by worker name, also of some workers that
	// are gone.
	speeds map[string]*speed
	// restored lists what workers have run under other owners and is not yet
	// in the model and the speeds.
	restored []restoredRuns

	links []*link
	// sizes counts the workers of each size.
	sizes []sizeCount
	// free holds the workers with a free slot, prefetchable those with all
	// slots busy that may be given tasks in advance.
	free, prefetchable speedIndex
	// slots counts the slots of each speed class, without ejected workers.
	slots   [speedClasses]int
	present classSet
	// rate is the work done per millisecond when all slots are busy, in
	// milliseconds of an average worker.
	rate float64
	// allSlots counts the slots of the workers that are not ejected, freeSlots
	// the free ones among the workers with room.
	allSlots, freeSlots int

	teams map[string]*team
	// active lists the teams with queued tasks, cursor is the place of the one
	// whose turn it is.
	active []*team
	cursor int
	// queued counts the queued tasks; work is their expected run time on an
	// average worker, in milliseconds.
	queued int
	work   float64
	// sequence numbers the lanes, plan the calls of Plan.
	sequence uint64
	plan     uint64
	// held lists the lanes that wait for a faster worker in this plan;
	// waiting counts their tasks by the class that they wait for.
	held    []*lane
	waiting [speedClasses]int
	waitSet classSet

	// reserved lists the queues that a worker is drained for.
	reserved []*sizeQueue

	// blame is the sum over the workers, see health.
	blame float64
	// ejected counts the ejected workers; probes lists those that wait for a
	// probe.
	ejected int
	probes  []*link
}

// sizeCount counts the workers of one size.
type sizeCount struct {
	size  Resources
	count int
}

func newService(name string, cfg *Config) *service {
	return &service{
		name:     name,
		config:   cfg,
		prefetch: cfg.Prefetch,
		model:    newModel(),
		speeds:   make(map[string]*speed),
		teams:    make(map[string]*team),
	}
}

func (s *service) addSize(size Resources) {
	for i := range s.sizes {
		if s.sizes[i].size == size {
			s.sizes[i].count++
			return
		}
	}
	s.sizes = append(s.sizes, sizeCount{size: size, count: 1})
}

func (s *service) removeSize(size Resources) {
	for i := range s.sizes {
		if s.sizes[i].size != size {
			continue
		}
		s.sizes[i].count--
		if s.sizes[i].count == 0 {
			s.sizes = slices.Delete(s.sizes, i, i+1)
		}
		return
	}
}

func (s *service) fits(size Resources) bool {
	for _, c := range s.sizes {
		if c.size.holds(size) {
			return true
		}
	}
	return false
}

// addCapacity adds (sign 1) or removes (sign -1) the slots of a worker.
func (s *service) addCapacity(l *link, sign int) {
	n := sign * l.worker.Slots
	s.slots[l.class] += n
	s.allSlots += n
	s.rate += float64(n) / l.class.factor()
	if s.slots[l.class] > 0 {
		s.present.add(l.class)
		return
	}
	s.present.remove(l.class)
}

// The speeds of at most maxForgotten times the present workers, plus
// minForgotten, are kept; beyond that those of absent workers are dropped.
const (
	maxForgotten = 4
	minForgotten = 256
)

// speed returns the learned speed of a worker name.
func (s *service) speed(name string) *speed {
	v := s.speeds[name]
	if v != nil {
		return v
	}
	if len(s.speeds) >= maxForgotten*len(s.links)+minForgotten {
		s.forgetSpeeds()
	}
	v = &speed{}
	s.speeds[name] = v
	return v
}

// forgetSpeeds drops the speeds of workers that are gone. Replaced VMs often
// come back under new names, so the map would grow without bound.
func (s *service) forgetSpeeds() {
	kept := make(map[string]*speed, len(s.links))
	for _, l := range s.links {
		kept[l.worker.Name] = l.speed
	}
	s.speeds = kept
}

func (s *service) team(name string, share float64) *team {
	t := s.teams[name]
	if t == nil {
		t = &team{name: name, share: share}
		s.teams[name] = t
	}
	return t
}

// key orders jobs: the time of arrival plus a multiple of the time that the
// remaining work takes on all slots. A job thus passes only those that arrived
// within that multiple of their remaining time, so none starves, and the
// order of two jobs changes only when their work does.
func (s *service) key(j *job) float64 {
	return float64(j.arrived) + s.config.Ageing*s.drainTime(j.work)
}

// drainTime is the time in milliseconds that work takes on all slots.
func (s *service) drainTime(work float64) float64 {
	if s.present == (classSet{}) {
		return work
	}
	return work / s.rate
}

// meanWork is the expected run time of a task on an average worker.
func (s *service) meanWork() float64 {
	return s.model.expected(0)
}

// estimate returns the expected time until new tasks would be finished.
func (s *service) estimate(tasks []Task) clock.Millis {
	if s.present == (classSet{}) {
		return math.MaxInt32
	}
	var total, longest float64
	for _, t := range tasks {
		work := s.model.expected(t.Declared)
		total += work
		longest = max(longest, work)
	}
	factor := s.present.next(0).factor()
	own := max(longest*factor, total/s.rate)
	wait := s.work / s.rate
	if s.free.size == 0 {
		wait += s.meanWork() / s.rate
	}
	// Of many tasks some take much longer than expected. The margin for them
	// is at most the wait, so that an idle fleet refuses no job because of it.
	margin := max(longest*factor*s.model.expectedMax(len(tasks))-own, 0)
	margin = min(margin, wait)
	// Shorter jobs that arrive later pass the job while it waits.
	passing := min(s.config.Ageing*s.drainTime(total), wait)
	return clock.Millis(math.Ceil(wait + own + margin + passing))
}
