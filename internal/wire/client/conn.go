// Package client makes single HTTP exchanges with upstreams. Each request is
// written once and never again by itself, and an answer counts only if it is
// for this request.
//
// It imports the standard library. Packages front and edge use it for plain
// services and for engines.
package client

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// Errors of this package.
var (
	// ErrDial means that no connection came about: the request has not left.
	ErrDial = errors.New("send: no connection")
	// ErrWrite means that the connection broke while the request was written;
	// a part of it, or all, may have arrived.
	ErrWrite = errors.New("send: request cut")
	// ErrRead means that no answer came that is one: the request may have run.
	ErrRead = errors.New("send: no answer")
)

const (
	// readBufferBytes holds the head of an answer, or a few events, in bytes.
	readBufferBytes = 2 << 10
	// maxSkippedResponses is how many answers to other requests are skipped on one
	// connection before it is given up.
	maxSkippedResponses = 3
)

// Conn is a connection to an upstream that serves one request at a time.
type Conn struct {
	Address string

	conn      net.Conn
	reader    *bufio.Reader
	reused    bool
	idleSince time.Time
}

// Reused reports whether the connection has served a request before, so that
// the upstream may have closed it meanwhile.
func (c *Conn) Reused() bool { return c.reused }

// Close ends the connection; the upstream drops the request that it serves.
func (c *Conn) Close() { _ = c.conn.Close() }

// SetReadDeadline bounds the next reads; the zero time does not.
func (c *Conn) SetReadDeadline(t time.Time) { _ = c.conn.SetReadDeadline(t) }

// Request is one request in wire form.
type Request struct {
	Method string
	// Path is the path and query as the caller sent them.
	Path   string
	Host   string
	Header http.Header
	Body   []byte
}

// WriteRequest sends the request in one piece.
func (c *Conn) WriteRequest(r *Request, until time.Time) error {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Path)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	if err := r.Header.Write(&b); err != nil {
		return errors.Wrap(ErrDial, err.Error())
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	_ = c.conn.SetWriteDeadline(until)
	if _, err := c.conn.Write(b.Bytes()); err != nil {
		return errors.Wrap(ErrWrite, err.Error())
	}
	return nil
}

// ReadResponse returns the head of the answer that mine accepts. A second answer to an
// earlier request may lie where this one's answer is due; it is skipped.
func (c *Conn) ReadResponse(method string, mine func(*http.Response) bool) (*http.Response, error) {
	for range maxSkippedResponses {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, errors.Wrap(ErrRead, err.Error())
		}
		if resp.StatusCode < http.StatusOK && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if mine(resp) {
			return resp, nil
		}
		if closesConn(resp) {
			break
		}
		if err := resp.Body.Close(); err != nil {
			break
		}
	}
	return nil, errors.Wrap(ErrRead, "answer of another request")
}

// closesConn reports whether the connection ends with an answer.
func closesConn(resp *http.Response) bool {
	return resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// isOpenAndEmpty reports whether an idle connection is still open with nothing to read.
// Whatever lies there belongs to no request that will be sent on it.
func (c *Conn) isOpenAndEmpty() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// dial opens a connection.
func (p *Pool) dial(ctx context.Context, address string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.DialTimeout)
	defer cancel()
	open := p.Dial
	if open == nil {
		open = (&net.Dialer{KeepAlive: -1}).DialContext
	}
	n, err := open(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(ErrDial, err.Error())
	}
	return &Conn{Address: address, conn: n, reader: bufio.NewReaderSize(n, readBufferBytes), idleSince: time.Now()}, nil
}
