package validator

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"strings"
	"time"

	"damaskspread.example/damaskspread/parser"
	"damaskspread.example/damaskspread/wire"
)

// Document is the checked configuration document. Messages and slices that
// accessors return are shared and must not be modified.
type Document struct {
	zones     map[string]*Zone
	services  map[string]*Service
	teams     map[string]*Team
	kinds     map[string]*Kind
	objective *Objective
}

// Zone returns the section of a zone.
func (d *Document) Zone(name string) (*Zone, bool) { return get(d.zones, name) }

// Service returns the section of a service.
func (d *Document) Service(name string) (*Service, bool) { return get(d.services, name) }

// Team returns the section of a team.
func (d *Document) Team(name string) (*Team, bool) { return get(d.teams, name) }

// Kind returns the section of a kind of task.
func (d *Document) Kind(name string) (*Kind, bool) { return get(d.kinds, name) }

// Objective is the objective section, or its defaults.
func (d *Document) Objective() *Objective { return d.objective }

// Zones iterates over the zones in no order.
func (d *Document) Zones() iter.Seq[*Zone] { return maps.Values(d.zones) }

// Services iterates over the services in no order.
func (d *Document) Services() iter.Seq[*Service] { return maps.Values(d.services) }

// Teams iterates over the teams in no order.
func (d *Document) Teams() iter.Seq[*Team] { return maps.Values(d.teams) }

// Kinds iterates over the kinds in no order.
func (d *Document) Kinds() iter.Seq[*Kind] { return maps.Values(d.kinds) }

func get[T any](m map[string]*T, name string) (*T, bool) {
	section, ok := m[name]
	return section, ok
}

// Zone is the section of an availability zone.
type Zone struct {
	name, owner, region string
	inService, drain    bool
}

// Name is the zone's name.
func (z *Zone) Name() string { return z.name }

// Owner is the team that may change the section.
func (z *Zone) Owner() string { return z.owner }

// Region is the zone's region.
func (z *Zone) Region() string { return z.region }

// InService reports whether work may start in the zone.
func (z *Zone) InService() bool { return z.inService }

// Drain reports whether tasks that run in the zone while it is out of service
// are evicted to other zones.
func (z *Zone) Drain() bool { return z.drain }

// Service is the section of a service.
type Service struct {
	name, owner string
	classes     []string
	idempotent  []string
	timeout     time.Duration
	staleLimit  time.Duration
	hedging     bool
}

// Name is the service's name.
func (s *Service) Name() string { return s.name }

// Owner is the team that may change the section.
func (s *Service) Owner() string { return s.owner }

// Classes are the request classes in the order of shedding: the first is shed
// first.
func (s *Service) Classes() []string { return s.classes }

// Priority is a class's rank in the order of shedding: 0 is shed last, and a
// class that the section does not name is shed first.
func (s *Service) Priority(class string) int32 {
	return int32(len(s.classes) - 1 - slices.Index(s.classes, class))
}

// Idempotent reports whether requests of a class may run more than once.
func (s *Service) Idempotent(class string) bool { return slices.Contains(s.idempotent, class) }

// Timeout is the deadline of a request that names none.
func (s *Service) Timeout() time.Duration { return s.timeout }

// StaleLimit is how long endpoints serve on the last known configuration
// beyond the currency limit.
func (s *Service) StaleLimit() time.Duration { return s.staleLimit }

// Hedging reports whether a slow idempotent request is sent a second time.
func (s *Service) Hedging() bool { return s.hedging }

// Team is the section of a team.
type Team struct {
	name, owner string
	quota       *wire.Resources
	share       float64
}

// Name is the team's name.
func (t *Team) Name() string { return t.name }

// Owner is the team that may change the section.
func (t *Team) Owner() string { return t.owner }

// Quota bounds what the team's tasks hold at once; Unlimited stands for no
// bound.
func (t *Team) Quota() *wire.Resources { return t.quota }

// Share is the team's weight when teams compete.
func (t *Team) Share() float64 { return t.share }

// Kind is the section of a kind of task.
type Kind struct {
	name, owner string
	class       string
	resources   *wire.Resources
	mayWait     time.Duration
}

// Name is the kind's name.
func (k *Kind) Name() string { return k.name }

// Owner is the team that may change the section.
func (k *Kind) Owner() string { return k.owner }

// Class is the class of the kind's tasks.
func (k *Kind) Class() wire.TaskClass { return TaskClass(k.class) }

