package frame

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// MaxBytes bounds one message in either direction.
const MaxBytes = 16 << 20

const (
	// maxItems bounds the positions of one frame.
	maxItems = 1 << 17
	// maxDepth is the nesting of a frame: a map that holds arrays.
	maxDepth = 4
	maxPairs = 64
	// maxLayer and maxCount bound the numbers that later arithmetic uses.
	maxLayer = 1 << 16
	maxCount = 1 << 30
)

// ErrInvalidFrame is returned for bytes that are not a frame.
var ErrInvalidFrame = errors.New("frame: not a frame")

// decoder refuses what no engine or router sends before memory is spent on it.
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

// AppendStep writes s to a message. A message is a sequence of frames, so
// that many waiting frames cost one write.
func AppendStep(to *bytes.Buffer, s *Step) error { return cbor.MarshalToBuffer(s, to) }

// AppendReply writes r to a message.
func AppendReply(to *bytes.Buffer, r *Reply) error { return cbor.MarshalToBuffer(r, to) }

// NextStep reads the first frame of a message into s and returns the rest;
// ErrBad for anything else.
func NextStep(data []byte, s *Step) ([]byte, error) {
	rest, err := decoder.UnmarshalFirst(data, s)
	if err != nil {
		return nil, errors.Wrap(ErrInvalidFrame, err.Error())
	}
	return rest, s.check()
}

// NextReply reads the first frame of a message into r, which must be zero,
// and returns the rest; ErrBad for anything else.
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
		return errors.Wrap(ErrInvalidFrame, "layers out of range")
	case !within(maxCount, s.Pos, s.Count):
		return errors.Wrap(ErrInvalidFrame, "position or count out of range")
	}
	return nil
}

func (r *Reply) check() error {
	switch {
	case !within(maxLayer, r.From):
		return errors.Wrap(ErrInvalidFrame, "layers out of range")
	case !within(maxCount, r.Pos, r.Next, r.Left):
		return errors.Wrap(ErrInvalidFrame, "position out of range")
	case !within(maxCount, r.Index, r.Total):
		return errors.Wrap(ErrInvalidFrame, "index or total out of range")
	case r.Took < 0:
		return errors.Wrap(ErrInvalidFrame, "negative time")
	}
	return nil
}

// within reports whether all numbers are from zero to most.
func within(most int, numbers ...int) bool {
	for _, n := range numbers {
		if n < 0 || n > most {
			return false
		}
	}
	return true
}
