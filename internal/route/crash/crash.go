// Package crash recognises requests on whose runs upstreams die.
//
// It imports base/spec. Package app/edge tells it of deaths and asks
// it before a request is sent. It does no I/O and reads no clock.
//
// A request that crashes what runs it comes again, through any instance. All
// that ran on an upstream that died are suspects, so one death proves nothing:
// a suspect counts as guilty after the third upstream, and an answer that comes
// to its end clears it. Many callers may send the same at once, and engines may
// die together for reasons of their own, so a death counts only if the run that
// met it began after the one before: a request that crashes what runs it is
// sent again and again.
package crash

import (
	"hash/fnv"
	"io"
	"slices"
	"sort"
	"time"

	"fulmarwick/internal/base/spec"
)

const (
	// guilty is after how many deaths a request is sent no more. Streams that
	// share an engine with a guilty one meet two deaths now and then.
	guilty = 3
	// expiry is how long a death counts against a request.
	expiry = time.Minute
	// most bounds the requests remembered.
	most = 4096
)

// Print is the fingerprint of a request: its team, path and body.
func Print(team, path string, body []byte) uint64 {
	h := fnv.New64a()
	// Writes to a hash do not fail.
	_, _ = io.WriteString(h, team)
	_, _ = h.Write([]byte{0})
	_, _ = io.WriteString(h, path)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(body)
	return h.Sum64()
}

// Death is an upstream that died while it ran a request. Fields are exported
// because the CBOR codec fills them.
type Death struct {
	Print uint64 `cbor:"1,keyasint"`
	// Upstream is its name, Born the start of the process that died.
	Upstream spec.UpstreamID `cbor:"2,keyasint"`
	Born     int64           `cbor:"3,keyasint"`
	// Ran is how long the request had run, in milliseconds.
	Ran int64 `cbor:"4,keyasint"`
}

type suspect struct {
	deaths []Death
	at     time.Duration
}

// Book remembers suspects. It is not safe for concurrent use.
type Book struct {
	suspects map[uint64]suspect
}

// Strike counts a death against a request. It returns false if it counted
// before.
func (b *Book) Strike(now time.Duration, d Death) bool {
	if b.suspects == nil {
		b.suspects = map[uint64]suspect{}
	}
	s := b.live(now, d.Print)
	began := now - time.Duration(d.Ran)*time.Millisecond
	known := slices.ContainsFunc(s.deaths, func(o Death) bool { return o.Upstream == d.Upstream && o.Born == d.Born })
	if known || len(s.deaths) > 0 && began <= s.at {
		return false
	}
	if len(s.deaths) < guilty {
		s.deaths = append(slices.Clip(s.deaths), d)
	}
	b.suspects[d.Print] = suspect{deaths: s.deaths, at: now}
	if len(b.suspects) > most {
		b.forget()
	}
	return true
}

func (b *Book) live(now time.Duration, print uint64) suspect {
	s := b.suspects[print]
	if now-s.at > expiry {
		return suspect{}
	}
	return s
}

// forget drops the older half.
func (b *Book) forget() {
	prints := make([]uint64, 0, len(b.suspects))
	for p := range b.suspects {
		prints = append(prints, p)
	}
	sort.Slice(prints, func(i, j int) bool { return b.suspects[prints[i]].at < b.suspects[prints[j]].at })
	for _, p := range prints[:len(prints)/2] {
		delete(b.suspects, p)
	}
}

// Clear forgets a request that an upstream ran to its end.
func (b *Book) Clear(print uint64) { delete(b.suspects, print) }

// Guilty reports whether a request must not be sent any more.
func (b *Book) Guilty(now time.Duration, print uint64) bool {
	return len(b.live(now, print).deaths) >= guilty
}
