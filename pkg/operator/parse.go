package operator

import (
	"github.com/teaseltide/teaseltide/internal/yamltext"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// MaxTextBytes bounds the services text. It leaves a margin below the 1 MB that
// the store allows for a value.
const MaxTextBytes = 512 << 10

// Defaults of absent fields.
const (
	DefaultShare              = 1
	DefaultMaxQueuedTasks     = 20_000
	DefaultMaxTasksPerJob     = 820
	DefaultMaxPayload         = 64 << 10
	DefaultDeadline           = 30 * clock.Second
	DefaultMaxDeadline        = 2 * clock.Minute
	DefaultRetryBudgetPercent = 10

	// maxPrefetch is the default of a sidecar's limits.max-queued; the sidecar
	// would reject more.
	maxPrefetch = 64
)

// Bounds of fields. They are meant to find typing errors, not to limit the size
// of an installation.
const (
	maxShare            = 1_000_000
	maxQueuedTasks      = 10_000_000
	maxTasksPerJob      = 100_000
	maxPayload          = 64 << 20
	maxTaskMemory       = 16 << 40
	maxTaskCPUs         = 4096
	maxTaskAccelerators = 1024
	mebibyte            = 1 << 20
	// maxDeadline is how far ahead a job's expires-at may be, because a job must
	// not wait longer than its key is retained.
	maxDeadline = 10 * clock.Minute
)

// Parse parses and validates a services text. file is its name in errors. The
// error is of type Errors and holds every fault found.
func Parse(file string, data []byte) (*Text, error) {
	doc, root := yamltext.Parse(file, data, MaxTextBytes)
	p := &textParser{doc: doc, text: &Text{}, teamIndex: map[string]int{}, serviceIndex: map[string]int{}}
	if root != nil {
		p.readText(root)
		p.checkReferences()
	}
	if faults := doc.Faults(); len(faults) > 0 {
		return nil, convertFaults(faults)
	}
	return p.text, nil
}

// textParser builds a Text and keeps the nodes for checkReferences.
type textParser struct {
	doc      *yamltext.Document
	text     *Text
	services []serviceNodes
	// teamIndex and serviceIndex map names to indexes in text.
	teamIndex    map[string]int
	serviceIndex map[string]int
}

// serviceNodes holds the nodes of a service whose positions checkReferences
// reports.
type serviceNodes struct {
	name      *yamltext.Node
	dependsOn []*yamltext.Node
	teams     []*yamltext.Node
	// maxTasksPerJob is nil if the field is absent.
	maxTasksPerJob *yamltext.Node
}

func (p *textParser) readText(root *yamltext.Node) {
	o := p.doc.Object(root, "the text", "teams", "services")
	if root.Kind == yamltext.Mapping {
		o.Require("services")
	}
	for _, n := range o.Items("teams") {
		p.readTeam(n)
	}
	for _, n := range o.Items("services") {
		p.readService(n)
	}
}

func (p *textParser) readTeam(n *yamltext.Node) {
	o := p.doc.Object(n, "a team", "name", "share", "max-queued-tasks")
	team := Team{
		Share:          int(o.Integer("share", DefaultShare, 1, maxShare)),
		MaxQueuedTasks: int(o.Integer("max-queued-tasks", DefaultMaxQueuedTasks, 1, maxQueuedTasks)),
	}
	name := p.readName(n, o, "team")
	if name == nil {
		return
	}
	if _, exists := p.teamIndex[name.Text]; exists {
		p.doc.AddFault(name.Position, yamltext.Duplicate, "team %s is already defined", name.Text)
		return
	}
	team.Name = name.Text
	p.teamIndex[team.Name] = len(p.text.Teams)
	p.text.Teams = append(p.text.Teams, team)
}

// readName returns the node of the name field, or nil if it is not valid.
func (p *textParser) readName(n *yamltext.Node, o *yamltext.Object, what string) *yamltext.Node {
	if n.Kind != yamltext.Mapping {
		return nil
	}
	name := o.Require("name")
	if name == nil {
		return nil
	}
	if _, ok := p.doc.Name(name, what+" name"); !ok {
		return nil
	}
	return name
}

func (p *textParser) readService(n *yamltext.Node) {
	o := p.doc.Object(n, "a service", "name", "depends-on", "teams", "not-repeatable", "max-tasks-per-job",
		"max-payload", "default-deadline", "max-deadline", "retry-budget-percent", "prefetch", "task")
	nodes := serviceNodes{maxTasksPerJob: o.Get("max-tasks-per-job")}
	service := Service{
		NotRepeatable:      o.Bool("not-repeatable", false),
		MaxTasksPerJob:     int(o.Integer("max-tasks-per-job", DefaultMaxTasksPerJob, 1, maxTasksPerJob)),
		MaxPayload:         int(o.Size("max-payload", DefaultMaxPayload, 0, maxPayload)),
		RetryBudgetPercent: int(o.Integer("retry-budget-percent", DefaultRetryBudgetPercent, 0, 100)),
		Prefetch:           int(o.Integer("prefetch", 0, 0, maxPrefetch)),
	}
	p.readDeadlines(o, &service)
	service.DependsOn, nodes.dependsOn = p.readNames(o, "depends-on", "service")
	service.Teams, nodes.teams = p.readNames(o, "teams", "team")
	if task := o.Get("task"); task != nil {
		service.Task = p.readTask(task)
	}
	nodes.name = p.readName(n, o, "service")
	if nodes.name == nil {
		return
	}
	if _, exists := p.serviceIndex[nodes.name.Text]; exists {
		p.doc.AddFault(nodes.name.Position, yamltext.Duplicate, "service %s is already defined", nodes.name.Text)
		return
	}
	service.Name = nodes.name.Text
	p.serviceIndex[service.Name] = len(p.text.Services)
	p.text.Services = append(p.text.Services, service)
	p.services = append(p.services, nodes)
}

// readDeadlines reads both deadlines and reports a default above the maximum. If
// default-deadline is absent, it is at most max-deadline.
func (p *textParser) readDeadlines(o *yamltext.Object, s *Service) {
	s.MaxDeadline = o.Duration("max-deadline", DefaultMaxDeadline, 1, maxDeadline)
	s.DefaultDeadline = o.Duration("default-deadline", min(DefaultDeadline, s.MaxDeadline), 1, maxDeadline)
	if s.DefaultDeadline > s.MaxDeadline {
		p.doc.AddFault(o.Get("default-deadline").Position, yamltext.Impossible, "default-deadline %s exceeds max-deadline %s",
			yamltext.FormatDuration(s.DefaultDeadline), yamltext.FormatDuration(s.MaxDeadline))
	}
}

// readNames reads a list of references and reports repeated ones.
func (p *textParser) readNames(o *yamltext.Object, field, what string) ([]string, []*yamltext.Node) {
	var names []string
	var nodes []*yamltext.Node
	seen := map[string]bool{}
	for _, n := range o.Items(field) {
		name, ok := p.doc.Name(n, what+" name")
		if !ok {
			continue
		}
		if seen[name] {
			p.doc.AddFault(n.Position, yamltext.Duplicate, "%s %s is listed twice", what, name)
			continue
		}
		seen[name] = true
		names = append(names, name)
		nodes = append(nodes, n)
	}
	return names, nodes
}

func (p *textParser) readTask(n *yamltext.Node) TaskSize {
	o := p.doc.Object(n, "task", "memory", "cpus", "accelerators")
	memory := o.Size("memory", 0, 0, maxTaskMemory)
	if memory%mebibyte != 0 {
		p.doc.AddFault(o.Get("memory").Position, yamltext.WrongUnit, "memory must be a whole number of MiB, not %s", o.Get("memory").Text)
	}
	return TaskSize{
		MemoryMiB:    memory / mebibyte,
		CPUs:         int(o.Integer("cpus", 0, 0, maxTaskCPUs)),
		Accelerators: int(o.Integer("accelerators", 0, 0, maxTaskAccelerators)),
	}
}
