// Package logs makes the loggers of the programs.
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
		FormatTimestamp: func(v any) string { return pair("time", v) },
		FormatLevel:     func(v any) string { return pair("level", v) },
		FormatMessage:   func(v any) string { return pair("event", v) },
	}).Hook(stamp{})
}

// timeFormat shows microseconds: control events follow each other within milliseconds.
const timeFormat = "2006-01-02T15:04:05.000000Z07:00"

// stamp adds the time to each event.
type stamp struct{}

// Run implements zerolog.Hook.
func (stamp) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str(zerolog.TimestampFieldName, time.Now().Format(timeFormat))
}

// pair returns "key=value", quoted where the value has spaces or quotes.
func pair(key string, value any) string {
	if value == nil {
		return ""
	}
	text := fmt.Sprint(value)
	if strings.ContainsAny(text, " \"=") {
		return fmt.Sprintf("%s=%q", key, text)
	}
	return key + "=" + text
}
