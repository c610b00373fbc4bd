package peer

import (
	"net/http"

	"fulmarwick/internal/base/spec"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// Limits of one frame.
const (
	// MaxBytes limits the size of one frame; a forwarded prompt is the largest
	// part of it.
	MaxBytes = 8 << 20
	maxName  = 255
	maxCount = 1 << 20
	// maxHeaderNames limits the headers of a passed request and of its response.
	maxHeaderNames = 1 << 10
	// maxHops is the number of times that a request may be forwarded.
	maxHops = 1
	// snapshotChunk is the number of snapshot bytes in one frame. It is small,
	// so that failure detection messages on the same connection are not
	// delayed.
	snapshotChunk = 256 << 10
)

// kind is the type of a frame.
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
	kindRequest                         // request
	kindHead                            // head
	kindChunk                           // chunk
)

// ranNo is the value of Fault.Ran of a request that was not run and never will be.
const ranNo = "no"

// frame is one WebSocket message. ID identifies a stream among those opened by
// the same side.
type frame struct {
	Kind kind   `cbor:"1,keyasint"`
	ID   uint64 `cbor:"2,keyasint,omitempty"`
	// Data is a message of the fleet logic, or a chunk of a snapshot or of a response.
	Data []byte `cbor:"3,keyasint,omitempty"`
	// Last marks the last chunk of a snapshot.
	Last  bool   `cbor:"4,keyasint,omitempty"`
	Job   *Job   `cbor:"5,keyasint,omitempty"`
	Token *Token `cbor:"6,keyasint,omitempty"`
	End   *End   `cbor:"7,keyasint,omitempty"`
	// Request is passed on as its caller sent it; Head and Data are parts of the response.
	Request *Request `cbor:"8,keyasint,omitempty"`
	Head    *head    `cbor:"9,keyasint,omitempty"`
}

// Job is a model request that is forwarded to another instance.
type Job struct {
	Request spec.RequestID `cbor:"1,keyasint"`
	Team    spec.TeamID    `cbor:"2,keyasint"`
	Class   spec.ClassName `cbor:"3,keyasint"`
	Model   spec.ModelName `cbor:"4,keyasint"`
	Text    string         `cbor:"5,keyasint"`
	// Prompt is the estimated number of prompt tokens, Limit the maximum number
	// of tokens to generate.
	Prompt int `cbor:"6,keyasint"`
	Limit  int `cbor:"7,keyasint"`
	// Done is the number of tokens that the caller already has.
	Done int `cbor:"8,keyasint,omitempty"`
	// Fingerprint is the fingerprint by which a request is recognized when its caller
	// retries it. Blocks are the chained hashes of its prompt.
	Fingerprint uint64   `cbor:"9,keyasint,omitempty"`
	Blocks      []uint64 `cbor:"10,keyasint,omitempty"`
	// Hops is the number of times that the request was forwarded, including
	// this one.
	Hops int `cbor:"11,keyasint"`
	// Trace is the W3C traceparent of the forwarding span.
	Trace string `cbor:"12,keyasint,omitempty"`
}

// Token is one token of a forwarded answer. Index counts from 0 over the whole
// answer, including tokens that the caller already had.
type Token struct {
	Index int    `cbor:"1,keyasint"`
	ID    uint32 `cbor:"2,keyasint,omitempty"`
	Text  string `cbor:"3,keyasint"`
}

// End ends a forwarded answer. Count is the number of tokens of the whole
// answer, so that a truncated answer is not taken for a complete one.
type End struct {
	Count int  `cbor:"1,keyasint"`
	Stop  bool `cbor:"2,keyasint,omitempty"`
	// Fault is the reason why the answer ended early, nil if it is complete.
	Fault *Fault `cbor:"3,keyasint,omitempty"`
	// Trailer holds the trailers of the response to a Request, also of one that is broken off.
	Trailer http.Header `cbor:"4,keyasint,omitempty"`
}

// Fault is the final answer of the instance that a request was forwarded to.
type Fault struct {
	// Code is a short, stable identifier; Text is a sentence for the caller.
	Code   string `cbor:"1,keyasint"`
	Text   string `cbor:"2,keyasint,omitempty"`
	Status int    `cbor:"3,keyasint,omitempty"`
	// Ran is "no", "yes" or "unsure".
	Ran string `cbor:"4,keyasint,omitempty"`
	// After is the delay in milliseconds after which the caller should retry,
	// zero if a retry cannot help.
	After int64 `cbor:"5,keyasint,omitempty"`
}

var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, MaxNestedLevels: 6, MaxArrayElements: 1 << 16, MaxMapPairs: maxHeaderNames,
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

// decode parses a frame. It returns ErrFrame for input that is malformed or out
// of range. A frame of a kind that only a newer version knows is returned with
// that kind, and the connection ignores it.
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
	case kindRequest, kindHead:
		return f.validProxied()
	default:
		return f.Kind > 0
	}
}

// validProxied reports whether a frame of a passed request is valid.
func (f *frame) validProxied() bool {
	if f.Kind == kindRequest {
		return f.Request != nil && f.Request.valid()
	}
	return f.Head != nil && f.Head.valid()
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
