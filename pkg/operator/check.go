package operator

import (
	"strings"

	"github.com/teaseltide/teaseltide/internal/yamltext"
)

// checkReferences checks what needs the whole text: references, cycles and
// jobs that no quota admits.
func (p *reader) checkReferences() {
	for i, nodes := range p.services {
		for _, n := range nodes.dependsOn {
			if _, exists := p.index[n.Text]; !exists {
				p.doc.AddFault(n.Position, yamltext.DanglingReference, "service %s is not defined", n.Text)
			}
		}
		for _, n := range nodes.teams {
			if _, exists := p.teams[n.Text]; !exists {
				p.doc.AddFault(n.Position, yamltext.DanglingReference, "team %s is not defined", n.Text)
			}
		}
		p.checkQuotas(&p.text.Services[i], nodes)
	}
	p.checkCycles()
}

// checkQuotas refuses a stated job size that no team allowed to submit can
// queue.
func (p *reader) checkQuotas(s *Service, nodes serviceNodes) {
	if nodes.maxTasksPerJob == nil || len(p.text.Teams) == 0 {
		return
	}
	largest := 0
	for _, team := range p.submitters(s) {
		largest = max(largest, team.MaxQueuedTasks)
	}
	if largest > 0 && s.MaxTasksPerJob > largest {
		p.doc.AddFault(nodes.maxTasksPerJob.Position, yamltext.Impossible,
			"max-tasks-per-job %d exceeds max-queued-tasks of every team that may submit, at most %d", s.MaxTasksPerJob, largest)
	}
}

// submitters returns the teams that may submit jobs of a service.
func (p *reader) submitters(s *Service) []Team {
	if len(s.Teams) == 0 {
		return p.text.Teams
	}
	var teams []Team
	for _, name := range s.Teams {
		if i, exists := p.teams[name]; exists {
			teams = append(teams, p.text.Teams[i])
		}
	}
	return teams
}

// visit is the state of a service in the search for cycles.
type visit int

const (
	unseen visit = iota
	onPath
	finished
)

// cycleSearch is a depth-first search over the dependencies.
type cycleSearch struct {
	reader *reader
	states []visit
	path   []string
}

// checkCycles reports each dependency that closes a cycle, with the cycle.
func (p *reader) checkCycles() {
	search := &cycleSearch{reader: p, states: make([]visit, len(p.text.Services))}
	for i := range p.text.Services {
		search.follow(i)
	}
}

func (c *cycleSearch) follow(i int) {
	if c.states[i] != unseen {
		return
	}
	c.states[i] = onPath
	c.path = append(c.path, c.reader.text.Services[i].Name)
	for _, n := range c.reader.services[i].dependsOn {
		next, known := c.reader.index[n.Text]
		if !known {
			continue
		}
		if c.states[next] == onPath {
			c.report(n)
			continue
		}
		c.follow(next)
	}
	c.path = c.path[:len(c.path)-1]
	c.states[i] = finished
}

// report names the cycle that the dependency n closes.
func (c *cycleSearch) report(n *yamltext.Node) {
	start := 0
	for i, name := range c.path {
		if name == n.Text {
			start = i
		}
	}
	cycle := append([]string{}, c.path[start:]...)
	cycle = append(cycle, n.Text)
	c.reader.doc.AddFault(n.Position, yamltext.DependencyCycle, "dependency cycle: %s", strings.Join(cycle, " -> "))
}
