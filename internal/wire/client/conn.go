// Package client is an HTTP client with a connection pool for requests to upstreams.
// Each request is written once and never retried automatically, and a response is
// accepted only if it belongs to the request.
//
// It imports wire/bound. Packages relay and edge use it for plain services
// and for engines.
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

	"fulmarwick/internal/wire/bound"

	"github.com/go-faster/errors"
)

// Errors of this package.
var (
	// ErrDial means that no connection was established: the request was not sent.
	ErrDial = errors.New("client: no connection")
	// ErrDialTimeout is an ErrDial: the address neither accepted nor refused the connection in time.
	ErrDialTimeout = errors.Wrap(ErrDial, "no answer in time")
	// ErrWrite means that the connection broke while the request was written: a part
	// of the request, or all of it, may have arrived.
	ErrWrite = errors.New("client: request not fully written")
	// ErrRead means that no valid response was received: the request may have run.
	ErrRead = errors.New("client: no valid response")
)

const (
	// readBufferBytes is the size of the read buffer in bytes: it holds the headers of
	// a response, or a few events.
	readBufferBytes = 2 << 10
	// maxSkippedResponses is how many responses to other requests are skipped on one
	// connection before the connection is abandoned.
	maxSkippedResponses = 3
	// maxSkippedBytes limits the body of a response that is skipped.
	maxSkippedBytes = 1 << 20
)

// Conn is a connection to an upstream. It serves one request at a time.
type Conn struct {
	Address string

	conn      *bound.Conn
	reader    *bufio.Reader
	reused    bool
	idleSince time.Time
}

// Reused reports whether the connection served a request before. The upstream may
// have closed such a connection in the meantime.
func (c *Conn) Reused() bool { return c.reused }

// Close closes the connection; the upstream then drops the request in progress.
func (c *Conn) Close() { _ = c.conn.Close() }

// SetReadDeadline sets the deadline of the next reads; the zero time means none.
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

// WriteRequest sends the request in a single write.
func (c *Conn) WriteRequest(r *Request, deadline time.Time) error {
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
	_ = c.conn.SetWriteDeadline(deadline)
	if _, err := c.conn.Write(b.Bytes()); err != nil {
		return errors.Wrap(ErrWrite, err.Error())
	}
	return nil
}

// ReadResponse reads the status and headers of the response that accept returns true
// for. A second response to an earlier request may precede the expected response; it is
// skipped. Bytes without end are ErrRead.
func (c *Conn) ReadResponse(method string, accept func(*http.Response) bool) (*http.Response, error) {
	defer c.conn.Unlimit()
	for range maxSkippedResponses {
		c.conn.Limit(bound.MaxHeadBytes)
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, errors.Wrap(ErrRead, err.Error())
		}
		if resp.StatusCode < http.StatusOK && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if accept(resp) {
			return resp, nil
		}
		if closesConn(resp) {
			break
		}
		c.conn.Limit(maxSkippedBytes)
		if err := resp.Body.Close(); err != nil {
			break
		}
	}
	return nil, errors.Wrap(ErrRead, "response to another request")
}

// closesConn reports whether the connection ends with the response.
func closesConn(resp *http.Response) bool {
	return resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// isOpenAndEmpty reports whether an idle connection is still open and has no bytes to
// read. Such bytes cannot belong to a request that is yet to be sent on it.
func (c *Conn) isOpenAndEmpty() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	syscallConn, ok := c.conn.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// dial opens a new connection to address.
func (p *Pool) dial(ctx context.Context, address string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.DialTimeout)
	defer cancel()
	dial := p.Dial
	if dial == nil {
		dial = (&net.Dialer{KeepAlive: -1}).DialContext
	}
	conn, err := dial(ctx, "tcp", address)
	if err != nil && ctx.Err() != nil {
		return nil, errors.Wrap(ErrDialTimeout, err.Error())
	}
	if err != nil {
		return nil, errors.Wrap(ErrDial, err.Error())
	}
	limited := &bound.Conn{Conn: conn}
	return &Conn{Address: address, conn: limited, reader: bufio.NewReaderSize(limited, readBufferBytes), idleSince: time.Now()}, nil
}
