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

// Document is the validated configuration document. Callers must not modify the
// messages and slices that its methods return.
type Document struct {
	zones     map[string]*Zone
	services  map[string]*Service
	teams     map[string]*Team
	kinds     map[string]*Kind
	objective *Objective
}

// Zone returns the section of the named zone.
func (d *Document) Zone(name string) (*Zone, bool) { return lookup(d.zones, name) }

// Service returns the section of the named service.
func (d *Document) Service(name string) (*Service, bool) { return lookup(d.services, name) }

// Team returns the section of the named team.
func (d *Document) Team(name string) (*Team, bool) { return lookup(d.teams, name) }

// Kind returns the section of the named kind of task.
func (d *Document) Kind(name string) (*Kind, bool) { return lookup(d.kinds, name) }

// Objective returns the objective section, or the default weights without one.
func (d *Document) Objective() *Objective { return d.objective }

// Zones iterates over the zones in no particular order.
func (d *Document) Zones() iter.Seq[*Zone] { return maps.Values(d.zones) }

// Services iterates over the services in no particular order.
func (d *Document) Services() iter.Seq[*Service] { return maps.Values(d.services) }

// Teams iterates over the teams in no particular order.
func (d *Document) Teams() iter.Seq[*Team] { return maps.Values(d.teams) }

// Kinds iterates over the kinds in no particular order.
func (d *Document) Kinds() iter.Seq[*Kind] { return maps.Values(d.kinds) }

func lookup[T any](m map[string]*T, name string) (*T, bool) {
	section, ok := m[name]
	return section, ok
}

// Zone is the [zone NAME] section of an availability zone.
type Zone struct {
	name, owner, region string
	inService, drain    bool
}

// Name returns the zone's name.
func (z *Zone) Name() string { return z.name }

// Owner returns the team that may change the section.
func (z *Zone) Owner() string { return z.owner }

// Region returns the zone's region. It may be empty.
func (z *Zone) Region() string { return z.region }

// InService reports whether tasks and requests may start in the zone.
func (z *Zone) InService() bool { return z.inService }

// Drain reports whether tasks that run in the zone while it is out of service
// are evicted to other zones.
func (z *Zone) Drain() bool { return z.drain }

// Service is the [service NAME] section of a service.
type Service struct {
	name, owner string
	classes     []string
	idempotent  []string
	timeout     time.Duration
	staleLimit  time.Duration
	hedging     bool
}

// Name returns the service's name.
func (s *Service) Name() string { return s.name }

// Owner returns the team that may change the section.
func (s *Service) Owner() string { return s.owner }

// Classes returns the request classes in the order of load shedding: requests of
// the first class are refused first.
func (s *Service) Classes() []string { return s.classes }

// Priority returns a class's priority for load shedding: requests with a higher
// number are refused first. The last class of the section has 0, and a class that
// the section does not list has the highest number.
func (s *Service) Priority(class string) int32 {
	return int32(len(s.classes) - 1 - slices.Index(s.classes, class))
}

// Idempotent reports whether requests of a class may run more than once.
func (s *Service) Idempotent(class string) bool { return slices.Contains(s.idempotent, class) }

// Timeout returns the deadline of a request that does not set one.
func (s *Service) Timeout() time.Duration { return s.timeout }

// StaleLimit returns how long endpoints keep serving with the last known
// configuration once its age exceeds the currency limit.
func (s *Service) StaleLimit() time.Duration { return s.staleLimit }

// Hedging reports whether a slow idempotent request is sent to a second endpoint.
func (s *Service) Hedging() bool { return s.hedging }

// Team is the [team NAME] section of a team.
type Team struct {
	name, owner string
	quota       *wire.Resources
	share       float64
}

// Name returns the team's name.
func (t *Team) Name() string { return t.name }

// Owner returns the team that may change the section.
func (t *Team) Owner() string { return t.owner }

// Quota returns the maximum resources of the team's tasks at any time. Unlimited
// means no quota for that resource.
func (t *Team) Quota() *wire.Resources { return t.quota }

// Share returns the team's weight when teams compete for resources.
func (t *Team) Share() float64 { return t.share }

// Kind is the [kind NAME] section of a kind of task.
type Kind struct {
	name, owner string
	class       string
	resources   *wire.Resources
	mayWait     time.Duration
}

// Name returns the kind's name.
func (k *Kind) Name() string { return k.name }

// Owner returns the team that may change the section.
func (k *Kind) Owner() string { return k.owner }

