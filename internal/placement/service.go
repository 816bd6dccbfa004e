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
	// speeds holds the learned speeds by worker name, including those of some
	// removed workers.
	speeds map[string]*speed
	// restored lists run times observed under other owners that are not yet
	// included in the model and the speeds.
	restored []restoredRuns

	links []*link
	// capacities counts the workers by total capacity.
	capacities []capacityCount
	// free holds the workers with a free slot, prefetchable those with all
	// slots busy that may be given tasks in advance.
	free, prefetchable speedIndex
	// classSlots counts the slots of each speed class, without ejected workers;
	// presentClasses is the set of the classes that have slots.
	classSlots     [speedClasses]int
	presentClasses classSet
	// rate is the work done per millisecond when all slots are busy, in
	// milliseconds of an average worker.
	rate float64
	// totalSlots counts the slots of the workers that are not ejected, freeSlots
	// the free slots of the workers in free.
	totalSlots, freeSlots int

	teams map[string]*team
	// active lists the teams with queued tasks, cursor is the index of the one
	// whose turn it is.
	active []*team
	cursor int
	// queued counts the queued tasks; work is their expected run time on an
	// average worker, in milliseconds.
	queued int
	work   float64
	// sequence numbers the groups, planNumber the passes over the queues: two
	// for each call of Plan.
	sequence   uint64
	planNumber uint64
	// deferred lists the groups that this plan has passed over; waiting counts
	// those that wait for a faster worker by its class, and waitingClasses is
	// the set of these classes.
	deferred       []*taskGroup
	waiting        [speedClasses]int
	waitingClasses classSet

	// reserved lists the queues for which a worker drains.
	reserved []*resourceQueue

	// failureScore is the sum of the workers' scores; see health.
	failureScore float64
	// ejected counts the ejected workers; probes lists those that await a
	// probe.
	ejected int
	probes  []*link
}

// capacityCount is the number of workers with the same total capacity.
type capacityCount struct {
	capacity Resources
	count    int
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

func (s *service) addWorkerCapacity(capacity Resources) {
	for i := range s.capacities {
		if s.capacities[i].capacity == capacity {
			s.capacities[i].count++
			return
		}
	}
	s.capacities = append(s.capacities, capacityCount{capacity: capacity, count: 1})
}

func (s *service) removeWorkerCapacity(capacity Resources) {
	for i := range s.capacities {
		if s.capacities[i].capacity != capacity {
			continue
		}
		s.capacities[i].count--
		if s.capacities[i].count == 0 {
			s.capacities = slices.Delete(s.capacities, i, i+1)
		}
		return
	}
}

// fits reports whether the total capacity of some worker holds a task.
func (s *service) fits(needed Resources) bool {
	for _, c := range s.capacities {
		if c.capacity.holds(needed) {
			return true
		}
	}
	return false
}

// addSlots adds (sign 1) or removes (sign -1) the slots of a worker.
func (s *service) addSlots(l *link, sign int) {
	n := sign * l.worker.Slots
	s.classSlots[l.class] += n
	s.totalSlots += n
	s.rate += float64(n) / l.class.factor()
	if s.classSlots[l.class] > 0 {
		s.presentClasses.add(l.class)
		return
	}
	s.presentClasses.remove(l.class)
}

// At most maxSpeedsPerWorker speeds for each present worker, plus minSpeeds, are
// kept; beyond that the speeds of removed workers are dropped.
const (
	maxSpeedsPerWorker = 4
	minSpeeds          = 256
)

// speed returns the learned speed of the worker with this name, creating it if
// necessary.
func (s *service) speed(name string) *speed {
	v := s.speeds[name]
	if v != nil {
		return v
	}
	if len(s.speeds) >= maxSpeedsPerWorker*len(s.links)+minSpeeds {
		s.dropAbsentSpeeds()
	}
	v = &speed{}
	s.speeds[name] = v
	return v
}

// dropAbsentSpeeds deletes the speeds of removed workers. Replacement VMs often
// have new names, so the map would grow without bound.
func (s *service) dropAbsentSpeeds() {
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

// sortKey returns the key by which jobs are ordered, lowest first: the time of
// arrival plus Config.Ageing times the time that the remaining work takes on all
// slots. A job thus passes only those that arrived within that multiple of their
// remaining time, so none starves, and the order of two jobs changes only when
// their work does.
func (s *service) sortKey(j *job) float64 {
	return float64(j.arrived) + s.config.Ageing*s.drainTime(j.work)
}

// drainTime returns the time in milliseconds that work takes on all slots, or
// work itself if there are no slots.
func (s *service) drainTime(work float64) float64 {
	if s.presentClasses == (classSet{}) {
		return work
	}
	return work / s.rate
}

// meanWork returns the expected run time in milliseconds of a task without a
// declared run time on an average worker.
func (s *service) meanWork() float64 {
	return s.model.expectedRun(0)
}

// estimate returns the expected time until new tasks would be finished, or
// MaxInt32 if the service has no slots.
func (s *service) estimate(tasks []Task) clock.Millis {
	if s.presentClasses == (classSet{}) {
		return math.MaxInt32
	}
	var total, longest float64
	for _, t := range tasks {
		work := s.model.expectedRun(t.Declared)
		total += work
		longest = max(longest, work)
	}
	factor := s.presentClasses.next(0).factor()
	runTime := max(longest*factor, total/s.rate)
	wait := s.work / s.rate
	if s.free.size == 0 {
		wait += s.meanWork() / s.rate
	}
	// Among many tasks, some take much longer than expected. The margin for them
	// is at most the wait, so that an idle fleet refuses no job because of it.
	margin := max(longest*factor*s.model.expectedMax(len(tasks))-runTime, 0)
	margin = min(margin, wait)
	// Shorter jobs that arrive later pass the job while it waits.
	passing := min(s.config.Ageing*s.drainTime(total), wait)
	return clock.Millis(math.Ceil(wait + runTime + margin + passing))
}
