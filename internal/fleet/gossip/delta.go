package gossip

import (
	"time"

	"fulmarwick/internal/base/news"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/proto"
)

// Digest returns the marks of all streams of at most the given scope that
// have items. Streams without any have nothing to give, so they cost nothing.
func (s *Store) Digest(least news.Scope) []proto.Watermark {
	var out []proto.Watermark
	for _, st := range s.streams {
		if st.key.scope >= least && len(st.items) > 0 && !st.hashCollision {
			out = append(out, proto.Watermark{StreamHash: st.hash, Stamp: st.watermark})
		}
	}
	return out
}

// Wants returns the own marks of the streams in which the sender of marks is
// ahead. A mark of an own stream that is ahead shows that this instance spoke
// before under the same birth; its stream goes on after that mark.
func (s *Store) Wants(marks []proto.Watermark) []proto.Watermark {
	var out []proto.Watermark
	for _, m := range marks {
		st := s.byHash[m.StreamHash]
		switch {
		case st == nil:
			out = append(out, proto.Watermark{StreamHash: m.StreamHash})
		case st.hashCollision || st.watermark >= m.Stamp:
		case st.key.origin == s.LocalID:
			s.restampAfter(st, m.Stamp)
		default:
			out = append(out, proto.Watermark{StreamHash: m.StreamHash, Stamp: st.watermark})
		}
	}
	return out
}

// restampAfter stamps the items of an own stream anew after mark.
func (s *Store) restampAfter(st *stream, mark uint64) {
	for _, e := range st.items {
		mark++
		e.item.Stamp = mark
	}
	st.watermark = mark
}

// Delta returns what an instance with marks lacks, in at most limit bytes,
// and whether that is all. Urgent items go first, out of turn, in half of the
// limit; all others go in order, so that a mark is true however little fits.
// One item goes in order even if it is larger than the limit, or it would hold
// up its stream for good. Start says at which stream to begin, so that a small
// limit serves all in turn.
func (s *Store) Delta(now time.Duration, least news.Scope, marks []proto.Watermark, limit, start int) ([]proto.Block, bool) {
	return s.buildDelta(now, limit, start, watermarksByStream(marks), func(st *stream) bool { return st.key.scope >= least })
}

// DeltaSince returns what comes after the marks wanted, like Delta.
func (s *Store) DeltaSince(now time.Duration, wants []proto.Watermark, limit, start int) ([]proto.Block, bool) {
	known := watermarksByStream(wants)
	return s.buildDelta(now, limit, start, known, func(st *stream) bool {
		_, ok := known[st.hash]
		return ok
	})
}

func watermarksByStream(marks []proto.Watermark) map[uint32]uint64 {
	out := make(map[uint32]uint64, len(marks))
	for _, m := range marks {
		out[m.StreamHash] = m.Stamp
	}
	return out
}

func (s *Store) buildDelta(now time.Duration, limit, start int, known map[uint32]uint64, want func(*stream) bool) ([]proto.Block, bool) {
	w := &deltaWriter{now: now, limit: limit / 2, sentUrgent: map[*entry]bool{}}
	lacks := make([]*stream, 0, len(s.streams))
	for i := range s.streams {
		st := s.streams[(i+start)%len(s.streams)]
		if want(st) && len(st.items) > 0 && !st.hashCollision && st.watermark > known[st.hash] {
			lacks = append(lacks, st)
		}
	}
	for _, st := range lacks {
		w.writeUrgent(st, known[st.hash])
	}
	w.limit += limit - limit/2
	w.truncated = false
	for _, st := range lacks {
		w.writeOrdered(st, known[st.hash])
	}
	return w.blocks, !w.truncated
}

// deltaWriter fills blocks up to a byte limit.
type deltaWriter struct {
	now       time.Duration
	limit     int
	truncated bool
	blocks    []proto.Block
	// sentUrgent are the urgent items that went out of turn; moved says that the
	// part in order holds an item.
	sentUrgent     map[*entry]bool
	orderedStarted bool
}

// writeUrgent writes the urgent items after mark, out of turn.
func (w *deltaWriter) writeUrgent(st *stream, mark uint64) {
	b := st.newBlock()
	for _, e := range st.items {
		if e.item.Stamp <= mark || !Urgent(e.item.Kind) {
			continue
		}
		if !w.fits(e) {
			break
		}
		w.sentUrgent[e] = true
		w.add(&b, e)
	}
	if len(b.Items) > 0 {
		w.blocks = append(w.blocks, b)
	}
}

// writeOrdered writes the items after mark in order until the limit, but for the
// urgent ones that went already. They must be passed here too: a mark that
// does not move has them sent again each time.
func (w *deltaWriter) writeOrdered(st *stream, mark uint64) {
	b := st.newBlock()
	b.Watermark = st.watermark
	for _, e := range st.items {
		if e.item.Stamp <= mark || w.sentUrgent[e] {
			continue
		}
		if w.truncated || w.orderedStarted && !w.fits(e) {
			w.truncated = true
			// Items that came here out of turn lie beyond the own mark; what is
			// between was never here.
			b.Watermark = min(b.Watermark, max(mark, e.item.Stamp-1))
			break
		}
		w.orderedStarted = true
		w.add(&b, e)
	}
	if b.Watermark > mark {
		w.limit -= b.HeaderBytes()
		w.blocks = append(w.blocks, b)
	}
}

func (w *deltaWriter) fits(e *entry) bool { return w.limit >= itemBytes(&e.item) }

func (w *deltaWriter) add(b *proto.Block, e *entry) {
	entry := e.toWire(w.now)
	w.limit -= entry.Bytes()
	b.Items = append(b.Items, entry)
}

// PushBlock returns a block that carries one item out of turn.
func (s *Store) PushBlock(now time.Duration, item news.Item) (proto.Block, bool) {
	e := s.latest[itemKey{kind: item.Kind, origin: spec.InstanceID(item.Origin), key: item.Key}]
	if e == nil || e.item.Stamp != item.Stamp {
		return proto.Block{}, false
	}
	b := e.stream.newBlock()
	b.Items = []proto.Entry{e.toWire(now)}
	return b, true
}

func (st *stream) newBlock() proto.Block {
	return proto.Block{Origin: st.key.origin, StartTime: st.key.startTime, Scope: st.key.scope}
}

func (e *entry) toWire(now time.Duration) proto.Entry {
	left := max(1, (e.expiresAt - now).Milliseconds())
	return proto.Entry{Kind: e.item.Kind, Key: e.item.Key, Stamp: e.item.Stamp, TTLMs: left, Body: e.item.Body}
}
