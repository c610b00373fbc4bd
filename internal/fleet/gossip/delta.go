package gossip

import (
	"time"

	"fulmarwick/internal/base/news"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/proto"
)

// Digest returns the watermarks of all streams of at least the given scope
// that have items. Streams without items have nothing to send and are left
// out.
func (s *Store) Digest(least news.Scope) []proto.Watermark {
	var out []proto.Watermark
	for _, st := range s.streams {
		if st.key.scope >= least && len(st.items) > 0 && !st.hashCollision {
			out = append(out, proto.Watermark{StreamHash: st.hash, Stamp: st.watermark})
		}
	}
	return out
}

// Wants returns the local watermarks of the streams in which the sender of
// watermarks is ahead. If it is ahead in a stream of this instance, a former
// process of this instance published under the same start time. The items of
// that stream are then stamped again after its watermark.
func (s *Store) Wants(watermarks []proto.Watermark) []proto.Watermark {
	var out []proto.Watermark
	for _, m := range watermarks {
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

// restampAfter gives the items of a local stream new stamps after watermark.
func (s *Store) restampAfter(st *stream, watermark uint64) {
	for _, e := range st.items {
		watermark++
		e.item.Stamp = watermark
	}
	st.watermark = watermark
}

// Delta returns what an instance with the given watermarks lacks, in at most
// limit bytes, and whether that is everything. Urgent items go first and out
// of order, in half of the limit. All others go in order, so that a watermark
// is correct however little fits. One ordered item is sent even if it is
// larger than the limit, since it would otherwise block its stream for good.
// The search begins at the stream with index start, so that a small limit
// serves all streams in turn.
func (s *Store) Delta(now time.Duration, least news.Scope, watermarks []proto.Watermark, limit, start int) ([]proto.Block, bool) {
	return s.buildDelta(now, limit, start, watermarksByStream(watermarks), func(st *stream) bool { return st.key.scope >= least })
}

// DeltaSince returns what comes after the given watermarks, like Delta.
func (s *Store) DeltaSince(now time.Duration, wants []proto.Watermark, limit, start int) ([]proto.Block, bool) {
	known := watermarksByStream(wants)
	return s.buildDelta(now, limit, start, known, func(st *stream) bool {
		_, ok := known[st.hash]
		return ok
	})
}

func watermarksByStream(watermarks []proto.Watermark) map[uint32]uint64 {
	out := make(map[uint32]uint64, len(watermarks))
	for _, m := range watermarks {
		out[m.StreamHash] = m.Stamp
	}
	return out
}

func (s *Store) buildDelta(now time.Duration, limit, start int, known map[uint32]uint64, want func(*stream) bool) ([]proto.Block, bool) {
	w := &deltaWriter{now: now, limit: limit / 2, sentUrgent: map[*entry]bool{}}
	behind := make([]*stream, 0, len(s.streams))
	for i := range s.streams {
		st := s.streams[(i+start)%len(s.streams)]
		if want(st) && len(st.items) > 0 && !st.hashCollision && st.watermark > known[st.hash] {
			behind = append(behind, st)
		}
	}
	for _, st := range behind {
		w.writeUrgent(st, known[st.hash])
	}
	w.limit += limit - limit/2
	w.truncated = false
	for _, st := range behind {
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
	// sentUrgent are the urgent items that were written out of order.
	sentUrgent map[*entry]bool
	// orderedStarted reports that the ordered part holds an item.
	orderedStarted bool
}

// writeUrgent writes the urgent items after watermark, out of order.
func (w *deltaWriter) writeUrgent(st *stream, watermark uint64) {
	b := st.newBlock()
	for _, e := range st.items {
		if e.item.Stamp <= watermark || !Urgent(e.item.Kind) {
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

// writeOrdered writes the items after watermark in order up to the limit,
// except the urgent ones that were already written. The new watermark must
// still move past those: otherwise they would be sent again each time.
func (w *deltaWriter) writeOrdered(st *stream, watermark uint64) {
	b := st.newBlock()
	b.Watermark = st.watermark
	for _, e := range st.items {
		if e.item.Stamp <= watermark || w.sentUrgent[e] {
			continue
		}
		if w.truncated || w.orderedStarted && !w.fits(e) {
			w.truncated = true
			// Items that were received out of order lie beyond the
			// local watermark. Those between it and them were
			// never received.
			b.Watermark = min(b.Watermark, max(watermark, e.item.Stamp-1))
			break
		}
		w.orderedStarted = true
		w.add(&b, e)
	}
	if b.Watermark > watermark {
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

// PushBlock returns a block that carries one item out of order.
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
	remaining := max(1, (e.expiresAt - now).Milliseconds())
	return proto.Entry{Kind: e.item.Kind, Key: e.item.Key, Stamp: e.item.Stamp, TTLMs: remaining, Body: e.item.Body}
}
