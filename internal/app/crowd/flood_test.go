package crowd_test

import (
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
)

// framePing is the type of an HTTP/2 frame that asks for an answer.
const framePing = 6

// noWindow is a setting after which no answer may have a body.
const noWindow = "\x00\x04\x00\x00\x00\x00"

// Guards against memory that streams take whose answers are not read, and against a stop that waits for them.
func TestAnswersOnStreamsThatAreNotRead(t *testing.T) {
	s := startServe(t)
	var member atomic.Int64
	s.crowd(s.callers, 300, func(c net.Conn) {
		var streams strings.Builder
		for n, id := member.Add(1), uint32(1); id < 400; id += 2 {
			request := "\x83\x86" + field(":path", s.path) + field("authorization", "Bearer trial-key") + field("idempotency-key", fmt.Sprintf("crowd-%d-%d", n, id))
			streams.WriteString(frame(frameHeaders, flagEndHeaders|flagEndStream, id, request))
		}
		write(c, preface, frame(frameSettings, 0, 0, noWindow), streams.String())
	})
	s.checkServed()
	s.checkBounds()
	s.checkStop()
}

// Guards against memory that the answers to pings take.
func TestPings(t *testing.T) {
	s := startServe(t)
	s.checkCrowd(200, preface, frame(frameSettings, 0, 0, ""), strings.Repeat(frame(framePing, 0, 0, "12345678"), 20_000))
}

// Guards against memory that the answers to settings take.
func TestSettings(t *testing.T) {
	s := startServe(t)
	s.checkCrowd(200, preface, strings.Repeat(frame(frameSettings, 0, 0, noWindow), 20_000))
}
