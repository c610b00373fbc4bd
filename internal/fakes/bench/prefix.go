package bench

import (
	"container/list"

	"fulmarwick/internal/route/domain"
)

// prefixCache is the prefix cache of an engine. It holds prompt blocks and
// evicts the least recently used one first.
type prefixCache struct {
	capacity int
	index    map[uint64]*list.Element
	recent   *list.List
	seq      uint64
	added    []uint64
	removed  []uint64
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, index: map[uint64]*list.Element{}, recent: list.New()}
}

// lookup returns how many leading blocks are cached and marks them as used.
func (p *prefixCache) lookup(blocks []uint64) int {
	n := 0
	for _, b := range blocks {
		elem := p.index[b]
		if elem == nil {
			break
		}
		p.recent.MoveToFront(elem)
		n++
	}
	return n
}

// put adds blocks, or marks them as used, and evicts down to the capacity.
func (p *prefixCache) put(blocks []uint64) {
	for _, b := range blocks {
		if elem := p.index[b]; elem != nil {
			p.recent.MoveToFront(elem)
			continue
		}
		p.index[b] = p.recent.PushFront(b)
		p.added = append(p.added, b)
	}
	for p.recent.Len() > p.capacity {
		oldest := p.recent.Back()
		b := p.recent.Remove(oldest).(uint64)
		delete(p.index, b)
		p.removed = append(p.removed, b)
	}
}

// report returns the changes of the cache since the last call, or its entire
// content if full is true.
func (p *prefixCache) report(e *engine, full bool) domain.CacheReport {
	p.seq++
	ev := domain.CacheReport{Engine: e.info.ID, Seq: p.seq, Added: p.added, Removed: p.removed, Reset: full}
	p.added, p.removed = nil, nil
	if full {
		ev.Added, ev.Removed = nil, nil
		for elem := p.recent.Front(); elem != nil; elem = elem.Next() {
			ev.Added = append(ev.Added, elem.Value.(uint64))
		}
	}
	return ev
}
