package trace

import (
	"strconv"
	"strings"
	"time"
)

// Line is one line of a process's log.
type Line struct {
	// Process is the name of the process, or that of its file if the log does not say.
	Process string
	Time    time.Time
	Event   string
	Fields  []Field
}

// Field is one key=value pair of a line.
type Field struct{ Key, Value string }

// ParseLine parses a line of key=value pairs that has a time and an event. It reports false for another line. What comes
// before the time is skipped.
func ParseLine(text string) (Line, bool) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return Line{}, false
	}
	var l Line
	for rest := text[start:]; rest != ""; {
		var f Field
		if f, rest = cutField(rest); f.Key == "" {
			continue
		}
		switch f.Key {
		case "time":
			t, err := time.Parse(time.RFC3339Nano, f.Value)
			if err != nil {
				return Line{}, false
			}
			l.Time = t
		case "event":
			l.Event = f.Value
		default:
			l.Fields = append(l.Fields, f)
		}
	}
	return l, !l.Time.IsZero() && l.Event != ""
}

// cutField returns the first field of a line and the rest of the line. Text that is no field has an empty key.
func cutField(text string) (Field, string) {
	text = strings.TrimLeft(text, " ")
	if text == "" {
		return Field{}, ""
	}
	end := strings.IndexAny(text, " =")
	if end < 0 {
		return Field{}, ""
	}
	if text[end] == ' ' {
		return Field{}, text[end:]
	}
	key, rest := text[:end], text[end+1:]
	if quoted, err := strconv.QuotedPrefix(rest); err == nil {
		value, _ := strconv.Unquote(quoted)
		return Field{key, value}, rest[len(quoted):]
	}
	value, rest, _ := strings.Cut(rest, " ")
	return Field{key, value}, rest
}

// Value returns the value of a field, "" if the line does not have it.
func (l Line) Value(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// String returns the event and the fields of the line.
func (l Line) String() string {
	var b strings.Builder
	b.WriteString(l.Event)
	for _, f := range l.Fields {
		b.WriteString(" " + f.Key + "=")
		if strings.ContainsAny(f.Value, " \"=") {
			b.WriteString(strconv.Quote(f.Value))
			continue
		}
		b.WriteString(f.Value)
	}
	return b.String()
}
