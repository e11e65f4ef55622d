// Package trace finds in the logs of all processes what happened to one request.
//
// # Usage
//
//	var t trace.Trace
//	for _, file := range files {
//		if err := t.Read(file.Name(), file); err != nil {
//			return err
//		}
//	}
//	story, found := t.Explain("9c41d07be2a35f68")
//	story.WriteText(os.Stdout)
package trace

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	// maxLineBytes is the largest size of a line of a log.
	maxLineBytes = 1 << 20
	// before and after are how much of the logs around a request belongs to its story.
	before = 2 * time.Second
	after  = 500 * time.Millisecond
)

// Events of the logs that this package knows.
const (
	eventStarted = "started"
	eventEnded   = "request-ended"
)

// sharedEvents are the events that may concern any request.
var sharedEvents = []string{
	eventStarted, "stopping", "stopped", "config-in-force", "lead-taken", "lead-lost", "lead-ceded", "leader-unreachable", "leader-back",
	"store-away", "store-back", "store-restored", "store-read-failed", "record-write-failed", "owners-unknown", "owners-confirmed",
	"control-failed",
}

// Trace holds the logs of processes.
type Trace struct{ lines []Line }

// Read adds the log of one process. The name stands for the process until its log tells its name.
func (t *Trace) Read(name string, r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	first := len(t.lines)
	for scanner.Scan() {
		l, ok := ParseLine(scanner.Text())
		if !ok {
			continue
		}
		if l.Event == eventStarted && l.Value("name") != "" {
			name = l.Value("name")
		}
		l.Process = name
		t.lines = append(t.lines, l)
	}
	for i := range t.lines[first:] {
		t.lines[first+i].Process = name
	}
	return scanner.Err()
}

// Story is what happened to one request, and around it.
type Story struct {
	ID string
	// Ends are the lines with which processes ended the request. A request that was answered at the first sending, with a
	// status below 500, has none.
	Ends []Line
	// Mentions are the other lines that name the request, and Around the lines that may concern it.
	Mentions, Around []Line
}

// Explain returns the story of the request with an ID. It reports false if no log names it.
func (t *Trace) Explain(id string) (Story, bool) {
	s := Story{ID: id}
	for _, l := range t.lines {
		switch {
		case l.Value("request") != id:
		case l.Event == eventEnded:
			s.Ends = append(s.Ends, l)
		default:
			s.Mentions = append(s.Mentions, l)
		}
	}
	named := slices.Concat(s.Ends, s.Mentions)
	if len(named) == 0 {
		return s, false
	}
	begin, end := span(named)
	servers := serversOf(named)
	for _, l := range t.lines {
		if l.Value("request") != id && l.Time.After(begin.Add(-before)) && l.Time.Before(end.Add(after)) && concerns(l, servers) {
			s.Around = append(s.Around, l)
		}
	}
	slices.SortStableFunc(s.Around, compareTimes)
	return s, true
}

func compareTimes(a, b Line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) }

// span returns the time from the arrival of a request to its end.
func span(lines []Line) (begin, end time.Time) {
	for i, l := range lines {
		arrived := l.Time.Add(-took(l))
		if i == 0 || arrived.Before(begin) {
			begin = arrived
		}
		if i == 0 || l.Time.After(end) {
			end = l.Time
		}
	}
	return begin, end
}

// took returns the time from the arrival of a request to its end, 0 if the line does not say.
func took(l Line) time.Duration {
	d, err := time.ParseDuration(l.Value("took-ms") + "ms")
	if err != nil {
		return 0
	}
	return d
}

// serversOf returns the names of the servers to which a request was sent.
func serversOf(lines []Line) []string {
	var names []string
	for _, l := range lines {
		names = append(names, l.Value("server"))
		for _, s := range sendings(l) {
			name, _, _ := strings.Cut(s, "/")
			names = append(names, name)
		}
	}
	return slices.DeleteFunc(names, func(n string) bool { return n == "" })
}

func sendings(l Line) []string {
	text := l.Value("sendings")
	if text == "" {
		return nil
	}
	return strings.Split(text, "; ")
}

// concerns reports whether a line may concern requests to the servers. The ends of other requests do not.
func concerns(l Line, servers []string) bool {
	if l.Event == eventEnded {
		return false
	}
	if slices.Contains(sharedEvents, l.Event) {
		return true
	}
	for _, f := range l.Fields {
		if slices.Contains(servers, f.Value) {
			return true
		}
	}
	return false
}

// WriteText writes the story, one line for each event.
func (s Story) WriteText(w io.Writer) error {
	var b strings.Builder
	for _, l := range s.Ends {
		fmt.Fprintf(&b, "%s %s arrived\n", stamp(l.Time.Add(-took(l))), l.Process)
		for i, sending := range sendings(l) {
			fmt.Fprintf(&b, "  sending %d: %s\n", i+1, sending)
		}
		fmt.Fprintf(&b, "%s %s answered status=%s reason=%s server=%s error=%q\n", stamp(l.Time), l.Process, l.Value("status"), l.Value("reason"),
			l.Value("server"), l.Value("error"))
	}
	writeLines(&b, "named by", s.Mentions)
	writeLines(&b, "around it", s.Around)
	_, err := io.WriteString(w, b.String())
	return err
}

func writeLines(b *strings.Builder, title string, lines []Line) {
	if len(lines) == 0 {
		return
	}
	fmt.Fprintf(b, "%s:\n", title)
	for _, l := range lines {
		fmt.Fprintf(b, "  %s %s %s\n", stamp(l.Time), l.Process, l)
	}
}

func stamp(t time.Time) string { return t.Format("15:04:05.000000") }
