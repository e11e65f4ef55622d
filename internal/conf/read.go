package conf

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// byteOrderMark is the mark that some editors write before UTF-8 text.
const byteOrderMark = "\uFEFF"

// The time in which ini.v1 parses a value of several lines grows with the product of its bytes and
// lines: 1 MB of short lines takes over 10 s. The longest list of servers needs less than 48 KB, with
// one line per server.
const (
	// maxValueBytes is the size limit of one value in bytes.
	maxValueBytes = 64 << 10
	// maxValueLines limits the continuation lines of one value.
	maxValueLines = 2 * maxServers
)

// loadOptions make ini.v1 keep all sections and keys, so that each of them can be paired with the line
// that scan found and duplicates can be reported. Only "=" separates a key from its value, because
// values contain ":". The child delimiter is a character that cannot occur in a section name, because
// ini.v1 would otherwise look up a missing key in the parent section.
var loadOptions = ini.LoadOptions{
	AllowNonUniqueSections:     true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	PreserveEmptyShadowValues:  true,
	SpaceBeforeInlineComment:   true,
	KeyValueDelimiters:         "=",
	ChildSectionDelimiter:      "\n",
}

// document is a parsed settings text with line numbers.
type document struct {
	sections []section
}

type section struct {
	name string
	line int
	keys []keyValue
}

type keyValue struct {
	name  string
	value string
	line  int
}

// readDocument parses INI text. It reports false if the text is not valid INI.
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
	if !r.empty() {
		return document{}, false
	}
	file, err := ini.LoadSources(loadOptions, []byte(text))
	if err != nil {
		r.add(0, "the text is no INI: "+oneLine(err.Error()), "write sections as [name] and settings as key = value")
		return document{}, false
	}
	return document{sections: withValues(sections, file)}, true
}

// scan finds the line of each section and key, because ini.v1 returns no line numbers. The first
// section of the result holds the keys before any section header. Syntax that ini.v1 reads over
// several lines, or whose key it would rename, is a fault. The exception is a backslash at the end of
// a line, which is supported.
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
			last.keys = append(last.keys, keyValue{name: key, line: number})
			continuation, size := countContinued(value, lines[i+1:])
			if size > maxValueBytes || continuation > maxValueLines {
				r.add(number, fmt.Sprintf("the value of %q is longer than %d bytes or %d lines", excerpt(key), maxValueBytes, maxValueLines),
					"shorten it")
			}
			i += continuation
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
		r.add(number, fmt.Sprintf("the line %q is neither a section nor a setting", excerpt(line)),
			"write sections as [name] and settings as key = value")
	case key == "" || key == "-" || strings.ContainsAny(key[:1], "\"`"):
		r.add(number, fmt.Sprintf("%q is no key name", excerpt(key)), "write the key in kebab case without quotes")
	case strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"""`):
		r.add(number, fmt.Sprintf("the value of %q is a quoted block", excerpt(key)),
			"write the value on one line, or end each line but the last with a backslash")
	}
	return key, value
}

// countContinued returns the number of lines that continue a value because the line before ends with a
// backslash, and the size of the whole value in bytes.
func countContinued(value string, rest []string) (int, int) {
	lines, size := 0, len(value)
	for strings.HasSuffix(value, `\`) && lines < len(rest) {
		value = strings.TrimSpace(rest[lines])
		size += len(value)
		lines++
	}
	return lines, size
}

// withValues adds the values that ini.v1 parsed to the sections that scan found.
func withValues(sections []section, file *ini.File) []section {
	parsed := file.Sections()
	for i := range sections {
		if i < len(parsed) {
			addValues(sections[i].keys, parsed[i])
		}
	}
	return sections
}

// addValues sets the values of the keys of one section. The values of a key that occurs several times
// are assigned in order. The values of a key are read from ini.v1 only once, because ini.v1 copies all
// of them at each call, which would take minutes for a text that repeats one key.
func addValues(keys []keyValue, parsed *ini.Section) {
	remaining := make(map[string][]string)
	for _, k := range parsed.Keys() {
		// ValueWithShadows returns raw values. Other methods of ini.v1 expand %(name)s.
		remaining[k.Name()] = k.ValueWithShadows()
	}
	for i := range keys {
		if values := remaining[keys[i].name]; len(values) > 0 {
			keys[i].value, remaining[keys[i].name] = values[0], values[1:]
		}
	}
}

// excerpt shortens text from a file for use in a message. It replaces characters that would break the
// line or control the operator's terminal.
func excerpt(text string) string {
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

// oneLine converts an error message of another package to one line.
func oneLine(text string) string {
	return excerpt(strings.Join(strings.Fields(text), " "))
}
