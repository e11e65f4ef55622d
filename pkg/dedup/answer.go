package dedup

// valid reports whether a Key can be stored. An empty identifier is not valid, because the zero Key
// marks the start of a copy.
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

// trimmed returns the answer without its body, or without its headers, if they are longer than
// BodyLimit.
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
