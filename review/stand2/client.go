package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// outcome is how an attempt of a client ended.
type outcome struct {
	id     string
	status int
	seal   string
	head   http.Header
	body   []byte
	// err is set if no complete answer came.
	err error
	// closes means that the connection ends with the answer.
	closes bool
	took   time.Duration
}

func (o outcome) String() string {
	if o.err != nil {
		return fmt.Sprintf("%s no complete answer after %.3f s: %v (status %d, %d bytes)", o.id, o.took.Seconds(), o.err, o.status, len(o.body))
	}
	return fmt.Sprintf("%s answered %d after %.3f s, seal %q, %d bytes", o.id, o.status, o.took.Seconds(), o.seal, len(o.body))
}

// request is one attempt of a client.
type request struct {
	id, method, path string
	body             []byte
	deadline         time.Duration
	head             map[string]string
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// clientConn is a connection of a client.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

func dial(address string) (*clientConn, error) {
	d := net.Dialer{Timeout: time.Second}
	c, err := d.DialContext(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: c, reader: bufio.NewReader(c)}, nil
}

// send sends a request.
func (c *clientConn) send(r request) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", r.method, r.path, host, r.id, r.deadline.Milliseconds())
	if r.head["X-Api-Key"] == "" {
		fmt.Fprintf(&b, "X-Api-Key: %s\r\n", key)
	}
	for k, v := range r.head {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	if r.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n")
	b.Write(r.body)
	_ = c.SetDeadline(time.Now().Add(r.deadline + time.Second))
	_, err := c.Write(b.Bytes())
	return err
}

// do sends a request and reads the answer.
func (c *clientConn) do(r request) outcome {
	start := time.Now()
	o := outcome{id: r.id}
	defer func() { o.took = time.Since(start) }()
	if o.err = c.send(r); o.err != nil {
		return o
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		o.err = err
		o.took = time.Since(start)
		return o
	}
	defer func() { _ = resp.Body.Close() }()
	o.status, o.seal, o.head, o.closes = resp.StatusCode, resp.Header.Get("Server-Seal"), resp.Header, resp.Close
	o.body, o.err = io.ReadAll(resp.Body)
	o.took = time.Since(start)
	return o
}
