package stage

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"fulmarwick/internal/base/frame"

	"github.com/cespare/xxhash/v2"
)

const (
	// blockBytes is the size of a cached prompt block.
	blockBytes = 256
	// keptEvents is the number of cache events that the log retains.
	keptEvents = 1024
)

// cache is the prefix cache. It holds the hashes of prompt blocks, the least
// recently used one first, and a log of added and removed blocks.
type cache struct {
	blocks []uint64
	log    []loggedEvent
	seq    uint64
}

type loggedEvent struct {
	event frame.Event
	at    time.Time
}

// addPrompt adds the blocks of a prompt to the cache, which holds at most limit
// blocks.
func (c *cache) addPrompt(text string, limit int) {
	hash := xxhash.New()
	for len(text) >= blockBytes && limit > 0 {
		_, _ = hash.WriteString(text[:blockBytes])
		c.touch(hash.Sum64(), limit)
		text = text[blockBytes:]
	}
}

// touch marks a block as used and adds it if it is missing. It evicts the least
// recently used blocks to stay within limit.
func (c *cache) touch(block uint64, limit int) {
	if i := slices.Index(c.blocks, block); i >= 0 {
		c.blocks = append(slices.Delete(c.blocks, i, i+1), block)
		return
	}
	for len(c.blocks) >= limit {
		c.record(false, c.blocks[0])
		c.blocks = slices.Delete(c.blocks, 0, 1)
	}
	c.blocks = append(c.blocks, block)
	c.record(true, block)
}

// record logs that a block was added or removed.
func (c *cache) record(added bool, block uint64) {
	c.seq++
	c.log = append(c.log, loggedEvent{event: frame.Event{Seq: c.seq, Added: added, Block: block}, at: time.Now()})
	if len(c.log) > keptEvents {
		c.log = slices.Delete(c.log, 0, len(c.log)-keptEvents)
	}
}

func (e *Engine) handleEvents(w http.ResponseWriter, req *http.Request) {
	since, err := strconv.ParseUint(req.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(w, "parameter since must be a number", http.StatusBadRequest)
		return
	}
	e.lock()
	defer e.mu.Unlock()
	writeJSON(w, e.eventsSince(since))
}

// eventsSince returns the cache events after a sequence number that are at
// least EventLag old. If the log does not cover them, it returns the entire
// content of the cache with Reset set.
func (e *Engine) eventsSince(since uint64) frame.Events {
	c := &e.cache
	first := c.seq - uint64(len(c.log)) + 1
	if since > c.seq || since+1 < first {
		return frame.Events{Seq: c.seq, Reset: true, Blocks: slices.Clone(c.blocks)}
	}
	out := frame.Events{Seq: since}
	for _, entry := range c.log {
		if entry.event.Seq <= since {
			continue
		}
		if time.Since(entry.at) < e.EventLag {
			break
		}
		out.Seq = entry.event.Seq
		if e.SkipEvent == nil || !e.SkipEvent(entry.event.Seq) {
			out.Events = append(out.Events, entry.event)
		}
	}
	return out
}
