package pick_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/pick"
	"fulmarwick/internal/route/world"
)

// rig is a world with two engines that each hold the whole model.
type rig struct {
	w     *world.World
	cache *pick.Cache
	pick  *pick.Picker
	n     int
}

func newRig() *rig {
	g := &rig{w: &world.World{}, cache: &pick.Cache{}}
	g.pick = &pick.Picker{Rand: rand.New(rand.NewPCG(1, 1)), Cache: g.cache}
	g.w.Begin(time.Second)
	for _, id := range []string{"a", "b"} {
		g.w.Apply(world.EngineSeen{Engine: engine(id, 0, 8)})
	}
	return g
}

// choose returns the engine for a prompt of ten blocks.
func (g *rig) choose(t *testing.T, blocks []uint64) (spec.UpstreamID, float64) {
	t.Helper()
	g.n++
	id := spec.RequestID(rune('0' + g.n))
	g.w.Apply(world.Arrived{Request: id, Model: model, Prompt: 640, Limit: 10, Blocks: blocks})
	due := g.w.Requests().Due()
	if len(due) != 1 {
		t.Fatalf("due: got %d, want 1", len(due))
	}
	c, ok := g.pick.Choose(g.w, due[0], pick.Ask{Limit: 1, Out: 10})
	if !ok {
		t.Fatal("no chain")
	}
	return c.Plan.Chain[0].Engine(), c.Plan.Hit
}

var prompt = []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10}

func TestCachedEngineIsPreferredUntilItIsBusy(t *testing.T) {
	g := newRig()
	g.cache.Ran(g.w.Now(), "b", prompt)
	if got, hit := g.choose(t, prompt); got != "b" || hit < 0.9 {
		t.Errorf("got %s with hit %.2f, want b with most of the prompt", got, hit)
	}
	busy := engine("b", 0, 8)
	busy.Seq, busy.Active, busy.Queued = 2, 8, 400
	g.w.Apply(world.EngineSeen{Engine: busy})
	busy.Seq = 3
	g.w.Apply(world.EngineSeen{Engine: busy})
	if got, _ := g.choose(t, prompt); got != "a" {
		t.Errorf("cached engine with a long queue: got %s, want a", got)
	}
}

// A cache event is lost. What was known of the engine may be gone, so callers
// with that prompt are not drawn to it; what was sent to it later counts, and
// a whole list makes its events count again.
func TestGapForgetsAndResetRestores(t *testing.T) {
	g := newRig()
	now := g.w.Now()
	known := func() bool {
		_, hit := g.choose(t, prompt)
		return hit > 0
	}
	g.cache.Seen(now, world.CacheSeen{Engine: "b", Seq: 1, Added: prompt})
	if !known() {
		t.Error("after the first event: want the prompt known")
	}
	g.cache.Seen(now, world.CacheSeen{Engine: "b", Seq: 3, Added: prompt})
	if known() {
		t.Error("after a gap: want nothing known")
	}
	g.cache.Ran(now, "b", prompt)
	if !known() {
		t.Error("after own work later than the gap: want the prompt known")
	}
	g.cache.Seen(now, world.CacheSeen{Engine: "b", Seq: 4, Removed: prompt})
	if known() {
		t.Error("after its removal: want nothing known")
	}
	g.cache.Seen(now, world.CacheSeen{Engine: "b", Seq: 5, Added: prompt, Reset: true})
	if !known() {
		t.Error("after the whole list: want the prompt known")
	}
	g.cache.Gone("b")
	if known() {
		t.Error("after the engine died: want nothing known")
	}
}

func TestCacheMemoryIsBounded(t *testing.T) {
	c := &pick.Cache{Blocks: 100}
	for i := range 1000 {
		c.Ran(0, "a", []uint64{uint64(i)})
	}
	if got, want := c.Len(), 100; got != want {
		t.Errorf("blocks: got %d, want %d", got, want)
	}
}
