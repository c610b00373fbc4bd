package client_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"fulmarwick/internal/wire/client"

	"github.com/go-faster/errors"
)

// maxEndlessBytes is how much of a response without end may be read: the head, and a skipped body.
const maxEndlessBytes = 2 << 20

// pipeTo returns a connection to a server that is served by a function.
func pipeTo(t testing.TB, serve func(net.Conn)) *client.Conn {
	t.Helper()
	p := &client.Pool{DialTimeout: time.Second, Dial: func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go serve(far)
		return near, nil
	}}
	c, err := p.Get(t.Context(), "pipe", true)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// Guards against upstreams that send bytes without end where a head is expected, or in a body that is
// skipped: reading them to the end takes the memory or the time of the instance.
func TestEndlessResponseIsAbandoned(t *testing.T) {
	long := bytes.Repeat([]byte("x"), 32<<10)
	for name, test := range map[string]struct{ begin, repeat string }{
		"header lines":       {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"one header":         {"HTTP/1.1 200 OK\r\nA: ", string(long)},
		"status line":        {"HTTP/1.1 200 ", string(long)},
		"no protocol":        {"", string(long)},
		"interim responses":  {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"skipped chunks":     {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"},
		"skipped body":       {"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1000000000000\r\n\r\n", string(long)},
		"skipped trailer":    {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
		"responses to other": {"", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 4\r\n\r\nbody"},
	} {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			c := pipeTo(t, func(conn net.Conn) {
				_, err := io.WriteString(conn, test.begin)
				for err == nil && written.Load() < 16*maxEndlessBytes {
					var n int
					n, err = io.WriteString(conn, test.repeat)
					written.Add(int64(n))
				}
				_ = conn.Close()
			})
			_, err := c.ReadResponse(http.MethodPost, isOwnResponse)
			if !errors.Is(err, client.ErrRead) {
				t.Errorf("got %v, want ErrRead", err)
			}
			if got := written.Load(); got > maxEndlessBytes {
				t.Errorf("got %d bytes read, want %d at most", got, maxEndlessBytes)
			}
		})
	}
}

// Guards against a limit on the head that ends the body of the response too.
func TestLongBodyIsReadWhole(t *testing.T) {
	c := pipeTo(t, func(conn net.Conn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 3000000\r\n\r\n")
		_, _ = conn.Write(make([]byte, 3000000))
	})
	resp, err := c.ReadResponse(http.MethodPost, isOwnResponse)
	if err != nil {
		t.Fatal(err)
	}
	n, err := io.Copy(io.Discard, resp.Body)
	if n != 3000000 || err != nil {
		t.Errorf("got %d bytes (%v), want 3000000", n, err)
	}
}

// FuzzReadResponse guards against bytes of an upstream that crash the reader of heads, or of which it
// reads more than a head and the bodies that it skips.
func FuzzReadResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nmi"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"))
	f.Add([]byte("\x16\x03\x01"))
	f.Fuzz(func(t *testing.T, data []byte) {
		c := pipeTo(t, func(conn net.Conn) {
			_, _ = conn.Write(data)
			_ = conn.Close()
		})
		c.SetReadDeadline(time.Now().Add(time.Second))
		resp, err := c.ReadResponse(http.MethodPost, isOwnResponse)
		if (resp == nil) != (err != nil) {
			t.Errorf("got response %v and error %v, want one of them", resp, err)
		}
	})
}
