package steer

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/shard"
)

// newsBytes bounds the unpacked news and configurations that a follower takes.
const newsBytes = 64 << 20

// news is what a follower lacks of the servers and the owners of keys.
type news struct {
	// Whole reports that the servers and rows are all there are, not only those that changed.
	Whole   bool
	Listed  bool
	Servers []assign.Server
	Removed []assign.ServerID
	Rows    map[assign.ServiceID][]shard.Row
}

// empty reports whether the news tell nothing.
func (n news) empty() bool {
	return !n.Whole && len(n.Servers) == 0 && len(n.Removed) == 0 && len(n.Rows) == 0
}

// packer encodes and compresses what the leader sends to followers. It is not safe for concurrent use.
type packer struct {
	buffer bytes.Buffer
	writer *flate.Writer
}

func newPacker() *packer {
	p := &packer{}
	var err error
	if p.writer, err = flate.NewWriter(&p.buffer, flate.BestSpeed); err != nil {
		// The level is valid.
		panic("steer: " + err.Error())
	}
	return p
}

// pack compresses bytes. Writes to a buffer do not fail.
func (p *packer) pack(text []byte) []byte {
	p.buffer.Reset()
	p.writer.Reset(&p.buffer)
	_, _ = p.writer.Write(text)
	_ = p.writer.Close()
	return bytes.Clone(p.buffer.Bytes())
}

// packNews encodes and compresses news. Fields are sent without their names.
func (p *packer) packNews(n news) ([]byte, error) {
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	e.UseArrayEncodedStructs(true)
	e.UseCompactInts(true)
	if err := e.Encode(n); err != nil {
		return nil, err
	}
	return p.pack(b.Bytes()), nil
}

func unpack(packed []byte) ([]byte, error) {
	return io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), newsBytes))
}

func unpackNews(packed []byte) (news, error) {
	var n news
	text, err := unpack(packed)
	if err != nil {
		return n, err
	}
	err = msgpack.Unmarshal(text, &n)
	return n, err
}
