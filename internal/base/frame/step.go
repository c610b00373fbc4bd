// Package frame holds the messages of the engine protocol: steps over a layer
// range on a WebSocket (CBOR), and the JSON bodies of the control calls.
//
// Fields are exported because codecs fill them. It imports the CBOR codec
// only; the engine client and the stand-in engine share it. docs/ENGINE.md
// describes the protocol.
package frame

//go:generate stringer -type=Code -linecomment -output=code_string.go
//go:generate stringer -type=Verb -linecomment -output=verb_string.go

// Verb says what a Step asks of the engine.
type Verb int

// The verbs.
const (
	// VerbStep runs the inputs through the layers and replies once.
	VerbStep Verb = iota // step
	// VerbRun is VerbStep on a whole-model range, repeated up to Count tokens,
	// with one reply per token. Sent again with the Seq of a token that was
	// made already, it replays from memory and then goes on.
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
// afresh. Seq counts the steps of one state from 1, each token of a run being
// a step: the engine runs Seq only if the last one was Seq-1, and answers a
// repeat of the last Seq from memory without running it.
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
	// Text is the prompt. The first step of a state from layer 0 has it unless
	// Pos is beyond it; the engine runs it from Pos on and keeps what is left.
	Text string `cbor:"10,keyasint,omitempty"`
	// Tokens are inputs of a stage from layer 0, after Text if both are given.
	Tokens []uint32 `cbor:"11,keyasint,omitempty"`
	// Hidden are inputs of a later stage, one per position.
	Hidden [][]byte `cbor:"12,keyasint,omitempty"`
	// Count is how many tokens VerbRun makes at most, and how many positions of
	// the prompt VerbStep runs at most; zero is all.
	Count int `cbor:"13,keyasint,omitempty"`
	// Trace is the W3C traceparent of the stage; only the first step has it.
	Trace string `cbor:"14,keyasint,omitempty"`
}

// Reply answers a Step. A last stage fills Token, Text and Last; every other
// stage fills Hidden, one entry per input position.
type Reply struct {
	Req    string   `cbor:"1,keyasint"`
	Try    uint32   `cbor:"2,keyasint"`
	Seq    uint64   `cbor:"3,keyasint"`
	From   int      `cbor:"4,keyasint,omitempty"`
	Code   Code     `cbor:"5,keyasint,omitempty"`
	Why    string   `cbor:"6,keyasint,omitempty"`
	Pos    int      `cbor:"7,keyasint,omitempty"`
	Hidden [][]byte `cbor:"8,keyasint,omitempty"`
	Token  uint32   `cbor:"9,keyasint,omitempty"`
	Text   string   `cbor:"10,keyasint,omitempty"`
	Last   bool     `cbor:"11,keyasint,omitempty"`
	// Index counts the tokens of one VerbRun from 0.
	Index int `cbor:"12,keyasint,omitempty"`
	// End marks the last reply of a VerbRun and Total states how many tokens
	// the run gave, so that a cut run never looks whole. A VerbStep whose token
	// ends the answer has both too; Total is its Next then.
	End   bool `cbor:"13,keyasint,omitempty"`
	Total int  `cbor:"14,keyasint,omitempty"`
	// Next is the position after the inputs of this step.
	Next int `cbor:"15,keyasint,omitempty"`
	// Left is how many positions of the prompt are yet to run. A step without
	// inputs runs the next of them.
	Left int `cbor:"17,keyasint,omitempty"`
	// Took is the engine's own time for the step, waiting included, in
	// microseconds.
	Took int64 `cbor:"16,keyasint,omitempty"`
}
