package pick_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
	"fulmarwick/internal/route/pick"
)

// cacheFixture is a routing state with two engines that each hold the whole
// model.
type cacheFixture struct {
	w      *domain.RoutingState
	cache  *pick.Cache
	picker *pick.Picker
	lastID int
}

func newCacheFixture() *cacheFixture {
	f := &cacheFixture{w: &domain.RoutingState{}, cache: &pick.Cache{}}
	f.picker = &pick.Picker{Rand: rand.New(rand.NewPCG(1, 1)), Cache: f.cache}
	f.w.BeginTick(time.Second)
	for _, id := range []string{"a", "b"} {
		f.w.Apply(domain.EngineReport{Engine: newEngine(id, 0, 8)})
	}
	return f
}

// choose returns the engine chosen for a prompt of ten blocks, and its share of
// cached work.
func (f *cacheFixture) choose(t *testing.T, blocks []uint64) (spec.UpstreamID, float64) {
	t.Helper()
	f.lastID++
	id := spec.RequestID(rune('0' + f.lastID))
	f.w.Apply(domain.RequestArrived{Request: id, Model: model, PromptTokens: 640, MaxTokens: 10, BlockHashes: blocks})
	due := f.w.Requests().TakeDue()
	if len(due) != 1 {
		t.Fatalf("due: got %d, want 1", len(due))
	}
	c, ok := f.picker.Choose(f.w, due[0], pick.Query{MaxUtilization: 1, RemainingTokens: 10})
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

// Guards against routing by outdated cache content after a cache event is lost.
// After the gap, earlier entries of the engine must not count, since the engine
// may have evicted them. Prompts sent to it after the gap count, and a complete
// list makes its events count again.
func TestEventGapInvalidatesCacheUntilReset(t *testing.T) {
	g := newCacheFixture()
	now := g.w.Now()
	cached := func() bool {
		_, hit := g.choose(t, prompt)
		return hit > 0
	}
	g.cache.ApplyEvent(now, domain.CacheReport{Engine: "b", Seq: 1, Added: prompt})
	if !cached() {
		t.Error("after the first event: want the prompt cached")
	}
	g.cache.ApplyEvent(now, domain.CacheReport{Engine: "b", Seq: 3, Added: prompt})
	if cached() {
		t.Error("after a gap: want nothing cached")
	}
	g.cache.RecordPrompt(now, "b", prompt)
	if !cached() {
		t.Error("after a prompt sent since the gap: want it cached")
	}
	g.cache.ApplyEvent(now, domain.CacheReport{Engine: "b", Seq: 4, Removed: prompt})
	if cached() {
		t.Error("after its removal: want nothing cached")
	}
	g.cache.ApplyEvent(now, domain.CacheReport{Engine: "b", Seq: 5, Added: prompt, Reset: true})
	if !cached() {
		t.Error("after the complete list: want the prompt cached")
	}
	g.cache.RemoveEngine("b")
	if cached() {
		t.Error("after the engine died: want nothing cached")
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
