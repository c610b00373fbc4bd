package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// host is the host name of all routes.
const host = "levi.example"

// request is a request of a client.
type request struct {
	id, method, path, key string
	body                  string
	headers               []string
	deadline              time.Duration
}

// outcome is what a client saw of a request.
type outcome struct {
	// status is zero if the connection ended before a whole head.
	status int
	header http.Header
	body   []byte
	// bytes is the number of bytes that came on the connection for this request.
	bytes int
	// err is why the answer is not complete.
	err error
	// kept means that the connection had carried a whole answer before.
	kept bool
	took time.Duration
}

// countingReader counts the bytes read.
type countingReader struct {
	io.Reader
	n int
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.n += n
	return n, err
}

// client sends requests one after the other on a kept connection to an instance.
type client struct {
	address string
	record  *record

	conn    net.Conn
	counter *countingReader
	reader  *bufio.Reader
	kept    bool
}

// do sends a request and reads the answer.
func (c *client) do(ctx context.Context, q request) outcome {
	start := time.Now()
	if c.conn == nil {
		if err := c.open(ctx); err != nil {
			return outcome{err: err}
		}
	}
	out := outcome{kept: c.kept}
	before := c.counter.n
	_ = c.conn.SetDeadline(time.Now().Add(q.deadline))
	c.record.line("client %s sends request %s: %s %s, connection kept: %t", c.conn.LocalAddr(), q.id, q.method, q.path, c.kept)
	_, err := io.WriteString(c.conn, q.wire())
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(c.reader, &http.Request{Method: q.method})
	}
	if err == nil {
		out.status, out.header = resp.StatusCode, resp.Header
		out.body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	out.err, out.bytes, out.took = err, c.counter.n-before, time.Since(start)
	c.record.line("client %s gets for request %s: status %d, %d bytes, error %v", c.conn.LocalAddr(), q.id, out.status, out.bytes, out.err)
	c.kept = true
	if err != nil || resp.Close {
		c.close()
	}
	return out
}

func (c *client) open(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", c.address)
	if err != nil {
		return err
	}
	c.conn, c.counter, c.kept = conn, &countingReader{Reader: conn}, false
	c.reader = bufio.NewReader(c.counter)
	return nil
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// wire returns the request as it is sent.
func (q request) wire() string {
	var b bytes.Buffer
	_, _ = fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", q.method, q.path, host, q.id, q.deadline.Milliseconds())
	if q.key != "" {
		_, _ = fmt.Fprintf(&b, "X-Api-Key: %s\r\n", q.key)
	}
	for _, h := range q.headers {
		b.WriteString(h + "\r\n")
	}
	if q.method != http.MethodGet {
		_, _ = fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	return b.String()
}
