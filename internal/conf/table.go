package conf

import (
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

//go:generate enumer -type=FileKind -transform=kebab -output=filekind_enumer.go

// FileKind is a kind of settings file.
type FileKind int

const (
	// ProcessFile is the file of one entry process.
	ProcessFile FileKind = iota
	// TeamFile is the file of one team, with its services and operations.
	TeamFile
	// DeploymentFile describes the processes, teams and network of a user to load and failure tests.
	DeploymentFile
)

// Section names. T, S and O stand for the names of a team, a service and an operation.
const (
	processSection    = "process"
	peersSection      = "peers"
	timingSection     = "timing"
	limitsSection     = "limits"
	tlsSection        = "tls"
	teamSection       = "team.T"
	serviceSection    = "team.T.service.S"
	operationSection  = "team.T.service.S.operation.O"
	deploymentSection = "deployment"
	latencySection    = "latency"
	standInSection    = "stand-in"
)

// anyName is the table entry for keys whose names the operator chooses.
const anyName = "NAME"

// setting is one key of a section.
type setting struct {
	file    FileKind
	section string
	name    string
	kind    kind
	// defaultValue is the default in the format of a file. It is used if required is false. If it is
	// empty, the key has no default.
	defaultValue string
	required     bool
	description  string
}

// settings is the table of all keys, which defines parsing, defaults, bounds and the reference page.
var settings = []setting{
	{ProcessFile, processSection, "name", nameKind{}, "", true, "Name of this process, unique in the cell and listed in `[peers]`."},
	{ProcessFile, processSection, "user", nameKind{}, "", true, "Name of the user. It is the name of the cell in the object API."},
	{ProcessFile, processSection, "failure-domain", nameKind{}, "", true, "Failure domain of this VM."},
	{ProcessFile, processSection, "caller-address", addressKind{listen: true}, "", true, "Where callers connect."},
	{ProcessFile, processSection, "peer-address", addressKind{}, "", true, "Where other entry processes connect. It must equal this process's line in `[peers]`."},
	{ProcessFile, processSection, "admin-address", addressKind{listen: true}, "", true, "Where operators and metrics collectors connect."},
	{ProcessFile, processSection, "platform-address", addressKind{}, "", true, "Where the object API and the VM list are reached."},

	{ProcessFile, peersSection, anyName, peerKind{}, "", true, "One line for each entry process of the cell, this one included. The first electors are derived from this list, so it must be the same in all process files."},

	{ProcessFile, timingSection, "term-lease", durationKind{100 * time.Millisecond, 3 * time.Second}, "1s", false, "Authority of a decider without renewal. With its margins it must be shorter than `serving-lease` and `grant`; with its margins and the longest of `serving-lease`, `grant` and `silence` it must take less than 4 s."},
	{ProcessFile, timingSection, "serving-lease", durationKind{200 * time.Millisecond, 3 * time.Second}, "2s", false, "Right of an entry process to forward calls without renewal. With its margins it must be shorter than 3 s."},
	{ProcessFile, timingSection, "grant", durationKind{200 * time.Millisecond, 3 * time.Second}, "2s", false, "Right of a server to run work for its spans without renewal. With its margins it must be shorter than 3 s."},
	{ProcessFile, timingSection, "beat", durationKind{10 * time.Millisecond, time.Second}, "200ms", false, "Heartbeat interval. Two of them must be shorter than `term-lease` and `silence`."},
	{ProcessFile, timingSection, "silence", durationKind{100 * time.Millisecond, 3 * time.Second}, "1s", false, "A server that does not answer for this long is treated as lost."},
	{ProcessFile, timingSection, "rate-margin", shareKind{0.0005, 0.1}, "0.01", false, "Largest relative difference of two clock rates. Time daemons correct up to 0.0005."},
	{ProcessFile, timingSection, "slack", durationKind{time.Millisecond, time.Second}, "50ms", false, "Added once to each lease by its granter, for scheduling between a clock reading and its use."},
	{ProcessFile, timingSection, "store-timeout", durationKind{10 * time.Millisecond, 10 * time.Second}, "500ms", false, "A call to the object API that takes longer counts as failed."},
	{ProcessFile, timingSection, "drain-notice", durationKind{0, time.Minute}, "1s", false, "Time between unready to the balancer and the refusal of new calls at a planned stop."},
	{ProcessFile, timingSection, "booking-window", durationKind{time.Second, 24 * time.Hour}, "10m", false, "Time for which booking identifiers are remembered."},

	{ProcessFile, limitsSection, "body-bytes", numberKind{"bytes", 1 << 10, 64 << 20}, "1048576", false, "Largest request or answer body."},
	{ProcessFile, limitsSection, "header-bytes", numberKind{"bytes", 1 << 10, 1 << 20}, "16384", false, "Largest request header."},
	{ProcessFile, limitsSection, "queue-length", numberKind{"calls", 1, 1 << 16}, "256", false, "Calls that may wait for one server."},
	{ProcessFile, limitsSection, "retry-budget", shareKind{0, 1}, "0.1", false, "Retries for each call, over all calls of this process."},
	{ProcessFile, limitsSection, "read-timeout", durationKind{100 * time.Millisecond, 5 * time.Minute}, "5s", false, "Time a caller has to send its request."},
	{ProcessFile, limitsSection, "events", numberKind{"events", 16, 1 << 16}, "4096", false, "Control events kept in memory."},

	{ProcessFile, tlsSection, "certificate", textKind{}, "", false, "Path of the PEM certificate of this process, followed by intermediate certificates if any. It carries `name` as a DNS name or the address of `peer-address`. Where it is set, connections between entry processes use TLS 1.3 with a certificate on both ends, so it must be set in all process files or in none."},
	{ProcessFile, tlsSection, "key", textKind{}, "", false, "Path of the PEM key of `certificate`. Required where `certificate` is set."},
	{ProcessFile, tlsSection, "authority", textKind{}, "", false, "Path of the PEM certificates of the authorities that sign the certificates of all entry processes. Required where `certificate` is set."},
	{ProcessFile, tlsSection, "callers", flagKind{}, "false", false, "Whether `caller-address` takes TLS (1.2 and up) instead of plain text. Requires `certificate` and `key`."},

	{TeamFile, teamSection, "contact", textKind{}, "", false, "Whom to ask about the team's services."},

	{TeamFile, serviceSection, "exclusive", flagKind{}, "false", false, "Whether each key has one owning server."},
	{TeamFile, serviceSection, "key", keyKind{}, "", false, "Where a call carries its key: a header, a query parameter, or a path segment after `/<team>/<service>`, counted from 1 and after the prefix of every operation. Required where `exclusive` is true."},
	{TeamFile, serviceSection, "fencing", choiceKind{assign.FencingStrings()}, "none", false, "What the servers check before they run a call. The default assumes nothing."},
	{TeamFile, serviceSection, "slots", numberKind{"requests", 1, 1024}, "6", false, "Requests that one server runs concurrently."},
	{TeamFile, serviceSection, "connections", numberKind{"connections", 1, 65535}, "130", false, "Connections that one server accepts from all entry processes together."},
	{TeamFile, serviceSection, "servers", serversKind{}, "", true, "The servers of the service. A name or an address may occur once in the team."},
	{TeamFile, serviceSection, "churn-budget", shareKind{0, 1}, "0.02", false, "Share of the hash space that rebalancing may move in one minute. Moves after a loss and drains do not count."},

	{TeamFile, operationSection, "match", matchKind{}, "", true, "Method and path prefix after `/<team>/<service>`. A prefix covers whole segments; the longest one wins."},
	{TeamFile, operationSection, "repeatable", flagKind{}, "false", false, "Whether a call may run more than once. It must be false for bookings, and a booking cannot match GET, HEAD or PUT, which HTTP clients repeat on their own."},
	{TeamFile, operationSection, "class", choiceKind{ClassStrings()}, "short", false, "How a call is queued, and whether it runs at most once (`booking`) or needs a token (`long`)."},
	{TeamFile, operationSection, "timeout", durationKind{time.Millisecond, 10 * time.Minute}, "1s", false, "Time a call has where its caller asks for none or for more."},

	{DeploymentFile, deploymentSection, "user", nameKind{}, "", true, "Name of the user."},
	{DeploymentFile, deploymentSection, "processes", namesKind{}, "", true, "Entry processes. The file of process P is `P.ini`."},
	{DeploymentFile, deploymentSection, "teams", namesKind{}, "", true, "Teams. The file of team T is `team-T.ini`."},

	{DeploymentFile, latencySection, "between-failure-domains", durationKind{0, time.Second}, "0s", false, "One-way latency between two failure domains."},
	{DeploymentFile, latencySection, "to-callers", durationKind{0, time.Second}, "0s", false, "One-way latency between a caller and an entry process."},

	{DeploymentFile, standInSection, "run", durationKind{0, time.Minute}, "2ms", false, "Run time of a short call or a booking on a stand-in server."},
	{DeploymentFile, standInSection, "long-factor", numberKind{"times", 1, 10000}, "100", false, "Run time of a long call over `run`."},
	{DeploymentFile, standInSection, "connect", durationKind{0, time.Second}, "1ms", false, "Time a stand-in server takes to open a new connection."},
	{DeploymentFile, standInSection, "store-writes", numberKind{"calls/s", 1, 1000000}, "300", false, "Writes that the stand-in object API takes."},
	{DeploymentFile, standInSection, "store-reads", numberKind{"calls/s", 1, 1000000}, "2000", false, "Reads that the stand-in object API takes. A waiting watch counts as one."},
	{DeploymentFile, standInSection, "vm-lag", durationKind{0, 10 * time.Minute}, "2s", false, "Age of the VM list."},
}

// settingsOf returns the table entries of a section.
func settingsOf(section string) []setting {
	var found []setting
	for _, s := range settings {
		if s.section == section {
			found = append(found, s)
		}
	}
	return found
}

// sectionsOf returns the section names of a kind of file in the order of the table.
func sectionsOf(file FileKind) []string {
	var names []string
	for _, s := range settings {
		if s.file == file && (len(names) == 0 || names[len(names)-1] != s.section) {
			names = append(names, s.section)
		}
	}
	return names
}
