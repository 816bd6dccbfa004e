package dispatch

import (
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/placement"
)

// Status describes the state of an entry for operators.
type Status struct {
	Entry          ownership.Incarnation `json:"entry"`
	Domain         ownership.Domain      `json:"failure-domain"`
	Draining       bool                  `json:"draining"`
	StoreUp        bool                  `json:"store-up"`
	RecordRevision int64                 `json:"record-revision"`
	TextRevision   int64                 `json:"text-revision"`
	Requests       int                   `json:"requests"`
	Partitions     []PartitionStatus     `json:"partitions"`
	Services       []ServiceStatus       `json:"services"`
	Workers        []WorkerStatus        `json:"workers"`
	Peers          []PeerStatus          `json:"entries"`
}

// PartitionStatus describes a partition as this entry sees it. Mode is idle,
// fencing or serving.
type PartitionStatus struct {
	Partition        ownership.Partition   `json:"partition"`
	Owner            ownership.Incarnation `json:"owner"`
	Successor        ownership.Incarnation `json:"successor"`
	Epoch            ownership.Epoch       `json:"epoch"`
	Mode             string                `json:"mode"`
	ClaimsIncomplete bool                  `json:"claims-incomplete"`
	ActiveJobs       int                   `json:"active-jobs"`
	HeldJobs         int                   `json:"held-jobs"`
	KnownJobs        int                   `json:"known-jobs"`
}

// ServiceStatus describes the owner of a service and its number of workers.
type ServiceStatus struct {
	Service   string                `json:"service"`
	Partition ownership.Partition   `json:"partition"`
	Owner     ownership.Incarnation `json:"owner"`
	Workers   int                   `json:"workers"`
}

// WorkerStatus describes a worker as this entry sees it. Slowdown is the
// learned run time relative to the mean of the service.
type WorkerStatus struct {
	Worker         string                `json:"worker"`
	Sidecar        ownership.Incarnation `json:"sidecar"`
	Domain         ownership.Domain      `json:"failure-domain"`
	Rack           string                `json:"rack"`
	Services       []string              `json:"services"`
	State          string                `json:"state"`
	Slots          int                   `json:"slots"`
	Busy           int                   `json:"busy"`
	Slowdown       float64               `json:"slowdown"`
	Starts         int64                 `json:"starts"`
	Failures       int64                 `json:"failures"`
	Ejected        bool                  `json:"ejected"`
	EjectionReason string                `json:"ejected-why"`
}

// PeerStatus describes another entry.
type PeerStatus struct {
	Entry     ownership.Incarnation `json:"entry"`
	Domain    ownership.Domain      `json:"failure-domain"`
	Connected bool                  `json:"connected"`
	Leaving   bool                  `json:"leaving"`
}

// Status returns a copy of the current state that may leave the control
// thread.
func (c *Core) Status() Status {
	s := Status{
		Entry:          c.cfg.Self,
		Domain:         c.cfg.Domain,
		Draining:       c.draining,
		StoreUp:        c.storeUp,
		RecordRevision: c.membership.record.Revision,
		TextRevision:   c.textRevision,
		Requests:       c.requests.Len(),
	}
	for i := range c.partitions {
		s.Partitions = append(s.Partitions, c.partitions[i].status())
	}
	s.Services = c.serviceStatus()
	s.Workers = c.workerStatus()
	for id, p := range c.peers.All() {
		s.Peers = append(s.Peers, PeerStatus{Entry: id, Domain: p.domain, Connected: p.connected, Leaving: p.leaving})
	}
	return s
}

func (p *partition) status() PartitionStatus {
	return PartitionStatus{
		Partition:        p.id,
		Owner:            p.assigned.Owner,
		Successor:        p.assigned.Successor,
		Epoch:            max(p.assigned.Epoch, p.epoch),
		Mode:             p.mode.String(),
		ClaimsIncomplete: p.claimsIncomplete,
		ActiveJobs:       p.openJobs,
		HeldJobs:         p.jobs.Len() + p.answered.Len(),
		KnownJobs:        p.known.Len(),
	}
}

func (c *Core) serviceStatus() []ServiceStatus {
	if c.text == nil {
		return nil
	}
	services := make([]ServiceStatus, 0, len(c.text.Services))
	for _, svc := range c.text.Services {
		p := c.partitionOf(svc.Name)
		owner := p.assigned.Owner
		if p.mode != idle {
			owner = c.cfg.Self
		} else if p.announced.epoch > p.assigned.Epoch {
			owner = p.announced.owner
		}
		services = append(services, ServiceStatus{
			Service:   svc.Name,
			Partition: p.id,
			Owner:     owner,
			Workers:   c.placement.WorkerCount(svc.Name),
		})
	}
	return services
}

func (c *Core) workerStatus() []WorkerStatus {
	learned := make(map[ownership.Incarnation]placement.WorkerStatus)
	for _, w := range c.placement.Workers(c.now) {
		learned[w.ID] = w
	}
	workers := make([]WorkerStatus, 0, c.sidecars.Len())
	for id, s := range c.sidecars.All() {
		l := learned[id]
		workers = append(workers, WorkerStatus{
			Worker:         s.state.GetWorker(),
			Sidecar:        id,
			Domain:         s.domain,
			Rack:           s.state.GetRack(),
			Services:       s.state.GetServices(),
			State:          s.describe(),
			Slots:          int(s.state.GetSlots()),
			Busy:           s.bound,
			Slowdown:       l.Slowdown,
			Starts:         l.Starts,
			Failures:       l.Failures,
			Ejected:        l.Ejected,
			EjectionReason: l.Reason,
		})
	}
	return workers
}

// describe returns the state of a sidecar for status output.
func (s *sidecar) describe() string {
	switch {
	case s.lost:
		return "lost"
	case !s.connected:
		return "disconnected"
	case s.state.GetLeaving():
		return "leaving"
	case !s.state.GetReady() || len(s.state.GetServices()) == 0:
		return "starting"
	case s.blockedUntil > 0:
		return "not-ready"
	}
	return "serving"
}
