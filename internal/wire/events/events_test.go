package events_test

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"fulmarwick/internal/wire/events"

	"github.com/go-faster/errors"
	"pgregory.net/rapid"
)

const bufferBytes = 64

func newEvent(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id) }

func newEvents(from, to int) string {
	var b strings.Builder
	for id := from; id <= to; id++ {
		b.WriteString(newEvent(id))
	}
	return b.String()
}

// readAll returns all events after lastID, the ID of the last event, and the final error.
func readAll(body string, lastID int) (string, int, error) {
	r := events.NewReader(strings.NewReader(body), bufferBytes, lastID)
	var b strings.Builder
	for {
		e, err := r.Next()
		if err != nil {
			return b.String(), r.LastID(), err
		}
		b.Write(e)
	}
}

func TestNext(t *testing.T) {
	long := "id: 1\ndata: " + strings.Repeat("x", 3*bufferBytes) + "\n\n"
	tests := []struct {
		name string
		body string
		last int
		want string
		end  error
	}{
		{"complete", newEvents(1, 3), 0, newEvents(1, 3), io.EOF},
		{"starts where the previous run ended", newEvents(4, 5), 3, newEvents(4, 5), io.EOF},
		{"repeats known events", newEvents(2, 5), 3, newEvents(4, 5), io.EOF},
		{"skips an event", newEvent(1) + newEvent(3), 0, newEvent(1), events.ErrOutOfOrder},
		{"ends inside an event", newEvent(1) + "id: 2\ndata: pi", 0, newEvent(1), events.ErrTruncated},
		{"ends before the empty line", newEvent(1) + "id: 2\ndata: piece 2\n", 0, newEvent(1), events.ErrTruncated},
		{"is longer than the buffer", long, 0, long, io.EOF},
		{"has a line before the id", "weight-versions: 2\n" + newEvent(1), 0, "weight-versions: 2\n" + newEvent(1), io.EOF},
		{"has carriage returns", "id: 1\r\ndata: a\r\n\r\n", 0, "id: 1\r\ndata: a\r\n\r\n", io.EOF},
		{"id is not a number", "id: x\ndata: a\n\n", 0, "", events.ErrMalformed},
		{"never ends", strings.Repeat("x", 70<<10), 0, "", events.ErrMalformed},
		{"is empty", "", 7, "", io.EOF},
	}
	for _, test := range tests {
		got, _, err := readAll(test.body, test.last)
		if got != test.want || !errors.Is(err, test.end) {
			t.Errorf("%s: got %q and %v, want %q and %v", test.name, got, err, test.want, test.end)
		}
	}
}

// A stream breaks off at any byte of any run, and the next run starts at some event that
// the caller may have already. The caller must still read the complete answer: no event
// may be missing, duplicated or truncated.
func TestResumedRunsHaveNoGapsOrDuplicates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "events")
		var got strings.Builder
		last := 0
		for range rapid.IntRange(0, 6).Draw(t, "runs") {
			body := newEvents(rapid.IntRange(1, last+1).Draw(t, "from"), n)
			part, at, _ := readAll(body[:rapid.IntRange(0, len(body)).Draw(t, "cut")], last)
			got.WriteString(part)
			last = at
		}
		part, _, err := readAll(newEvents(last+1, n), last)
		got.WriteString(part)
		if !errors.Is(err, io.EOF) || got.String() != newEvents(1, n) {
			t.Fatalf("got %q and %v, want %q", got.String(), err, newEvents(1, n))
		}
	})
}

func FuzzNext(f *testing.F) {
	f.Add(newEvents(1, 3), 0)
	f.Add("id: 9\n\n\n\n", 8)
	f.Fuzz(func(t *testing.T, body string, last int) {
		got, at, err := readAll(body, max(0, last))
		if err == nil || len(got) > len(body) || at < max(0, last) {
			t.Errorf("got %d of %d bytes up to event %d and %v, want at most the body, no earlier event and an error", len(got), len(body), at, err)
		}
	})
}

// Guards against a stream of events that never goes on: events without an ID, or events that were
// delivered before, keep a request and its caller for all of the time that they have.
func TestStreamThatNeverGoesOnIsMalformed(t *testing.T) {
	for name, test := range map[string]struct {
		event  string
		lastID int
	}{
		"no id":         {"data: x\n\n", 0},
		"comments":      {": ping\n\n", 3},
		"empty lines":   {"\n", 0},
		"repeated":      {"id: 2\ndata: x\n\n", 3},
		"repeated, new": {"id: 0\ndata: x\n\n", 0},
	} {
		t.Run(name, func(t *testing.T) {
			source := strings.NewReader(strings.Repeat(test.event, 100_000))
			r := events.NewReader(source, 2<<10, test.lastID)
			var err error
			for err == nil {
				_, err = r.Next()
			}
			if !errors.Is(err, events.ErrMalformed) {
				t.Errorf("got %v, want malformed", err)
			}
			if read := int(source.Size()) - source.Len(); read > 72<<10 {
				t.Errorf("got %d bytes read, want 72 KiB at most", read)
			}
		})
	}
}

// Guards against bytes that are no part of a stream and come before it breaks off: they must not be
// forwarded. Events without an ID inside a complete stream must be.
func TestUnnumberedEventsAreHeldBack(t *testing.T) {
	for name, test := range map[string]struct {
		stream, want string
		complete     bool
	}{
		"between": {newEvent(1) + ": ping\n\n" + newEvent(2), newEvent(1) + ": ping\n\n" + newEvent(2), true},
		"last":    {newEvent(1) + "data: end\n\n", newEvent(1) + "data: end\n\n", true},
		"broken":  {newEvent(1) + "data: x\n\ndata: y", newEvent(1), false},
		"endless": {newEvent(1) + strings.Repeat("data: x\n\n", 20_000), newEvent(1), false},
	} {
		t.Run(name, func(t *testing.T) {
			r := events.NewReader(strings.NewReader(test.stream), bufferBytes, 0)
			r.HoldUnnumbered = true
			var got strings.Builder
			event, err := r.Next()
			for ; err == nil; event, err = r.Next() {
				got.Write(event)
			}
			if got.String() != test.want || errors.Is(err, io.EOF) != test.complete {
				t.Errorf("got %q and %v, want %q, complete %t", got.String(), err, test.want, test.complete)
			}
		})
	}
}
