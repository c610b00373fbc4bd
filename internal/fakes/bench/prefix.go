package bench

import (
	"container/list"

	"fulmarwick/internal/route/domain"
)

// prefixCache is the prefix cache of an engine: blocks, the one used longest ago
// going first.
type prefixCache struct {
	capacity int
	index    map[uint64]*list.Element
	recent   *list.List
	seq      uint64
	added    []uint64
	removed  []uint64
}

func newPrefixCache(most int) *prefixCache {
	return &prefixCache{capacity: most, index: map[uint64]*list.Element{}, recent: list.New()}
}

// lookup is how many blocks from the first on are cached.
func (p *prefixCache) lookup(blocks []uint64) int {
	n := 0
	for _, b := range blocks {
		el := p.index[b]
		if el == nil {
			break
		}
		p.recent.MoveToFront(el)
		n++
	}
	return n
}

func (p *prefixCache) put(blocks []uint64) {
	for _, b := range blocks {
		if el := p.index[b]; el != nil {
			p.recent.MoveToFront(el)
			continue
		}
		p.index[b] = p.recent.PushFront(b)
		p.added = append(p.added, b)
	}
	for p.recent.Len() > p.capacity {
		last := p.recent.Back()
		b := p.recent.Remove(last).(uint64)
		delete(p.index, b)
		p.removed = append(p.removed, b)
	}
}

// report are the cache events since the last call; whole makes them the whole
// content.
func (p *prefixCache) report(e *engine, whole bool) domain.CacheReport {
	p.seq++
	ev := domain.CacheReport{Engine: e.info.ID, Seq: p.seq, Added: p.added, Removed: p.removed, Reset: whole}
	p.added, p.removed = nil, nil
	if whole {
		ev.Added, ev.Removed = nil, nil
		for el := p.recent.Front(); el != nil; el = el.Next() {
			ev.Added = append(ev.Added, el.Value.(uint64))
		}
	}
	return ev
}
