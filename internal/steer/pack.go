package steer

import (
	"bytes"
	"compress/flate"
	"io"
)

// pack compresses a configuration for the way to the followers.
func pack(text []byte) []byte {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		// The level is valid, and writes to a buffer do not fail.
		panic("steer: " + err.Error())
	}
	_, _ = w.Write(text)
	_ = w.Close()
	return b.Bytes()
}

func unpack(packed []byte) ([]byte, error) {
	return io.ReadAll(flate.NewReader(bytes.NewReader(packed)))
}
