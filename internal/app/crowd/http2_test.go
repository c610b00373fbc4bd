package crowd_test

import (
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
)

// Types and flags of HTTP/2 frames.
const (
	frameHeaders      = 1
	frameReset        = 3
	frameSettings     = 4
	frameContinuation = 9
	flagEndStream     = 1
	flagEndHeaders    = 4
)

// preface begins an HTTP/2 connection without TLS.
const preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

// frame returns an HTTP/2 frame.
func frame(kind, flags byte, stream uint32, payload string) string {
	head := binary.BigEndian.AppendUint32(nil, uint32(len(payload))<<8|uint32(kind))
	head = binary.BigEndian.AppendUint32(append(head, flags), stream)
	return string(head) + payload
}

// field returns a header field that is not indexed. Name and value are shorter than 127 bytes.
func field(name, value string) string {
	return "\x00" + string(rune(len(name))) + name + string(rune(len(value))) + value
}

// Guards against memory that bodies take which stay open on many streams of a few connections.
func TestOpenBodiesOnStreams(t *testing.T) {
	const connections, streams = 4, 100
	s := startServe(t)
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	var sent sync.WaitGroup
	for range connections {
		transport := &http.Transport{Protocols: protocols}
		t.Cleanup(transport.CloseIdleConnections)
		for range streams {
			sent.Add(1)
			body := &openBody{Reader: strings.NewReader(strings.Repeat("x", bodyLimit-1)), sent: sync.OnceFunc(sent.Done), closed: make(chan struct{})}
			t.Cleanup(body.end)
			go s.sendOpen(t, transport, body)
		}
	}
	sent.Wait()
	s.awaitRead()
	s.checkServed()
	s.checkBounds()
}

// sendOpen sends a request with a body that stays open.
func (s *system) sendOpen(t *testing.T, transport *http.Transport, body *openBody) {
	defer body.sent()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.callers+s.path, body)
	if err != nil {
		return
	}
	for line := range strings.SplitSeq(strings.TrimSpace(s.headers), "\r\n") {
		name, value, _ := strings.Cut(line, ": ")
		req.Header.Set(name, value)
	}
	if resp, err := transport.RoundTrip(req); err == nil {
		_ = resp.Body.Close()
	}
}

// openBody is a body that stays open after its last byte.
type openBody struct {
	io.Reader
	// sent is called once all bytes were read.
	sent   func()
	once   sync.Once
	closed chan struct{}
}

// Read reads from the body.
func (b *openBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		b.sent()
		<-b.closed
	}
	return n, err
}

// Close ends the body.
func (b *openBody) Close() error {
	b.end()
	return nil
}

func (b *openBody) end() { b.once.Do(func() { close(b.closed) }) }

// Guards against memory that header blocks without end take.
func TestHeaderBlocksWithoutEnd(t *testing.T) {
	s := startServe(t)
	lines := strings.Repeat(field("x", strings.Repeat("y", 100)), 150)
	s.checkCrowd(200, preface, frame(frameSettings, 0, 0, ""), frame(frameHeaders, 0, 1, lines), strings.Repeat(frame(frameContinuation, 0, 1, lines), 64))
}

// Guards against memory and time that streams take which are reset at once.
func TestStreamsThatAreReset(t *testing.T) {
	s := startServe(t)
	// Indexed fields: POST, http, the path /.
	request := "\x83\x86\x84" + field("authorization", "Bearer none")
	var streams strings.Builder
	for n := range uint32(5000) {
		streams.WriteString(frame(frameHeaders, flagEndHeaders, 2*n+1, request))
		streams.WriteString(frame(frameReset, 0, 2*n+1, "\x00\x00\x00\x08"))
	}
	s.crowd(s.callers, 100, func(c net.Conn) {
		go func() { _, _ = io.Copy(io.Discard, c) }()
		write(c, preface, frame(frameSettings, 0, 0, ""), streams.String())
	})
	s.checkServed()
	s.checkBounds()
}

// Guards against a stop that waits for open bodies on streams.
func TestStopBesideOpenStreams(t *testing.T) {
	s := startServe(t)
	request := "\x83\x86" + field(":path", s.path) + field("authorization", "Bearer trial-key") + field("idempotency-key", "crowd")
	s.crowd(s.callers, 100, func(c net.Conn) {
		write(c, preface, frame(frameSettings, 0, 0, ""), frame(frameHeaders, flagEndHeaders, 1, request))
	})
	s.checkStop()
}
