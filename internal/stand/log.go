package stand

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"
)

// NewLog returns a logger that writes each event to w as one line of key=value pairs.
func NewLog(w io.Writer) zerolog.Logger {
	console := zerolog.ConsoleWriter{
		Out:         w,
		NoColor:     true,
		TimeFormat:  time.RFC3339Nano,
		FormatLevel: func(v any) string { return fmt.Sprintf("level=%v", v) },
		FormatTimestamp: func(v any) string {
			return fmt.Sprintf("time=%v", v)
		},
		FormatMessage: func(any) string { return "" },
		PartsExclude:  []string{zerolog.MessageFieldName},
	}
	return zerolog.New(console).With().Timestamp().Logger()
}
