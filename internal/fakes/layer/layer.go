// Package layer computes the stand-in model. The result depends on every layer,
// position and request: a layer that is skipped, run twice, run out of order or
// mixed up with another request changes every later token.
//
// It imports xxhash only. The stand-in engine runs ranges of layers; tests run the
// whole model and compare answers with it.
package layer

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Vocabulary is the number of different tokens. Token 0 ends an answer.
const Vocabulary = 4096

// valueBytes is the size of one encoded value.
const valueBytes = 8

// State is the cache of a range of layers for one request. It holds one number per
// layer that depends on all earlier tokens.
type State struct {
	from int
	kv   []uint64
	pos  int
}

// NewState returns the empty cache of layers [from, to).
func NewState(from, to int) *State {
	return &State{from: from, kv: make([]uint64, to-from)}
}

// Pos returns how many tokens ran through the range.
func (s *State) Pos() int { return s.pos }

// Run computes the range of layers for one hidden value and updates the cache. It
// returns the hidden value after the last layer of the range.
func (s *State) Run(hidden uint64) uint64 {
	for i := range s.kv {
		layer := uint64(s.from + i)
		hidden = mix(hidden, layer+1, s.kv[i])
		s.kv[i] = mix(s.kv[i], hidden, layer+7)
	}
	s.pos++
	return hidden
}

// Export returns the encoded cache of layers [from, to), or false if s doesn't hold
// all of them.
func (s *State) Export(from, to int) ([]byte, bool) {
	if from < s.from || to > s.from+len(s.kv) || from >= to {
		return nil, false
	}
	out := make([]byte, 0, valueBytes*(to-from))
	for _, v := range s.kv[from-s.from : to-s.from] {
		out = binary.BigEndian.AppendUint64(out, v)
	}
	return out, true
}

// Import decodes the cache of layers [from, to) from the data of Export, after pos
// tokens. It returns false if the size of data doesn't fit.
func Import(from, to, pos int, data []byte) (*State, bool) {
	if from < 0 || to <= from || pos < 0 || len(data) != valueBytes*(to-from) {
		return nil, false
	}
	s := NewState(from, to)
	s.pos = pos
	for i := range s.kv {
		s.kv[i] = binary.BigEndian.Uint64(data[valueBytes*i:])
	}
	return s, true
}

// Split turns a prompt into tokens, at least one.
func Split(text string) []uint32 {
	words := strings.Fields(text)
	if len(words) == 0 {
		words = []string{""}
	}
	out := make([]uint32, 0, len(words))
	for _, w := range words {
		out = append(out, uint32(1+xxhash.Sum64String(w)%(Vocabulary-1)))
	}
	return out
}

// Embed returns the hidden value of a token before layer 0.
func Embed(token uint32) uint64 { return mix(uint64(token), 0x9e37, 0x79b9) }

// Pick returns the token that follows from the hidden value after the last layer.
func Pick(hidden uint64) uint32 { return uint32(hidden % Vocabulary) }

// Word returns the text of a token.
func Word(token uint32) string { return "w" + strconv.Itoa(int(token)) + " " }

// Generate runs the whole model of depth layers, as the reference for tests. It returns
// the tokens after the prompt, at most limit, without the token that ends an answer.
func Generate(text string, depth, limit int) []uint32 {
	s := NewState(0, depth)
	var hidden uint64
	for _, t := range Split(text) {
		hidden = s.Run(Embed(t))
	}
	var out []uint32
	for len(out) < limit {
		t := Pick(hidden)
		if t == 0 {
			break
		}
		out = append(out, t)
		hidden = s.Run(Embed(t))
	}
	return out
}

// Text returns the text of an answer made of tokens.
func Text(tokens []uint32) string {
	var b strings.Builder
	for _, t := range tokens {
		b.WriteString(Word(t))
	}
	return b.String()
}

// Encode encodes a hidden value as bytes.
func Encode(hidden uint64) []byte { return binary.BigEndian.AppendUint64(nil, hidden) }

// Decode decodes the bytes of Encode. It returns false if their length is wrong.
func Decode(data []byte) (uint64, bool) {
	if len(data) != valueBytes {
		return 0, false
	}
	return binary.BigEndian.Uint64(data), true
}

func mix(a, b, c uint64) uint64 {
	var buf [24]byte
	binary.LittleEndian.PutUint64(buf[0:], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	binary.LittleEndian.PutUint64(buf[16:], c)
	return xxhash.Sum64(buf[:])
}
