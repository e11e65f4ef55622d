package conf

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// unit returns the unit or the format of a value for the reference page.
func unit(k kind) string {
	switch k := k.(type) {
	case textKind:
		return "text"
	case nameKind:
		return "name"
	case namesKind:
		return "names, separated by commas"
	case durationKind:
		return "duration"
	case numberKind:
		return k.unit
	case shareKind:
		return "share"
	case flagKind:
		return "flag"
	case choiceKind:
		return "choice"
	case addressKind:
		return "IP address and port"
	case peerKind:
		return "IP address and port, failure domain"
	case keyKind:
		return "`header:NAME`, `query:NAME` or `path:N`"
	case serversKind:
		return "`name@address:port/failure-domain`, separated by commas"
	case matchKind:
		return "`METHOD /path-prefix`"
	}
	return ""
}

// bounds returns the bounds of a value for messages and the reference page.
func bounds(k kind) string {
	switch k := k.(type) {
	case textKind:
		return fmt.Sprintf("at most %d bytes", maxTextBytes)
	case nameKind, namesKind:
		return fmt.Sprintf("kebab case, at most %d characters", maxNameBytes)
	case durationKind:
		return fmt.Sprintf("from %s to %s", formatDuration(k.min), formatDuration(k.max))
	case numberKind:
		return fmt.Sprintf("from %d to %d", k.min, k.max)
	case shareKind:
		return fmt.Sprintf("from %s to %s", formatDecimal(k.min), formatDecimal(k.max))
	case flagKind:
		return "`true` or `false`"
	case choiceKind:
		return "`" + strings.Join(k.names, "`, `") + "`"
	case addressKind:
		return addressBounds(k)
	case peerKind:
		return "one machine"
	case keyKind:
		return fmt.Sprintf("N from 1 to %d", maxSegment)
	case serversKind:
		return fmt.Sprintf("at most %d servers", maxServers)
	case matchKind:
		return strings.Join(methods, ", ")
	}
	return ""
}

func addressBounds(k addressKind) string {
	if k.listen {
		return "one machine, or every interface (`0.0.0.0`)"
	}
	return "one machine"
}

// exampleValue returns a value for the remedy of a missing key. Only kinds that required keys use have
// one.
func exampleValue(k kind) string {
	switch k.(type) {
	case nameKind:
		return "a-name"
	case namesKind:
		return "name-1, name-2"
	case addressKind:
		return "10.0.0.1:9000"
	case serversKind:
		return "ledger-1@10.0.0.1:9000/fd-1"
	case matchKind:
		return "GET /balances"
	}
	return "…"
}

// formatDuration formats a duration without trailing zero units, as in a settings file: "10m", not
// "10m0s".
func formatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

func formatDecimal(f float64) string {
	return strconv.FormatFloat(f, 'f', -1, 64)
}

// Reference returns the reference page of all settings as Markdown, generated from the table of
// keys. docs/settings.md is a copy of it.
func Reference() string {
	var b strings.Builder
	b.WriteString(referenceIntro)
	for _, file := range FileKindValues() {
		fmt.Fprintf(&b, "\n## %s\n", fileTitles[file])
		for _, s := range sectionsOf(file) {
			writeSection(&b, s)
		}
	}
	return b.String()
}

var fileTitles = map[FileKind]string{
	ProcessFile:    "Process file",
	TeamFile:       "Team file",
	DeploymentFile: "Deployment file",
}

const referenceIntro = `# Settings

This page is generated from the table of keys in internal/conf. To write it again, run
` + "`go test ./internal/conf -update`" + `.

Settings are INI text in UTF-8, just under 1 MB for each file. A setting is one line,
` + "`key = value`" + `. A backslash at the end of a line continues the value on the next line, up to 64 KB and
512 lines. A comment is a line that starts with ` + "`#` or `;`" + `, or the rest of a line after a space and
one of them. Values are not expanded and quoted blocks are not read. A duration is a number with a
unit: ` + "`200ms`, `2s`, `10m`" + `. A share is a decimal number from 0 to 1.

Check files with ` + "`samphiredrum check FILE...`" + `.
`

func writeSection(b *strings.Builder, section string) {
	fmt.Fprintf(b, "\n### `[%s]`\n\n", section)
	b.WriteString("| key | unit or form | default | bounds | effect |\n")
	b.WriteString("| --- | --- | --- | --- | --- |\n")
	for _, s := range settingsOf(section) {
		fmt.Fprintf(b, "| `%s` | %s | %s | %s | %s |\n", s.name, unit(s.kind), defaultText(s), bounds(s.kind), s.description)
	}
}

func defaultText(s setting) string {
	switch {
	case s.required:
		return "required"
	case s.defaultValue == "":
		return "none"
	default:
		return "`" + s.defaultValue + "`"
	}
}
