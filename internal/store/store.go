// Package store talks to the platform: its object API and its list of VMs.
//
// API is the narrow interface that the rest of the program uses; Client is its HTTP adapter. Each
// error has a Kind that says what may be assumed afterwards. The most important one is Unknown: a
// write may have taken effect although its answer is lost, so its writer has to read the object
// back. The client never repeats a call by itself, because every call counts against the
// platform's rates. Feed turns watch and list into a stream that loses no change.
//
// # Usage
//
//	client := store.NewClient(address, store.Options{})
//	defer client.Close()
//	ctx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
//	defer cancel()
//	version, err := client.Put(ctx, "config/depot", value, 0)
//	switch store.KindOf(err) {
//	case store.NoError:
//		// version is stored
//	case store.Conflict:
//		// another writer won; store.CurrentVersion(err) is its version
//	case store.Unknown:
//		// read the object back and compare the token in it
//	}
package store

import (
	"context"
	"net/netip"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

//go:generate enumer -type=Role -transform=kebab -text -output=role_enumer.go
//go:generate enumer -type=State -transform=kebab -text -output=state_enumer.go
//go:generate enumer -type=Operation -transform=kebab -output=operation_enumer.go

// Object is one stored object.
type Object struct {
	Name string
	// Version is the store's revision at which the object was last written. A later write of any
	// object has a higher one, and a version is never used twice.
	Version uint64
	Value   []byte
}

// Change is one write or deletion of an object. For a deletion, Version is the revision of the
// deletion and Value is nil.
type Change struct {
	Object
	Deleted bool
}

// Role is the job of a VM.
type Role int

const (
	// Entry is a VM that runs an entry process.
	Entry Role = iota
	// Backend is a VM that runs a backend server.
	Backend
)

// State is the platform's plan for a VM.
type State int

const (
	// Live is a VM that is in service.
	Live State = iota
	// Leaving is a VM that the platform will stop soon.
	Leaving
)

// VM is one entry of the platform's list, which lags behind the truth.
type VM struct {
	Name    string
	Address netip.AddrPort
	Role    Role
	// Service is set for backend servers only.
	Service       assign.ServiceID
	FailureDomain string
	State         State
}

// Operation is a kind of call, for counting.
type Operation int

const (
	// Get reads one object.
	Get Operation = iota
	// Put writes one object.
	Put
	// Delete removes one object.
	Delete
	// List reads all objects under a prefix.
	List
	// Watch waits for changes under a prefix. A waiting watch counts as one call.
	Watch
	// VMs reads the list of VMs.
	VMs
)

// Objects is the object API. Every method takes its timeout from the context's deadline and
// returns errors of type *Error.
type Objects interface {
	// Get returns an object, or an error of kind NotFound.
	Get(ctx context.Context, name string) (Object, error)
	// Put writes an object whose version is ifVersion, where 0 means that it must be absent, and
	// returns its new version. Errors: Conflict with the current version, Unknown, others.
	Put(ctx context.Context, name string, value []byte, ifVersion uint64) (uint64, error)
	// Delete removes an object whose version is ifVersion. Errors: NotFound, Conflict, Unknown,
	// others.
	Delete(ctx context.Context, name string, ifVersion uint64) error
	// List returns every object under prefix and the store's revision at that moment.
	List(ctx context.Context, prefix string) ([]Object, uint64, error)
	// Watch waits until objects under prefix change after the revision after, or until shortly
	// before the context's deadline, and returns the changes, which may be none, and the revision
	// to go on from. It returns an error of kind TooOld where the store has forgotten changes
	// since after.
	Watch(ctx context.Context, prefix string, after uint64) ([]Change, uint64, error)
}

// API is the object API together with the platform's list of VMs.
type API interface {
	Objects
	// VMs returns the platform's list of VMs.
	VMs(ctx context.Context) ([]VM, error)
}
