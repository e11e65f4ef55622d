package body

import "sync"

const (
	// requestShare is the share of a Budget that requests may use.
	requestShare = 0.75
	// aheadShare is the share of a Budget up to which requests are read ahead. The rest is for connections that send one
	// request at a time, and for responses.
	aheadShare = 0.5
	// SmallBytes is the size in bytes up to which a response is never refused.
	SmallBytes = 64 << 10
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
	// extra is added to the size of the body.
	extra int
	// allows reports whether a body may take some bytes if other bodies use others bytes.
	allows func(bytes, others int) bool
}

// Request returns an empty Reservation for the body of a request.
func (b *Budget) Request() *Reservation { return &Reservation{budget: b, allows: b.allowsRequest} }

// Response returns an empty Reservation for the body of a response.
func (b *Budget) Response() *Reservation { return &Reservation{budget: b, allows: b.allowsResponse} }

// Ahead returns an empty Reservation for the body of a request that is read before earlier ones have been answered. From the
// first call of Resize until Release it also has the extra bytes for what else the process holds for such a request.
func (b *Budget) Ahead(extra int) *Reservation {
	return &Reservation{budget: b, allows: b.allowsAhead, extra: extra}
}

func (b *Budget) allowsRequest(bytes, others int) bool {
	return bytes+others <= int(float64(b.limit)*requestShare)
}

func (b *Budget) allowsAhead(bytes, others int) bool {
	return bytes+others <= int(float64(b.limit)*aheadShare)
}

func (b *Budget) allowsResponse(bytes, others int) bool {
	return bytes <= SmallBytes || bytes <= (b.limit-others)/2
}

// Limit returns the size of the Budget in bytes.
func (b *Budget) Limit() int { return b.limit }

// Exhausted reports whether the Budget has no room for another small response, so that no new request may be run.
func (b *Budget) Exhausted() bool { return b.Used()+SmallBytes > b.limit }

// Used returns the number of bytes that are reserved.
func (b *Budget) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Resize changes the size of the body. It reports false and changes nothing if the Budget does not allow it.
func (r *Reservation) Resize(bytes int) bool { return r.resize(bytes + r.extra) }

// Release gives the memory back. The Reservation can be used again.
func (r *Reservation) Release() { r.resize(0) }

// Promote makes a Reservation of Budget.Ahead one of Budget.Request, without the extra bytes. Others stay as they are.
func (r *Reservation) Promote() {
	if r.extra == 0 {
		return
	}
	bytes := max(0, r.bytes-r.extra)
	r.extra, r.allows = 0, r.budget.allowsRequest
	r.resize(bytes)
}

// Bytes returns the number of bytes that are reserved.
func (r *Reservation) Bytes() int { return r.bytes }

func (r *Reservation) resize(bytes int) bool {
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
