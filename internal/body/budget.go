package body

import "sync"

const (
	// requestShare is the share of a Budget that requests may use.
	requestShare = 0.75
	// smallBytes is the size up to which a response is never refused.
	smallBytes = 64 << 10
)

// Budget is the memory for the bodies that a process holds at once. It is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	limit int
	used  int
}

// NewBudget returns a Budget of a number of bytes.
func NewBudget(bytes int) *Budget { return &Budget{limit: bytes} }

// Reservation is the memory of one body. It is not safe for concurrent use.
type Reservation struct {
	budget *Budget
	bytes  int
	// allows reports whether a body may take some bytes if other bodies use others bytes.
	allows func(bytes, others int) bool
}

// Request returns an empty Reservation for the body of a request.
func (b *Budget) Request() *Reservation { return &Reservation{budget: b, allows: b.allowsRequest} }

// Response returns an empty Reservation for the body of a response.
func (b *Budget) Response() *Reservation { return &Reservation{budget: b, allows: b.allowsResponse} }

func (b *Budget) allowsRequest(bytes, others int) bool {
	return bytes+others <= int(float64(b.limit)*requestShare)
}

func (b *Budget) allowsResponse(bytes, others int) bool {
	return bytes <= smallBytes || bytes <= (b.limit-others)/2
}

// Used returns the number of bytes that are reserved.
func (b *Budget) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Resize changes the size of the reservation. It reports false and changes nothing if the Budget does not allow it.
func (r *Reservation) Resize(bytes int) bool {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	others := b.used - r.bytes
	if bytes > r.bytes && !r.allows(bytes, others) {
		return false
	}
	b.used = others + bytes
	r.bytes = bytes
	return true
}

// Release gives the memory back. The Reservation can be used again.
func (r *Reservation) Release() { r.Resize(0) }
