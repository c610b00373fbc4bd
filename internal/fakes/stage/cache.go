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
	// blockBytes is the size of the prompt blocks that the cache keeps.
	blockBytes = 256
	// keptEvents is how many cache events the engine can still tell.
	keptEvents = 1024
)

// cache is the prefix cache: block hashes, the longest unused first, and the
// log of what came and went.
type cache struct {
	blocks []uint64
	log    []loggedEvent
	seq    uint64
}

type loggedEvent struct {
	event frame.Event
	at    time.Time
}

// addPrompt puts the blocks of a prompt in the cache of at most limit blocks.
func (c *cache) addPrompt(text string, limit int) {
	h := xxhash.New()
	for len(text) >= blockBytes && limit > 0 {
		_, _ = h.WriteString(text[:blockBytes])
		c.touch(h.Sum64(), limit)
		text = text[blockBytes:]
	}
}

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
		http.Error(w, "since is not a number", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, e.eventsSince(since))
}

func (e *Engine) eventsSince(since uint64) frame.Events {
	c := &e.cache
	first := c.seq - uint64(len(c.log)) + 1
	if since > c.seq || since+1 < first {
		return frame.Events{Seq: c.seq, Reset: true, Blocks: slices.Clone(c.blocks)}
	}
	out := frame.Events{Seq: since}
	for _, en := range c.log {
		if en.event.Seq <= since {
			continue
		}
		if time.Since(en.at) < e.EventLag {
			break
		}
		out.Seq = en.event.Seq
		if e.Gap == nil || !e.Gap(en.event.Seq) {
			out.Events = append(out.Events, en.event)
		}
	}
	return out
}
