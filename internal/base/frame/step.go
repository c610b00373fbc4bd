// Package frame defines the messages of the engine protocol: CBOR frames for steps
// over a layer range, sent on a WebSocket, and the JSON bodies of the control calls.
//
// Fields are exported because the codecs set them. The package imports only the CBOR
// codec; the engine client and the fake engine share it. docs/ENGINE.md describes the
// protocol.
package frame

//go:generate stringer -type=Code -linecomment -output=code_string.go
//go:generate stringer -type=Verb -linecomment -output=verb_string.go

// Verb is the operation that a Step asks the engine to perform.
type Verb int

// The verbs.
const (
	// VerbStep runs the inputs through the layers and returns one reply.
	VerbStep Verb = iota // step
	// VerbRun repeats VerbStep on a range that covers the whole model, for up to
	// Count tokens, with one reply per token. If it is sent again with the Seq of a
	// token that was already generated, the engine replays the replies from memory
	// and then continues.
	VerbRun // run
	// VerbCancel deletes the request's state; there is no reply.
	VerbCancel // cancel
)

// Code is the result of a step. Stale means a Try below that of the state; gap means
// a step out of order or a state that the engine doesn't have; range means layers that
// the engine hasn't loaded or that differ from those of the state; full means that
// the engine lacks capacity; leaving means that it takes no new requests.
type Code int

// The codes.
const (
	CodeOK      Code = iota // ok
	CodeStale               // stale
	CodeGap                 // gap
	CodeRange               // range
	CodeFull                // full
	CodeLeaving             // leaving
	CodeFailed              // failed
)

// Step asks an engine to run inputs through a range of layers.
//
// The engine keeps one state per (Req, From). Try is the attempt under which
// that state was created: a lower Try is stale, a higher Try with Seq 1 creates a new
// state. Seq counts the steps of one state from 1, and each token of a VerbRun is a
// step. The engine runs Seq only if the last step was Seq-1. If the last Seq is sent
// again, the engine replies from memory without running it.
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
	// Text is the prompt. The first step of a state from layer 0 contains it unless
	// Pos is past its end. The engine runs it from Pos on and keeps the part that it
	// has not run yet.
	Text string `cbor:"10,keyasint,omitempty"`
	// Tokens are the inputs of a stage that starts at layer 0. They follow Text if
	// both are given.
	Tokens []uint32 `cbor:"11,keyasint,omitempty"`
	// Hidden are the inputs of a later stage, one hidden state per position.
	Hidden [][]byte `cbor:"12,keyasint,omitempty"`
	// Count is the maximum number of tokens that VerbRun generates, or of prompt
	// positions that VerbStep runs; zero means no limit.
	Count int `cbor:"13,keyasint,omitempty"`
	// Trace is the W3C traceparent of the stage; only the first step contains it.
	Trace string `cbor:"14,keyasint,omitempty"`
}

// Reply is the answer to a Step. The last stage sets Token, Text and Last; every other
// stage sets Hidden, with one entry per input position.
type Reply struct {
	Req    string   `cbor:"1,keyasint"`
	Try    uint32   `cbor:"2,keyasint"`
	Seq    uint64   `cbor:"3,keyasint"`
	From   int      `cbor:"4,keyasint,omitempty"`
	Code   Code     `cbor:"5,keyasint,omitempty"`
	Reason string   `cbor:"6,keyasint,omitempty"`
	Pos    int      `cbor:"7,keyasint,omitempty"`
	Hidden [][]byte `cbor:"8,keyasint,omitempty"`
	Token  uint32   `cbor:"9,keyasint,omitempty"`
	Text   string   `cbor:"10,keyasint,omitempty"`
	Last   bool     `cbor:"11,keyasint,omitempty"`
	// Index counts the tokens of one VerbRun from 0.
	Index int `cbor:"12,keyasint,omitempty"`
	// End marks the last reply of a VerbRun, so that a run that was cut off never
	// looks complete. A VerbStep whose token ends the answer sets it too.
	End bool `cbor:"13,keyasint,omitempty"`
	// Total is the number of tokens that the VerbRun generated, sent with End. For a
	// VerbStep with End it equals Next.
	Total int `cbor:"14,keyasint,omitempty"`
	// Next is the position after the inputs of this step.
	Next int `cbor:"15,keyasint,omitempty"`
	// Left is the number of prompt positions not run yet. A step without inputs runs
	// the next of them.
	Left int `cbor:"17,keyasint,omitempty"`
	// Took is the time in microseconds that the step spent in the engine, including
	// queueing.
	Took int64 `cbor:"16,keyasint,omitempty"`
}
