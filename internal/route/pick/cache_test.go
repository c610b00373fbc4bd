package pick_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
	"fulmarwick/internal/route/pick"
)

// cacheFixture is a world with two engines that each hold the whole model.
type cacheFixture struct {
	w      *domain.RoutingState
	cache  *pick.Cache
	picker *pick.Picker
	lastID int
}

func newCacheFixture() *cacheFixture {
	g := &cacheFixture{w: &domain.RoutingState{}, cache: &pick.Cache{}}
	g.picker = &pick.Picker{Rand: rand.New(rand.NewPCG(1, 1)), Cache: g.cache}
	g.w.BeginTick(time.Second)
	for _, id := range []string{"a", "b"} {
		g.w.Apply(domain.EngineReport{Engine: newEngine(id, 0, 8)})
	}
	return g
}

// choose returns the engine for a prompt of ten blocks.
func (g *cacheFixture) choose(t *testing.T, blocks []uint64) (spec.UpstreamID, float64) {
	t.Helper()
	g.lastID++
	id := spec.RequestID(rune('0' + g.lastID))
	g.w.Apply(domain.RequestArrived{Request: id, Model: model, PromptTokens: 640, MaxTokens: 10, BlockHashes: blocks})
	due := g.w.Requests().TakeDue()
	if len(due) != 1 {
		t.Fatalf("due: got %d, want 1", len(due))
	}
	c, ok := g.picker.Choose(g.w, due[0], pick.Query{MaxUtilization: 1, RemainingTokens: 10})
	if !ok {
		t.Fatal("no chain")
	}
	return c.Plan.Chain[0].Engine(), c.Plan.CacheHitShare
}

var prompt = []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10}

func TestCachedEngineIsPreferredUntilItIsBusy(t *testing.T) {
	g := newCacheFixture()
	g.cache.RecordPrompt(g.w.Now(), "b", prompt)
	if got, hit := g.choose(t, prompt); got != "b" || hit < 0.9 {
		t.Errorf("got %s with hit %.2f, want b with most of the prompt", got, hit)
	}
	busy := newEngine("b", 0, 8)
	busy.Seq, busy.Active, busy.Queued = 2, 8, 400
	g.w.Apply(domain.EngineReport{Engine: busy})
	busy.Seq = 3
	g.w.Apply(domain.EngineReport{Engine: busy})
	if got, _ := g.choose(t, prompt); got != "a" {
		t.Errorf("cached engine with a long queue: got %s, want a", got)
	}
}

// A cache event is lost. What was known of the engine may be gone, so callers
// with that prompt are not drawn to it; what was sent to it later counts, and
// a whole list makes its events count again.
func TestEventGapInvalidatesCacheUntilReset(t *testing.T) {
	g := newCacheFixture()
	now := g.w.Now()
	known := func() bool {
		_, hit := g.choose(t, prompt)
		return hit > 0
	}
	g.cache.ApplyEvent(now, domain.CacheReport{Engine: "b", Seq: 1, Added: prompt})
	if !known() {
		t.Error("after the first event: want the prompt known")
	}
	g.cache.ApplyEvent(now, domain.CacheReport{Engine: "b", Seq: 3, Added: prompt})
	if known() {
		t.Error("after a gap: want nothing known")
	}
	g.cache.RecordPrompt(now, "b", prompt)
	if !known() {
		t.Error("after own work later than the gap: want the prompt known")
	}
	g.cache.ApplyEvent(now, domain.CacheReport{Engine: "b", Seq: 4, Removed: prompt})
	if known() {
		t.Error("after its removal: want nothing known")
	}
	g.cache.ApplyEvent(now, domain.CacheReport{Engine: "b", Seq: 5, Added: prompt, Reset: true})
	if !known() {
		t.Error("after the whole list: want the prompt known")
	}
	g.cache.RemoveEngine("b")
	if known() {
		t.Error("after the engine died: want nothing known")
	}
}

func TestCacheMemoryIsBounded(t *testing.T) {
	c := &pick.Cache{MaxBlocks: 100}
	for i := range 1000 {
		c.RecordPrompt(0, "a", []uint64{uint64(i)})
	}
	if got, want := c.Len(), 100; got != want {
		t.Errorf("blocks: got %d, want %d", got, want)
	}
}
