package event

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
	"unicode"
)

// String returns the event as one line of key=value pairs. Fields that do not apply are omitted.
// Values with spaces, quotes, "=" or unprintable characters are quoted as Go strings.
func (e Event) String() string {
	var b strings.Builder
	writePair(&b, "logical", strconv.FormatUint(e.Logical, 10))
	writePair(&b, "time", e.Time.UTC().Format(time.RFC3339Nano))
	writePair(&b, "process", string(e.Process))
	writePair(&b, "kind", e.Kind.String())
	writePair(&b, "service", string(e.Service))
	writePair(&b, "span", e.spanText())
	writePair(&b, "server", string(e.Server))
	writePair(&b, "version", formatNumber(e.Version))
	writePair(&b, "fence", formatNumber(uint64(e.Fence)))
	writePair(&b, "detail", e.Detail)
	return b.String()
}

// WriteText writes one line for each event. It returns the first error of the writer.
func WriteText(w io.Writer, events []Event) error {
	for _, e := range events {
		if _, err := fmt.Fprintln(w, e.String()); err != nil {
			return err
		}
	}
	return nil
}

// spanText returns a key hash or a range of key hashes in hex digits, or "" if the event has no span.
func (e Event) spanText() string {
	switch {
	case !e.HasSpan:
		return ""
	case e.Span.From == e.Span.To:
		return fmt.Sprintf("%016x", e.Span.From)
	default:
		return fmt.Sprintf("%016x-%016x", e.Span.From, e.Span.To)
	}
}

func formatNumber(n uint64) string {
	if n == 0 {
		return ""
	}
	return strconv.FormatUint(n, 10)
}

func writePair(b *strings.Builder, key, value string) {
	if value == "" {
		return
	}
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	if strings.ContainsFunc(value, needsQuotes) {
		value = strconv.Quote(value)
	}
	b.WriteString(key + "=" + value)
}

func needsQuotes(c rune) bool {
	return c == '"' || c == '=' || c == '\\' || c == unicode.ReplacementChar || unicode.IsSpace(c) || !unicode.IsPrint(c)
}
