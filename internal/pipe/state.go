package pipe

//go:generate enumer -type=State -transform=kebab -trimprefix=State -output=state_enumer.go

// State says whether the next request of a connection may be read.
type State int

const (
	// StateOpen means that the next request may be read.
	StateOpen State = iota
	// StateOrdered means that nothing is read before a request in the pipeline has been answered: it is exclusive or closes
	// the connection, or the process is stopping.
	StateOrdered
	// StateFull means that the pipeline has as many requests as it may have.
	StateFull
	// StateMemory means that the requests and responses of the pipeline use as much memory as they may use.
	StateMemory
	// StateEnded means that no request is read any more.
	StateEnded
)
