// Package events reads the events of an answer and joins the answers of several
// runs of a request into one.
//
// It imports the standard library. Package front passes on what it returns.
package events

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/go-faster/errors"
)

// Errors of this package.
var (
	// ErrOutOfOrder means that an event is missing: what follows belongs to no
	// answer that may be passed on.
	ErrOutOfOrder = errors.New("flow: event out of order")
	// ErrTruncated means that the answer broke off, perhaps inside an event.
	ErrTruncated = errors.New("flow: answer cut")
	// ErrMalformed means that bytes are not an event.
	ErrMalformed = errors.New("flow: not an event")
)

// maxEventBytes bounds one event in bytes.
const maxEventBytes = 64 << 10

// Reader reads whole events.
type Reader struct {
	source *bufio.Reader
	// lastID is the ID of the last event returned.
	lastID int
	// eventsRead is how many events were read, repeats among them.
	eventsRead int
	event      []byte
}

// NewReader returns a reader of the answer of one run that begins after the
// event with the ID last.
func NewReader(body io.Reader, size, last int) *Reader {
	return &Reader{source: bufio.NewReaderSize(body, size), lastID: last}
}

// LastID is the ID of the last event returned.
func (r *Reader) LastID() int { return r.lastID }

// EventsRead is how many events this run has brought.
func (r *Reader) EventsRead() int { return r.eventsRead }

// Buffered is how many bytes can be read without waiting.
func (r *Reader) Buffered() int { return r.source.Buffered() }

// Next returns the next event, whole, up to and with its empty line. An event
// that was returned before is skipped: a run may begin with the last event
// again. The bytes are valid until the next call. At a proper end it returns
// io.EOF.
func (r *Reader) Next() ([]byte, error) {
	for {
		if err := r.readEvent(); err != nil {
			return nil, err
		}
		id, ok, err := eventID(r.event)
		if err != nil {
			return nil, err
		}
		r.eventsRead++
		if !ok {
			return r.event, nil
		}
		switch {
		case id <= r.lastID:
			continue
		case id > r.lastID+1:
			return nil, errors.Wrapf(ErrOutOfOrder, "event %d after %d", id, r.lastID)
		}
		r.lastID = id
		return r.event, nil
	}
}

func (r *Reader) readEvent() error {
	r.event = r.event[:0]
	for {
		line, err := r.source.ReadSlice('\n')
		r.event = append(r.event, line...)
		switch {
		case err == io.EOF && len(r.event) == 0:
			return io.EOF
		case errors.Is(err, bufio.ErrBufferFull):
			if len(r.event) > maxEventBytes {
				return errors.Wrap(ErrMalformed, "too long")
			}
			continue
		case err != nil:
			return errors.Wrap(ErrTruncated, err.Error())
		case len(r.event) > maxEventBytes:
			return errors.Wrap(ErrMalformed, "too long")
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && endsWithBlankLine(r.event) {
			return nil
		}
	}
}

// endsWithBlankLine reports whether the event ends with an empty line.
func endsWithBlankLine(event []byte) bool {
	return len(event) <= 2 || bytes.HasSuffix(event, []byte("\n\n")) || bytes.HasSuffix(event, []byte("\n\r\n"))
}

var idField = []byte("id:")

// eventID returns the ID of an event; ok is false if it has none.
func eventID(event []byte) (id int, ok bool, err error) {
	for line := range bytes.Lines(event) {
		rest, found := bytes.CutPrefix(line, idField)
		if !found {
			continue
		}
		id, err := strconv.Atoi(string(bytes.TrimSpace(rest)))
		if err != nil || id < 0 {
			return 0, false, errors.Wrap(ErrMalformed, "id is not a count")
		}
		return id, true, nil
	}
	return 0, false, nil
}
