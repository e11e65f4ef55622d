// Package store is the client of the platform: its object store and its list of VMs.
//
// API is the interface that the rest of the program uses; Client implements it over HTTP. Each
// error has a Kind that tells the caller what it may assume about the effect of the call. The most
// important one is Unknown: the response to a write was lost, but the write may have taken effect,
// so the caller has to read the object back. The client never retries a call, because every call
// counts against the platform's rate limits. Feed combines watches and lists into a stream of
// changes that is complete even if a watch fails.
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
//		// the object is stored at this version
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
	// Version is the store's revision at which the object was last written, together with the era of the store, see
	// NewVersion. Every later write of any object gets a higher version, and no version is used twice.
	Version uint64
	Value   []byte
	// Deleting reports that the object has been deleted and is listed only until others have noticed.
	Deleting bool
}

// Change is one write or deletion of an object. For a deletion, Version is the revision of the
// deletion and Value is nil.
type Change struct {
	Object
	Deleted bool
}

// Role is the type of process that a VM runs.
type Role int

const (
	// Entry is a VM that runs an entry process.
	Entry Role = iota
	// Backend is a VM that runs a backend server.
	Backend
)

// State tells whether the platform plans to stop a VM.
type State int

const (
	// Live is a VM that is in service.
	Live State = iota
	// Leaving is a VM that the platform will stop soon.
	Leaving
)

// VM is one entry of the platform's list of VMs, which lags behind their actual state.
type VM struct {
	Name    string
	Address netip.AddrPort
	Role    Role
	// Service is set for backend servers only.
	Service       assign.ServiceID
	FailureDomain string
	State         State
}

// Operation is the type of a call. It appears in Counts and in errors.
type Operation int

const (
	// Get reads one object.
	Get Operation = iota
	// Put creates or replaces one object.
	Put
	// Delete deletes one object.
	Delete
	// List reads all objects under a prefix.
	List
	// Watch waits for changes under a prefix. However long it waits, it counts as one call.
	Watch
	// VMs reads the list of VMs.
	VMs
)

// Objects is the API of the platform's object store. Every method takes its timeout from the
// context's deadline and returns errors of type *Error.
type Objects interface {
	// Get returns an object, or an error of kind NotFound.
	Get(ctx context.Context, name string) (Object, error)
	// Put writes an object if its version is ifVersion, or creates it if ifVersion is 0 and it does
	// not exist, and returns its new version. The kinds of error include Conflict, with the current
	// version, and Unknown.
	Put(ctx context.Context, name string, value []byte, ifVersion uint64) (uint64, error)
	// Delete deletes an object if its version is ifVersion. The kinds of error include NotFound,
	// Conflict and Unknown.
	Delete(ctx context.Context, name string, ifVersion uint64) error
	// List returns all objects under prefix and the store's revision at which the list was taken.
	List(ctx context.Context, prefix string) ([]Object, uint64, error)
	// Watch waits until an object under prefix changes after revision after, or until shortly
	// before the context's deadline. It returns the changes, possibly none, and the revision from
	// which to continue. It returns an error of kind TooOld if the store no longer holds all changes
	// since after.
	Watch(ctx context.Context, prefix string, after uint64) ([]Change, uint64, error)
	// Era returns the latest era of the store in any response, 0 before the first one.
	Era() uint64
}

// API is the API of the platform: its object store and its list of VMs.
type API interface {
	Objects
	// VMs returns the platform's list of VMs.
	VMs(ctx context.Context) ([]VM, error)
}
