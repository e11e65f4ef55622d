// Package logs creates the loggers of the programs. Each event is one line of key=value pairs.
//
// # Usage
//
//	log := logs.New(os.Stderr)
//	log.Info().Str("server", "ledger-1").Msg("drained")
//	// time=... level=info event=drained server=ledger-1
package logs

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/rs/zerolog"
)

// New returns a logger that writes each event to w as one line of key=value pairs.
func New(w io.Writer) zerolog.Logger {
	return zerolog.New(zerolog.ConsoleWriter{
		Out:             w,
		NoColor:         true,
		FormatTimestamp: func(v any) string { return formatPair("time", v) },
		FormatLevel:     func(v any) string { return formatPair("level", v) },
		FormatMessage:   func(v any) string { return formatPair("event", v) },
	}).Hook(timestampHook{})
}

// timeFormat includes microseconds, because control events follow each other within milliseconds.
const timeFormat = "2006-01-02T15:04:05.000000Z07:00"

// timestampHook adds the current time to each event.
type timestampHook struct{}

// Run implements zerolog.Hook.
func (timestampHook) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str(zerolog.TimestampFieldName, time.Now().Format(timeFormat))
}

// formatPair returns "key=value", or "" for a nil value. It quotes values that contain spaces, quotes
// or equals signs.
func formatPair(key string, value any) string {
	if value == nil {
		return ""
	}
	text := fmt.Sprint(value)
	if strings.ContainsAny(text, " \"=") {
		return fmt.Sprintf("%s=%q", key, text)
	}
	return key + "=" + text
}
