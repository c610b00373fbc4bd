// Package events reads event streams and joins the streams of several runs of a
// request into one.
//
// It imports the standard library. Package relay forwards the events that it returns.
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
	// ErrOutOfOrder means that an event is missing, so that the following events must
	// not be forwarded.
	ErrOutOfOrder = errors.New("events: event out of order")
	// ErrTruncated means that the stream broke off, possibly inside an event.
	ErrTruncated = errors.New("events: stream truncated")
	// ErrMalformed means that the bytes read are not an event.
	ErrMalformed = errors.New("events: malformed event")
)

// maxEventBytes limits the size of one event in bytes.
const maxEventBytes = 64 << 10

// maxUnnumberedBytes limits the events without an ID between two that have one, such as comments that
// keep a connection open.
const maxUnnumberedBytes = 64 << 10

// Reader reads complete events from a stream.
type Reader struct {
	// HoldUnnumbered has events without an ID returned only with the next event that has one, or at
	// the end of a complete stream: what comes before a stream breaks off may be no part of it.
	HoldUnnumbered bool

	source *bufio.Reader
	// lastID is the ID of the last event returned.
	lastID int
	// eventsRead is how many events were read, including skipped duplicates.
	eventsRead int
	// maxRepeated is how many events the run may still repeat: those that earlier runs delivered.
	maxRepeated int
	// unnumbered is how many bytes of events without an ID came since the last one with an ID.
	unnumbered int
	// held are the events that are held back.
	held  []byte
	event []byte
}

// NewReader returns a reader for the stream of one run. Events up to lastID are
// skipped; size is the size of the buffer in bytes.
func NewReader(body io.Reader, size, lastID int) *Reader {
	return &Reader{source: bufio.NewReaderSize(body, size), lastID: lastID, maxRepeated: lastID + 1}
}

// LastID returns the ID of the last event returned by Next.
func (r *Reader) LastID() int { return r.lastID }

// EventsRead returns how many events this run delivered, including skipped ones.
func (r *Reader) EventsRead() int { return r.eventsRead }

// HasBufferedEvent reports whether Next can return an event without waiting for more bytes.
func (r *Reader) HasBufferedEvent() bool {
	// Peek of the buffered bytes does not fail.
	buffered, _ := r.source.Peek(r.source.Buffered())
	return bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n"))
}

// Next returns the next complete event, including its final empty line. It skips
// events that were returned before, since a run may start by repeating the last
// event. The bytes are valid until the next call. At the end of a complete stream Next
// returns io.EOF.
func (r *Reader) Next() ([]byte, error) {
	for {
		if err := r.readEvent(); err != nil {
			return r.release(err)
		}
		id, ok, err := eventID(r.event)
		if err != nil {
			return nil, err
		}
		if !ok {
			if r.unnumbered += len(r.event); r.unnumbered > maxUnnumberedBytes {
				return nil, errors.Wrapf(ErrMalformed, "more than %d bytes of events without id", maxUnnumberedBytes)
			}
			if r.HoldUnnumbered {
				r.held = append(r.held, r.event...)
				continue
			}
			r.eventsRead++
			return r.event, nil
		}
		r.eventsRead++
		r.unnumbered = 0
		switch {
		case id <= r.lastID && r.maxRepeated == 0:
			return nil, errors.Wrapf(ErrMalformed, "event %d is repeated again", id)
		case id <= r.lastID:
			r.maxRepeated--
			continue
		case id > r.lastID+1:
			return nil, errors.Wrapf(ErrOutOfOrder, "event %d after %d", id, r.lastID)
		}
		r.lastID = id
		if len(r.held) > 0 {
			r.event = append(r.held, r.event...)
			r.held = nil
		}
		return r.event, nil
	}
}

// release returns the events that are held back at the end of a complete stream, and err otherwise.
func (r *Reader) release(err error) ([]byte, error) {
	if !errors.Is(err, io.EOF) || len(r.held) == 0 {
		return nil, err
	}
	held := r.held
	r.held = nil
	return held, nil
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
			return 0, false, errors.Wrap(ErrMalformed, "id is not a non-negative integer")
		}
		return id, true, nil
	}
	return 0, false, nil
}
