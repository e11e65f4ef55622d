package scene

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/samphiredrum/samphiredrum/internal/audit"
)

// Limits of the numbers in a scenario. They keep the number of processes of a scenario below 60.
const (
	maxEntries = 11
	maxServers = 20
	maxCallers = 200
	// maxProcesses bounds the processes of a deployment, the platform included.
	maxProcesses = 59
	// maxLength bounds the times in a scenario.
	maxLength = time.Minute
)

// lineParser parses the words of one line. It keeps only the first fault; values read after a fault are meaningless.
type lineParser struct {
	line  Line
	rest  []string
	fault string
}

func (w *lineParser) fail(format string, args ...any) {
	if w.fault == "" {
		w.fault = fmt.Sprintf(format, args...)
	}
}

func (w *lineParser) more() bool {
	return len(w.rest) > 0 && w.fault == ""
}

func (w *lineParser) next(what string) string {
	if len(w.rest) == 0 {
		w.fail("the line ends early; add %s", what)
		return ""
	}
	word := w.rest[0]
	w.rest = w.rest[1:]
	return word
}

func (w *lineParser) end() {
	if len(w.rest) > 0 {
		w.fail("the line goes on after its statement; remove %q", strings.Join(w.rest, " "))
	}
}

func (w *lineParser) literal(text string) {
	if word := w.next(fmt.Sprintf("%q", text)); word != text {
		w.fail("%q is not expected here; write %q", word, text)
	}
}

func (w *lineParser) oneOf(word string, names ...string) string {
	if !slices.Contains(names, word) {
		w.fail("%q is not known here; use one of %s", word, strings.Join(names, ", "))
	}
	return word
}

func (w *lineParser) onOff() bool {
	return w.oneOf(w.next("on or off"), "on", "off") == "on"
}

func (w *lineParser) duration() time.Duration {
	word := w.next("a time such as 3s or 800ms")
	d, err := time.ParseDuration(word)
	if err != nil || d < 0 || d > maxLength {
		w.fail("%q is no time from 0 to %s; write it as 3s or 800ms", word, maxLength)
	}
	return d
}

func (w *lineParser) number(name, text string, largest int) int {
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > largest {
		w.fail("%s is %q; use a number from 1 to %d", name, text, largest)
	}
	return n
}

// pair reads NAME=VALUE.
func (w *lineParser) pair() (string, string) {
	word := w.next("a setting such as entries=5")
	name, value, ok := strings.Cut(word, "=")
	if !ok || name == "" || value == "" {
		w.fail("%q is no setting; write it as NAME=VALUE", word)
	}
	return name, value
}

// target reads "entry NAME" or "server NAME".
func (w *lineParser) target() Target {
	if w.oneOf(w.next("entry or server"), "entry", "server") == "entry" {
		return w.entry()
	}
	return w.server()
}

// targetOf reads a target of one kind.
func (w *lineParser) targetOf(kind Kind) Target {
	if kind == EntryProcess {
		w.literal("entry")
		return w.entry()
	}
	w.literal("server")
	return w.server()
}

func (w *lineParser) entry() Target {
	switch name := w.next("the name of an entry process, decider or follower"); name {
	case "decider":
		return Target{Kind: EntryProcess, Decider: true}
	case "follower":
		return Target{Kind: EntryProcess, Follower: true}
	default:
		return Target{Kind: EntryProcess, Name: name}
	}
}

func (w *lineParser) server() Target {
	name := w.next("the name of a server, or owner-of KEY")
	if name == "owner-of" {
		return Target{Kind: BackendServer, OwnerOf: w.next("a key")}
	}
	return Target{Kind: BackendServer, Name: name}
}

// promises returns the words allowed after "expect promise": "all" and the promises that audit.Check checks.
func promises() []string {
	names := []string{"all"}
	for _, p := range []audit.Promise{
		audit.SoleOwner, audit.WholeAnswer, audit.NotRun, audit.AtMostOnce, audit.NotLost, audit.SameAnswer,
	} {
		names = append(names, p.String())
	}
	return names
}
