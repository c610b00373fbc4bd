package proto

import (
	"math"

	"fulmarwick/internal/base/news"
	"fulmarwick/internal/base/spec"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// Limits of a message.
const (
	MaxMessageBytes  = 64 << 10
	maxNameBytes     = 255
	maxBodyBytes     = 16 << 10
	maxArrayElements = 4096
	maxTTLMs         = 24 * 60 * 60 * 1000
	// maxKind leaves space for the kinds of newer versions. An older
	// instance passes them on without decoding them.
	maxKind        = 64
	maxIncarnation = 1 << 31
	// MaxStamp keeps a malicious stamp from exhausting the number range.
	// No stream reaches it in normal operation.
	MaxStamp = 1 << 48
)

// ErrMalformed is returned for bytes that are not a valid message of an
// instance.
var ErrMalformed = errors.New("proto: not a message")

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

func newEncoder() cbor.EncMode {
	m, err := cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func newDecoder() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, MaxNestedLevels: 8,
		MaxArrayElements: maxArrayElements, MaxMapPairs: 64,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode encodes a message.
func Encode(m *Message) ([]byte, error) {
	data, err := encoder.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	return data, nil
}

// Decode decodes a message. It returns ErrMalformed for anything that is
// malformed, too large or out of range. No part of such a message is used.
func Decode(data []byte) (*Message, error) {
	if len(data) > MaxMessageBytes {
		return nil, errors.Wrap(ErrMalformed, "too large")
	}
	var m Message
	if err := decoder.Unmarshal(data, &m); err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	if !m.valid() {
		return nil, errors.Wrap(ErrMalformed, "value out of range")
	}
	return &m, nil
}

func (m *Message) valid() bool {
	if len(m.ProbeTarget) > maxNameBytes || len(m.Checksums) > maxNameBytes {
		return false
	}
	for i := range m.Records {
		if !m.Records[i].valid() {
			return false
		}
	}
	for i := range m.Blocks {
		if !m.Blocks[i].valid() {
			return false
		}
	}
	return validWatermarks(m.Watermarks) && validWatermarks(m.Wants) && m.Share.valid()
}

func validWatermarks(watermarks []Watermark) bool {
	for _, w := range watermarks {
		if w.Stamp >= MaxStamp {
			return false
		}
	}
	return true
}

func (r *Record) valid() bool {
	return isValidName(string(r.ID)) && len(r.DataCentre) <= maxNameBytes && len(r.URL) <= maxNameBytes &&
		len(r.SuspectedBy) <= maxNameBytes && r.StartTime < math.MaxUint32 && r.Incarnation < maxIncarnation && r.State >= StateAlive && r.State <= StateLeft
}

func (b *Block) valid() bool {
	if !isValidName(string(b.Origin)) || b.Watermark >= MaxStamp {
		return false
	}
	if b.Scope != news.ScopeCentre && b.Scope != news.ScopeFleet {
		return false
	}
	for i := range b.Items {
		if !b.Items[i].valid() {
			return false
		}
	}
	return true
}

func (e *Entry) valid() bool {
	return e.Kind >= 0 && e.Kind < maxKind && len(e.Key) <= maxNameBytes && len(e.Body) <= maxBodyBytes &&
		e.Stamp > 0 && e.Stamp < MaxStamp && e.TTLMs > 0 && e.TTLMs <= maxTTLMs
}

func (s *Share) valid() bool {
	if s == nil {
		return true
	}
	for _, l := range s.Loads {
		if !isValidName(string(l.Engine)) || l.Active < 0 || l.Tokens < 0 || l.Active > 1<<30 || l.Tokens > 1<<40 {
			return false
		}
	}
	for _, r := range s.Rates {
		// The comparison also rejects NaN.
		if !(r.Rate >= 0 && r.Rate < 1e12) {
			return false
		}
	}
	return true
}

func isValidName(s string) bool { return s != "" && len(s) <= maxNameBytes }

// Encoded sizes of the parts without their strings, to divide a byte budget.
// They are upper bounds.
const (
	entryOverheadBytes  = 16
	blockOverheadBytes  = 22
	recordOverheadBytes = 18
)

// Bytes returns the approximate encoded size of e.
func (e *Entry) Bytes() int { return entryOverheadBytes + len(e.Key) + len(e.Body) }

// HeaderBytes returns the approximate encoded size of b without its items.
func (b *Block) HeaderBytes() int { return blockOverheadBytes + len(b.Origin) }

// Bytes returns the approximate encoded size of r.
func (r *Record) Bytes() int {
	return recordOverheadBytes + len(r.ID) + len(r.DataCentre) + len(r.URL) + len(r.SuspectedBy)
}

// TeamHash returns the hash that stands for a team in messages.
func TeamHash(team spec.TeamID) uint64 { return hashString(string(team)) }
