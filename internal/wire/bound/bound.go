// Package bound limits how many bytes are read where the sender alone decides when they end: the head of
// a response, or a body that is skipped or kept in memory. A faulty upstream or caller may send without end.
//
// It imports the standard library and the errors library. Packages client, guard, peer and relay
// read through it.
package bound

import (
	"io"
	"net"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// MaxHeadBytes limits the status line and headers of a response.
const MaxHeadBytes = 64 << 10

// ErrTooLong means that more bytes came than a response may have.
var ErrTooLong = errors.New("bound: response too long")

// Conn is a connection of which a limited number of bytes can be read at a time. Only one goroutine may
// read from it and change the limit.
type Conn struct {
	net.Conn
	limited bool
	left    int
}

// Limit allows n more bytes to be read.
func (c *Conn) Limit(n int) { c.limited, c.left = true, n }

// Unlimit ends the limit.
func (c *Conn) Unlimit() { c.limited = false }

// Read reads from the connection. It returns ErrTooLong once the limit is reached.
func (c *Conn) Read(p []byte) (int, error) {
	if !c.limited {
		return c.Conn.Read(p)
	}
	if c.left <= 0 {
		return 0, errors.Wrap(ErrTooLong, "head or skipped body")
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, err
}

// Memory limits the bytes of bodies that are in memory at the same time. A nil Memory has no limit.
type Memory struct {
	// Max is the limit in bytes; zero means none.
	Max  int64
	used atomic.Int64
}

// Used returns how many bytes are in memory.
func (m *Memory) Used() int64 { return m.used.Load() }

func (m *Memory) take(n int64) bool {
	if m == nil || m.Max == 0 {
		return true
	}
	if m.used.Add(n) > m.Max {
		m.used.Add(-n)
		return false
	}
	return true
}

func (m *Memory) release(n int64) {
	if m != nil && m.Max > 0 {
		m.used.Add(-n)
	}
}

// minBuffer is the size of the first buffer of a body in bytes.
const minBuffer = 1 << 10

// ReadAll reads a body of at most maxBytes. The bytes count in m until release is called, which must be
// called also after an error. It returns ErrTooLong if the body or all bodies together are too long.
func (m *Memory) ReadAll(body io.Reader, maxBytes int) (data []byte, release func(), err error) {
	taken := int64(0)
	data, err = ReadAll(body, maxBytes, func(n int64) bool {
		ok := m.take(n)
		if ok {
			taken += n
		}
		return ok
	})
	return data, func() { m.release(taken) }, err
}

// ReadAll reads a body of at most maxBytes. It calls take before it takes more memory. It returns ErrTooLong
// if the body is too long or take returns false.
func ReadAll(body io.Reader, maxBytes int, take func(n int64) bool) ([]byte, error) {
	var data []byte
	for {
		if len(data) == cap(data) {
			grown := min(max(minBuffer, 2*cap(data)), maxBytes+1)
			if !take(int64(grown - cap(data))) {
				return nil, errors.Wrapf(ErrTooLong, "no memory for more than %d bytes", len(data))
			}
			data = append(make([]byte, 0, grown), data...)
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case len(data) > maxBytes:
			return nil, errors.Wrapf(ErrTooLong, "more than %d bytes", maxBytes)
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, err
		}
	}
}
