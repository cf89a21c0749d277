package validator

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"damaskspread.example/damaskspread/parser"
	"damaskspread.example/damaskspread/wire"
)

var sectionTypes = []string{"zone", "service", "team", "kind", "objective"}

// documentSection is a section of the configuration document. fields lists its
// keys; check validates rules that involve several keys.
type documentSection interface {
	fields() []Field
	check(section *parser.Section) []Diagnostic
}

func readSection(section *parser.Section, target documentSection) []Diagnostic {
	if diagnostics := readFields(section, target.fields()); len(diagnostics) > 0 {
		return diagnostics
	}
	return target.check(section)
}

const ownerDescription = "team that may change the section"

func (z *Zone) fields() []Field {
	return []Field{
		required("owner", ownerDescription, name(&z.owner)),
		optional("region", "", "region of the zone, for display", name(&z.region)),
		optional("in_service", "yes", "whether tasks and requests may start in the zone", boolean(&z.inService)),
		optional("drain", "yes", "whether running tasks are evicted while the zone is out of service", boolean(&z.drain)),
	}
}

func (z *Zone) check(*parser.Section) []Diagnostic { return nil }

func (s *Service) fields() []Field {
	return []Field{
		required("owner", ownerDescription, name(&s.owner)),
		optional("classes", "", "request classes, the first is shed first", names(&s.classes)),
		optional("idempotent", "", "classes whose requests may run more than once", names(&s.idempotent)),
		optional("timeout", "2s", "deadline of a request that names none", duration(&s.timeout, time.Millisecond, time.Hour)),
		optional("hedging", "off", "whether a slow idempotent request is sent a second time", boolean(&s.hedging)),
		optional("stale_limit", "0s", "how long endpoints serve on the last known configuration; during that time they may serve in a zone that was taken out", duration(&s.staleLimit, 0, 24*time.Hour)),
	}
}

func (s *Service) check(section *parser.Section) []Diagnostic {
	for _, class := range s.idempotent {
		if !slices.Contains(s.classes, class) {
			key, _ := section.Key("idempotent")
			return []Diagnostic{newDiagnostic(section, key, class, "classes that the key classes lists", Nearest(class, s.classes))}
		}
	}
	return nil
}

func (t *Team) fields() []Field {
	if t.quota == nil {
		t.quota = &wire.Resources{}
	}
	fields := []Field{
		required("owner", ownerDescription, name(&t.owner)),
	}
	fields = append(fields, resourceFields(t.quota, "", "unlimited", "quota of what the team's tasks hold at once", true)...)
	return append(fields, optional("share", "1", "weight when teams compete", number(&t.share, 0.001, 1000)))
}

func (t *Team) check(*parser.Section) []Diagnostic { return nil }

func (k *Kind) fields() []Field {
	if k.resources == nil {
		k.resources = &wire.Resources{}
	}
	fields := []Field{
		required("owner", ownerDescription, name(&k.owner)),
		optional("class", "batch", "class of the kind's tasks", choice(&k.class, "batch", "latency_critical")),
	}
	fields = append(fields, resourceFields(k.resources, "", "0", "needed by a task that declares none", false)...)
	return append(
		fields,
		optional("may_wait", "1h", "how long a task may wait before it starts", duration(&k.mayWait, 0, 30*24*time.Hour)),
	)
}

func (k *Kind) check(*parser.Section) []Diagnostic { return nil }

func (o *Objective) fields() []Field {
	return []Field{
		required("owner", ownerDescription, name(&o.owner)),
		optional("tail_latency", "1", "weight of the services' tail latency", number(&o.tailLatency, 0, 100)),
		optional("batch_throughput", "1", "weight of finished batch work", number(&o.batchThroughput, 0, 100)),
		optional("evictions", "1", "weight of avoided evictions", number(&o.evictions, 0, 100)),
	}
}

func (o *Objective) check(section *parser.Section) []Diagnostic {
	if o.tailLatency+o.batchThroughput+o.evictions == 0 {
		return []Diagnostic{newDiagnostic(section, nil, "all weights are 0", "at least one weight above 0", "")}
	}
	return nil
}

// SectionSchema describes the keys of one type of section.
type SectionSchema struct {
	name   string
	fields []Field
}

// Name returns the section's header without brackets. NAME stands for the name of
// the zone, service, team or kind.
func (s SectionSchema) Name() string { return s.name }

// Fields returns the section's keys in the order of their documentation.
func (s SectionSchema) Fields() []Field { return s.fields }

// DocumentSchema returns the section types of the configuration document.
func DocumentSchema() []SectionSchema {
	return []SectionSchema{
		{name: "zone NAME", fields: (&Zone{}).fields()},
		{name: "service NAME", fields: (&Service{}).fields()},
		{name: "team NAME", fields: (&Team{}).fields()},
		{name: "kind NAME", fields: (&Kind{}).fields()},
		{name: "objective", fields: (&Objective{}).fields()},
	}
}

// FormatDefaults returns INI text with the defaults of all keys and their
// descriptions. Keys without a default are commented out.
func FormatDefaults(schema []SectionSchema) string {
	var b strings.Builder
	for _, section := range schema {
		fmt.Fprintf(&b, "[%s]\n", section.name)
		for _, f := range section.fields {
			fmt.Fprintf(&b, "# %s: %s\n", f.description, f.Expected())
			switch {
			case f.required:
				fmt.Fprintf(&b, "# %s =   (required)\n", f.name)
			case f.defaultText == "":
				fmt.Fprintf(&b, "# %s =\n", f.name)
			default:
				fmt.Fprintf(&b, "%s = %s\n", f.name, f.defaultText)
			}
		}
		b.WriteString("\n")
	}
	return b.String()
}