// Resources are what a task of the kind needs unless it declares more.
func (k *Kind) Resources() *wire.Resources { return k.resources }

// MayWait is how long a task of the kind may wait before it starts.
func (k *Kind) MayWait() time.Duration { return k.mayWait }

// TaskClass returns the class of a name, unspecified for an unknown one.
func TaskClass(name string) wire.TaskClass {
	switch name {
	case "batch":
		return wire.TaskClass_TASK_CLASS_BATCH
	case "latency_critical":
		return wire.TaskClass_TASK_CLASS_LATENCY_CRITICAL
	default:
		return wire.TaskClass_TASK_CLASS_UNSPECIFIED
	}
}

// Objective is the section of the weights.
type Objective struct {
	owner                                  string
	tailLatency, batchThroughput, eviction float64
}

// Owner is the team that may change the section.
func (o *Objective) Owner() string { return o.owner }

// TailLatency is the weight of the services' tail latency.
func (o *Objective) TailLatency() float64 { return o.tailLatency }

// BatchThroughput is the weight of finished batch work.
func (o *Objective) BatchThroughput() float64 { return o.batchThroughput }

// Evictions is the weight of avoided evictions.
func (o *Objective) Evictions() float64 { return o.eviction }

func newDocument() *Document {
	objective := &Objective{}
	read(parser.ParseBody("", "objective", ""), objective.fields())
	return &Document{
		zones:     map[string]*Zone{},
		services:  map[string]*Service{},
		teams:     map[string]*Team{},
		kinds:     map[string]*Kind{},
		objective: objective,
	}
}

// FromSections builds the document from replayed sections. A rejected section
// is left out and leaves the others alone. A nil sequence gives the defaults.
func FromSections(sections iter.Seq[*wire.SectionState]) (*Document, []Diagnostic) {
	document := newDocument()
	if sections == nil {
		return document, nil
	}
	var diagnostics []Diagnostic
	for state := range sections {
		if !state.GetRemoved() {
			section := parser.ParseBody("published", state.GetSection(), state.GetText())
			diagnostics = append(diagnostics, document.add(section)...)
		}
	}
	slices.SortStableFunc(diagnostics, func(a, b Diagnostic) int { return cmp.Compare(a.Section, b.Section) })
	return document, diagnostics
}

// CheckText reads a document text. Sections without diagnostics are in the
// document.
func CheckText(file, text string) (*Document, []Diagnostic) {
	document := newDocument()
	var diagnostics []Diagnostic
	for _, section := range parser.Parse(file, text).Sections() {
		diagnostics = append(diagnostics, document.add(section)...)
	}
	return document, diagnostics
}

// CheckSection reads one section.
func CheckSection(section *parser.Section) []Diagnostic { return newDocument().add(section) }

// Owner returns the value of a section's owner key.
func Owner(section *parser.Section) string {
	if key, ok := section.Key("owner"); ok {
		return key.Value()
	}
	return ""
}

func (d *Document) add(section *parser.Section) []Diagnostic {
	kind, name, named := strings.Cut(section.Name(), " ")
	if !contains(sectionKinds, kind) || named != (kind != "objective") || (named && !IsName(name)) {
		suggestion := nearest(kind, sectionKinds)
		if suggestion != "" && suggestion != "objective" {
			suggestion = strings.TrimSpace(suggestion + " " + cmp.Or(name, "NAME"))
		}
		return []Diagnostic{diagnose(section, nil, "["+section.Name()+"]",
			"[zone NAME], [service NAME], [team NAME], [kind NAME] or [objective]", suggestion)}
	}
	switch kind {
	case "zone":
		return keep(d.zones, name, &Zone{name: name}, section)
	case "service":
		return keep(d.services, name, &Service{name: name}, section)
	case "team":
		return keep(d.teams, name, &Team{name: name}, section)
	case "kind":
		return keep(d.kinds, name, &Kind{name: name}, section)
	default:
		objective := &Objective{}
		diagnostics := readSection(section, objective)
		if len(diagnostics) == 0 {
			d.objective = objective
		}
		return diagnostics
	}
}

func keep[T any, P interface {
	*T
	described
}](m map[string]*T, name string, target P, section *parser.Section) []Diagnostic {
	diagnostics := readSection(section, target)
	if len(diagnostics) == 0 {
		m[name] = target
	}
	return diagnostics
}
