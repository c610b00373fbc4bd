package pick

import (
	"container/list"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/world"
)

const (
	// DefaultBlocks bounds the prompt blocks remembered; with at most
	// holdersMost engines each this is about 4 MB.
	DefaultBlocks = 16384
	holdersMost   = 8
	// ownKeep is how long own history counts for an engine that tells no
	// cache events.
	ownKeep = 2 * time.Minute
	// BlockTokens is how many prompt tokens a block covers, as package entry
	// cuts them.
	BlockTokens = 64
)

// Cache remembers which engines have the KV of which prompt blocks, from what
// was sent to them and from their cache events. Memory is bounded: the block
// used longest ago goes first.
type Cache struct {
	// Blocks bounds the blocks remembered; zero is DefaultBlocks.
	Blocks int

	blocks  map[uint64]*list.Element
	recent  list.List
	engines map[spec.UpstreamID]*feed
	epochs  uint64
}

// feed follows the cache events of an engine.
type feed struct {
	seq uint64
	// synced is set while no event was missed since the last whole list.
	synced bool
	heard  bool
	// epoch changes when all that was known of the engine became doubtful;
	// entries of other epochs count no more.
	epoch uint64
}

type block struct {
	hash    uint64
	holders []holder
}

type holder struct {
	engine spec.UpstreamID
	epoch  uint64
	at     time.Duration
	told   bool
}

// cached is an engine with some of a prompt.
type cached struct {
	engine *world.Engine
	tokens int
}

// Ran notes that a prompt went through an engine.
func (c *Cache) Ran(now time.Duration, engine spec.UpstreamID, blocks []uint64) {
	f := c.feed(engine)
	for _, b := range blocks {
		c.put(b, holder{engine: engine, epoch: f.epoch, at: now})
	}
}

// Seen takes cache events. After a gap nothing known of the engine before is
// trusted, since a missed event may have removed it; until a whole list comes
// only what is sent to the engine after the gap counts.
func (c *Cache) Seen(now time.Duration, ev world.CacheSeen) {
	f := c.feed(ev.Engine)
	if f.heard && ev.Seq <= f.seq {
		return
	}
	// The first event of all shows the whole content so far.
	f.synced = f.synced || (!f.heard && ev.Seq == 1)
	gap := f.heard && ev.Seq != f.seq+1
	f.heard = true
	f.seq = ev.Seq
	switch {
	case ev.Reset:
		c.doubt(f)
		f.synced = true
	case gap:
		c.doubt(f)
		f.synced = false
	}
	for _, b := range ev.Removed {
		c.remove(b, ev.Engine)
	}
	if !f.synced {
		return
	}
	for _, b := range ev.Added {
		c.put(b, holder{engine: ev.Engine, epoch: f.epoch, at: now, told: true})
	}
}

// Gone forgets what an engine had: it died or was removed. Its entries count
// no more, since a later life of it starts at an epoch of its own.
func (c *Cache) Gone(engine spec.UpstreamID) { delete(c.engines, engine) }

// doubt ends the trust in all that is known of an engine.
func (c *Cache) doubt(f *feed) {
	c.epochs++
	f.epoch = c.epochs
}

// find returns the engines with the longest cached prefixes of a prompt.
func (c *Cache) find(w *world.World, blocks []uint64) []cached {
	var out []cached
	for i := len(blocks) - 1; i >= 0 && len(out) < cachedTry; i-- {
		el := c.blocks[blocks[i]]
		if el == nil {
			continue
		}
		c.recent.MoveToFront(el)
		for _, h := range el.Value.(*block).holders {
			if !c.valid(w.Now(), h) || found(out, h.engine) || len(out) >= cachedTry {
				continue
			}
			if e := w.Engines().Get(h.engine); e != nil {
				out = append(out, cached{engine: e, tokens: (i + 1) * BlockTokens})
			}
		}
	}
	return out
}

func found(out []cached, id spec.UpstreamID) bool {
	for _, o := range out {
		if o.engine.ID == id {
			return true
		}
	}
	return false
}

func (c *Cache) valid(now time.Duration, h holder) bool {
	f := c.engines[h.engine]
	if f == nil || f.epoch != h.epoch {
		return false
	}
	return h.told || f.synced || now-h.at < ownKeep
}

// Len is how many blocks are remembered.
func (c *Cache) Len() int { return c.recent.Len() }

func (c *Cache) feed(engine spec.UpstreamID) *feed {
	if c.engines == nil {
		c.engines = map[spec.UpstreamID]*feed{}
	}
	f := c.engines[engine]
	if f == nil {
		f = &feed{}
		c.doubt(f)
		c.engines[engine] = f
	}
	return f
}

func (c *Cache) put(hash uint64, h holder) {
	if c.blocks == nil {
		c.blocks = map[uint64]*list.Element{}
	}
	el := c.blocks[hash]
	if el == nil {
		el = c.recent.PushFront(&block{hash: hash})
		c.blocks[hash] = el
		c.trim()
	} else {
		c.recent.MoveToFront(el)
	}
	b := el.Value.(*block)
	for i := range b.holders {
		if b.holders[i].engine == h.engine {
			b.holders[i] = h
			return
		}
	}
	if len(b.holders) >= holdersMost {
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
		c.recent.Remove(el)
		delete(c.blocks, hash)
	}
}

func (c *Cache) trim() {
	limit := c.Blocks
	if limit == 0 {
		limit = DefaultBlocks
	}
	for c.recent.Len() > limit {
		last := c.recent.Back()
		c.recent.Remove(last)
		delete(c.blocks, last.Value.(*block).hash)
	}
}
