package peer

import (
	"fulmarwick/internal/base/spec"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// Limits of one frame.
const (
	// MaxBytes bounds one frame; a forwarded prompt is the largest part.
	MaxBytes = 8 << 20
	maxName  = 255
	maxCount = 1 << 20
	// maxHops is how often a request may be forwarded.
	maxHops = 1
	// snapshotChunk is how much of a snapshot goes in one frame, so that the messages
	// of failure detection wait for little.
	snapshotChunk = 256 << 10
)

// kind says what a frame carries.
type kind int

//go:generate stringer -type=kind -linecomment -output=kind_string.go

const (
	kindGossip          kind = iota + 1 // news
	kindForward                         // forward
	kindCancel                          // cancel
	kindToken                           // token
	kindEnd                             // end
	kindSnapshotRequest                 // ask
	kindSnapshot                        // snapshot
)

// frame is one WebSocket message. ID names a stream among those that the same
// side opened.
type frame struct {
	Kind kind   `cbor:"1,keyasint"`
	ID   uint64 `cbor:"2,keyasint,omitempty"`
	// Data is a message of the fleet logic, or a piece of a snapshot.
	Data []byte `cbor:"3,keyasint,omitempty"`
	// Last marks the last piece of a snapshot.
	Last  bool   `cbor:"4,keyasint,omitempty"`
	Job   *Job   `cbor:"5,keyasint,omitempty"`
	Token *Token `cbor:"6,keyasint,omitempty"`
	End   *End   `cbor:"7,keyasint,omitempty"`
}

// Job is a model request that another instance runs.
type Job struct {
	Request spec.RequestID `cbor:"1,keyasint"`
	Team    spec.TeamID    `cbor:"2,keyasint"`
	Class   spec.ClassName `cbor:"3,keyasint"`
	Model   spec.ModelName `cbor:"4,keyasint"`
	Text    string         `cbor:"5,keyasint"`
	// Prompt and Limit are tokens: the estimated prompt and the most to make.
	Prompt int `cbor:"6,keyasint"`
	Limit  int `cbor:"7,keyasint"`
	// Done is how many tokens the caller already has.
	Done int `cbor:"8,keyasint,omitempty"`
	// Print identifies the same request when its caller sends it again, and
	// Blocks are the chained hashes of its prompt.
	Print  uint64   `cbor:"9,keyasint,omitempty"`
	Blocks []uint64 `cbor:"10,keyasint,omitempty"`
	// Hops is how often the request was forwarded, this time included.
	Hops int `cbor:"11,keyasint"`
	// Trace is the W3C traceparent of the span that forwards.
	Trace string `cbor:"12,keyasint,omitempty"`
}

// Token is one token of a forwarded answer. Index counts from 0 over the whole
// answer, those that the caller had before included.
type Token struct {
	Index int    `cbor:"1,keyasint"`
	ID    uint32 `cbor:"2,keyasint,omitempty"`
	Text  string `cbor:"3,keyasint"`
}

// End ends a forwarded answer. Count is how many tokens the whole answer has,
// so that a cut answer never looks whole.
type End struct {
	Count int  `cbor:"1,keyasint"`
	Stop  bool `cbor:"2,keyasint,omitempty"`
	// Fault says why the answer ended early; nil for a whole one.
	Fault *Fault `cbor:"3,keyasint,omitempty"`
}

// Fault is the final answer of the instance that a request was forwarded to.
type Fault struct {
	// Code is short and stable, Text a sentence for the caller.
	Code   string `cbor:"1,keyasint"`
	Text   string `cbor:"2,keyasint,omitempty"`
	Status int    `cbor:"3,keyasint,omitempty"`
	// Ran is "no", "yes" or "unsure".
	Ran string `cbor:"4,keyasint,omitempty"`
	// After is when the caller should try again, in milliseconds; zero if that
	// cannot help.
	After int64 `cbor:"5,keyasint,omitempty"`
}

var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, MaxNestedLevels: 6, MaxArrayElements: 1 << 16, MaxMapPairs: 64,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

func encode(f *frame) ([]byte, error) {
	data, err := cbor.Marshal(f)
	if err != nil {
		return nil, errors.Wrap(ErrFrame, err.Error())
	}
	if len(data) > MaxBytes {
		return nil, errors.Wrap(ErrFrame, "too large")
	}
	return data, nil
}

// decode reads a frame. It returns ErrFrame for anything that is malformed or
// out of range. A frame of a kind of a newer version comes back with that
// kind and is passed over.
func decode(data []byte) (*frame, error) {
	if len(data) > MaxBytes {
		return nil, errors.Wrap(ErrFrame, "too large")
	}
	var f frame
	if err := decoder.Unmarshal(data, &f); err != nil {
		return nil, errors.Wrap(ErrFrame, err.Error())
	}
	if !f.valid() {
		return nil, errors.Wrapf(ErrFrame, "bad %v", f.Kind)
	}
	return &f, nil
}

func (f *frame) valid() bool {
	switch f.Kind {
	case kindGossip:
		return len(f.Data) > 0
	case kindForward:
		return f.Job != nil && f.Job.valid()
	case kindToken:
		return f.Token != nil && f.Token.Index >= 0 && f.Token.Index < maxCount
	case kindEnd:
		return f.End != nil && f.End.Count >= 0 && f.End.Count <= maxCount
	case kindSnapshot:
		return len(f.Data) <= snapshotChunk
	default:
		return f.Kind > 0
	}
}

func (j *Job) valid() bool {
	names := []int{len(j.Request), len(j.Team), len(j.Class), len(j.Model)}
	for _, n := range names {
		if n == 0 || n > maxName {
			return false
		}
	}
	numbers := []int{j.Prompt, j.Limit, j.Done, j.Hops}
	for _, n := range numbers {
		if n < 0 || n > maxCount {
			return false
		}
	}
	return len(j.Trace) <= maxName
}
