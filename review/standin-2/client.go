package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// reply is the outcome of one request, as a caller sees it.
type reply struct {
	status    int
	signature string
	body      string
	err       error
}

// send sends one request on a connection of its own.
func send(address, method, host, path, id string, key int, deadline time.Duration) reply {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return reply{err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline))
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, host, id, deadline.Milliseconds())
	if key >= 0 {
		fmt.Fprintf(c, "Shard-Key: %d\r\n", key)
	}
	if method != http.MethodGet {
		fmt.Fprint(c, "Content-Length: 0\r\n")
	}
	if _, err := fmt.Fprint(c, "\r\n"); err != nil {
		return reply{err: err}
	}
	r, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return reply{err: err}
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	return reply{status: r.StatusCode, signature: r.Header.Get("Response-Signature"), body: string(b), err: err}
}
