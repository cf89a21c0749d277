package parser

import (
	"fmt"
	"strings"
)

// SyntaxError describes an invalid or duplicate line. Section and Key may be empty.
// Line counts from 1. Found is the part of the text that is invalid.
type SyntaxError struct {
	File    string
	Section string
	Key     string
	Line    int
	Found   string
	Message string
}

func (e *SyntaxError) Error() string {
	return fmt.Sprintf("%s:%d: %s (found %q)", e.File, e.Line, e.Message, e.Found)
}

// Key is one key of a section.
type Key struct {
	name   string
	value  string
	source string
	line   int
}

// Name returns the key's name.
func (k *Key) Name() string { return k.name }

// Value returns the key's value without a trailing comment.
func (k *Key) Value() string { return k.value }

// Line returns the key's line number in its file, from 1.
func (k *Key) Line() int { return k.line }

// Section is one section of a parsed text. It is immutable after parsing.
type Section struct {
	file    string
	name    string
	comment string
	line    int
	keys    []*Key
	byName  map[string]*Key
	lines   []string
	errors  []*SyntaxError
}

// FileName returns the name of the file that contains the section.
func (s *Section) FileName() string { return s.file }

// Name returns the section's name with single spaces, e.g. "zone rimouski". It is
// empty for keys before the first header.
func (s *Section) Name() string { return s.name }

// Comment returns the comment on the header's line, without the leading # or ;.
func (s *Section) Comment() string { return s.comment }

// Line returns the header's line number in its file, from 1.
func (s *Section) Line() int { return s.line }

// Keys returns the section's keys in the order of the text. Invalid and duplicate
// keys are omitted.
func (s *Section) Keys() []*Key { return s.keys }

// Key returns the key with the name.
func (s *Section) Key(name string) (*Key, bool) {
	key, ok := s.byName[name]
	return key, ok
}

// Errors returns the section's syntax errors, including duplicate keys and a
// duplicate section.
func (s *Section) Errors() []*SyntaxError { return s.errors }

// Body returns the body of the section, without its header. It omits comments and
// blank lines at the end, because they belong to the next section.
func (s *Section) Body() string {
	end := len(s.lines)
	for end > 0 && isBlankOrComment(s.lines[end-1]) {
		end--
	}
	start := 0
	for start < end && strings.TrimSpace(s.lines[start]) == "" {
		start++
	}
	if start == end {
		return ""
	}
	return strings.Join(s.lines[start:end], "\n") + "\n"
}

// File is a parsed INI text. It is immutable after parsing.
type File struct {
	file     string
	sections []*Section
	byName   map[string]*Section
}

// Name returns the name that Parse was given for the text.
func (f *File) Name() string { return f.file }

// Sections returns the sections in the order of the text. A duplicate section is
// included and has an error.
func (f *File) Sections() []*Section { return f.sections }

// Section returns the first section with the name.
func (f *File) Section(name string) (*Section, bool) {
	section, ok := f.byName[name]
	return section, ok
}

// Errors returns the syntax errors of all sections.
func (f *File) Errors() []*SyntaxError {
	var all []*SyntaxError
	for _, section := range f.sections {
		all = append(all, section.errors...)
	}
	return all
}
