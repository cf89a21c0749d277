// Package parser parses INI text into sections and keys with their file and line
// number. It only knows the syntax; package validator knows the valid keys and
// values. Values are read with ini.v1 and its default options, so other programs
// that read the text with ini.v1 see the same values. The package adds line
// numbers, reports duplicate keys and sections, and rejects values that span lines.
//
// It has no state and no goroutines.
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

// MaxTextBytes is the maximum size of one text. A configuration document of the
// target size, with 680 teams, is below 200 KB.
const MaxTextBytes = 4 << 20

// keyPattern matches a key name and its delimiter at the start of a line. The first
// character must be a letter because ini.v1 replaces the name "-" by a number.
var keyPattern = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9_.-]*[ \t]*[=:]`)

// Parse parses a text with section headers. It never fails: invalid lines become
// errors of their section. The file name is only used in errors.
func Parse(file, text string) *File {
	f := &File{
		file:   file,
		byName: map[string]*Section{},
	}
	section := newSection(file, "", 1)
	for i, line := range splitLines(text) {
		if isHeader(line) {
			f.addSection(section)
			section = parseHeader(file, line, i+1)
			continue
		}
		section.parseLine(line, i+1)
	}
	if len(text) > MaxTextBytes {
		section.addError("", section.line, "", fmt.Sprintf("the text is longer than %d bytes", MaxTextBytes))
	}
	f.addSection(section)
	return f
}

// ParseBody parses the body of one section without its header, as stored when the
// section is published. Line 1 is the first line of the body.
func ParseBody(file, name, body string) *Section {
	section := newSection(file, name, 1)
	for i, line := range splitLines(body) {
		if isHeader(line) {
			section.addError("", i+1, strings.TrimSpace(line), "a section body must not contain a section header")
			continue
		}
		section.parseLine(line, i+1)
	}
	section.readValues()
	return section
}

// addSection completes a section and appends it to the text. It skips an empty
// section before the first header.
func (f *File) addSection(section *Section) {
	section.readValues()
	if section.name == "" && section.line == 1 && len(section.keys) == 0 && len(section.errors) == 0 {
		return
	}
	if first, ok := f.byName[section.name]; ok {
		section.addError("", section.line, "["+section.name+"]",
			fmt.Sprintf("the section is already defined at line %d", first.line))
	} else {
		f.byName[section.name] = section
	}
	f.sections = append(f.sections, section)
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

func isBlankOrComment(line string) bool {
	line = strings.TrimSpace(line)
	return line == "" || line[0] == '#' || line[0] == ';'
}

func isHeader(line string) bool { return strings.HasPrefix(strings.TrimSpace(line), "[") }

func parseHeader(file, line string, lineNumber int) *Section {
	line = strings.TrimSpace(line)
	end := strings.IndexByte(line, ']')
	if end < 0 {
		section := newSection(file, strings.Join(strings.Fields(line[1:]), " "), lineNumber)
		section.addError("", lineNumber, line, "a section header must end with ]")
		return section
	}
	section := newSection(file, strings.Join(strings.Fields(line[1:end]), " "), lineNumber)
	rest := strings.TrimSpace(line[end+1:])
	switch {
	case !isPrintable(line):
		section.addError("", lineNumber, line, "a line may only contain printable UTF-8")
	case section.name == "":
		section.addError("", lineNumber, line, "a section header must contain a name")
	case !isBlankOrComment(rest):
		section.addError("", lineNumber, rest, "only a comment may follow a section header")
	case rest != "":
		section.comment = strings.TrimSpace(rest[1:])
	}
	return section
}

func (s *Section) addError(key string, line int, found, message string) {
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

func (s *Section) parseLine(line string, lineNumber int) {
	s.lines = append(s.lines, line)
	trimmed := strings.TrimSpace(line)
	if !isPrintable(line) {
		s.addError("", lineNumber, trimmed, "a line may only contain printable UTF-8")
		return
	}
	if isBlankOrComment(line) {
		return
	}
	match := keyPattern.FindString(trimmed)
	if match == "" {
		s.addError("", lineNumber, trimmed, "a line must be a comment, a [section] header or key = value")
		return
	}
	name := strings.TrimRight(match[:len(match)-1], " \t")
	rest := strings.TrimSpace(trimmed[len(match):])
	// With quotes and continuations, ini.v1 reads a value across lines, and two
	// readers of the same text could disagree about the keys that follow.
	if strings.HasSuffix(trimmed, `\`) || (rest != "" && strings.ContainsRune("\"'`", rune(rest[0]))) {
		s.addError(name, lineNumber, rest, "a value must be on one line, without quotes")
		return
	}
	if first, ok := s.byName[name]; ok {
		s.addError(name, lineNumber, rest, fmt.Sprintf("the key is already defined at line %d", first.line))
		return
	}
	key := &Key{
		name:   name,
		source: trimmed,
		line:   lineNumber,
	}
	s.keys = append(s.keys, key)
	s.byName[name] = key
}

// readValues sets the values of all keys. It parses them with a single ini.v1 file,
// because ini.v1 allocates a 4 KiB buffer for each file.
func (s *Section) readValues() {
	if len(s.keys) == 0 {
		return
	}
	lines := make([]string, len(s.keys))
	for i, key := range s.keys {
		lines[i] = key.source
	}
	file, err := ini.Load([]byte(strings.Join(lines, "\n")))
	if err != nil {
		s.dropInvalidKeys()
		return
	}
	values := file.Section("")
	for _, key := range s.keys {
		key.value = values.Key(key.name).Value()
	}
}

// dropInvalidKeys removes the keys that ini.v1 rejects and records their errors.
func (s *Section) dropInvalidKeys() {
	s.keys = slices.DeleteFunc(s.keys, func(key *Key) bool {
		file, err := ini.Load([]byte(key.source))
		if err != nil {
			s.addError(key.name, key.line, key.source, err.Error())
			delete(s.byName, key.name)
			return true
		}
		key.value = file.Section("").Key(key.name).Value()
		return false
	})
}
