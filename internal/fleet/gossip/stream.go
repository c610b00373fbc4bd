package gossip

import (
	"cmp"
	"slices"
	"time"

	"fulmarwick/internal/base/news"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/proto"
)

const sweepInterval = 100 * time.Millisecond

// stream returns the stream with the given key and creates it if needed.
func (s *Store) stream(k streamKey) *stream {
	if st := s.index[k]; st != nil {
		return st
	}
	st := &stream{key: k, hash: proto.StreamHash(k.origin, k.startTime, k.scope)}
	at, _ := slices.BinarySearchFunc(s.streams, k, func(st *stream, k streamKey) int { return compareStreamKeys(st.key, k) })
	s.streams = slices.Insert(s.streams, at, st)
	s.index[k] = st
	if other := s.byHash[st.hash]; other != nil {
		other.hashCollision, st.hashCollision = true, true
	}
	s.byHash[st.hash] = st
	return st
}

func compareStreamKeys(a, b streamKey) int {
	return cmp.Or(
		cmp.Compare(a.origin, b.origin),
		cmp.Compare(a.startTime, b.startTime),
		cmp.Compare(a.scope, b.scope),
	)
}

// ExpireOrigin drops the items of an origin that are valid only while it
// lives, such as its loads. Items about others, such as a leaving upstream or
// a poison fingerprint, stay until their own TTL is over.
func (s *Store) ExpireOrigin(origin spec.InstanceID, startedBefore uint32) {
	for _, st := range s.streams {
		if st.key.origin != origin || st.key.startTime >= startedBefore {
			continue
		}
		for _, e := range slices.Clone(st.items) {
			if EndsWithOrigin(e.item.Kind) {
				s.drop(e)
			}
		}
	}
}

// EndsWithOrigin reports whether items of a kind are dropped when their origin
// dies.
func EndsWithOrigin(k news.Kind) bool {
	switch k {
	case news.KindHead, news.KindLeaving, news.KindPrint, news.KindDown:
		return false
	default:
		return true
	}
}

// Urgent reports whether items of a kind are pushed at once.
func Urgent(k news.Kind) bool {
	switch k {
	case news.KindHead, news.KindLeaving, news.KindPrint, news.KindDown, news.KindDoubt:
		return true
	default:
		return false
	}
}

// Tick drops expired items and, after emptyStreamTTL, empty streams.
func (s *Store) Tick(now time.Duration) {
	if now-s.sweptAt < sweepInterval {
		return
	}
	s.sweptAt = now
	for _, st := range s.streams {
		st.items = slices.DeleteFunc(st.items, func(e *entry) bool {
			if now < e.expiresAt {
				return false
			}
			delete(s.latest, itemKey{kind: e.item.Kind, origin: st.key.origin, key: e.item.Key})
			s.itemCount--
			s.totalBytes -= itemBytes(&e.item)
			return true
		})
		if len(st.items) > 0 {
			st.lastUsed = now
		}
	}
	s.streams = slices.DeleteFunc(s.streams, func(st *stream) bool {
		if len(st.items) > 0 || now-st.lastUsed < emptyStreamTTL || st.key.origin == s.LocalID {
			return false
		}
		delete(s.index, st.key)
		if s.byHash[st.hash] == st {
			delete(s.byHash, st.hash)
		}
		return true
	})
}
