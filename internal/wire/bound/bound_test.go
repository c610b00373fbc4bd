package bound_test

import (
	"io"
	"strings"
	"testing"

	"fulmarwick/internal/wire/bound"

	"github.com/go-faster/errors"
)

// endless is a body without end.
type endless struct{ read int }

func (e *endless) Read(p []byte) (int, error) {
	e.read += len(p)
	return len(p), nil
}

// Guards against bodies without end that use up the memory of an instance, one alone or many together.
func TestEndlessBodiesAreBoundedTogether(t *testing.T) {
	m := &bound.Memory{Max: 1 << 20}
	var held []func()
	failed := 0
	for range 16 {
		body := &endless{}
		_, release, err := m.ReadAll(io.LimitReader(body, 200<<10), 8<<20)
		held = append(held, release)
		if err != nil {
			failed++
		}
		if m.Used() > m.Max {
			t.Fatalf("got %d bytes in memory, want %d at most", m.Used(), m.Max)
		}
	}
	if failed == 0 || failed == len(held) {
		t.Errorf("got %d of %d bodies refused, want some", failed, len(held))
	}
	for _, release := range held {
		release()
	}
	if got := m.Used(); got != 0 {
		t.Errorf("got %d bytes in memory after all were released, want none", got)
	}
	body := &endless{}
	_, release, err := m.ReadAll(body, 100<<10)
	release()
	if !errors.Is(err, bound.ErrTooLong) || body.read > 128<<10 {
		t.Errorf("got %v after %d bytes, want too long after 100 KiB", err, body.read)
	}
}

// Guards against bodies that are cut or refused though they fit.
func TestBodyWithinLimitIsWhole(t *testing.T) {
	for _, n := range []int{0, 1, 800, 1024, 5000, 8 << 10} {
		var m *bound.Memory
		data, release, err := m.ReadAll(strings.NewReader(strings.Repeat("x", n)), 8<<10)
		release()
		if len(data) != n || err != nil {
			t.Errorf("got %d bytes (%v), want %d", len(data), err, n)
		}
	}
}
