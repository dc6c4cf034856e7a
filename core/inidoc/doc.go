// Package inidoc parses the INI documents of lagoondrum, the lists and the settings,
// and reports every fault in them with its line.
package inidoc

import (
	"bytes"
	"fmt"
	"sort"
	"strings"

	"gopkg.in/ini.v1"
)

// EndSection is the title of the section that ends a complete document.
const EndSection = "end"

// MaxBytes is the size limit of a document, in bytes.
const MaxBytes = 1 << 20

// Doc is a parsed document. It is immutable.
type Doc struct {
	file     string
	sections []*Section
	lines    int
}

// Section is one section of a document, with its keys in file order.
type Section struct {
	kind string
	name string
	line int
	keys []Key
}

// Key is one key of a section with its value and line.
type Key struct {
	name  string
	value string
	line  int
}

// Parse parses raw as an INI document called file. With requireEnd set the last
// section has to be [end], so that a truncated document is refused. The error is a
// *Faults. Unless the size or the syntax is at fault, the document is returned
// with the error, so that the caller can report the faults of its sections too.
func Parse(file string, raw []byte, requireEnd bool) (*Doc, error) {
	fs := NewFaults(file)
	if len(raw) > MaxBytes {
		fs.Add(0, fmt.Sprintf("document of %d bytes is larger than %d bytes", len(raw), MaxBytes))
		return nil, fs.Err()
	}
	raw = normalize(raw)
	if err := checkSyntax(raw); err != nil {
		fs.Add(syntaxErrorLine(raw, err), err.Error())
		return nil, fs.Err()
	}
	doc := parseSections(file, raw)
	doc.checkUnique(fs)
	if requireEnd {
		doc.checkEnd(fs)
	}
	return doc, fs.Err()
}

// File returns the name of the document.
func (doc *Doc) File() string { return doc.file }

// Lines returns the number of lines of the document.
func (doc *Doc) Lines() int { return doc.lines }

// Sections returns the sections in file order, without a required [end].
func (doc *Doc) Sections() []*Section { return doc.sections }

// Kind returns the first word of the section's title.
func (sec *Section) Kind() string { return sec.kind }

// Name returns the section's title without its first word.
func (sec *Section) Name() string { return sec.name }

// Line returns the line of the section's title, counted from 1.
func (sec *Section) Line() int { return sec.line }

// Keys returns the keys in file order.
func (sec *Section) Keys() []Key { return sec.keys }

// Get returns the value and line of a key and whether it is present. The line of
// an absent key is that of the section's title.
func (sec *Section) Get(name string) (string, int, bool) {
	for _, key := range sec.keys {
		if key.name == name {
			return key.value, key.line, true
		}
	}
	return "", sec.line, false
}

// Title returns the whole title of the section.
func (sec *Section) Title() string {
	return strings.TrimSpace(sec.kind + " " + sec.name)
}

// Text returns the section in canonical form: its title, then its keys in name order.
func (sec *Section) Text() string {
	keys := append([]Key(nil), sec.keys...)
	sort.Slice(keys, func(i, j int) bool { return keys[i].name < keys[j].name })
	var sb strings.Builder
	sb.WriteString("[" + sec.Title() + "]\n")
	for _, key := range keys {
		sb.WriteString(key.name + " = " + key.value + "\n")
	}
	return sb.String()
}

// Name returns the key's name.
func (key Key) Name() string { return key.name }

// Value returns the key's value without surrounding blanks.
func (key Key) Value() string { return key.value }

// Line returns the key's line, counted from 1.
func (key Key) Line() int { return key.line }

// normalize removes a byte order mark and replaces CRLF by LF.
func normalize(raw []byte) []byte {
	raw = bytes.TrimPrefix(raw, []byte("\xef\xbb\xbf"))
	return bytes.ReplaceAll(raw, []byte("\r\n"), []byte("\n"))
}

