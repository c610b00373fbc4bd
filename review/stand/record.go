package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record collects what was sent, answered and run, and writes it to a file.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	// reachedBy and ranBy list the servers that a request reached and that ran it.
	reachedBy, ranBy map[string][]string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f, reachedBy: map[string][]string{}, ranBy: map[string][]string{}}, nil
}

// line writes one line with the time since the start.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

// write is line with r.mu held.
func (r *record) write(format string, args ...any) {
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// reached records that a request reached a server that does not refuse it.
func (r *record) reached(id, server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reachedBy[id] = append(r.reachedBy[id], server)
	r.write("server %s gets request %s", server, id)
}

// ran records that a server began to run a request.
func (r *record) ran(id, server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := len(r.ranBy[id]); n > 0 && r.ranBy[id][n-1] == server {
		return
	}
	r.ranBy[id] = append(r.ranBy[id], server)
	r.write("server %s runs request %s", server, id)
}

// wasReached reports whether a request reached a server.
func (r *record) wasReached(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.reachedBy[id]) > 0
}

func (r *record) close() { _ = r.file.Close() }
