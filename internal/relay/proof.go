package relay

import "errors"

// ErrUnsaid is the value of ResponseMeta.Unproven for a response whose status says that the request has not run, while the
// server does not.
var ErrUnsaid = errors.New("the status says that the request has not run, but the server does not")

//go:generate enumer -type=Proof -transform=kebab -output=proof_enumer.go

// Proof says what a response proves about the request that it belongs to. Only Messages.ReadResponse makes it.
type Proof int

const (
	// ProofNone means that the response leaves open whether its server has run the request.
	ProofNone Proof = iota
	// ProofNotRun means that the server has not run the request and never will.
	ProofNotRun
	// ProofRan means that the server has run the request, and that the response is its answer.
	ProofRan
	// ProofFailed means that the server has failed to run the request, and that the response says so.
	ProofFailed
)
