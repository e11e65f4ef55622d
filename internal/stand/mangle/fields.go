package mangle

import (
	"bytes"
	"slices"
)

const (
	lineEnd   = "\r\n"
	blockEnd  = "\r\n\r\n"
	idPrefix  = "request-id:"
	lengthKey = "content-length:"
)

// rearrange returns an answer whose fields are in another order, in lower case, doubled, or without the request ID. An
// answer without a whole header stays as it is.
func (m *Mangler) rearrange(b []byte) []byte {
	head, body, whole := bytes.Cut(b, []byte(blockEnd))
	if !whole {
		return b
	}
	lines := bytes.Split(head, []byte(lineEnd))
	status, list := lines[0], lines[1:]
	switch m.intN(4) {
	case 0:
		m.shuffle(list)
	case 1:
		for i, line := range list {
			name, value, _ := bytes.Cut(line, []byte(":"))
			list[i] = slices.Concat(bytes.ToLower(name), []byte(":"), value)
		}
	case 2:
		list = m.double(list)
	case 3:
		list = slices.DeleteFunc(list, func(line []byte) bool { return bytes.HasPrefix(bytes.ToLower(line), []byte(idPrefix)) })
	}
	lines = append([][]byte{status}, list...)
	return slices.Concat(bytes.Join(lines, []byte(lineEnd)), []byte(blockEnd), body)
}

func (m *Mangler) shuffle(lines [][]byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.random.Shuffle(len(lines), func(i, j int) { lines[i], lines[j] = lines[j], lines[i] })
}

// double repeats one of the fields. A repeated length would make the answer invalid.
func (m *Mangler) double(lines [][]byte) [][]byte {
	if len(lines) == 0 {
		return lines
	}
	line := lines[m.intN(len(lines))]
	if bytes.HasPrefix(bytes.ToLower(line), []byte(lengthKey)) {
		return lines
	}
	return append(lines, line)
}
