package entry

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"hash"
	"math"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// The layout of a resume token before base64 encoding: a version byte, the number
// of tokens, the hash of their text, the id of the answer and the seal (MAC).
const (
	resumeTokenVersion = 1
	countOffset        = 1
	hashOffset         = countOffset + 4
	idOffset           = hashOffset + 8
	sealOffset         = idOffset + 16
	sealBytes          = 16
	resumeTokenBytes   = sealOffset + sealBytes
)

// sealDomain is the prefix that separates the MAC key from the hash under which
// the team's key is stored.
const sealDomain = "fulmarwick resume\n"

// Position is a position in a streamed answer, sent as the id of a server-sent
// event: the id of the answer, how many of its tokens the caller has received,
// and the hash of their text. Any instance can resume the answer from it, given
// the same key and request.
type Position struct {
	answer   uuid.UUID
	count    int
	textHash uint64
}

// Count returns the number of tokens that the caller has received.
func (p Position) Count() int { return p.count }

// Sealer encodes and authenticates positions for one team and request. The MAC
// key is derived from the team's key, which every instance gets with the request.
// Instances therefore share no secret, and no other team can forge a token.
type Sealer struct {
	mac         hash.Hash
	fingerprint [8]byte
	tokenBuffer [resumeTokenBytes]byte
	sealBuffer  [sha256.Size]byte
}

// NewSealer returns a Sealer for requests with the given fingerprint and the
// team's bearer key.
func NewSealer(bearer string, fingerprint uint64) *Sealer {
	key := sha256.Sum256([]byte(sealDomain + bearer))
	s := &Sealer{mac: hmac.New(sha256.New, key[:])}
	binary.BigEndian.PutUint64(s.fingerprint[:], fingerprint)
	return s
}

// Append appends the resume token of p to dst.
func (s *Sealer) Append(dst []byte, p Position) []byte {
	s.tokenBuffer[0] = resumeTokenVersion
	binary.BigEndian.PutUint32(s.tokenBuffer[countOffset:], uint32(p.count))
	binary.BigEndian.PutUint64(s.tokenBuffer[hashOffset:], p.textHash)
	copy(s.tokenBuffer[idOffset:], p.answer[:])
	copy(s.tokenBuffer[sealOffset:], s.seal(s.tokenBuffer[:sealOffset]))
	return base64.RawURLEncoding.AppendEncode(dst, s.tokenBuffer[:])
}

// Parse decodes a token written by Append. It returns false for anything else,
// including tokens of another team or request.
func (s *Sealer) Parse(token string) (Position, bool) {
	if len(token) != base64.RawURLEncoding.EncodedLen(resumeTokenBytes) {
		return Position{}, false
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(token)
	if err != nil || raw[0] != resumeTokenVersion {
		return Position{}, false
	}
	if !hmac.Equal(raw[sealOffset:], s.seal(raw[:sealOffset])) {
		return Position{}, false
	}
	count := binary.BigEndian.Uint32(raw[countOffset:])
	if count == 0 || count > math.MaxInt32 {
		return Position{}, false
	}
	p := Position{count: int(count), textHash: binary.BigEndian.Uint64(raw[hashOffset:])}
	copy(p.answer[:], raw[idOffset:])
	return p, true
}

// seal returns the truncated MAC of the request's fingerprint and data.
func (s *Sealer) seal(data []byte) []byte {
	s.mac.Reset()
	_, _ = s.mac.Write(s.fingerprint[:])
	_, _ = s.mac.Write(data)
	return s.mac.Sum(s.sealBuffer[:0])[:sealBytes]
}

// resumePosition returns the position in the Last-Event-ID header, or the start of
// a new answer if there is none.
func resumePosition(req *http.Request, s *Sealer, limit int) (Position, error) {
	id := req.Header.Get("Last-Event-ID")
	if id == "" {
		return Position{answer: uuid.New()}, nil
	}
	p, ok := s.Parse(id)
	if !ok || p.count > limit {
		return Position{}, newFault(http.StatusBadRequest, "bad-resume",
			"The Last-Event-ID is not one that this service gave out for this key and this body.", RanNo)
	}
	return p, nil
}

// startPosition returns the start of a new answer. It rejects requests to resume
// an answer that is not a stream, since the caller has received no part of it.
func startPosition(req *http.Request) (Position, error) {
	if req.Header.Get("Last-Event-ID") != "" {
		return Position{}, newFault(http.StatusBadRequest, "bad-resume", "Only a stream can be resumed.", RanNo)
	}
	return Position{answer: uuid.New()}, nil
}

// prefixChecker compares a regenerated answer with the part that the caller has
// already received.
type prefixChecker struct {
	from     Position
	textHash *xxhash.Digest
	count    int
}

// newPrefixChecker returns a checker for an answer resumed at from.
func newPrefixChecker(from Position) *prefixChecker {
	return &prefixChecker{from: from, textHash: xxhash.New()}
}

// add adds the next token. isNew is false if the caller has already received it.
// It returns an error if the regenerated answer differs from what the caller has.
// The two must not be joined, since the caller would see an answer that no model
// generated.
func (c *prefixChecker) add(text string) (isNew bool, err error) {
	_, _ = c.textHash.WriteString(text)
	c.count++
	if c.count > c.from.count {
		return true, nil
	}
	if c.count == c.from.count && c.textHash.Sum64() != c.from.textHash {
		return false, errResumeDiffers()
	}
	return false, nil
}

// checkEnd checks a complete answer. If it is shorter than the part that the
// caller has received, it is a different answer.
func (c *prefixChecker) checkEnd() error {
	if c.count < c.from.count {
		return errResumeDiffers()
	}
	return nil
}

// position returns the position after the last token added.
func (c *prefixChecker) position() Position {
	return Position{answer: c.from.answer, count: c.count, textHash: c.textHash.Sum64()}
}

// errResumeDiffers returns the fault for a regenerated answer that differs.
func errResumeDiffers() error {
	return newFault(http.StatusConflict, "resume-differs",
		"The answer made anew differs from the part already sent; ask again without Last-Event-ID.", RanYes)
}
