// Package flow reads the events of an answer and joins the answers of several
// runs of a request into one.
//
// It imports the standard library. Package front passes on what it returns.
package flow

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/go-faster/errors"
)

// Errors of this package.
var (
	// ErrOrder means that an event is missing: what follows belongs to no
	// answer that may be passed on.
	ErrOrder = errors.New("flow: event out of order")
	// ErrCut means that the answer broke off, perhaps inside an event.
	ErrCut = errors.New("flow: answer cut")
	// ErrEvent means that bytes are not an event.
	ErrEvent = errors.New("flow: not an event")
)

// maxEvent bounds one event in bytes.
const maxEvent = 64 << 10

// Reader reads whole events.
type Reader struct {
	from *bufio.Reader
	// last is the ID of the last event returned.
	last int
	// seen is how many events were read, repeats among them.
	seen  int
	event []byte
}

// NewReader returns a reader of the answer of one run that begins after the
// event with the ID last.
func NewReader(body io.Reader, size, last int) *Reader {
	return &Reader{from: bufio.NewReaderSize(body, size), last: last}
}

// Last is the ID of the last event returned.
func (r *Reader) Last() int { return r.last }

// Seen is how many events this run has brought.
func (r *Reader) Seen() int { return r.seen }

// Buffered is how many bytes can be read without waiting.
func (r *Reader) Buffered() int { return r.from.Buffered() }

// Next returns the next event, whole, up to and with its empty line. An event
// that was returned before is skipped: a run may begin with the last event
// again. The bytes are valid until the next call. At a proper end it returns
// io.EOF.
func (r *Reader) Next() ([]byte, error) {
	for {
		if err := r.read(); err != nil {
			return nil, err
		}
		id, ok, err := eventID(r.event)
		if err != nil {
			return nil, err
		}
		r.seen++
		if !ok {
			return r.event, nil
		}
		switch {
		case id <= r.last:
			continue
		case id > r.last+1:
			return nil, errors.Wrapf(ErrOrder, "event %d after %d", id, r.last)
		}
		r.last = id
		return r.event, nil
	}
}

func (r *Reader) read() error {
	r.event = r.event[:0]
	for {
		line, err := r.from.ReadSlice('\n')
		r.event = append(r.event, line...)
		switch {
		case err == io.EOF && len(r.event) == 0:
			return io.EOF
		case errors.Is(err, bufio.ErrBufferFull):
			if len(r.event) > maxEvent {
				return errors.Wrap(ErrEvent, "too long")
			}
			continue
		case err != nil:
			return errors.Wrap(ErrCut, err.Error())
		case len(r.event) > maxEvent:
			return errors.Wrap(ErrEvent, "too long")
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && ended(r.event) {
			return nil
		}
	}
}

// ended reports whether the event ends with an empty line.
func ended(event []byte) bool {
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
			return 0, false, errors.Wrap(ErrEvent, "id is not a count")
		}
		return id, true, nil
	}
	return 0, false, nil
}
