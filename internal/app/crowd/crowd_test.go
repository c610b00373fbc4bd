// Package crowd_test runs the program in processes of its own against crowds of callers that do not behave.
package crowd_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	announced = "Content-Length: 1048576\r\n"
	chunked   = "Transfer-Encoding: chunked\r\n"
)

// chunks returns n chunks of size bytes.
func chunks(n, size int) string {
	return strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size)), n)
}

// checkCrowd fails the test unless the process stays within its bounds and serves an ordinary caller beside
// and after a crowd.
func (s *system) checkCrowd(n int, texts ...string) {
	s.t.Helper()
	s.crowd(s.callers, n, func(c net.Conn) { write(c, texts...) })
	s.checkServed()
	s.checkBounds()
}

// Guards against memory that bodies in large chunks take which stop just short of the limit.
func TestLargeChunksThatStop(t *testing.T) {
	onEach(t, func(s *system) { s.checkCrowd(200, s.head(s.path, chunked), chunks(15, 64<<10)) })
}

// Guards against memory that announced bodies take whose last byte does not come.
func TestAnnouncedBodiesThatStop(t *testing.T) {
	onEach(t, func(s *system) {
		s.checkCrowd(200, s.head(s.path, announced), strings.Repeat("x", bodyLimit-1))
	})
}

// Guards against memory that bodies in chunks of one byte take.
func TestChunksOfOneByte(t *testing.T) {
	onEach(t, func(s *system) { s.checkCrowd(400, s.head(s.path, chunked), chunks(256<<10, 1)) })
}

// Guards against memory that bodies far over the limit take, announced or just sent.
func TestBodiesFarOverTheLimit(t *testing.T) {
	onEach(t, func(s *system) {
		s.checkCrowd(100, s.head(s.path, "Content-Length: 1073741824\r\n"), strings.Repeat("x", 2*bodyLimit))
		s.checkCrowd(100, s.head(s.path, chunked), chunks(32, 64<<10))
	})
}

// Guards against memory that bodies take while their requests run, and against requests that run though
// they were refused.
func TestBodiesOfRunningRequests(t *testing.T) {
	s := startEdge(t)
	var member atomic.Int64
	var refused sync.Map
	s.crowd(s.callers, 200, func(c net.Conn) {
		id := fmt.Sprintf("held%d", member.Add(1))
		write(c, strings.Replace(s.head(heldPath, announced), "crowd", id, 1), strings.Repeat("x", bodyLimit))
		go func() {
			const refusal = "HTTP/1.1 503"
			answer := make([]byte, len(refusal))
			if _, err := io.ReadFull(c, answer); err == nil && string(answer) == refusal {
				refused.Store(id, true)
			}
		}()
	})
	s.checkServed()
	s.checkBounds()
	ran := 0
	s.held.Range(func(id, _ any) bool {
		ran++
		if _, ok := refused.Load(id); ok {
			t.Errorf("got request %s refused and run, want one of both", id)
		}
		return true
	})
	if ran == 0 {
		t.Error("got no request run, want some")
	}
	close(s.release)
}

// Guards against memory that a header line without end takes.
func TestHeaderLineWithoutEnd(t *testing.T) {
	onEach(t, func(s *system) {
		s.checkCrowd(200, "POST "+s.path+" HTTP/1.1\r\nX: ", strings.Repeat("x", 1000<<10))
	})
}

// Guards against memory that header lines without end take.
func TestHeaderLinesWithoutEnd(t *testing.T) {
	var lines strings.Builder
	for n := range 100_000 {
		_, _ = fmt.Fprintf(&lines, "x%d: y\r\n", n)
	}
	onEach(t, func(s *system) {
		s.checkCrowd(200, "POST "+s.path+" HTTP/1.1\r\n", lines.String()[:1000<<10])
	})
}

// Guards against memory that heads of many short lines take, each head just inside the limit, while their
// bodies do not come.
func TestHeadsOfShortLines(t *testing.T) {
	var lines strings.Builder
	for n := 0; lines.Len() < headLimit-512; n++ {
		_, _ = fmt.Fprintf(&lines, "%x:\r\n", n)
	}
	onEach(t, func(s *system) { s.checkCrowd(300, s.head(s.path, announced, lines.String()), "x") })
}

// Guards against memory that a request line without end takes.
func TestRequestLineWithoutEnd(t *testing.T) {
	onEach(t, func(s *system) { s.checkCrowd(200, "POST /", strings.Repeat("x", 1000<<10)) })
}

// Guards against memory and time that parts of a request take which hold nothing: empty lines before it,
// the extension of a chunk, and trailers.
func TestEmptyPartsWithoutEnd(t *testing.T) {
	onEach(t, func(s *system) {
		s.checkCrowd(100, strings.Repeat("\r\n", 500<<10))
		s.checkCrowd(100, s.head(s.path, chunked), "1;", strings.Repeat("x", 1000<<10))
		s.checkCrowd(100, s.head(s.path, chunked), chunks(1, 1), "0\r\n", strings.Repeat("x: y\r\n", 100<<10))
	})
}

// Guards against connections that say nothing and take all descriptors.
func TestSilentConnections(t *testing.T) {
	onEach(t, func(s *system) { s.checkCrowd(1500) })
}

