// Package parser turns INI text into sections and keys that know their file
// and line. Values are read by ini.v1 with its default options, so they equal
// what any other reader of the same text sees; the package adds lines,
// duplicates and a stricter syntax in which every line stands alone.
//
// It owns no state and starts no goroutine.
//
// Open questions: none.
package parser

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// MaxTextBytes bounds one text. The document of the target size, with 680
// teams, is below 200 KB.
const MaxTextBytes = 4 << 20

// keyPattern is a key name and its delimiter at the start of a line. The first
// character is a letter because ini.v1 numbers keys named "-".
var keyPattern = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9_.-]*[ \t]*[=:]`)

// SyntaxError is a line that the parser cannot read.
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
	name  string
	value string
	text  string
	line  int
}

// Name is the key's name.
func (k *Key) Name() string { return k.name }

// Value is the key's value without comment.
func (k *Key) Value() string { return k.value }

// Line is the key's line in its file, from 1.
func (k *Key) Line() int { return k.line }

// Section is one section with its keys in the order of the text.
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

// File is the name of the text that holds the section.
func (s *Section) File() string { return s.file }

// Name is the section's name with single spaces, e.g. "zone rimouski". It is
// empty for keys before the first header.
func (s *Section) Name() string { return s.name }

// Comment is the text after the header's comment sign.
func (s *Section) Comment() string { return s.comment }

// Line is the header's line in its file, from 1.
func (s *Section) Line() int { return s.line }

// Keys are the section's keys in the order of the text.
func (s *Section) Keys() []*Key { return s.keys }

// Key returns a key by name.
func (s *Section) Key(name string) (*Key, bool) {
	key, ok := s.byName[name]
	return key, ok
}

// Errors are the section's syntax errors, duplicates included.
func (s *Section) Errors() []*SyntaxError { return s.errors }

// Text is the body of the section without its header. Comments and blank lines
// at the end are left out: they introduce the next section.
func (s *Section) Text() string {
	end := len(s.lines)
	for end > 0 && isBlank(s.lines[end-1]) {
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

// Text is a parsed INI text.
type Text struct {
	file     string
	sections []*Section
	byName   map[string]*Section
}

// File is the name that the text was read under.
func (t *Text) File() string { return t.file }

// Sections are the sections in the order of the text. A second section of the
// same name is listed and carries an error.
func (t *Text) Sections() []*Section { return t.sections }

// Section returns the first section of a name.
func (t *Text) Section(name string) (*Section, bool) {
	section, ok := t.byName[name]
	return section, ok
}

// Errors are the syntax errors of all sections.
func (t *Text) Errors() []*SyntaxError {
	var all []*SyntaxError
	for _, section := range t.sections {
		all = append(all, section.errors...)
	}
	return all
}

// Parse reads a text of sections. It always returns what it could read.
func Parse(file, text string) *Text {
	t := &Text{
		file:   file,
		byName: map[string]*Section{},
	}
	section := newSection(file, "", 1)
	for i, line := range splitLines(text) {
		if isHeader(line) {
			t.keep(section)
			section = readHeader(file, line, i+1)
			continue
		}
		section.readLine(line, i+1)
	}
	if len(text) > MaxTextBytes {
		section.fail("", section.line, "", fmt.Sprintf("the text is longer than %d bytes", MaxTextBytes))
	}
	t.keep(section)
	return t
}

// ParseBody reads the body of one section, as it is published. Lines count
// from 1 in the body.
func ParseBody(file, name, body string) *Section {
	section := newSection(file, name, 1)
	for i, line := range splitLines(body) {
		if isHeader(line) {
			section.fail("", i+1, strings.TrimSpace(line), "a section body holds no section header")
			continue
		}
		section.readLine(line, i+1)
	}
	section.readValues()
	return section
}

func (t *Text) keep(section *Section) {
	section.readValues()
	if section.name == "" && section.line == 1 && len(section.keys) == 0 && len(section.errors) == 0 {
		return
	}
	if first, ok := t.byName[section.name]; ok {
		section.fail("", section.line, "["+section.name+"]",
			fmt.Sprintf("the section already stands at line %d", first.line))
	} else {
		t.byName[section.name] = section
	}
	t.sections = append(t.sections, section)
}

func newSection(file, name string, line int) *Section {
	return &Section{
		file:   file,
		name:   name,
		line:   line,
		byName: map[string]*Key{},
	}
}

func splitLines(text string) []string {
	text = strings.TrimPrefix(text, "\ufeff")
	if len(text) > MaxTextBytes {
		text = text[:MaxTextBytes]
	}
	lines := strings.Split(text, "\n")
	for i, line := range lines {
		lines[i] = strings.TrimSuffix(line, "\r")
	}
	return lines
}

func isBlank(line string) bool {
	line = strings.TrimSpace(line)
	return line == "" || line[0] == '#' || line[0] == ';'
}

func isHeader(line string) bool { return strings.HasPrefix(strings.TrimSpace(line), "[") }

func readHeader(file, line string, number int) *Section {
	line = strings.TrimSpace(line)
	end := strings.IndexByte(line, ']')
	if end < 0 {
		section := newSection(file, strings.Join(strings.Fields(line[1:]), " "), number)
		section.fail("", number, line, "a section header ends with ]")
		return section
	}
	section := newSection(file, strings.Join(strings.Fields(line[1:end]), " "), number)
	rest := strings.TrimSpace(line[end+1:])
	switch {
	case !isPrintable(line):
		section.fail("", number, line, "a line holds printable UTF-8 only")
	case section.name == "":
		section.fail("", number, line, "a section header holds a name")
	case !isBlank(rest):
		section.fail("", number, rest, "only a comment may follow a section header")
	case rest != "":
		section.comment = strings.TrimSpace(rest[1:])
	}
	return section
}

func (s *Section) fail(key string, line int, found, message string) {
	s.errors = append(s.errors, &SyntaxError{
		File:    s.file,
		Section: s.name,
		Key:     key,
		Line:    line,
		Found:   found,
		Message: message,
	})
}

func isPrintable(line string) bool {
	if !utf8.ValidString(line) {
		return false
	}
	return strings.IndexFunc(line, func(r rune) bool { return r != '\t' && !unicode.IsPrint(r) }) < 0
}

func (s *Section) readLine(line string, number int) {
	s.lines = append(s.lines, line)
	trimmed := strings.TrimSpace(line)
	if !isPrintable(line) {
		s.fail("", number, trimmed, "a line holds printable UTF-8 only")
		return
	}
	if isBlank(line) {
		return
	}
	match := keyPattern.FindString(trimmed)
	if match == "" {
		s.fail("", number, trimmed, "a line is a comment, a [section] or key = value")
		return
	}
	name := strings.TrimRight(match[:len(match)-1], " \t")
	rest := strings.TrimSpace(trimmed[len(match):])
	// Quotes and continuations let ini.v1 read a value across lines, where two
	// readers of the same text could disagree about the keys that follow.
	if strings.HasSuffix(trimmed, `\`) || (rest != "" && strings.ContainsRune("\"'`", rune(rest[0]))) {
		s.fail(name, number, rest, "values are written on one line without quotes")
		return
	}
	if first, ok := s.byName[name]; ok {
		s.fail(name, number, rest, fmt.Sprintf("the key already stands at line %d", first.line))
		return
	}
	key := &Key{
		name: name,
		text: trimmed,
		line: number,
	}
	s.keys = append(s.keys, key)
	s.byName[name] = key
}

// readValues takes the values of all keys from one ini.v1 file: a file for each
// key costs a 4 KiB buffer each.
func (s *Section) readValues() {
	if len(s.keys) == 0 {
		return
	}
	lines := make([]string, len(s.keys))
	for i, key := range s.keys {
		lines[i] = key.text
	}
	file, err := ini.Load([]byte(strings.Join(lines, "\n")))
	if err != nil {
		s.dropUnreadable()
		return
	}
	values := file.Section("")
	for _, key := range s.keys {
		key.value = values.Key(key.name).Value()
	}
}

// dropUnreadable finds the lines that ini.v1 rejects.
func (s *Section) dropUnreadable() {
	s.keys = slices.DeleteFunc(s.keys, func(key *Key) bool {
		file, err := ini.Load([]byte(key.text))
		if err != nil {
			s.fail(key.name, key.line, key.text, err.Error())
			delete(s.byName, key.name)
			return true
		}
		key.value = file.Section("").Key(key.name).Value()
		return false
	})
}
