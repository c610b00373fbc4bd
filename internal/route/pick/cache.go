package pick

import (
	"container/list"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

const (
	// DefaultMaxBlocks limits the number of tracked prompt blocks. With at most
	// maxBlockHolders engines each, this takes about 4 MB.
	DefaultMaxBlocks = 16384
	// maxBlockHolders limits the number of engines tracked for one block.
	maxBlockHolders = 8
	// localEntryTTL is how long a prompt that this instance sent counts as
	// cached on an engine whose cache events are missing.
	localEntryTTL = 2 * time.Minute
	// BlockTokens is how many prompt tokens a block covers. Package entry
	// splits prompts into blocks of this size.
	BlockTokens = 64
)

// Cache tracks which engines have the KV of which prompt blocks cached. It
// learns this from the prompts sent to the engines and from their cache events.
// Its memory is bounded: the least recently used block is evicted first.
type Cache struct {
	// MaxBlocks limits the number of tracked blocks. Zero means
	// DefaultMaxBlocks.
	MaxBlocks int

	blocks    map[uint64]*list.Element
	lru       list.List
	feeds     map[spec.UpstreamID]*feed
	lastEpoch uint64
}

// feed tracks the sequence of cache events of an engine.
type feed struct {
	seq uint64
	// synced is true while no event was missed since the last complete list.
	synced   bool
	received bool
	// epoch changes when the known cache content of the engine becomes
	// unreliable. Entries of older epochs are invalid.
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

// cachedPrefix is an engine that has the first tokens of a prompt cached.
type cachedPrefix struct {
	engine *domain.Engine
	tokens int
}

// RecordPrompt records that a prompt was sent to an engine.
func (c *Cache) RecordPrompt(now time.Duration, engine spec.UpstreamID, blocks []uint64) {
	f := c.feedOf(engine)
	for _, b := range blocks {
		c.put(b, holder{engine: engine, epoch: f.epoch, recordedAt: now})
	}
}

// ApplyEvent applies a cache event. After a gap in the sequence, all earlier
// entries of the engine are invalid, since a missed event may have removed
// them. Until a complete list arrives, only prompts sent to the engine after
// the gap count.
func (c *Cache) ApplyEvent(now time.Duration, ev domain.CacheReport) {
	f := c.feedOf(ev.Engine)
	if f.received && ev.Seq <= f.seq {
		return
	}
	// The event with sequence number 1 lists the complete cache content so far.
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

// RemoveEngine discards the state of an engine that died or was removed. Its
// entries become invalid, since the engine gets a new epoch if it returns.
func (c *Cache) RemoveEngine(engine spec.UpstreamID) { delete(c.feeds, engine) }

// invalidate makes all earlier entries of an engine invalid.
func (c *Cache) invalidate(f *feed) {
	c.lastEpoch++
	f.epoch = c.lastEpoch
}

// longestPrefixes returns the engines with the longest cached prefixes of a
// prompt.
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

// Len returns the number of tracked blocks.
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
