package steer

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/shard"
)

// maxUnpackedBytes bounds the size of an update or a configuration that a follower unpacks.
const maxUnpackedBytes = 64 << 20

// update is a snapshot or a delta of the servers and the owners of keys that the leader sends to a follower.
// It is encoded as an array, so the order of the fields is part of the protocol.
type update struct {
	// Whole reports a snapshot: Servers and Rows are complete. Otherwise they are a delta.
	Whole bool
	// Listed reports that the leader has read the list of servers.
	Listed  bool
	Servers []assign.Server
	Removed []assign.ServerID
	Rows    map[assign.ServiceID][]shard.Row
}

// empty reports whether the update is a delta without changes.
func (u update) empty() bool {
	return !u.Whole && len(u.Servers) == 0 && len(u.Removed) == 0 && len(u.Rows) == 0
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
		// NewWriter fails only for an invalid level.
		panic("steer: " + err.Error())
	}
	return p
}

// pack compresses data. It ignores errors because writes to a bytes.Buffer do not fail.
func (p *packer) pack(data []byte) []byte {
	p.buffer.Reset()
	p.writer.Reset(&p.buffer)
	_, _ = p.writer.Write(data)
	_ = p.writer.Close()
	return bytes.Clone(p.buffer.Bytes())
}

// packUpdate encodes and compresses an update. Structs are encoded as arrays, without field names.
func (p *packer) packUpdate(u update) ([]byte, error) {
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	e.UseArrayEncodedStructs(true)
	e.UseCompactInts(true)
	if err := e.Encode(u); err != nil {
		return nil, err
	}
	return p.pack(b.Bytes()), nil
}

func unpack(packed []byte) ([]byte, error) {
	return io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedBytes))
}

func unpackUpdate(packed []byte) (update, error) {
	var u update
	data, err := unpack(packed)
	if err != nil {
		return u, err
	}
	err = msgpack.Unmarshal(data, &u)
	return u, err
}