// Class returns the class of the kind's tasks.
func (k *Kind) Class() wire.TaskClass { return TaskClass(k.class) }

// Resources returns the resources for tasks of the kind that declare none.
func (k *Kind) Resources() *wire.Resources { return k.resources }

// MayWait returns how long a task of the kind may wait before it starts.
func (k *Kind) MayWait() time.Duration { return k.mayWait }

// TaskClass returns the class with the name, or TASK_CLASS_UNSPECIFIED for an
// unknown name.
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

// Objective is the [objective] section: the weights of the scheduler's goals.
type Objective struct {
	owner                                   string
	tailLatency, batchThroughput, evictions float64
}

// Owner returns the team that may change the section.
func (o *Objective) Owner() string { return o.owner }

// TailLatency returns the weight of low tail latency of the services.
func (o *Objective) TailLatency() float64 { return o.tailLatency }

// BatchThroughput returns the weight of finished batch work.
func (o *Objective) BatchThroughput() float64 { return o.batchThroughput }

// Evictions returns the weight of avoided evictions.
func (o *Objective) Evictions() float64 { return o.evictions }

func newDocument() *Document {
	objective := &Objective{}
	readFields(parser.ParseBody("", "objective", ""), objective.fields())
	return &Document{
		zones:     map[string]*Zone{},
		services:  map[string]*Service{},
		teams:     map[string]*Team{},
		kinds:     map[string]*Kind{},
		objective: objective,
	}
}

// DocumentFromSections builds the document from the published sections of the
// replayed state. It omits removed and invalid sections, and returns the
// diagnostics of the invalid ones. A nil sequence yields the defaults.
func DocumentFromSections(sections iter.Seq[*wire.SectionState]) (*Document, []Diagnostic) {
	document := newDocument()
	if sections == nil {
		return document, nil
	}
	var diagnostics []Diagnostic
	for state := range sections {
		if !state.GetRemoved() {
			section := parser.ParseBody("published", state.GetSection(), state.GetText())
			diagnostics = append(diagnostics, document.addSection(section)...)
		}
	}
	slices.SortStableFunc(diagnostics, func(a, b Diagnostic) int { return cmp.Compare(a.Section, b.Section) })
	return document, diagnostics
}

// ParseDocument parses the text of a configuration document. The document contains
// the valid sections; the diagnostics describe the others.
func ParseDocument(file, text string) (*Document, []Diagnostic) {
	document := newDocument()
	var diagnostics []Diagnostic
	for _, section := range parser.Parse(file, text).Sections() {
		diagnostics = append(diagnostics, document.addSection(section)...)
	}
	return document, diagnostics
}

// CheckSection validates one section of the configuration document.
func CheckSection(section *parser.Section) []Diagnostic { return newDocument().addSection(section) }

// Owner returns the value of a section's owner key, or "" without one.
func Owner(section *parser.Section) string {
	if key, ok := section.Key("owner"); ok {
		return key.Value()
	}
	return ""
}

func (d *Document) addSection(section *parser.Section) []Diagnostic {
	sectionType, name, hasName := strings.Cut(section.Name(), " ")
	if !slices.Contains(sectionTypes, sectionType) || hasName != (sectionType != "objective") || (hasName && !IsName(name)) {
		suggestion := Nearest(sectionType, sectionTypes)
		if suggestion != "" && suggestion != "objective" {
			suggestion = strings.TrimSpace(suggestion + " " + cmp.Or(name, "NAME"))
		}
		return []Diagnostic{newDiagnostic(section, nil, "["+section.Name()+"]",
			"[zone NAME], [service NAME], [team NAME], [kind NAME] or [objective]", suggestion)}
	}
	switch sectionType {
	case "zone":
		return addIfValid(d.zones, name, &Zone{name: name}, section)
	case "service":
		return addIfValid(d.services, name, &Service{name: name}, section)
	case "team":
		return addIfValid(d.teams, name, &Team{name: name}, section)
	case "kind":
		return addIfValid(d.kinds, name, &Kind{name: name}, section)
	default:
		objective := &Objective{}
		diagnostics := readSection(section, objective)
		if len(diagnostics) == 0 {
			d.objective = objective
		}
		return diagnostics
	}
}

func addIfValid[T any, P interface {
	*T
	documentSection
}](sections map[string]*T, name string, target P, section *parser.Section) []Diagnostic {
	diagnostics := readSection(section, target)
	if len(diagnostics) == 0 {
		sections[name] = target
	}
	return diagnostics
}
