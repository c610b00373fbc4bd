package client_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"fulmarwick/internal/wire/client"

	"github.com/go-faster/errors"
)

// startServer serves each connection with script until the test ends.
func startServer(t *testing.T, script func(net.Conn, *bufio.Reader)) string {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				script(c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

func newRequest() *client.Request {
	return &client.Request{Method: http.MethodPost, Path: "/x?a=1", Host: "h.example", Header: http.Header{"Id": {"mine"}}, Body: []byte("body")}
}

func isOwnResponse(resp *http.Response) bool { return resp.Header.Get("Id") == "mine" }

func getConn(t *testing.T, p *client.Pool, address string, forceNew bool) *client.Conn {
	t.Helper()
	c, err := p.Get(context.Background(), address, forceNew)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func writeResponse(w io.Writer, id string) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\n%s", id, id[:2])
}

func writeDeadline() time.Time { return time.Now().Add(10 * time.Second) }

// A reused connection still holds a second response to the previous request. The caller
// must get the response to its own request.
func TestResponseToEarlierRequestIsSkipped(t *testing.T) {
	address := startServer(t, func(c net.Conn, r *bufio.Reader) {
		for n := 0; ; n++ {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			if n > 0 {
				writeResponse(c, "late")
			}
			writeResponse(c, "mine")
		}
	})
	p := &client.Pool{DialTimeout: time.Second}
	for n := range 2 {
		c := getConn(t, p, address, false)
		if got, want := c.Reused(), n > 0; got != want {
			t.Errorf("got reused %v, want %v", got, want)
		}
		if err := c.WriteRequest(newRequest(), writeDeadline()); err != nil {
			t.Fatal(err)
		}
		resp, err := c.ReadResponse(http.MethodPost, isOwnResponse)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := io.ReadAll(resp.Body); string(got) != "mi" || err != nil {
			t.Errorf("got %q and %v, want mi", got, err)
		}
		p.Put(c)
	}
}

// A service reads a payment request and breaks the connection. The caller must get an
// error and the service must see the request only once: the client must not retry it.
func TestRequestIsWrittenOnce(t *testing.T) {
	var seen atomic.Int32
	address := startServer(t, func(_ net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		if string(body) == "body" && req.RequestURI == "/x?a=1" && req.Host == "h.example" {
			seen.Add(1)
		}
	})
	c := getConn(t, &client.Pool{DialTimeout: time.Second}, address, true)
	if err := c.WriteRequest(newRequest(), writeDeadline()); err != nil {
		t.Fatal(err)
	}
	if _, err := c.ReadResponse(http.MethodPost, isOwnResponse); !errors.Is(err, client.ErrRead) {
		t.Errorf("got %v, want ErrRead", err)
	}
	if got := seen.Load(); got != 1 {
		t.Errorf("got %d requests at the service, want 1", got)
	}
}

// An idle connection that the upstream closed, or that holds bytes of no response, must
// not be reused.
func TestUnusableIdleConnectionIsDiscarded(t *testing.T) {
	for name, end := range map[string]string{"closed": "", "more bytes": "junk"} {
		ready := make(chan struct{}, 1)
		address := startServer(t, func(c net.Conn, r *bufio.Reader) {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			writeResponse(c, "mine")
			_, _ = io.WriteString(c, end)
			if end == "" {
				_ = c.Close()
			}
			ready <- struct{}{}
			_, _ = r.ReadByte()
		})
		p := &client.Pool{DialTimeout: time.Second}
		c := getConn(t, p, address, false)
		if err := c.WriteRequest(newRequest(), writeDeadline()); err != nil {
			t.Fatal(err)
		}
		resp, err := c.ReadResponse(http.MethodPost, isOwnResponse)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		<-ready
		p.Put(c)
		// The close of the connection takes a moment to arrive over loopback.
		var got *client.Conn
		for range 200 {
			if got = getConn(t, p, address, false); !got.Reused() {
				break
			}
			p.Put(got)
		}
		if got.Reused() {
			t.Errorf("%s: got the old connection, want a new one", name)
		}
		got.Close()
	}
}

func TestRefusedConnectionIsDialError(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	_, err = (&client.Pool{DialTimeout: time.Second}).Get(context.Background(), l.Addr().String(), false)
	if !errors.Is(err, client.ErrDial) {
		t.Errorf("got %v, want ErrDial", err)
	}
}
