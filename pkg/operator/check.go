package operator

import (
	"strings"

	"github.com/teaseltide/teaseltide/internal/yamltext"
)

// checkReferences checks what depends on the whole text: references, dependency
// cycles and job sizes that no quota admits.
func (p *textParser) checkReferences() {
	for i, nodes := range p.services {
		for _, n := range nodes.dependsOn {
			if _, exists := p.serviceIndex[n.Text]; !exists {
				p.doc.AddFault(n.Position, yamltext.DanglingReference, "service %s is not defined", n.Text)
			}
		}
		for _, n := range nodes.teams {
			if _, exists := p.teamIndex[n.Text]; !exists {
				p.doc.AddFault(n.Position, yamltext.DanglingReference, "team %s is not defined", n.Text)
			}
		}
		p.checkQuotas(&p.text.Services[i], nodes)
	}
	p.checkCycles()
}

// checkQuotas reports an explicit max-tasks-per-job that exceeds the quota of
// every team allowed to submit.
func (p *textParser) checkQuotas(s *Service, nodes serviceNodes) {
	if nodes.maxTasksPerJob == nil || len(p.text.Teams) == 0 {
		return
	}
	largest := 0
	for _, team := range p.allowedTeams(s) {
		largest = max(largest, team.MaxQueuedTasks)
	}
	if largest > 0 && s.MaxTasksPerJob > largest {
		p.doc.AddFault(nodes.maxTasksPerJob.Position, yamltext.Impossible,
			"max-tasks-per-job %d exceeds max-queued-tasks of every team that may submit, at most %d", s.MaxTasksPerJob, largest)
	}
}

// allowedTeams returns the teams that may submit jobs of a service.
func (p *textParser) allowedTeams(s *Service) []Team {
	if len(s.Teams) == 0 {
		return p.text.Teams
	}
	var teams []Team
	for _, name := range s.Teams {
		if i, exists := p.teamIndex[name]; exists {
			teams = append(teams, p.text.Teams[i])
		}
	}
	return teams
}

// visitState is the state of a service in the depth-first search.
type visitState int

const (
	unvisited visitState = iota
	onPath
	finished
)

// cycleSearch is a depth-first search for dependency cycles.
type cycleSearch struct {
	parser *textParser
	states []visitState
	path   []string
}

// checkCycles reports each dependency that closes a cycle, with the services on
// the cycle.
func (p *textParser) checkCycles() {
	search := &cycleSearch{parser: p, states: make([]visitState, len(p.text.Services))}
	for i := range p.text.Services {
		search.visit(i)
	}
}

func (c *cycleSearch) visit(i int) {
	if c.states[i] != unvisited {
		return
	}
	c.states[i] = onPath
	c.path = append(c.path, c.parser.text.Services[i].Name)
	for _, n := range c.parser.services[i].dependsOn {
		next, known := c.parser.serviceIndex[n.Text]
		if !known {
			continue
		}
		if c.states[next] == onPath {
			c.reportCycle(n)
			continue
		}
		c.visit(next)
	}
	c.path = c.path[:len(c.path)-1]
	c.states[i] = finished
}

// reportCycle adds a fault with the cycle that the dependency n closes.
func (c *cycleSearch) reportCycle(n *yamltext.Node) {
	start := 0
	for i, name := range c.path {
		if name == n.Text {
			start = i
		}
	}
	cycle := append([]string{}, c.path[start:]...)
	cycle = append(cycle, n.Text)
	c.parser.doc.AddFault(n.Position, yamltext.DependencyCycle, "dependency cycle: %s", strings.Join(cycle, " -> "))
}
