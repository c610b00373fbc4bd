package pick

import (
	"container/list"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

const (
	// DefaultMaxBlocks bounds the prompt blocks remembered; with at most
	// holdersMost engines each this is about 4 MB.
	DefaultMaxBlocks = 16384
	maxBlockHolders  = 8
	// localEntryTTL is how long own history counts for an engine that tells no
	// cache events.
	localEntryTTL = 2 * time.Minute
	// BlockTokens is how many prompt tokens a block covers, as package entry
	// cuts them.
	BlockTokens = 64
)

// Cache remembers which engines have the KV of which prompt blocks, from what
// was sent to them and from their cache events. Memory is bounded: the block
// used longest ago goes first.
type Cache struct {
	// MaxBlocks bounds the blocks remembered; zero is DefaultBlocks.
	MaxBlocks int

	blocks    map[uint64]*list.Element
	lru       list.List
	feeds     map[spec.UpstreamID]*feed
	lastEpoch uint64
}

// feed follows the cache events of an engine.
type feed struct {
	seq uint64
	// synced is set while no event was missed since the last whole list.
	synced   bool
	received bool
	// epoch changes when all that was known of the engine became doubtful;
	// entries of other epochs count no more.
	epoch uint64
}

type block struct {
	hash    uint64
	holders []holder
}

type holder struct {
	engine     spec.UpstreamID
	epoch      uint64
	recordedAt time.Duration
	reported   bool
}

// cachedPrefix is an engine with some of a prompt.
type cachedPrefix struct {
	engine *domain.Engine
	tokens int
}

// RecordPrompt notes that a prompt went through an engine.
func (c *Cache) RecordPrompt(now time.Duration, engine spec.UpstreamID, blocks []uint64) {
	f := c.feedOf(engine)
	for _, b := range blocks {
		c.put(b, holder{engine: engine, epoch: f.epoch, recordedAt: now})
	}
}

// ApplyEvent takes cache events. After a gap nothing known of the engine before is
// trusted, since a missed event may have removed it; until a whole list comes
// only what is sent to the engine after the gap counts.
func (c *Cache) ApplyEvent(now time.Duration, ev domain.CacheReport) {
	f := c.feedOf(ev.Engine)
	if f.received && ev.Seq <= f.seq {
		return
	}
	// The first event of all shows the whole content so far.
	f.synced = f.synced || (!f.received && ev.Seq == 1)
	gap := f.received && ev.Seq != f.seq+1
	f.received = true
	f.seq = ev.Seq
	switch {
	case ev.Reset:
		c.invalidate(f)
		f.synced = true
	case gap:
		c.invalidate(f)
		f.synced = false
	}
	for _, b := range ev.Removed {
		c.remove(b, ev.Engine)
	}
	if !f.synced {
		return
	}
	for _, b := range ev.Added {
		c.put(b, holder{engine: ev.Engine, epoch: f.epoch, recordedAt: now, reported: true})
	}
}

// RemoveEngine forgets what an engine had: it died or was removed. Its entries count
// no more, since a later life of it starts at an epoch of its own.
func (c *Cache) RemoveEngine(engine spec.UpstreamID) { delete(c.feeds, engine) }

// invalidate ends the trust in all that is known of an engine.
func (c *Cache) invalidate(f *feed) {
	c.lastEpoch++
	f.epoch = c.lastEpoch
}

// longestPrefixes returns the engines with the longest cached prefixes of a prompt.
func (c *Cache) longestPrefixes(w *domain.RoutingState, blocks []uint64) []cachedPrefix {
	var out []cachedPrefix
	for i := len(blocks) - 1; i >= 0 && len(out) < maxCachedEngines; i-- {
		el := c.blocks[blocks[i]]
		if el == nil {
			continue
		}
		c.lru.MoveToFront(el)
		for _, h := range el.Value.(*block).holders {
			if !c.isValid(w.Now(), h) || containsEngine(out, h.engine) || len(out) >= maxCachedEngines {
				continue
			}
			if e := w.Engines().Get(h.engine); e != nil {
				out = append(out, cachedPrefix{engine: e, tokens: (i + 1) * BlockTokens})
			}
		}
	}
	return out
}

func containsEngine(out []cachedPrefix, id spec.UpstreamID) bool {
	for _, o := range out {
		if o.engine.ID == id {
			return true
		}
	}
	return false
}

func (c *Cache) isValid(now time.Duration, h holder) bool {
	f := c.feeds[h.engine]
	if f == nil || f.epoch != h.epoch {
		return false
	}
	return h.reported || f.synced || now-h.recordedAt < localEntryTTL
}

// Len is how many blocks are remembered.
func (c *Cache) Len() int { return c.lru.Len() }

func (c *Cache) feedOf(engine spec.UpstreamID) *feed {
	if c.feeds == nil {
		c.feeds = map[spec.UpstreamID]*feed{}
	}
	f := c.feeds[engine]
	if f == nil {
		f = &feed{}
		c.invalidate(f)
		c.feeds[engine] = f
	}
	return f
}

func (c *Cache) put(hash uint64, h holder) {
	if c.blocks == nil {
		c.blocks = map[uint64]*list.Element{}
	}
	el := c.blocks[hash]
	if el == nil {
		el = c.lru.PushFront(&block{hash: hash})
		c.blocks[hash] = el
		c.evict()
	} else {
		c.lru.MoveToFront(el)
	}
	b := el.Value.(*block)
	for i := range b.holders {
		if b.holders[i].engine == h.engine {
			b.holders[i] = h
			return
		}
	}
	if len(b.holders) >= maxBlockHolders {
		b.holders = append(b.holders[:0], b.holders[1:]...)
	}
	b.holders = append(b.holders, h)
}

func (c *Cache) remove(hash uint64, engine spec.UpstreamID) {
	el := c.blocks[hash]
	if el == nil {
		return
	}
	b := el.Value.(*block)
	for i := range b.holders {
		if b.holders[i].engine == engine {
			b.holders = append(b.holders[:i], b.holders[i+1:]...)
			break
		}
	}
	if len(b.holders) == 0 {
		c.lru.Remove(el)
		delete(c.blocks, hash)
	}
}

func (c *Cache) evict() {
	limit := c.MaxBlocks
	if limit == 0 {
		limit = DefaultMaxBlocks
	}
	for c.lru.Len() > limit {
		last := c.lru.Back()
		c.lru.Remove(last)
		delete(c.blocks, last.Value.(*block).hash)
	}
}
