package validator

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"damaskspread.example/damaskspread/parser"
)

// Settings are the validated settings of an entry, agent, emulator or dev process.
type Settings struct {
	process  Process
	log      Log
	entry    Entry
	agent    Agent
	endpoint Endpoint
	worker   Worker
	emulator Emulator
	limits   Limits
}

// Process returns the section [process].
func (s *Settings) Process() *Process { return &s.process }

// Log returns the section [log].
func (s *Settings) Log() *Log { return &s.log }

// Entry returns the section [entry].
func (s *Settings) Entry() *Entry { return &s.entry }

// Agent returns the section [agent].
func (s *Settings) Agent() *Agent { return &s.agent }

// Endpoint returns the section [endpoint].
func (s *Settings) Endpoint() *Endpoint { return &s.endpoint }

// Worker returns the section [worker].
func (s *Settings) Worker() *Worker { return &s.worker }

// Emulator returns the section [emulator].
func (s *Settings) Emulator() *Emulator { return &s.emulator }

// Limits returns the section [limits].
func (s *Settings) Limits() *Limits { return &s.limits }

// LoadSettings parses and validates the settings of a process. The settings are
// usable only without diagnostics.
func LoadSettings(file, text string) (*Settings, []Diagnostic) {
	settings := &Settings{}
	parsed := parser.Parse(file, text)
	diagnostics := readSettings(parsed, settings.sections())
	if len(diagnostics) > 0 {
		return settings, diagnostics
	}
	settings.setDerivedDefaults()
	return settings, settings.check(parsed)
}

// setDerivedDefaults sets absent keys that default to the value of another key.
func (s *Settings) setDerivedDefaults() {
	for _, derived := range []struct {
		target *string
		source string
	}{
		{target: &s.process.host, source: s.process.id},
		{target: &s.entry.address, source: s.entry.peerListen},
		{target: &s.agent.address, source: s.agent.listen},
	} {
		if *derived.target == "" {
			*derived.target = derived.source
		}
	}
}

func (s *Settings) sections() []SectionSchema {
	return []SectionSchema{
		{name: "process", fields: s.process.fields()},
		{name: "log", fields: s.log.fields()},
		{name: "entry", fields: s.entry.fields()},
		{name: "agent", fields: s.agent.fields()},
		{name: "endpoint", fields: s.endpoint.fields()},
		{name: "worker", fields: s.worker.fields()},
		{name: "emulator", fields: s.emulator.fields()},
		{name: "limits", fields: s.limits.fields()},
	}
}

// SettingsSchema returns the section types of Settings.
func SettingsSchema() []SectionSchema { return (&Settings{}).sections() }

// check validates rules that involve several keys or sections.
func (s *Settings) check(parsed *parser.File) []Diagnostic {
	diagnostics := s.checkAnnouncedAddresses(parsed)
	for _, rule := range s.durationRules() {
		if rule.violated {
			diagnostics = append(diagnostics, diagnoseKey(parsed, rule.section, rule.key, formatDuration(rule.found), rule.expected))
		}
	}
	return diagnostics
}

// durationRule relates a duration to that of another key.
type durationRule struct {
	violated               bool
	section, key, expected string
	found                  time.Duration
}

func (s *Settings) durationRules() []durationRule {
	l := &s.limits
	return []durationRule{
		{
			// A read shows that the state was current at the start of the
			// read, so a wait near the limit would leave the state stale
			// between two reads.
			violated: s.log.readWait > l.currencyLimit/2,
			section:  "log",
			key:      "read_wait",
			expected: fmt.Sprintf("at most half of currency_limit (%s)", formatDuration(l.currencyLimit)),
			found:    s.log.readWait,
		},
		{
			violated: l.syncWait > l.currencyLimit/2,
			section:  "limits",
			key:      "sync_wait",
			expected: fmt.Sprintf("at most half of currency_limit (%s)", formatDuration(l.currencyLimit)),
			found:    l.syncWait,
		},
		{
			violated: l.memberHold < 2*l.syncWait,
			section:  "limits",
			key:      "member_hold",
			expected: fmt.Sprintf("at least twice sync_wait (%s)", formatDuration(l.syncWait)),
			found:    l.memberHold,
		},
		{
			violated: l.taskHold < l.memberHold,
			section:  "limits",
			key:      "task_hold",
			expected: fmt.Sprintf("at least member_hold (%s)", formatDuration(l.memberHold)),
			found:    l.taskHold,
		},
	}
}

// checkAnnouncedAddresses rejects unspecified addresses such as 0.0.0.0: a process
// can listen on them, but other processes cannot connect to them.
func (s *Settings) checkAnnouncedAddresses(parsed *parser.File) []Diagnostic {
	var diagnostics []Diagnostic
	for _, announced := range []struct{ section, address string }{
		{"entry", s.entry.address},
		{"agent", s.agent.address},
	} {
		address, err := netip.ParseAddrPort(announced.address)
		if err != nil || address.Addr().IsUnspecified() {
			diagnostics = append(diagnostics, diagnoseKey(parsed, announced.section, "address", announced.address,
				"an IP address that other processes can reach"))
		}
	}
	return diagnostics
}

// diagnoseKey returns the diagnostic of a key that may be absent from the text.
func diagnoseKey(parsed *parser.File, name, key, found, expected string) Diagnostic {
	section, ok := parsed.Section(name)
	if !ok {
		section = parser.ParseBody(parsed.Sections()[0].FileName(), name, "")
	}
	k, _ := section.Key(key)
	d := newDiagnostic(section, k, found, expected, "")
	d.Key = key
	return d
}

// readSettings reads every section of the schema, and reports unknown and
// duplicate sections.
func readSettings(parsed *parser.File, sections []SectionSchema) []Diagnostic {
	var diagnostics []Diagnostic
	sectionNames := make([]string, len(sections))
	for i, s := range sections {
		sectionNames[i] = s.name
		section, ok := parsed.Section(s.name)
		if !ok {
			section = parser.ParseBody(parsed.Name(), s.name, "")
		}
		diagnostics = append(diagnostics, readFields(section, s.fields)...)
	}
	for _, section := range parsed.Sections() {
		if first, _ := parsed.Section(section.Name()); !slices.Contains(sectionNames, section.Name()) {
			diagnostics = append(diagnostics, newDiagnostic(section, nil, "["+section.Name()+"]",
				"one of the sections ["+strings.Join(sectionNames, "], [")+"]", Nearest(section.Name(), sectionNames)))
		} else if first != section {
			diagnostics = append(diagnostics, readFields(section, nil)...)
		}
	}
	return diagnostics
}
