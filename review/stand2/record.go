package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the record of a case: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
	// broken are the breaks of the rule.
	broken []string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

// note writes a line.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

func (r *record) write(format string, args ...any) {
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// run records that an engine began to work on a request.
func (r *record) run(id, engine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write("%s run by %s", id, engine)
}

// breaks records a break of the rule.
func (r *record) breaks(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	r.broken = append(r.broken, text)
	r.write("BROKEN: %s", text)
}

// count returns how often the rule was broken.
func (r *record) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.broken)
}
