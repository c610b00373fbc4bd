package gossip_test

import (
	"fmt"
	"testing"
	"time"

	"fulmarwick/internal/base/news"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/gossip"
	"fulmarwick/internal/fleet/proto"

	"pgregory.net/rapid"
)

func newStore(id spec.InstanceID) *gossip.Store {
	s := &gossip.Store{LocalID: id, StartTime: 5}
	s.Init()
	return s
}

func newItem(kind news.Kind, key string, size int, fill byte) news.Item {
	body := make([]byte, size)
	for i := range body {
		body[i] = fill
	}
	return news.Item{Kind: kind, Key: key, Scope: news.ScopeCentre, TTL: 60_000, Body: body}
}

// syncStores sends b what it lacks of a, in at most limit bytes.
func syncStores(a, b *gossip.Store, limit, start int) bool {
	blocks, complete := a.Delta(0, news.ScopeCentre, b.Digest(news.ScopeCentre), limit, start)
	for i := range blocks {
		b.ApplyBlock(0, &blocks[i])
	}
	return complete
}

// Three instances publish items and exchange them in any order, with any limit
// on the size of an answer. In the end each store must hold what a naive map
// of the last item per name holds.
func TestStoresConvergeToNaiveMap(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		stores := []*gossip.Store{newStore("a"), newStore("b"), newStore("c")}
		naive := map[string]byte{}
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			i := rapid.IntRange(0, 2).Draw(r, "store")
			if rapid.Bool().Draw(r, "say") {
				kind := news.Kind(rapid.SampledFrom([]int{int(news.KindPrint), int(news.KindLevel)}).Draw(r, "kind"))
				key, fill := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(r, "key"), byte(rapid.IntRange(0, 9).Draw(r, "fill"))
				if _, ok := stores[i].Publish(0, newItem(kind, key, 40, fill)); ok {
					naive[fmt.Sprint(i, kind, key)] = fill
				}
				continue
			}
			syncStores(stores[i], stores[(i+1)%3], rapid.IntRange(60, 400).Draw(r, "limit"), rapid.IntRange(0, 9).Draw(r, "start"))
		}
		for range 20 {
			for i := range stores {
				syncStores(stores[i], stores[(i+1)%3], 200, i)
			}
		}
		for i, s := range stores {
			if got, want := s.ItemCount(), len(naive); got != want {
				r.Fatalf("got %d items in store %d, want %d", got, i, want)
			}
			for j, origin := range []spec.InstanceID{"a", "b", "c"} {
				for _, kind := range []news.Kind{news.KindPrint, news.KindLevel} {
					for _, key := range []string{"x", "y", "z"} {
						got, ok := s.Get(kind, origin, key)
						want, published := naive[fmt.Sprint(j, kind, key)]
						if ok != published || ok && got.Body[0] != want {
							r.Fatalf("got %v %v of %s, want %v %v", got.Body, ok, origin, want, published)
						}
					}
				}
			}
		}
	})
}

func TestUnchangedItemIsNotRefreshedBeforeHalfItsTTL(t *testing.T) {
	s := newStore("a")
	for _, c := range []struct {
		at   time.Duration
		fill byte
		want bool
	}{{0, 1, true}, {29 * time.Second, 1, false}, {30 * time.Second, 1, true}, {31 * time.Second, 2, true}} {
		if _, got := s.Publish(c.at, newItem(news.KindLevel, "k", 10, c.fill)); got != c.want {
			t.Errorf("got published %v at %v, want %v", got, c.at, c.want)
		}
	}
}

// One instance publishes without end, under new keys each time. The store must
// keep space for the items of other origins.
func TestOneOriginCannotFillTheStore(t *testing.T) {
	s := newStore("b")
	for i := range 5000 {
		s.ApplyBlock(0, &proto.Block{Origin: "a", StartTime: 1, Items: []proto.Entry{
			{Kind: news.KindLevel, Key: fmt.Sprint(i), Stamp: uint64(i + 1), TTLMs: 1000, Body: make([]byte, 100)},
		}})
	}
	if got := s.ItemCount(); got != gossip.MaxItemsPerOrigin || s.RefusedCount() == 0 {
		t.Errorf("got %d items and %d refused, want %d and some", got, s.RefusedCount(), gossip.MaxItemsPerOrigin)
	}
	if _, ok := s.Publish(0, newItem(news.KindPrint, "k", 10, 1)); !ok {
		t.Errorf("got the item of another origin refused, want it stored")
	}
	s.Tick(2 * time.Second)
	if got := s.ItemCount(); got != 1 {
		t.Errorf("got %d items after their TTL, want 1", got)
	}
}

// An instance dies. Its loads must be dropped, but the fingerprint of a
// request that crashes engines, which it published, must be kept to protect
// the other instances.
func TestDeadOriginKeepsItemsAboutOthers(t *testing.T) {
	a, b := newStore("a"), newStore("b")
	a.Publish(0, newItem(news.KindPrint, "p", 10, 1))
	a.Publish(0, newItem(news.KindLevel, "l", 10, 1))
	syncStores(a, b, 1000, 0)
	b.ExpireOrigin("a", 6)
	if _, ok := b.Get(news.KindPrint, "a", "p"); !ok {
		t.Errorf("got no fingerprint, want it kept")
	}
	if _, ok := b.Get(news.KindLevel, "a", "l"); ok {
		t.Errorf("got a level of a dead instance, want none")
	}
}

// An instance restarts within the second of its start time and counts stamps
// from one again, while its peers hold higher stamps of the former process. It
// learns of them from the watermarks of its peers and must continue after
// them, or no peer would accept its items.
func TestRestartWithSameStartTimeContinuesStamps(t *testing.T) {
	old, b := newStore("a"), newStore("b")
	for i := range 9 {
		old.Publish(0, newItem(news.KindLevel, "k", 10, byte(i)))
	}
	syncStores(old, b, 1000, 0)
	restarted := newStore("a")
	restarted.Publish(0, newItem(news.KindLevel, "k", 10, 77))
	restarted.Wants(b.Digest(news.ScopeCentre))
	syncStores(restarted, b, 1000, 0)
	if got, _ := b.Get(news.KindLevel, "a", "k"); got.Body[0] != 77 {
		t.Errorf("got %d, want 77 of the new process", got.Body[0])
	}
}
