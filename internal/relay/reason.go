package relay

//go:generate enumer -type=Reason -transform=kebab -output=reason_enumer.go

// Reason says why a request got no response of a server.
type Reason int

const (
	// ReasonNone means that the caller got a server's response.
	ReasonNone Reason = iota
	// ReasonNoConfig means that the configuration or the servers were not known yet.
	ReasonNoConfig
	// ReasonNoRule means that no rule matches the request.
	ReasonNoRule
	// ReasonNoKey means that a request to a partitioned service has no key.
	ReasonNoKey
	// ReasonNoOwner means that no owner of the key could be reached in time.
	ReasonNoOwner
	// ReasonNoServer means that the service has no usable server.
	ReasonNoServer
	// ReasonRefused means that the servers, not the relay, refused to run the request.
	ReasonRefused
	// ReasonUnreachable means that the request could not be sent to a server.
	ReasonUnreachable
	// ReasonLost means that the request was sent and got no usable response.
	ReasonLost
	// ReasonDeadline means that the deadline passed and a server may have run the request.
	ReasonDeadline
	// ReasonExpired means that the deadline passed and no server can have run the request.
	ReasonExpired
	// ReasonOverload means that the request was shed because the owner of its key is overloaded.
	ReasonOverload
	// ReasonLimited means that the server, or all servers of the service, take no more requests for now because of the
	// limits that they have named, or because they are cold.
	ReasonLimited
	// ReasonEvacuated means that no other server can run the request than those of evacuated failure domains.
	ReasonEvacuated
	// ReasonHung means that the owner of the key has stopped answering, and another request probes it.
	ReasonHung
	// ReasonStopping means that this process stops before the deadline of the request.
	ReasonStopping
	// ReasonMemory means that the memory for bodies is used up by the requests in flight.
	ReasonMemory
	// ReasonGone means that the caller disconnected before it got a response.
	ReasonGone
)
