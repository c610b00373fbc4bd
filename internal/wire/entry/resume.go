package entry

import (
	"encoding/base64"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// resume is what the id of a server-sent event says: which answer, how many
// of its tokens were sent, and the hash of their text. Any instance can go on
// from it, given the same request body.
type resume struct {
	Request string `cbor:"1,keyasint"`
	Count   int    `cbor:"2,keyasint"`
	Sum     uint64 `cbor:"3,keyasint"`
}

func (r resume) token() string {
	data, err := cbor.Marshal(r)
	if err != nil {
		return ""
	}
	return base64.RawURLEncoding.EncodeToString(data)
}

func readResume(req *http.Request) (resume, error) {
	id := req.Header.Get("Last-Event-ID")
	if id == "" {
		return resume{}, nil
	}
	bad := newFault(http.StatusBadRequest, "bad-resume", "The Last-Event-ID is not one that this service gave out.", RanNo)
	data, err := base64.RawURLEncoding.DecodeString(id)
	if err != nil {
		return resume{}, bad
	}
	var r resume
	if err := cbor.Unmarshal(data, &r); err != nil || r.Count < 0 || r.Request == "" {
		return resume{}, bad
	}
	return r, nil
}

// follow checks an answer against the part that the caller has already.
type follow struct {
	from resume
	sum  *xxhash.Digest
	at   int
}

func newFollow(from resume) *follow {
	return &follow{from: from, sum: xxhash.New()}
}

// take adds the next token and returns the resume token after it; fresh is
// false while the caller has the token already. The error says that the
// answer made anew differs from what the caller has, which must not be spliced.
func (f *follow) take(text string) (id string, fresh bool, err error) {
	_, _ = f.sum.WriteString(text)
	f.at++
	if f.at < f.from.Count {
		return "", false, nil
	}
	if f.at == f.from.Count {
		if f.sum.Sum64() != f.from.Sum {
			return "", false, newFault(http.StatusConflict, "resume-differs", "The answer made anew differs from the part already sent; ask again without Last-Event-ID.", RanYes)
		}
		return "", false, nil
	}
	next := resume{Request: f.from.Request, Count: f.at, Sum: f.sum.Sum64()}
	return next.token(), true, nil
}
