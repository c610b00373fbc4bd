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

// The layout of a resume token before base64: a version byte, the count of
// tokens, the hash of their text, the answer's id and the seal.
const (
	resumeTokenVersion = 1
	countOffset        = 1
	hashOffset         = countOffset + 4
	idOffset           = hashOffset + 8
	sealOffset         = idOffset + 16
	sealBytes          = 16
	resumeTokenBytes   = sealOffset + sealBytes
)

// sealDomain keeps the key of the seals apart from the hash under which the
// team's key is kept.
const sealDomain = "fulmarwick resume\n"

// Position is what the id of a server-sent event says: which answer, how many
// of its tokens the caller has, and the hash of their text. Any instance can
// go on from it, given the same key and request.
type Position struct {
	answer   uuid.UUID
	count    int
	textHash uint64
}

// Count is how many tokens the caller has.
func (p Position) Count() int { return p.count }

// Sealer writes and reads positions for one team and request. The seal is
// keyed with the team's own key, which both instances learn from the request
// itself: no secret is shared and no other team can make one.
type Sealer struct {
	mac         hash.Hash
	fingerprint [8]byte
	tokenBuffer [resumeTokenBytes]byte
	sealBuffer  [sha256.Size]byte
}

// NewSealer returns the sealer for requests with the given fingerprint under
// the team's bearer key.
func NewSealer(bearer string, print uint64) *Sealer {
	key := sha256.Sum256([]byte(sealDomain + bearer))
	s := &Sealer{mac: hmac.New(sha256.New, key[:])}
	binary.BigEndian.PutUint64(s.fingerprint[:], print)
	return s
}

// Append writes the token of p to dst.
func (s *Sealer) Append(dst []byte, p Position) []byte {
	s.tokenBuffer[0] = resumeTokenVersion
	binary.BigEndian.PutUint32(s.tokenBuffer[countOffset:], uint32(p.count))
	binary.BigEndian.PutUint64(s.tokenBuffer[hashOffset:], p.textHash)
	copy(s.tokenBuffer[idOffset:], p.answer[:])
	copy(s.tokenBuffer[sealOffset:], s.seal(s.tokenBuffer[:sealOffset]))
	return base64.RawURLEncoding.AppendEncode(dst, s.tokenBuffer[:])
}

// Parse reads what Append wrote; false for anything else, also if it was
// written for another team or request.
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

func (s *Sealer) seal(data []byte) []byte {
	s.mac.Reset()
	_, _ = s.mac.Write(s.fingerprint[:])
	_, _ = s.mac.Write(data)
	return s.mac.Sum(s.sealBuffer[:0])[:sealBytes]
}

// resumePosition takes the position from the Last-Event-ID header, if there is
// one.
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

// startPosition refuses to resume an answer that is not a stream: the caller has
// none of it yet.
func startPosition(req *http.Request) (Position, error) {
	if req.Header.Get("Last-Event-ID") != "" {
		return Position{}, newFault(http.StatusBadRequest, "bad-resume", "Only a stream can be resumed.", RanNo)
	}
	return Position{answer: uuid.New()}, nil
}

// prefixChecker checks an answer against the part that the caller has already.
type prefixChecker struct {
	from     Position
	textHash *xxhash.Digest
	count    int
}

func newPrefixChecker(from Position) *prefixChecker {
	return &prefixChecker{from: from, textHash: xxhash.New()}
}

// add adds the next token; fresh is false while the caller has it already.
// The error says that the answer made anew differs from what the caller has,
// which must not be spliced: the caller would see an answer that no model
// gave.
func (f *prefixChecker) add(text string) (fresh bool, err error) {
	_, _ = f.textHash.WriteString(text)
	f.count++
	if f.count > f.from.count {
		return true, nil
	}
	if f.count == f.from.count && f.textHash.Sum64() != f.from.textHash {
		return false, errResumeDiffers()
	}
	return false, nil
}

// checkEnd checks an answer that is over: one shorter than what the caller has is
// another answer.
func (f *prefixChecker) checkEnd() error {
	if f.count < f.from.count {
		return errResumeDiffers()
	}
	return nil
}

// position is the position after the last token taken.
func (f *prefixChecker) position() Position {
	return Position{answer: f.from.answer, count: f.count, textHash: f.textHash.Sum64()}
}

func errResumeDiffers() error {
	return newFault(http.StatusConflict, "resume-differs",
		"The answer made anew differs from the part already sent; ask again without Last-Event-ID.", RanYes)
}
