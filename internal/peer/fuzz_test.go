package peer_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/netip"
	"net/rpc"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/samphiredrum/samphiredrum/internal/peer"
)

// recordMessage returns the bytes that a new link sends for its first message.
func recordMessage(f *testing.F) []byte {
	g := NewWithT(f)
	listener, err := net.Listen("tcp", anyPort.String())
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	l := peer.NewLink(listener.Addr().(*net.TCPAddr).AddrPort())
	defer l.Close()
	ctx, cancel := context.WithTimeout(context.Background(), shortTimeout)
	defer cancel()
	_, err = l.State(ctx, peer.StateRequest{})
	g.Expect(err).To(HaveOccurred())
	conn, err := listener.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	data, err := io.ReadAll(conn)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(data).NotTo(BeEmpty())
	return data
}

// Guards against bytes on the peer port that crash the process or end another connection. They may come
// from a port scanner, a browser or a peer of another version.
func FuzzServer(f *testing.F) {
	// net/rpc logs each message that it can't read.
	log.SetOutput(io.Discard)
	message := recordMessage(f)
	f.Add([]byte{})
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	f.Add(bytes.Repeat([]byte{0xff}, 64))
	f.Add([]byte{0xfc, 0x3f, 0xff, 0xff, 0xff, 1})
	f.Add([]byte{0x16, 0x03, 0x01, 0x00, 0x05, 0x01, 0x00, 0x00, 0x01, 0x03})
	f.Add(message)
	f.Add(message[:len(message)/2])
	f.Add(append(bytes.Clone(message), message...))
	f.Add(bytes.ReplaceAll(message, []byte("State"), []byte("Stake")))
	server, err := peer.Listen(anyPort, new(handler))
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(server.Stop)
	// This connection stays open during the whole test: it must not end when another one does.
	persistent, err := rpc.Dial("tcp", server.Address().String())
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { persistent.Close() })
	f.Fuzz(func(t *testing.T, data []byte) {
		g := NewWithT(t)
		sendRaw(g, server.Address(), data)
		var answer peer.StateAnswer
		g.Expect(persistent.Call("Peer.State", peer.StateRequest{Header: peer.Header{Logical: 7}}, &answer)).To(Succeed())
		g.Expect(answer.Logical).To(Equal(uint64(7)))
	})
}

// sendRaw sends the bytes on a new connection and waits until the server has closed it.
func sendRaw(g *WithT, address netip.AddrPort, data []byte) {
	conn, err := net.Dial("tcp", address.String())
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	g.Expect(conn.SetDeadline(time.Now().Add(waitTimeout))).To(Succeed())
	// Both calls fail if the server closes the connection before it has read everything.
	_, _ = conn.Write(data)
	_ = conn.(*net.TCPConn).CloseWrite()
	_, err = io.Copy(io.Discard, conn)
	var timeout net.Error
	if errors.As(err, &timeout) {
		g.Expect(timeout.Timeout()).To(BeFalse(), "the server left the connection open")
	}
}