// Guards against connections that begin a head and take all descriptors.
func TestHeadsThatStop(t *testing.T) {
	onEach(t, func(s *system) { s.checkCrowd(1500, "POST "+s.path+" HTTP/1.1\r\n") })
}

// Guards against connections that take all descriptors after they were served.
func TestIdleConnections(t *testing.T) {
	onEach(t, func(s *system) { s.checkCrowd(1500, "GET / HTTP/1.1\r\nHost: site.example\r\n\r\n") })
}

// Guards against connections to the other addresses that take all descriptors.
func TestSilentConnectionsToOtherAddresses(t *testing.T) {
	s := startEdge(t)
	s.crowd(s.ready, 800, func(net.Conn) {})
	s.crowd(s.metrics, 800, func(net.Conn) {})
	for _, url := range []string{"http://" + s.ready + "/", "http://" + s.metrics + "/metrics"} {
		if status, err := get(t, url); status != http.StatusOK {
			t.Errorf("got status %d and error %v from %s, want 200", status, err, url)
		}
	}
	s.checkServed()
	s.checkBounds()
}

// Guards against connections to the address for other instances that take all descriptors or memory.
func TestCrowdsAtTheMeshAddress(t *testing.T) {
	s := startEdge(t)
	s.crowd(s.mesh, 1500, func(net.Conn) {})
	s.checkServed()
	s.crowd(s.mesh, 200, func(c net.Conn) { write(c, "GET / HTTP/1.1\r\nX: ", strings.Repeat("x", 1000<<10)) })
	s.checkServed()
	s.checkBounds()
	s.checkStop()
}

// Guards against connections to the address for operators that take all descriptors or memory.
func TestCrowdsAtTheOperatorsAddress(t *testing.T) {
	s := startServe(t)
	s.crowd(s.operators, 1500, func(net.Conn) {})
	s.checkServed()
	s.crowd(s.operators, 200, func(c net.Conn) { write(c, "GET / HTTP/1.1\r\nX: ", strings.Repeat("x", 1000<<10)) })
	if status, err := get(t, "http://"+s.operators+"/readyz"); status != http.StatusOK {
		t.Errorf("got status %d and error %v from %s, want 200", status, err, s.operators)
	}
	s.checkServed()
	s.checkBounds()
	s.checkStop()
}

// Guards against memory that changes of the configuration take whose bodies stop, and against a stop that waits for
// them.
func TestBodiesAtTheOperatorsAddress(t *testing.T) {
	s := startServe(t)
	s.crowd(s.operators, 200, func(c net.Conn) {
		write(c, "POST /v1/config HTTP/1.1\r\nHost: site.example\r\n"+announced+"\r\n", `{"by":"`, strings.Repeat("x", bodyLimit-100))
	})
	s.checkServed()
	s.checkBounds()
	s.checkStop()
}

// Guards against memory and descriptors that callers hold who send requests in a row and read nothing.
func TestAnswersThatAreNotRead(t *testing.T) {
	onEach(t, func(s *system) {
		s.checkCrowd(200, strings.Repeat(s.head(s.path, "Content-Length: 1\r\n")+"x", 64))
	})
}

// Guards against a stop that waits for connections that say nothing.
func TestStopBesideSilentConnections(t *testing.T) {
	onEach(t, func(s *system) {
		s.crowd(s.callers, 300, func(net.Conn) {})
		s.checkStop()
	})
}

// Guards against a stop that waits for bodies that do not come.
func TestStopBesideStalledBodies(t *testing.T) {
	onEach(t, func(s *system) {
		s.crowd(s.callers, 100, func(c net.Conn) { write(c, s.head(s.path, announced), "x") })
		s.checkStop()
	})
}

// Guards against a stop that waits for bodies of which a byte comes now and then.
func TestStopBesideSlowBodies(t *testing.T) {
	onEach(t, func(s *system) {
		s.crowd(s.callers, 100, func(c net.Conn) {
			write(c, s.head(s.path, announced))
			go func() {
				for range int(2 * killAfter / (100 * time.Millisecond)) {
					if _, err := io.WriteString(c, "x"); err != nil {
						return
					}
					time.Sleep(100 * time.Millisecond)
				}
			}()
		})
		s.checkStop()
	})
}

// Guards against a stop that waits for the bodies of requests that were refused.
func TestStopBesideBodiesOfRefusedRequests(t *testing.T) {
	onEach(t, func(s *system) {
		s.crowd(s.callers, 100, func(c net.Conn) {
			write(c, "POST "+s.path+" HTTP/1.1\r\nHost: site.example\r\nContent-Length: 100\r\n\r\n")
		})
		s.checkStop()
	})
}

// Guards against a stop that waits for callers who do not read their answers.
func TestStopBesideAnswersThatAreNotRead(t *testing.T) {
	s := startEdge(t)
	s.crowd(s.callers, 50, func(c net.Conn) {
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
		_ = c.SetWriteDeadline(time.Now().Add(time.Second))
		write(c, strings.Repeat(s.head(largePath, "Content-Length: 1\r\n")+"x", 64))
	})
	s.checkServed()
	s.checkBounds()
	s.checkStop()
}
