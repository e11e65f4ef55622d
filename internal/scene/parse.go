package scene

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// Scenario is a parsed scenario file.
type Scenario struct {
	// Name is the file name without folder and extension.
	Name string
	// File is the file name that failure messages show.
	File       string
	Statements []Statement
}

// parsers maps the first word of a line to the function that parses the rest of the line.
var parsers = map[string]func(*lineParser) Statement{
	"start":   parseStart,
	"callers": parseCallers,
	"kill":    func(w *lineParser) Statement { return Kill{w.line, w.target()} },
	"restart": func(w *lineParser) Statement { return Restart{w.line, w.target()} },
	"freeze":  func(w *lineParser) Statement { return Freeze{w.line, w.targetOf(BackendServer), w.duration()} },
	"fault":   parseFault,
	"pause":   func(w *lineParser) Statement { return Pause{w.line, w.targetOf(EntryProcess), w.duration()} },
	"drain":   parseDrain,
	"stop":    func(w *lineParser) Statement { return Stop{w.line, w.targetOf(EntryProcess)} },
	"cut":     parseCut,
	"store":   parseStore,
	"config":  parseConfig,
	"wait":    parseWait,
	"settle":  func(w *lineParser) Statement { return Settle{w.line, w.duration()} },
	"expect":  parseExpect,
}

// Load reads and parses a scenario file. Its error is of type ErrSyntax.
func Load(file string) (Scenario, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Scenario{}, ErrSyntax.Wrap(err, "name a scenario file that can be read")
	}
	return Parse(file, string(text))
}

// Parse parses the text of a scenario. The file name is used in errors. Its error is of type
// ErrSyntax and names the first faulty line and the remedy.
func Parse(file, text string) (Scenario, error) {
	base := filepath.Base(file)
	s := Scenario{Name: strings.TrimSuffix(base, filepath.Ext(base)), File: base}
	for i, row := range strings.Split(text, "\n") {
		row, _, _ = strings.Cut(row, "#")
		w := &lineParser{line: Line(i + 1), rest: strings.Fields(row)}
		if len(w.rest) == 0 {
			continue
		}
		statement := parseRow(w)
		if w.fault != "" {
			return Scenario{}, ErrSyntax.New("%s:%d: %s", base, i+1, w.fault)
		}
		s.Statements = append(s.Statements, statement)
	}
	return s, checkOrder(s)
}

func parseRow(w *lineParser) Statement {
	name := w.next("a statement")
	parser, ok := parsers[name]
	if !ok {
		w.fail("there is no statement %q; use one of %s", name, statementNames(parsers))
		return nil
	}
	s := parser(w)
	w.end()
	return s
}

// checkOrder returns an error if the start statement is not the first and only one, or if no statement checks
// anything.
func checkOrder(s Scenario) error {
	checks := false
	for i, statement := range s.Statements {
		_, starts := statement.(Start)
		if starts != (i == 0) {
			return ErrSyntax.New("%s:%d: put one start statement first", s.File, statement.at())
		}
		checks = checks || statement.checks()
	}
	if !checks {
		return ErrSyntax.New("%s:1: the scenario checks nothing; add a line such as \"expect promise all\"", s.File)
	}
	return nil
}

func parseStart(w *lineParser) Statement {
	s := Start{Line: w.line, User: w.next("a user: khangai or bakugaisma"), Servers: make(map[string]int)}
	for w.more() {
		name, value := w.pair()
		switch name {
		case "entries":
			s.Entries = w.number(name, value, maxEntries)
		case "fencing":
			s.Fencing = w.oneOf(value, "grants", "deadlines", "none")
		default:
			s.Servers[name] = w.number(name, value, maxServers)
		}
	}
	if s.Entries == 0 || len(s.Servers) == 0 {
		w.fail("name the numbers of entry processes and servers, such as: start khangai ledger=5 entries=5")
	}
	return s
}

func parseCallers(w *lineParser) Statement {
	s := Callers{Line: w.line, Number: w.number("callers", w.next("a number of callers"), maxCallers)}
	name, value := w.pair()
	if name != "mix" {
		w.fail("write the kinds of calls as mix=bookings,lookups")
		return s
	}
	for _, kind := range strings.Split(value, ",") {
		switch w.oneOf(kind, "bookings", "lookups", "long") {
		case "bookings":
			s.Bookings = true
		case "lookups":
			s.Lookups = true
		case "long":
			s.Long = true
		}
	}
	return s
}

func parseCut(w *lineParser) Statement {
	s := Cut{Line: w.line, Target: w.targetOf(EntryProcess)}
	direction := w.oneOf(w.next("a direction: in, out or both"), "in", "out", "both")
	s.In, s.Out = direction != "out", direction != "in"
	s.Length = w.duration()
	return s
}

func parseFault(w *lineParser) Statement {
	s := Fault{Line: w.line, Target: w.targetOf(BackendServer)}
	s.Name = w.oneOf(w.next("a fault"), "cross-answers", "truncate", "ignore-deadline", "lie-load")
	s.On = w.onOff()
	return s
}

func parseDrain(w *lineParser) Statement {
	s := Drain{Line: w.line, Target: w.targetOf(BackendServer)}
	if w.more() {
		w.literal("by")
		w.literal("operator")
		s.ByOperator = true
	}
	return s
}

func parseStore(w *lineParser) Statement {
	switch w.oneOf(w.next("a fault of the store"), "down", "slow", "lose-answers", "stall-watches") {
	case "down":
		return StoreDown{w.line, w.duration()}
	case "slow":
		return StoreSlow{w.line, w.duration()}
	case "lose-answers":
		return StoreLoseAnswers{w.line, w.onOff()}
	}
	return StoreStallWatches{w.line, w.onOff()}
}

func parseConfig(w *lineParser) Statement {
	if w.oneOf(w.next("set or race"), "set", "race") == "race" {
		s := ConfigRace{Line: w.line, Team: w.next("a team"), Key: w.next("a setting")}
		s.Values = [2]string{w.next("the first value"), w.next("the second value")}
		return s
	}
	return ConfigSet{w.line, w.next("a team"), w.next("a setting"), w.next("a value")}
}

func parseWait(w *lineParser) Statement {
	w.literal("served")
	s := WaitServed{Line: w.line, Key: w.next("a key")}
	w.literal("within")
	s.Target = w.duration()
	return s
}

func parseExpect(w *lineParser) Statement {
	switch w.oneOf(w.next("what to expect"), "promise", "no-run-at", "no", "config", "running") {
	case "promise":
		return ExpectPromise{w.line, w.oneOf(w.next("a promise or all"), promises()...)}
	case "no-run-at":
		s := ExpectNoRun{Line: w.line, Server: w.next("a server")}
		w.literal("after")
		s.Bound = w.duration()
		return s
	case "no":
		w.literal("cut")
		w.literal("call")
		return ExpectNoCut{w.line}
	case "config":
		return parseExpectConfig(w)
	}
	return ExpectRunning{w.line}
}

func parseExpectConfig(w *lineParser) Statement {
	team := w.next("a team")
	switch w.oneOf(w.next("in-force, accepted or refused"), "in-force", "accepted", "refused") {
	case "in-force":
		w.literal("within")
		return ExpectInForce{w.line, team, w.duration()}
	case "accepted":
		return ExpectConfig{w.line, team, true}
	}
	return ExpectConfig{w.line, team, false}
}

func statementNames(m map[string]func(*lineParser) Statement) string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}
