package gossip_test

import (
	"fmt"
	"testing"
	"time"

	"fulmarwick/internal/base/news"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/gossip"
	"fulmarwick/internal/fleet/talk"

	"pgregory.net/rapid"
)

func store(id spec.InstanceID) *gossip.Store {
	s := &gossip.Store{Self: id, Born: 5}
	s.Init()
	return s
}

func item(kind news.Kind, key string, size int, fill byte) news.Item {
	body := make([]byte, size)
	for i := range body {
		body[i] = fill
	}
	return news.Item{Kind: kind, Key: key, Scope: news.ScopeCentre, Life: 60_000, Body: body}
}

// exchange gives b what it lacks of a in at most limit bytes.
func exchange(a, b *gossip.Store, limit, start int) bool {
	blocks, whole := a.Delta(0, news.ScopeCentre, b.Digest(news.ScopeCentre), limit, start)
	for i := range blocks {
		b.Take(0, &blocks[i])
	}
	return whole
}

// Whatever three instances say, in whatever order they exchange and however
// little fits into an answer, all hold in the end what a naive map of the last
// word per name holds.
func TestStoresAgreeWithNaiveMap(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		stores := []*gossip.Store{store("a"), store("b"), store("c")}
		naive := map[string]byte{}
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			i := rapid.IntRange(0, 2).Draw(r, "store")
			if rapid.Bool().Draw(r, "say") {
				kind := news.Kind(rapid.SampledFrom([]int{int(news.KindPrint), int(news.KindLevel)}).Draw(r, "kind"))
				key, fill := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(r, "key"), byte(rapid.IntRange(0, 9).Draw(r, "fill"))
				if _, ok := stores[i].Say(0, item(kind, key, 40, fill)); ok {
					naive[fmt.Sprint(i, kind, key)] = fill
				}
				continue
			}
			exchange(stores[i], stores[(i+1)%3], rapid.IntRange(60, 400).Draw(r, "limit"), rapid.IntRange(0, 9).Draw(r, "start"))
		}
		for range 20 {
			for i := range stores {
				exchange(stores[i], stores[(i+1)%3], 200, i)
			}
		}
		for i, s := range stores {
			if got, want := s.Items(), len(naive); got != want {
				r.Fatalf("got %d items in store %d, want %d", got, i, want)
			}
			for j, origin := range []spec.InstanceID{"a", "b", "c"} {
				for _, kind := range []news.Kind{news.KindPrint, news.KindLevel} {
					for _, key := range []string{"x", "y", "z"} {
						got, ok := s.Get(kind, origin, key)
						want, said := naive[fmt.Sprint(j, kind, key)]
						if ok != said || ok && got.Body[0] != want {
							r.Fatalf("got %v %v of %s, want %v %v", got.Body, ok, origin, want, said)
						}
					}
				}
			}
		}
	})
}

func TestUnchangedItemIsNotSaidAgainBeforeHalfItsLife(t *testing.T) {
	s := store("a")
	for _, c := range []struct {
		at   time.Duration
		fill byte
		want bool
	}{{0, 1, true}, {29 * time.Second, 1, false}, {30 * time.Second, 1, true}, {31 * time.Second, 2, true}} {
		if _, got := s.Say(c.at, item(news.KindLevel, "k", 10, c.fill)); got != c.want {
			t.Errorf("got said %v at %v, want %v", got, c.at, c.want)
		}
	}
}

// One instance says without end, with ever new keys. The others keep room for
// the rest.
func TestOneOriginCannotFillTheStore(t *testing.T) {
	s := store("b")
	for i := range 5000 {
		s.Take(0, &talk.Block{Origin: "a", Born: 1, Items: []talk.Entry{
			{Kind: news.KindLevel, Key: fmt.Sprint(i), Stamp: uint64(i + 1), Life: 1000, Body: make([]byte, 100)},
		}})
	}
	if got := s.Items(); got != gossip.MaxOrigin || s.Refused() == 0 {
		t.Errorf("got %d items and %d refused, want %d and some", got, s.Refused(), gossip.MaxOrigin)
	}
	if _, ok := s.Say(0, item(news.KindPrint, "k", 10, 1)); !ok {
		t.Errorf("got no room for an item of another origin, want room")
	}
	s.Tick(2 * time.Second)
	if got := s.Items(); got != 1 {
		t.Errorf("got %d items after their life, want 1", got)
	}
}

// An instance dies. Its loads count no more, but the fingerprint of a request
// that crashes engines, which it told, still protects the others.
func TestDeathKeepsWhatWasToldOfOthers(t *testing.T) {
	a, b := store("a"), store("b")
	a.Say(0, item(news.KindPrint, "p", 10, 1))
	a.Say(0, item(news.KindLevel, "l", 10, 1))
	exchange(a, b, 1000, 0)
	b.Forget("a", 6)
	if _, ok := b.Get(news.KindPrint, "a", "p"); !ok {
		t.Errorf("got no fingerprint, want it kept")
	}
	if _, ok := b.Get(news.KindLevel, "a", "l"); ok {
		t.Errorf("got a level of a dead instance, want none")
	}
}

// An instance restarts within the second of its birth and counts from one
// again, while the others hold higher stamps of its former self. It learns so
// from their marks and goes on after them, or nobody would take its words.
func TestSameBirthGoesOnAfterFormerSelf(t *testing.T) {
	old, b := store("a"), store("b")
	for i := range 9 {
		old.Say(0, item(news.KindLevel, "k", 10, byte(i)))
	}
	exchange(old, b, 1000, 0)
	again := store("a")
	again.Say(0, item(news.KindLevel, "k", 10, 77))
	again.Wants(b.Digest(news.ScopeCentre))
	exchange(again, b, 1000, 0)
	if got, _ := b.Get(news.KindLevel, "a", "k"); got.Body[0] != 77 {
		t.Errorf("got %d, want the new self's 77", got.Body[0])
	}
}
