// Package proto defines the messages that instances send each other and their
// CBOR codec.
//
// Fields are exported because the codec fills them. It imports base/news and
// the codec; package node and its siblings build and read messages.
package proto

import (
	"fulmarwick/internal/base/news"
	"fulmarwick/internal/base/spec"
)

// State is the state of a member.
type State int

//go:generate stringer -type=State -linecomment -output=state_string.go

// The states. Of two records of one incarnation, the one with the higher state
// wins.
const (
	StateAlive   State = iota // alive
	StateSuspect              // suspect
	StateDead                 // dead
	StateLeft                 // left
)

// Record is what one instance knows about another.
type Record struct {
	_          struct{} `cbor:",toarray"`
	ID         spec.InstanceID
	DataCentre spec.DataCentre
	URL        string
	// StartTime distinguishes restarts: seconds on the clock of the
	// instance itself.
	StartTime uint32
	// Incarnation is the incarnation number of SWIM. Only the instance
	// itself raises it, to refute a suspicion.
	Incarnation uint32
	State       State
	// Passive reports that the instance takes no duties and watches,
	// because it is still catching up or is stopping.
	Passive bool
	// SuspectedBy is the instance that suspects this one. It is empty
	// unless State is StateSuspect.
	SuspectedBy spec.InstanceID
}

// Watermark is the stamp up to which its sender has the items of one stream.
type Watermark struct {
	_ struct{} `cbor:",toarray"`
	// StreamHash is the hash of origin, start time and scope.
	StreamHash uint32
	Stamp      uint64
}

// Entry is an item without the fields that its block already has.
type Entry struct {
	_     struct{} `cbor:",toarray"`
	Kind  news.Kind
	Key   string
	Stamp uint64
	// TTLMs is the remaining time to live in milliseconds.
	TTLMs int64
	Body  []byte
}

// Block carries items of one stream.
type Block struct {
	_         struct{} `cbor:",toarray"`
	Origin    spec.InstanceID
	StartTime uint32
	Scope     news.Scope
	// Watermark is what the receiver reaches with this block. It is zero
	// if the items were sent out of order.
	Watermark uint64
	Items     []Entry
}

// Load is the work that the sender has in flight on an engine.
type Load struct {
	_      struct{} `cbor:",toarray"`
	Engine spec.UpstreamID
	Active int
	Tokens int
}

// Rate is the usage by a team at the sender, in tokens per second.
type Rate struct {
	_ struct{} `cbor:",toarray"`
	// TeamHash is the hash of the team name.
	TeamHash uint64
	Rate     float32
}

// Share is the local usage that an instance sends to an aggregator of its data
// centre.
type Share struct {
	_ struct{} `cbor:",toarray"`
	// HasLoads and HasRates report that the list replaces the former one.
	HasLoads bool
	HasRates bool
	Loads    []Load
	Rates    []Rate
}

// Message is everything that one instance sends another at once. Each part may
// be missing.
type Message struct {
	// CallID requests an answer that carries the number as AckID.
	CallID uint64 `cbor:"1,keyasint,omitempty"`
	AckID  uint64 `cbor:"2,keyasint,omitempty"`
	// ProbeTarget asks the receiver to probe a third instance. The
	// receiver answers only once that instance answered.
	ProbeTarget spec.InstanceID `cbor:"3,keyasint,omitempty"`
	// Records are records from the member table of the sender.
	Records []Record `cbor:"4,keyasint,omitempty"`
	// Checksums are the checksums of the member table of the sender, four
	// bytes per bucket.
	Checksums []byte `cbor:"5,keyasint,omitempty"`
	// HasDigest reports that Watermarks are those of all streams of the
	// sender.
	HasDigest  bool        `cbor:"6,keyasint,omitempty"`
	Watermarks []Watermark `cbor:"7,keyasint,omitempty"`
	// Wants requests the items after these watermarks.
	Wants  []Watermark `cbor:"8,keyasint,omitempty"`
	Blocks []Block     `cbor:"9,keyasint,omitempty"`
	// Complete reports that the receiver now has everything the sender
	// has.
	Complete bool `cbor:"10,keyasint,omitempty"`
	// Ready reports that the sender itself has caught up with its peers.
	Ready bool   `cbor:"12,keyasint,omitempty"`
	Share *Share `cbor:"11,keyasint,omitempty"`
}
