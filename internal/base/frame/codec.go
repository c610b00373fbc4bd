package frame

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// MaxBytes is the size limit of one message in either direction.
const MaxBytes = 16 << 20

const (
	// maxItems is the limit for the elements of an array, and so for the positions
	// in one frame.
	maxItems = 1 << 17
	// maxDepth is the limit for nesting. A frame is a map that contains arrays.
	maxDepth = 4
	maxPairs = 64
	// maxLayer is the highest layer number accepted, since later arithmetic uses it.
	maxLayer = 1 << 16
	// maxCount is the highest position, index or count accepted, for the same reason.
	maxCount = 1 << 30
)

// ErrInvalidFrame is returned for bytes that are not a valid frame.
var ErrInvalidFrame = errors.New("frame: invalid frame")

// decoder rejects input that no engine or router sends (too many elements, deep
// nesting, indefinite lengths, tags) before it allocates memory for it.
var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxItems,
		MaxMapPairs:      maxPairs,
		MaxNestedLevels:  maxDepth,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// AppendStep appends s to a message. A message is a sequence of frames, so that
// many queued frames take a single write.
func AppendStep(message *bytes.Buffer, s *Step) error { return cbor.MarshalToBuffer(s, message) }

// AppendReply appends r to a message.
func AppendReply(message *bytes.Buffer, r *Reply) error { return cbor.MarshalToBuffer(r, message) }

// NextStep decodes the first frame of a message into s and returns the remaining
// bytes. It returns an error that matches ErrInvalidFrame for anything else.
func NextStep(data []byte, s *Step) ([]byte, error) {
	rest, err := decoder.UnmarshalFirst(data, s)
	if err != nil {
		return nil, errors.Wrap(ErrInvalidFrame, err.Error())
	}
	return rest, s.check()
}

// NextReply decodes the first frame of a message into r, which must be zero, and
// returns the remaining bytes. It returns an error that matches ErrInvalidFrame
// for anything else.
func NextReply(data []byte, r *Reply) ([]byte, error) {
	rest, err := decoder.UnmarshalFirst(data, r)
	if err != nil {
		return nil, errors.Wrap(ErrInvalidFrame, err.Error())
	}
	return rest, r.check()
}

func (s *Step) check() error {
	switch {
	case !within(maxLayer, s.From, s.To):
		return errors.Wrap(ErrInvalidFrame, "layer out of range")
	case !within(maxCount, s.Pos, s.Count):
		return errors.Wrap(ErrInvalidFrame, "position or count out of range")
	}
	return nil
}

func (r *Reply) check() error {
	switch {
	case !within(maxLayer, r.From):
		return errors.Wrap(ErrInvalidFrame, "layer out of range")
	case !within(maxCount, r.Pos, r.Next, r.Left):
		return errors.Wrap(ErrInvalidFrame, "position out of range")
	case !within(maxCount, r.Index, r.Total):
		return errors.Wrap(ErrInvalidFrame, "index or total out of range")
	case r.Took < 0:
		return errors.Wrap(ErrInvalidFrame, "negative duration")
	}
	return nil
}

// within reports whether all numbers are between zero and limit, both included.
func within(limit int, numbers ...int) bool {
	for _, n := range numbers {
		if n < 0 || n > limit {
			return false
		}
	}
	return true
}
