// Package proto holds the messages that instances send each other and their
// CBOR codec.
//
// Fields are exported because the codec fills them. It imports base/news and
// the codec; package node and its siblings fill and read messages.
package proto

import (
	"fulmarwick/internal/base/news"
	"fulmarwick/internal/base/spec"
)

// State says what is held true of a member.
type State int

//go:generate stringer -type=State -linecomment -output=state_string.go

// The states; of two records of one incarnation the higher state counts.
const (
	StateAlive   State = iota // alive
	StateSuspect              // suspect
	StateDead                 // dead
	StateLeft                 // left
)

// Record is what one instance holds true of another.
type Record struct {
	_          struct{} `cbor:",toarray"`
	ID         spec.InstanceID
	DataCentre spec.DataCentre
	URL        string
	// StartTime tells restarts apart: seconds on the instance's own clock.
	StartTime uint32
	// Incarnation is the incarnation number of SWIM, which only the instance itself
	// raises, to refute a suspicion.
	Incarnation uint32
	State       State
	// Passive says that the instance takes no duties and watches: it is still
	// catching up, or on its way out.
	Passive bool
	// SuspectedBy is who suspects; empty unless State is StateSuspect.
	SuspectedBy spec.InstanceID
}

// Watermark says how far its sender has the items of one stream.
type Watermark struct {
	_ struct{} `cbor:",toarray"`
	// StreamHash is the hash of origin, birth and scope.
	StreamHash uint32
	Stamp      uint64
}

// Entry is an item without what its block says already.
type Entry struct {
	_     struct{} `cbor:",toarray"`
	Kind  news.Kind
	Key   string
	Stamp uint64
	// TTLMs is what remains of it, in milliseconds.
	TTLMs int64
	Body  []byte
}

// Block carries items of one stream.
type Block struct {
	_         struct{} `cbor:",toarray"`
	Origin    spec.InstanceID
	StartTime uint32
	Scope     news.Scope
	// Watermark is the mark that the receiver reaches by this block; zero if the
	// items were sent out of turn.
	Watermark uint64
	Items     []Entry
}

// Load is the sender's work in flight on an engine.
type Load struct {
	_      struct{} `cbor:",toarray"`
	Engine spec.UpstreamID
	Active int
	Tokens int
}

// Rate is the sender's use by a team, in tokens a second.
type Rate struct {
	_ struct{} `cbor:",toarray"`
	// TeamHash is the hash of the team's name.
	TeamHash uint64
	Rate     float32
}

// Share goes to whoever adds up the shares of a data centre.
type Share struct {
	_ struct{} `cbor:",toarray"`
	// HasLoads and HasRates say that the list replaces the former one.
	HasLoads bool
	HasRates bool
	Loads    []Load
	Rates    []Rate
}

// Message is everything that one instance tells another at once. Each part
// may be missing.
type Message struct {
	// CallID asks for an answer that carries the number as Ack.
	CallID uint64 `cbor:"1,keyasint,omitempty"`
	AckID  uint64 `cbor:"2,keyasint,omitempty"`
	// ProbeTarget asks the receiver to call a third instance; the answer comes
	// only once that one answered.
	ProbeTarget spec.InstanceID `cbor:"3,keyasint,omitempty"`
	// Records are what the sender holds true of members.
	Records []Record `cbor:"4,keyasint,omitempty"`
	// Checksums are checksums of the sender's member table, four bytes a bucket.
	Checksums []byte `cbor:"5,keyasint,omitempty"`
	// HasDigest says that Marks are all that the sender has.
	HasDigest  bool        `cbor:"6,keyasint,omitempty"`
	Watermarks []Watermark `cbor:"7,keyasint,omitempty"`
	// Wants asks for what comes after these marks.
	Wants  []Watermark `cbor:"8,keyasint,omitempty"`
	Blocks []Block     `cbor:"9,keyasint,omitempty"`
	// Complete says that the receiver now has all that the sender has.
	Complete bool `cbor:"10,keyasint,omitempty"`
	// Ready says that the sender itself caught up with its peers.
	Ready bool   `cbor:"12,keyasint,omitempty"`
	Share *Share `cbor:"11,keyasint,omitempty"`
}
