package gossip

import (
	"time"

	"fulmarwick/internal/base/news"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/talk"
)

// Digest returns the marks of all streams of at most the given scope that
// have items. Streams without any have nothing to give, so they cost nothing.
func (s *Store) Digest(least news.Scope) []talk.Mark {
	var out []talk.Mark
	for _, st := range s.streams {
		if st.key.scope >= least && len(st.items) > 0 && !st.clash {
			out = append(out, talk.Mark{Stream: st.hash, Count: st.mark})
		}
	}
	return out
}

// Wants returns the own marks of the streams in which the sender of marks is
// ahead. A mark of an own stream that is ahead shows that this instance spoke
// before under the same birth; its stream goes on after that mark.
func (s *Store) Wants(marks []talk.Mark) []talk.Mark {
	var out []talk.Mark
	for _, m := range marks {
		st := s.byHash[m.Stream]
		switch {
		case st == nil:
			out = append(out, talk.Mark{Stream: m.Stream})
		case st.clash || st.mark >= m.Count:
		case st.key.origin == s.Self:
			s.skip(st, m.Count)
		default:
			out = append(out, talk.Mark{Stream: m.Stream, Count: st.mark})
		}
	}
	return out
}

// skip stamps the items of an own stream anew after mark.
func (s *Store) skip(st *stream, mark uint64) {
	for _, e := range st.items {
		mark++
		e.item.Stamp = mark
	}
	st.mark = mark
}

// Delta returns what an instance with marks lacks, in at most limit bytes,
// and whether that is all. Urgent items go first, out of turn, in half of the
// limit; all others go in order, so that a mark is true however little fits.
// One item goes in order even if it is larger than the limit, or it would hold
// up its stream for good. Start says at which stream to begin, so that a small
// limit serves all in turn.
func (s *Store) Delta(now time.Duration, least news.Scope, marks []talk.Mark, limit, start int) ([]talk.Block, bool) {
	return s.delta(now, limit, start, have(marks), func(st *stream) bool { return st.key.scope >= least })
}

// Answer returns what comes after the marks wanted, like Delta.
func (s *Store) Answer(now time.Duration, wants []talk.Mark, limit, start int) ([]talk.Block, bool) {
	known := have(wants)
	return s.delta(now, limit, start, known, func(st *stream) bool {
		_, ok := known[st.hash]
		return ok
	})
}

func have(marks []talk.Mark) map[uint32]uint64 {
	out := make(map[uint32]uint64, len(marks))
	for _, m := range marks {
		out[m.Stream] = m.Count
	}
	return out
}

func (s *Store) delta(now time.Duration, limit, start int, known map[uint32]uint64, want func(*stream) bool) ([]talk.Block, bool) {
	w := &writer{now: now, limit: limit / 2, sent: map[*entry]bool{}}
	lacks := make([]*stream, 0, len(s.streams))
	for i := range s.streams {
		st := s.streams[(i+start)%len(s.streams)]
		if want(st) && len(st.items) > 0 && !st.clash && st.mark > known[st.hash] {
			lacks = append(lacks, st)
		}
	}
	for _, st := range lacks {
		w.urgent(st, known[st.hash])
	}
	w.limit += limit - limit/2
	w.cut = false
	for _, st := range lacks {
		w.rest(st, known[st.hash])
	}
	return w.out, !w.cut
}

// writer fills blocks up to a byte limit.
type writer struct {
	now   time.Duration
	limit int
	cut   bool
	out   []talk.Block
	// sent are the urgent items that went out of turn; moved says that the
	// part in order holds an item.
	sent  map[*entry]bool
	moved bool
}

// urgent writes the urgent items after mark, out of turn.
func (w *writer) urgent(st *stream, mark uint64) {
	b := st.block()
	for _, e := range st.items {
		if e.item.Stamp <= mark || !Urgent(e.item.Kind) {
			continue
		}
		if !w.fits(e) {
			break
		}
		w.sent[e] = true
		w.add(&b, e)
	}
	if len(b.Items) > 0 {
		w.out = append(w.out, b)
	}
}

// rest writes the items after mark in order until the limit, but for the
// urgent ones that went already. They must be passed here too: a mark that
// does not move has them sent again each time.
func (w *writer) rest(st *stream, mark uint64) {
	b := st.block()
	b.Upto = st.mark
	for _, e := range st.items {
		if e.item.Stamp <= mark || w.sent[e] {
			continue
		}
		if w.cut || w.moved && !w.fits(e) {
			w.cut = true
			// Items that came here out of turn lie beyond the own mark; what is
			// between was never here.
			b.Upto = min(b.Upto, max(mark, e.item.Stamp-1))
			break
		}
		w.moved = true
		w.add(&b, e)
	}
	if b.Upto > mark {
		w.limit -= b.Bytes()
		w.out = append(w.out, b)
	}
}

func (w *writer) fits(e *entry) bool { return w.limit >= size(&e.item) }

func (w *writer) add(b *talk.Block, e *entry) {
	entry := e.entry(w.now)
	w.limit -= entry.Bytes()
	b.Items = append(b.Items, entry)
}

// Push returns a block that carries one item out of turn.
func (s *Store) Push(now time.Duration, item news.Item) (talk.Block, bool) {
	e := s.latest[itemKey{kind: item.Kind, origin: spec.InstanceID(item.Origin), key: item.Key}]
	if e == nil || e.item.Stamp != item.Stamp {
		return talk.Block{}, false
	}
	b := e.stream.block()
	b.Items = []talk.Entry{e.entry(now)}
	return b, true
}

func (st *stream) block() talk.Block {
	return talk.Block{Origin: st.key.origin, Born: st.key.born, Scope: st.key.scope}
}

func (e *entry) entry(now time.Duration) talk.Entry {
	left := max(1, (e.until - now).Milliseconds())
	return talk.Entry{Kind: e.item.Kind, Key: e.item.Key, Stamp: e.item.Stamp, Life: left, Body: e.item.Body}
}
