// Package frame holds the messages of the engine protocol: steps over a layer
// range on a WebSocket (CBOR), and the JSON bodies of the control calls.
//
// Fields are exported because codecs fill them. It imports the CBOR codec
// only; the engine client and the stand-in engine share it.
package frame

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

//go:generate stringer -type=Code -linecomment -output=code_string.go
//go:generate stringer -type=Verb -linecomment -output=verb_string.go

// MaxBytes bounds one encoded frame in either direction.
const MaxBytes = 8 << 20

// ErrBad is returned for bytes that are not a frame.
var ErrBad = errors.New("frame: not a frame")

// Verb says what a Step asks of the engine.
type Verb int

// The verbs.
const (
	// VerbStep runs the inputs through the layers and replies once.
	VerbStep Verb = iota // step
	// VerbRun is VerbStep on a whole-model range, repeated up to Count tokens,
	// with one reply per token.
	VerbRun // run
	// VerbCancel forgets the request's state; there is no reply.
	VerbCancel // cancel
)

// Code says how a step ended.
type Code int

// The codes.
const (
	CodeOK     Code = iota // ok
	CodeStale              // stale
	CodeGap                // gap
	CodeRange              // range
	CodeFull               // full
	CodeLeave              // leaving
	CodeFailed             // failed
)

// Step asks an engine to run inputs through a range of layers.
//
// The engine keeps one state per (Req, From). Try is the attempt under which
// that state was opened: a lower Try is stale, a higher one with Seq 1 starts
// afresh. Seq counts the steps of one state from 1: the engine runs Seq only
// if the last one was Seq-1, and answers a repeat of the last Seq from memory
// without running it.
type Step struct {
	Verb  Verb   `cbor:"1,keyasint"`
	Req   string `cbor:"2,keyasint"`
	Try   uint32 `cbor:"3,keyasint"`
	Seq   uint64 `cbor:"4,keyasint"`
	Model string `cbor:"5,keyasint,omitempty"`
	From  int    `cbor:"6,keyasint"`
	To    int    `cbor:"7,keyasint"`
	Pos   int    `cbor:"8,keyasint"`
	Prio  int    `cbor:"9,keyasint,omitempty"`
	// Text is the prompt; only the first step of a stage from layer 0 has it.
	Text string `cbor:"10,keyasint,omitempty"`
	// Tokens are inputs of a stage from layer 0, after Text if both are given.
	Tokens []uint32 `cbor:"11,keyasint,omitempty"`
	// Hidden are inputs of a later stage, one per position.
	Hidden [][]byte `cbor:"12,keyasint,omitempty"`
	// Count is how many tokens VerbRun makes at most.
	Count int `cbor:"13,keyasint,omitempty"`
}

// Reply answers a Step. A last stage fills Token, Text and Last; every other
// stage fills Hidden, one entry per input position.
type Reply struct {
	Req    string   `cbor:"1,keyasint"`
	Try    uint32   `cbor:"2,keyasint"`
	Seq    uint64   `cbor:"3,keyasint"`
	From   int      `cbor:"4,keyasint"`
	Code   Code     `cbor:"5,keyasint"`
	Why    string   `cbor:"6,keyasint,omitempty"`
	Pos    int      `cbor:"7,keyasint"`
	Hidden [][]byte `cbor:"8,keyasint,omitempty"`
	Token  uint32   `cbor:"9,keyasint,omitempty"`
	Text   string   `cbor:"10,keyasint,omitempty"`
	Last   bool     `cbor:"11,keyasint,omitempty"`
	// Index counts the tokens of one VerbRun from 0.
	Index int `cbor:"12,keyasint,omitempty"`
}

// EncodeStep returns the bytes of s.
func EncodeStep(s *Step) ([]byte, error) { return cbor.Marshal(s) }

// DecodeStep reads a step; ErrBad for anything else.
func DecodeStep(data []byte) (*Step, error) {
	var s Step
	if err := cbor.Unmarshal(data, &s); err != nil {
		return nil, errors.Wrap(ErrBad, err.Error())
	}
	return &s, nil
}

// EncodeReply returns the bytes of r.
func EncodeReply(r *Reply) ([]byte, error) { return cbor.Marshal(r) }

// DecodeReply reads a reply; ErrBad for anything else.
func DecodeReply(data []byte) (*Reply, error) {
	var r Reply
	if err := cbor.Unmarshal(data, &r); err != nil {
		return nil, errors.Wrap(ErrBad, err.Error())
	}
	return &r, nil
}
