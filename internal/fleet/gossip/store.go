// Package gossip holds the items that instances spread and finds what another
// instance lacks, after the reconciliation of Scuttlebutt (van Renesse,
// Dumitriu, Gough and Thomas, LADIS 2008). The items of one origin, start time
// and scope form a stream ordered by stamp. One number per stream, the
// watermark, says up to which stamp an instance has it. A superseded item
// leaves its stream, so the amount sent is bounded by the current items and
// not by the history.
//
// It imports base/news, base/spec and fleet/proto. Package node drives it.
package gossip

import (
	"cmp"
	"slices"
	"time"

	"fulmarwick/internal/base/news"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/proto"
)

// Limits of the store.
const (
	// MaxItems bounds the number of all items together.
	MaxItems = 16384
	// MaxBytes bounds the size of all items together.
	MaxBytes = 8 << 20
	// MaxItemsPerOrigin bounds the items of one stream of an origin, so
	// that one faulty instance cannot crowd out the rest.
	MaxItemsPerOrigin = 1024
	// emptyStreamTTL is how long an empty stream is kept, so that late
	// copies of its items are recognised as old.
	emptyStreamTTL = time.Hour
)

// Store holds items by stream. Set LocalID and StartTime, then call Init.
type Store struct {
	LocalID   spec.InstanceID
	StartTime uint32

	streams []*stream
	index   map[streamKey]*stream
	byHash  map[uint32]*stream
	// latest is the current item per name, whatever the start time of its
	// origin.
	latest       map[itemKey]*entry
	itemCount    int
	totalBytes   int
	refusedCount int
	sweptAt      time.Duration
}

type streamKey struct {
	origin    spec.InstanceID
	startTime uint32
	scope     news.Scope
}

type itemKey struct {
	kind   news.Kind
	origin spec.InstanceID
	key    string
}

// stream holds the items of one origin, start time and scope in order of
// stamp.
type stream struct {
	key  streamKey
	hash uint32
	// watermark is the stamp up to which all items were received.
	watermark uint64
	items     []*entry
	// hashCollision is whether another stream has the same hash.
	hashCollision bool
	lastUsed      time.Duration
}

type entry struct {
	item      news.Item
	stream    *stream
	expiresAt time.Duration
	// refreshAt is when the origin publishes an unchanged item again.
	refreshAt time.Duration
}

// Init empties the store.
func (s *Store) Init() {
	s.index = map[streamKey]*stream{}
	s.byHash = map[uint32]*stream{}
	s.latest = map[itemKey]*entry{}
}

// ItemCount returns how many items the store holds.
func (s *Store) ItemCount() int { return s.itemCount }

// RefusedCount returns how many items were refused because the store was full.
func (s *Store) RefusedCount() int { return s.refusedCount }

// Get returns the current item for a name.
func (s *Store) Get(kind news.Kind, origin spec.InstanceID, key string) (news.Item, bool) {
	e := s.latest[itemKey{kind: kind, origin: origin, key: key}]
	if e == nil {
		return news.Item{}, false
	}
	return e.item, true
}

// Each calls f for every item of kind, in a fixed order.
func (s *Store) Each(kind news.Kind, f func(news.Item)) {
	for _, st := range s.streams {
		for _, e := range st.items {
			if e.item.Kind == kind {
				f(e.item)
			}
		}
	}
}

// Publish adds an item of this instance. It returns false if the same item is
// already published and not yet due for a refresh, which costs nothing.
func (s *Store) Publish(now time.Duration, item news.Item) (news.Item, bool) {
	old := s.latest[itemKey{kind: item.Kind, origin: s.LocalID, key: item.Key}]
	if old != nil && now < old.refreshAt && slices.Equal(old.item.Body, item.Body) && old.item.Scope == item.Scope {
		return old.item, false
	}
	st := s.stream(streamKey{origin: s.LocalID, startTime: s.StartTime, scope: item.Scope})
	item.Origin = string(s.LocalID)
	item.Stamp = st.watermark + 1
	if !s.put(now, st, item) {
		return item, false
	}
	st.watermark = item.Stamp
	return item, true
}

// ApplyBlock adds the items of a block and returns those that are new here.
func (s *Store) ApplyBlock(now time.Duration, b *proto.Block) []news.Item {
	if b.Origin == s.LocalID {
		return nil
	}
	st := s.stream(streamKey{origin: b.Origin, startTime: b.StartTime, scope: b.Scope})
	st.lastUsed = now
	var newItems []news.Item
	for i := range b.Items {
		e := &b.Items[i]
		item := news.Item{
			Kind: e.Kind, Key: e.Key, Origin: string(b.Origin), Stamp: e.Stamp,
			Scope: b.Scope, TTL: e.TTLMs, Body: e.Body,
		}
		if e.Stamp > st.watermark && s.put(now, st, item) {
			newItems = append(newItems, item)
		}
	}
	st.watermark = max(st.watermark, b.Watermark)
	return newItems
}

// RestartStreams sets a later start time of this instance and moves its items
// to new streams.
func (s *Store) RestartStreams(now time.Duration, startTime uint32) {
	var local []news.Item
	for _, st := range s.streams {
		if st.key.origin != s.LocalID {
			continue
		}
		for _, e := range st.items {
			local = append(local, e.item)
		}
	}
	s.StartTime = startTime
	for _, item := range local {
		if e := s.latest[itemKey{kind: item.Kind, origin: s.LocalID, key: item.Key}]; e != nil {
			s.drop(e)
			_, _ = s.Publish(now, item)
		}
	}
}

// put adds an item unless the store has one that supersedes it. It reports
// whether the item was stored.
func (s *Store) put(now time.Duration, st *stream, item news.Item) bool {
	k := itemKey{kind: item.Kind, origin: st.key.origin, key: item.Key}
	if old := s.latest[k]; old != nil {
		if !supersedes(st, item.Stamp, old) {
			return false
		}
		s.drop(old)
	}
	if s.isFull(st, item) {
		s.refusedCount++
		return false
	}
	life := time.Duration(item.TTL) * time.Millisecond
	e := &entry{item: item, stream: st, expiresAt: now + life, refreshAt: now + life/2}
	at, _ := slices.BinarySearchFunc(st.items, item.Stamp, func(e *entry, stamp uint64) int {
		return cmp.Compare(e.item.Stamp, stamp)
	})
	st.items = slices.Insert(st.items, at, e)
	s.latest[k] = e
	s.itemCount++
	s.totalBytes += itemBytes(&item)
	return true
}

func (s *Store) isFull(st *stream, item news.Item) bool {
	return s.itemCount >= MaxItems || len(st.items) >= MaxItemsPerOrigin || s.totalBytes+itemBytes(&item) > MaxBytes
}

func (s *Store) drop(e *entry) {
	st := e.stream
	if at := slices.Index(st.items, e); at >= 0 {
		st.items = slices.Delete(st.items, at, at+1)
	}
	delete(s.latest, itemKey{kind: e.item.Kind, origin: st.key.origin, key: e.item.Key})
	s.itemCount--
	s.totalBytes -= itemBytes(&e.item)
}

func supersedes(st *stream, stamp uint64, old *entry) bool {
	if st.key.startTime != old.stream.key.startTime {
		return st.key.startTime > old.stream.key.startTime
	}
	return stamp > old.item.Stamp
}

func itemBytes(i *news.Item) int { return len(i.Key) + len(i.Body) }
