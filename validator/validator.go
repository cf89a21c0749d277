// Package validator reads and validates the settings of a process and the
// sections of the configuration document. It defines their keys and defaults;
// package parser only knows the INI syntax. Rejected text yields diagnostics
// with the place, the value found and the values expected.
//
// Document, Settings and JobSettings are immutable after construction and safe
// for concurrent use. The package has no other state and no goroutines.
//
// Limitation: a service section has no region key, which a layout of three
// regions needs.
package validator

import (
	"fmt"
	"slices"
	"strings"

	"damaskspread.example/damaskspread/parser"
)

// Diagnostic describes one invalid key, value or line of a text. Key and
// Suggestion may be empty. Line counts from 1.
type Diagnostic struct {
	File       string `json:"file"`
	Section    string `json:"section,omitempty"`
	Key        string `json:"key,omitempty"`
	Line       int    `json:"line"`
	Found      string `json:"found"`
	Expected   string `json:"expected"`
	Suggestion string `json:"suggestion,omitempty"`
}

func (d Diagnostic) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d: ", d.File, d.Line)
	if d.Section != "" {
		fmt.Fprintf(&b, "[%s] ", d.Section)
	}
	if d.Key != "" {
		fmt.Fprintf(&b, "%s: ", d.Key)
	}
	fmt.Fprintf(&b, "found %q, expected %s", d.Found, d.Expected)
	if d.Suggestion != "" {
		fmt.Fprintf(&b, "; did you mean %q?", d.Suggestion)
	}
	return b.String()
}

// InvalidError reports a rejected text with at least one diagnostic.
type InvalidError struct {
	Diagnostics []Diagnostic
}

func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Diagnostics))
	for i, d := range e.Diagnostics {
		lines[i] = d.Error()
	}
	return strings.Join(lines, "\n")
}

// Field describes one key of a section: its default, meaning and valid values.
type Field struct {
	name        string
	defaultText string
	description string
	required    bool
	parser      valueParser
}

// Name returns the key's name.
func (f Field) Name() string { return f.name }

// Default returns the default value as text. It is empty for a required key and
// for an optional key without a default.
func (f Field) Default() string { return f.defaultText }

// Description returns a description of what the key controls.
func (f Field) Description() string { return f.description }

// Required reports whether the key must be present.
func (f Field) Required() bool { return f.required }

// Expected describes the valid values of the key, with their unit.
func (f Field) Expected() string { return f.parser.expected }

func optional(name, defaultText, description string, v valueParser) Field {
	return Field{
		name:        name,
		defaultText: defaultText,
		description: description,
		parser:      v,
	}
}

func required(name, description string, v valueParser) Field {
	return Field{
		name:        name,
		description: description,
		required:    true,
		parser:      v,
	}
}

// readFields stores the values of the section's keys in the targets of the
// fields, with defaults for absent keys. It reports syntax errors, invalid values
// and unknown keys.
func readFields(section *parser.Section, fields []Field) []Diagnostic {
	var diagnostics []Diagnostic
	for _, e := range section.Errors() {
		diagnostics = append(diagnostics, Diagnostic{
			File:     e.File,
			Section:  e.Section,
			Key:      e.Key,
			Line:     e.Line,
			Found:    e.Found,
			Expected: "valid syntax: " + e.Message,
		})
	}
	names := make([]string, len(fields))
	for i, field := range fields {
		names[i] = field.name
		if d, invalid := readField(section, field); invalid {
			diagnostics = append(diagnostics, d)
		}
	}
	for _, key := range section.Keys() {
		if !slices.Contains(names, key.Name()) {
			diagnostics = append(diagnostics, newDiagnostic(section, key, key.Name(),
				"one of the keys "+strings.Join(names, ", "), Nearest(key.Name(), names)))
		}
	}
	return diagnostics
}

func readField(section *parser.Section, field Field) (Diagnostic, bool) {
	key, ok := section.Key(field.name)
	if !ok {
		if field.required {
			d := newDiagnostic(section, nil, "no key "+field.name, field.name+" = "+field.parser.expected, "")
			d.Key = field.name
			return d, true
		}
		if field.defaultText != "" {
			// Cannot fail: TestDefaultsAreValid parses every default.
			_ = field.parser.parse(field.defaultText)
		}
		return Diagnostic{}, false
	}
	if suggestion := field.parser.parse(key.Value()); suggestion != nil {
		return newDiagnostic(section, key, key.Value(), field.parser.expected, suggestion.suggestion), true
	}
	return Diagnostic{}, false
}

func newDiagnostic(section *parser.Section, key *parser.Key, found, expected, suggestion string) Diagnostic {
	d := Diagnostic{
		File:       section.FileName(),
		Section:    section.Name(),
		Line:       section.Line(),
		Found:      found,
		Expected:   expected,
		Suggestion: suggestion,
	}
	if key != nil {
		d.Key = key.Name()
		d.Line = key.Line()
	}
	return d
}

// Nearest returns the candidate to suggest for a misspelled word: the one with the
// smallest edit distance, or "" if all exceed a third of the word's length (2 for
// short words).
func Nearest(word string, candidates []string) string {
	best, limit := "", max(2, len(word)/3)
	for _, candidate := range candidates {
		if d := distance(word, candidate); d <= limit && d < len(candidate) {
			best, limit = candidate, d-1
		}
	}
	return best
}

// distance returns the Levenshtein distance in bytes.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		previous := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := previous
			if a[i] != b[j] {
				cost++
			}
			previous = row[j+1]
			row[j+1] = min(cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
