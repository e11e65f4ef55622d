package dedup

// valid reports whether a Key can be kept. The zero Key marks the start of a copy.
func (k Key) valid() bool {
	return k.Identifier != "" && k.size() <= IdentifierLimit
}

func (k Key) size() int {
	return len(k.Scope) + len(k.Identifier)
}

func (a Answer) size() int {
	n := len(a.Body)
	for _, h := range a.Headers {
		n += len(h.Name) + len(h.Value)
	}
	return n
}

// trimmed returns the answer without a body above BodyLimit, and without headers above it too.
func (a Answer) trimmed() Answer {
	if len(a.Body) > BodyLimit {
		a.Body = nil
		a.Omitted = true
	}
	if a.size()-len(a.Body) > BodyLimit {
		a.Headers = nil
		a.Omitted = true
	}
	return a
}
