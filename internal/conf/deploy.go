package conf

import "time"

// Deployment describes all processes and teams of a user to load and failure tests: which files there
// are, and how the network and the stand-ins behave. Entry processes do not read it.
type Deployment struct {
	User string
	// Processes are the names of the process files without ".ini", in the deployment's directory.
	Processes []string
	// Teams are the names of the teams. The file of team T is "team-T.ini".
	Teams []string
	// BetweenDomains is the one-way latency between two failure domains.
	BetweenDomains time.Duration
	// ToCallers is the one-way latency between a caller and an entry process.
	ToCallers time.Duration
	StandIn   StandIn
}

// StandIn holds the behavior of the stand-in servers and the stand-in platform, which replace the real
// ones in tests.
type StandIn struct {
	// Run is the run time of a short call or a booking on a server.
	Run time.Duration
	// LongFactor is the run time of a long call as a multiple of Run.
	LongFactor int
	// Connect is the time a server takes to open a new connection.
	Connect time.Duration
	// StoreWrites is the number of writes per second that the object API accepts.
	StoreWrites int
	// StoreReads is the number of reads per second that the object API accepts.
	StoreReads int
	// VMLag is the delay after which the VM list shows a change.
	VMLag time.Duration
}

// ParseDeployment reads a deployment file. The name is used in faults only. If there are faults, the
// value is the zero Deployment.
func ParseDeployment(name, text string) (Deployment, []Fault) {
	r := &report{file: name}
	var d Deployment
	doc, ok := readDocument(r, text)
	if ok {
		d = buildDeployment(r, doc)
	}
	if !r.empty() {
		return Deployment{}, r.sorted()
	}
	return d, nil
}