// checkSyntax returns the first syntax error of a document.
func checkSyntax(raw []byte) error {
	if bytes.IndexByte(raw, 0) >= 0 {
		return &syntaxError{line: 1 + bytes.Count(raw[:bytes.IndexByte(raw, 0)], []byte("\n")), reason: "NUL byte in text"}
	}
	for num, line := range strings.Split(string(raw), "\n") {
		if reason := checkLine(strings.TrimSpace(line)); reason != "" {
			return &syntaxError{line: num + 1, reason: reason}
		}
	}
	opts := ini.LoadOptions{IgnoreInlineComment: true, AllowNonUniqueSections: true, IgnoreContinuation: true}
	_, err := ini.LoadSources(opts, raw)
	return err
}

// checkLine returns why a line is refused that the ini package would silently
// accept, or an empty string.
func checkLine(line string) string {
	switch {
	case line == "", isComment(line):
		return ""
	case line[0] == '[' && line[len(line)-1] != ']':
		return "section title is not closed by ]"
	case line[0] == '[', strings.Contains(line, "="):
		return ""
	default:
		return "line is neither a section title, a key = value, nor a comment"
	}
}

func isComment(line string) bool { return line[0] == '#' || line[0] == ';' }

// syntaxErrorLine returns the line of a syntax error, or the last line for an error
// of the ini package, which has none.
func syntaxErrorLine(raw []byte, err error) int {
	if se, ok := err.(*syntaxError); ok {
		return se.line
	}
	return 1 + bytes.Count(raw, []byte("\n"))
}

// parseSections returns the sections and keys, with their lines, of a document
// whose syntax is valid.
func parseSections(file string, raw []byte) *Doc {
	lines := strings.Split(string(raw), "\n")
	doc := &Doc{file: file, lines: len(lines)}
	sec := &Section{kind: "", line: 1}
	for num, line := range lines {
		line = strings.TrimSpace(line)
		switch {
		case line == "" || isComment(line):
		case line[0] == '[':
			doc.addSection(sec)
			sec = newSection(line, num+1)
		default:
			name, value, _ := strings.Cut(line, "=")
			sec.keys = append(sec.keys, Key{strings.TrimSpace(name), strings.TrimSpace(value), num + 1})
		}
	}
	doc.addSection(sec)
	return doc
}

func newSection(line string, num int) *Section {
	kind, name, _ := strings.Cut(strings.TrimSpace(line[1:len(line)-1]), " ")
	return &Section{kind: kind, name: strings.TrimSpace(name), line: num}
}

// addSection appends a section, unless it is the empty one before the first title.
func (doc *Doc) addSection(sec *Section) {
	if sec.kind == "" && len(sec.keys) == 0 {
		return
	}
	doc.sections = append(doc.sections, sec)
}

// checkUnique records a fault for each repeated section or key and for keys before
// the first title.
func (doc *Doc) checkUnique(fs *Faults) {
	seen := make(map[string]int, len(doc.sections))
	for _, sec := range doc.sections {
		if sec.kind == "" {
			fs.Add(sec.line, "section without a title")
		}
		if line, ok := seen[sec.Title()]; ok {
			fs.Add(sec.line, fmt.Sprintf("section [%s] stands already on line %d", sec.Title(), line))
		}
		seen[sec.Title()] = sec.line
		sec.checkUnique(fs)
	}
}

func (sec *Section) checkUnique(fs *Faults) {
	seen := make(map[string]int, len(sec.keys))
	for _, key := range sec.keys {
		if line, ok := seen[key.name]; ok {
			fs.Add(key.line, fmt.Sprintf("key %s stands already on line %d", key.name, line))
		}
		seen[key.name] = key.line
	}
}

// checkEnd records a fault unless the last section is [end] and others precede it,
// and removes [end] from the sections.
func (doc *Doc) checkEnd(fs *Faults) {
	last := len(doc.sections) - 1
	if last < 0 {
		fs.Add(1, "document is empty")
		return
	}
	if doc.sections[last].Title() != EndSection {
		fs.Add(doc.lines, "document is truncated: the last section is not [end]")
		return
	}
	doc.sections = doc.sections[:last]
	if len(doc.sections) == 0 {
		fs.Add(1, "document has no sections")
	}
}
