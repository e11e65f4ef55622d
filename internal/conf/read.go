package conf

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// byteOrderMark is written by some editors before UTF-8 text.
const byteOrderMark = "\uFEFF"

// The time that ini.v1 takes for a value over several lines grows with the product of its bytes and
// lines; 1 MB on short lines takes over 10 s. The longest list of servers is below 48 KB, on one
// line for each server.
const (
	// maxValueBytes bounds one value in bytes.
	maxValueBytes = 64 << 10
	// maxValueLines bounds the lines by which one value is continued.
	maxValueLines = 2 * maxServers
)

// options make ini.v1 keep every section and key, so that the scan can pair each of them with its
// line and duplicates are seen. Only "=" separates a key from its value, because values hold ":".
// The child delimiter cannot occur in a name: ini.v1 would look a missing key up in the parent
// section.
var options = ini.LoadOptions{
	AllowNonUniqueSections:     true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	PreserveEmptyShadowValues:  true,
	SpaceBeforeInlineComment:   true,
	KeyValueDelimiters:         "=",
	ChildSectionDelimiter:      "\n",
}

// document is a settings text with its line numbers.
type document struct {
	sections []section
}

type section struct {
	name string
	line int
	keys []entry
}

type entry struct {
	name  string
	value string
	line  int
}

// readDocument reads INI text. It reports false where the text is no INI.
func readDocument(r *report, text string) (document, bool) {
	if len(text) > MaxBytes {
		r.add(0, fmt.Sprintf("the text has %d bytes, more than %d", len(text), MaxBytes),
			"split the settings or remove what is not needed")
		return document{}, false
	}
	if !utf8.ValidString(text) || strings.ContainsRune(text, 0) {
		r.add(0, "the text is not UTF-8", "save the file as UTF-8 text")
		return document{}, false
	}
	text = strings.TrimPrefix(text, byteOrderMark)
	sections := scan(r, text)
	if !r.clean() {
		return document{}, false
	}
	file, err := ini.LoadSources(options, []byte(text))
	if err != nil {
		r.add(0, "the text is no INI: "+oneLine(err.Error()), "write sections as [name] and settings as key = value")
		return document{}, false
	}
	return document{sections: withValues(sections, file)}, true
}

// scan finds the line of each section and key. ini.v1 gives no line numbers. The first section
// holds the keys before any section header. Line forms that ini.v1 reads over several lines or
// renames are faults, except for a backslash at the end of a line.
func scan(r *report, text string) []section {
	sections := []section{{name: ini.DefaultSection}}
	lines := strings.Split(text, "\n")
	for i := 0; i < len(lines); i++ {
		line := strings.TrimLeftFunc(lines[i], unicode.IsSpace)
		number := i + 1
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			sections = append(sections, section{name: scanHeader(r, number, line), line: number})
		default:
			key, value := scanKey(r, number, line)
			last := &sections[len(sections)-1]
			last.keys = append(last.keys, entry{name: key, line: number})
			more, size := continued(value, lines[i+1:])
			if size > maxValueBytes || more > maxValueLines {
				r.add(number, fmt.Sprintf("the value of %q is longer than %d bytes or %d lines", brief(key), maxValueBytes, maxValueLines),
					"shorten it")
			}
			i += more
		}
	}
	return sections
}

func scanHeader(r *report, number int, line string) string {
	end := strings.LastIndexByte(line, ']')
	if end < 0 {
		r.add(number, "the section header has no closing bracket", "write the section as [name]")
		return ""
	}
	if end == 1 {
		r.add(number, "the section header has no name", "write the section as [name]")
	}
	return line[1:end]
}

func scanKey(r *report, number int, line string) (string, string) {
	key, value, found := strings.Cut(line, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	switch {
	case !found:
		r.add(number, fmt.Sprintf("the line %q is neither a section nor a setting", brief(line)),
			"write sections as [name] and settings as key = value")
	case key == "" || key == "-" || strings.ContainsAny(key[:1], "\"`"):
		r.add(number, fmt.Sprintf("%q is no key name", brief(key)), "write the key in kebab case without quotes")
	case strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"""`):
		r.add(number, fmt.Sprintf("the value of %q is a quoted block", brief(key)),
			"write the value on one line, or end each line but the last with a backslash")
	}
	return key, value
}

// continued returns the number of lines that belong to a value by a backslash at the line end, and
// the size of the whole value in bytes.
func continued(value string, rest []string) (int, int) {
	lines, size := 0, len(value)
	for strings.HasSuffix(value, `\`) && lines < len(rest) {
		value = strings.TrimSpace(rest[lines])
		size += len(value)
		lines++
	}
	return lines, size
}

// withValues adds the values that ini.v1 read to the sections that the scan found.
func withValues(sections []section, file *ini.File) []section {
	parsed := file.Sections()
	for i := range sections {
		if i < len(parsed) {
			addValues(sections[i].keys, parsed[i])
		}
	}
	return sections
}

// addValues pairs the settings of a section with their values. A key that is set several times has
// its values in order. The values of a key are read once, because ini.v1 copies all of them each
// time, which would take minutes for a text that repeats one key.
func addValues(keys []entry, parsed *ini.Section) {
	rest := make(map[string][]string)
	for _, k := range parsed.Keys() {
		// The raw values: ini.v1 otherwise expands %(name)s.
		rest[k.Name()] = k.ValueWithShadows()
	}
	for i := range keys {
		if values := rest[keys[i].name]; len(values) > 0 {
			keys[i].value, rest[keys[i].name] = values[0], values[1:]
		}
	}
}

// brief shortens text from a file for a message and replaces characters that would break its line
// or change the operator's terminal.
func brief(text string) string {
	const limit = 60
	text = strings.TrimSpace(text)
	runes := []rune(text[:min(len(text), limit*utf8.UTFMax)])
	for i, c := range runes {
		if !unicode.IsPrint(c) {
			runes[i] = unicode.ReplacementChar
		}
	}
	if len(runes) <= limit {
		return string(runes)
	}
	return string(runes[:limit]) + "…"
}

// oneLine keeps a message of another package on one line.
func oneLine(text string) string {
	return brief(strings.Join(strings.Fields(text), " "))
}
