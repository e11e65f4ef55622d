package conf

import "time"

// Deployment describes a whole user to load and failure tests: which files there are, and how the
// network and the stand-ins behave. No entry process reads it.
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

// StandIn is how the stand-in servers and the stand-in platform behave.
type StandIn struct {
	// Run is the run time of a short call or a booking on a server.
	Run time.Duration
	// LongFactor is the run time of a long call over Run.
	LongFactor int
	// Connect is the time a server takes to open a new connection.
	Connect time.Duration
	// StoreWrites is the number of writes the object API takes, in calls a second.
	StoreWrites int
	// StoreReads is the number of reads the object API takes, in calls a second.
	StoreReads int
	// VMLag is the age of the VM list.
	VMLag time.Duration
}

// ParseDeployment reads a deployment file. The name is used in faults only. Where there are faults
// the value is the zero Deployment.
func ParseDeployment(name, text string) (Deployment, []Fault) {
	r := &report{file: name}
	var d Deployment
	doc, ok := readDocument(r, text)
	if ok {
		d = buildDeployment(r, doc)
	}
	if !r.clean() {
		return Deployment{}, r.sorted()
	}
	return d, nil
}
