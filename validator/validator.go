// Package validator turns parsed INI text into checked settings of a process
// and the checked configuration document, and explains what it rejects.
//
// A Document and Settings are immutable after construction and safe for
// concurrent use. The package starts no goroutine.
//
// Open questions: the three-region layout needs a region for each service.
package validator

import (
	"fmt"
	"strings"

	"damaskspread.example/damaskspread/parser"
)

// Diagnostic says what is wrong at one place of a text.
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

// InvalidError carries the diagnostics of a rejected text.
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

// Field is one key of a section, with what a reader of it needs to know.
type Field struct {
	name     string
	fallback string
	about    string
	required bool
	value    value
}

// Name is the key.
func (f Field) Name() string { return f.name }

// Default is the default value as text; empty for a required key.
func (f Field) Default() string { return f.fallback }

// About says what the key controls.
func (f Field) About() string { return f.about }

// Required reports whether the key must be present.
func (f Field) Required() bool { return f.required }

// Expected describes the values that the key takes, with their unit.
func (f Field) Expected() string { return f.value.expected }

func optional(name, fallback, about string, v value) Field {
	return Field{
		name:     name,
		fallback: fallback,
		about:    about,
		value:    v,
	}
}

func required(name, about string, v value) Field {
	return Field{
		name:     name,
		about:    about,
		required: true,
		value:    v,
	}
}

// read sets every field from the section or its default.
func read(section *parser.Section, fields []Field) []Diagnostic {
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
		if d, bad := readField(section, field); bad {
			diagnostics = append(diagnostics, d)
		}
	}
	for _, key := range section.Keys() {
		if !contains(names, key.Name()) {
			diagnostics = append(diagnostics, diagnose(section, key, key.Name(),
				"one of the keys "+strings.Join(names, ", "), nearest(key.Name(), names)))
		}
	}
	return diagnostics
}

func readField(section *parser.Section, field Field) (Diagnostic, bool) {
	key, ok := section.Key(field.name)
	if !ok {
		if field.required {
			d := diagnose(section, nil, "no key "+field.name, field.name+" = "+field.value.expected, "")
			d.Key = field.name
			return d, true
		}
		if field.fallback != "" {
			// A test reads every default, so it cannot fail here.
			_ = field.value.set(field.fallback)
		}
		return Diagnostic{}, false
	}
	if suggestion := field.value.set(key.Value()); suggestion != nil {
		return diagnose(section, key, key.Value(), field.value.expected, suggestion.text), true
	}
	return Diagnostic{}, false
}

func diagnose(section *parser.Section, key *parser.Key, found, expected, suggestion string) Diagnostic {
	d := Diagnostic{
		File:       section.File(),
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

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// nearest returns the candidate within a third of the word's length, at least
// two edits, or "".
func nearest(word string, candidates []string) string {
	best, limit := "", max(2, len(word)/3)
	for _, candidate := range candidates {
		if d := distance(word, candidate); d <= limit && d < len(candidate) {
			best, limit = candidate, d-1
		}
	}
	return best
}

// distance is the Levenshtein distance in bytes.
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

// Nearest returns the candidate that a misspelled word most likely means, or
// "".
func Nearest(word string, candidates []string) string { return nearest(word, candidates) }
