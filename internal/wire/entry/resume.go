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
	resumeVersion = 1
	resumeCount   = 1
	resumeSum     = resumeCount + 4
	resumeID      = resumeSum + 8
	resumeSeal    = resumeID + 16
	sealBytes     = 16
	resumeBytes   = resumeSeal + sealBytes
)

// sealDomain keeps the key of the seals apart from the hash under which the
// team's key is kept.
const sealDomain = "fulmarwick resume\n"

// Position is what the id of a server-sent event says: which answer, how many
// of its tokens the caller has, and the hash of their text. Any instance can
// go on from it, given the same key and request.
type Position struct {
	answer uuid.UUID
	count  int
	sum    uint64
}

// Count is how many tokens the caller has.
func (p Position) Count() int { return p.count }

// Sealer writes and reads positions for one team and request. The seal is
// keyed with the team's own key, which both instances learn from the request
// itself: no secret is shared and no other team can make one.
type Sealer struct {
	mac   hash.Hash
	print [8]byte
	raw   [resumeBytes]byte
	sum   [sha256.Size]byte
}

// NewSealer returns the sealer for requests with the given fingerprint under
// the team's bearer key.
func NewSealer(bearer string, print uint64) *Sealer {
	key := sha256.Sum256([]byte(sealDomain + bearer))
	s := &Sealer{mac: hmac.New(sha256.New, key[:])}
	binary.BigEndian.PutUint64(s.print[:], print)
	return s
}

// Append writes the token of p to dst.
func (s *Sealer) Append(dst []byte, p Position) []byte {
	s.raw[0] = resumeVersion
	binary.BigEndian.PutUint32(s.raw[resumeCount:], uint32(p.count))
	binary.BigEndian.PutUint64(s.raw[resumeSum:], p.sum)
	copy(s.raw[resumeID:], p.answer[:])
	copy(s.raw[resumeSeal:], s.seal(s.raw[:resumeSeal]))
	return base64.RawURLEncoding.AppendEncode(dst, s.raw[:])
}

// Parse reads what Append wrote; false for anything else, also if it was
// written for another team or request.
func (s *Sealer) Parse(token string) (Position, bool) {
	if len(token) != base64.RawURLEncoding.EncodedLen(resumeBytes) {
		return Position{}, false
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(token)
	if err != nil || raw[0] != resumeVersion {
		return Position{}, false
	}
	if !hmac.Equal(raw[resumeSeal:], s.seal(raw[:resumeSeal])) {
		return Position{}, false
	}
	count := binary.BigEndian.Uint32(raw[resumeCount:])
	if count == 0 || count > math.MaxInt32 {
		return Position{}, false
	}
	p := Position{count: int(count), sum: binary.BigEndian.Uint64(raw[resumeSum:])}
	copy(p.answer[:], raw[resumeID:])
	return p, true
}

func (s *Sealer) seal(data []byte) []byte {
	s.mac.Reset()
	_, _ = s.mac.Write(s.print[:])
	_, _ = s.mac.Write(data)
	return s.mac.Sum(s.sum[:0])[:sealBytes]
}

// readResume takes the position from the Last-Event-ID header, if there is
// one.
func readResume(req *http.Request, s *Sealer, limit int) (Position, error) {
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

// readWhole refuses to resume an answer that is not a stream: the caller has
// none of it yet.
func readWhole(req *http.Request) (Position, error) {
	if req.Header.Get("Last-Event-ID") != "" {
		return Position{}, newFault(http.StatusBadRequest, "bad-resume", "Only a stream can be resumed.", RanNo)
	}
	return Position{answer: uuid.New()}, nil
}

// follow checks an answer against the part that the caller has already.
type follow struct {
	from Position
	sum  *xxhash.Digest
	at   int
}

func newFollow(from Position) *follow {
	return &follow{from: from, sum: xxhash.New()}
}

// take adds the next token; fresh is false while the caller has it already.
// The error says that the answer made anew differs from what the caller has,
// which must not be spliced: the caller would see an answer that no model
// gave.
func (f *follow) take(text string) (fresh bool, err error) {
	_, _ = f.sum.WriteString(text)
	f.at++
	if f.at > f.from.count {
		return true, nil
	}
	if f.at == f.from.count && f.sum.Sum64() != f.from.sum {
		return false, errDiffers()
	}
	return false, nil
}

// end checks an answer that is over: one shorter than what the caller has is
// another answer.
func (f *follow) end() error {
	if f.at < f.from.count {
		return errDiffers()
	}
	return nil
}

// now is the position after the last token taken.
func (f *follow) now() Position {
	return Position{answer: f.from.answer, count: f.at, sum: f.sum.Sum64()}
}

func errDiffers() error {
	return newFault(http.StatusConflict, "resume-differs",
		"The answer made anew differs from the part already sent; ask again without Last-Event-ID.", RanYes)
}
