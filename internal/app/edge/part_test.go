package edge_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/fakes/depot"
	"fulmarwick/internal/fakes/inmem"
	"fulmarwick/platform/stand"
)

const (
	// calmTime is how long only sound requests are sent, badTime how long those that crash
	// engines come beside them.
	calmTime = 10 * time.Second
	badTime  = 30 * time.Second
)

// partCase is how requests that share a part of their prompts crash engines.
type partCase struct {
	// poison holds how engines crash; its part is set for each of parts.
	poison stand.Poison
	// parts is how many parts crash engines.
	parts int
	// place is the index of the part in the prompt.
	place int
	// isSoundFirst means that the parts crash nothing in the calm time, in which requests have
	// them as well.
	isSoundFirst bool
	// interval is the time between two sound requests, and between two that crash engines.
	interval time.Duration
	// later is when the first event happens, from the start of the bad requests on, and event
	// what happens from then on; nil means nothing.
	later time.Duration
	event func(f *fixture, processes []*process)
}

func defaultPartCase() partCase {
	return partCase{poison: stand.Poison{Delay: 60 * time.Millisecond}, parts: 1, place: 1, interval: 100 * time.Millisecond}
}

func partCases() map[string]partCase {
	cases := map[string]partCase{}
	add := func(name string, change func(c *partCase)) {
		c := defaultPartCase()
		change(&c)
		cases[name] = c
	}
	add("often", func(*partCase) {})
	add("seldom", func(c *partCase) { c.interval = 400 * time.Millisecond })
	add("first part", func(c *partCase) { c.place = 0 })
	add("third part", func(c *partCase) { c.place = 2 })
	add("sound first", func(c *partCase) { c.isSoundFirst = true })
	add("sound first, seldom", func(c *partCase) { c.isSoundFirst, c.interval = true, 400*time.Millisecond })
	add("three parts", func(c *partCase) { c.parts = 3 })
	add("without head", func(c *partCase) { c.poison.NoHead = true })
	add("late", func(c *partCase) { c.poison.Delay = 200 * time.Millisecond })
	add("after queue", func(c *partCase) { c.poison.Queue = 500 * time.Millisecond })
	add("later stage", func(c *partCase) { c.poison.LaterStage = true })
	add("together", func(c *partCase) { c.poison.Together = 300 * time.Millisecond })
	add("restarts", func(c *partCase) { c.later, c.event = 2*time.Second, restartInTurn })
	add("all restart", func(c *partCase) { c.later, c.event = 12*time.Second, restartAll })
	add("cut off", func(c *partCase) { c.later, c.event = time.Second, cutAndHeal })
	add("store out", func(c *partCase) { c.later, c.event = 100*time.Millisecond, storeOutage })
	return cases
}

// drawnPartCases is the number of cases that are drawn at random.
const drawnPartCases = 60

// drawPartCase returns a case drawn from a seed.
func drawPartCase(seed uint64) partCase {
	r := rand.New(rand.NewPCG(seed, 0)) //nolint:gosec // The seed repeats the case.
	ms := func(from, to int) time.Duration { return time.Duration(from+r.IntN(to-from)) * time.Millisecond }
	c := partCase{parts: 1 + r.IntN(3), place: r.IntN(3), isSoundFirst: r.IntN(3) == 0, interval: ms(60, 400), later: ms(0, 8000)}
	c.poison.Delay, c.poison.NoHead = ms(20, 250), r.IntN(2) == 0
	if r.IntN(3) == 0 {
		c.poison.Queue = ms(50, 800)
	}
	if r.IntN(4) == 0 {
		c.poison.Together = ms(100, 400)
	}
	c.event = []func(*fixture, []*process){nil, restartInTurn, restartAll, cutAndHeal, storeOutage}[r.IntN(5)]
	return c
}

// restartInTurn restarts one instance after the other.
func restartInTurn(_ *fixture, processes []*process) {
	for _, p := range processes {
		p.end()
		p.start()
		time.Sleep(5 * time.Second)
	}
}

// restartAll restarts all instances at once.
func restartAll(_ *fixture, processes []*process) {
	for _, p := range processes {
		p.end()
	}
	for _, p := range processes {
		p.start()
	}
}

// cutAndHeal cuts one instance from all upstreams for a while.
func cutAndHeal(f *fixture, processes []*process) {
	name := processes[0].settings.Instance.Name
	f.site.CutInstance(name, inmem.CutReset)
	time.Sleep(8 * time.Second)
	f.site.HealInstance(name)
}

// storeOutage makes the store fail for a while.
func storeOutage(f *fixture, _ []*process) {
	f.site.Store.SetFault(func(*http.Request) stand.Fault { return stand.Fault{Unavailable: true} })
	time.Sleep(6 * time.Second)
	f.site.Store.SetFault(nil)
}

// Guards against requests that crash engines one after the other since only a part of their
// prompts is the same, and against sound requests of the same caller that are not served beside
// them. The site fails if too many such requests reach engines or too few sound ones begin.
func TestRequestsWithCrashingPartAreGivenUp(t *testing.T) {
	for name, c := range partCases() {
		t.Run(name, c.test)
	}
}

// Guards against the same in cases that are drawn at random, each from its seed.
func TestDrawnRequestsWithCrashingPartAreGivenUp(t *testing.T) {
	for seed := range uint64(drawnPartCases) {
		t.Run(fmt.Sprint(seed), drawPartCase(seed).test)
	}
}

func (c partCase) test(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, processes := newProcessFixture(t, 4)
		defer time.Sleep(inmem.ConnectTimeout)
		defer f.close()
		c.run(f, processes)
		for _, process := range processes {
			process.end()
		}
	})
}

// run sends sound requests, and after a while those that crash engines beside them.
func (c partCase) run(f *fixture, processes []*process) {
	var callers sync.WaitGroup
	var poisons []*stand.Poison
	for n := range c.parts {
		p := c.poison
		p.Part = fmt.Sprintf("bad%d", n)
		poisons = append(poisons, &p)
		if c.isSoundFirst {
			time.AfterFunc(calmTime, func() { f.site.AddPoison(&p) })
		} else {
			f.site.AddPoison(&p)
		}
	}
	start := time.Now()
	if c.event != nil {
		callers.Go(func() {
			time.Sleep(calmTime + c.later)
			c.event(f, processes)
		})
	}
	for n := 0; time.Since(start) < calmTime+badTime; n++ {
		callers.Go(func() { f.sendWithParts(n, "sound", c.soundParts(n)) })
		if c.isSoundFirst || time.Since(start) > calmTime {
			callers.Go(func() { f.sendWithParts(n, "bad", c.badParts(n)) })
		}
		time.Sleep(c.interval)
	}
	callers.Wait()
	for _, p := range poisons {
		before, after := f.site.SoundRequests(p)
		f.t.Logf("part %s: %d engines crashed; %s sound requests before, %s later", p.Part, f.site.PoisonCrashes(p), before, after)
	}
}

// soundParts returns the parts of a sound prompt: two that others share and one of its own.
func (c partCase) soundParts(n int) []string {
	return []string{"50de", fmt.Sprintf("50de%d", n%4), "50de0", fmt.Sprintf("50de%dff", n)}
}

// badParts returns the parts of a prompt that crashes engines. It shares the others with sound
// ones.
func (c partCase) badParts(n int) []string {
	parts := c.soundParts(n + 1)
	parts[c.place] = fmt.Sprintf("bad%d", n%c.parts)
	parts[len(parts)-1] = fmt.Sprintf("bad0%dff", n)
	return parts
}

// sendWithParts sends a stream with a body and a path of its own through an instance, and records
// whether its answer began.
func (f *fixture) sendWithParts(n int, kind string, parts []string) {
	id := fmt.Sprintf("%s%d", kind, n)
	url := "http://" + depot.Settings(n%len(f.clients)).Listen.Callers + "/write/" + id
	req, err := stand.NewRequest(context.Background(), http.MethodPost, url, id, "300,60")
	if err != nil {
		f.t.Error(err)
		return
	}
	stand.SetKey(req, stand.TeamKey(1+n%2))
	stand.SetParts(req, parts...)
	sentAt := time.Now()
	a := f.send(n%len(f.clients), req)
	f.site.RecordAttempt(req, sentAt, a.events > 0)
	if kind == "sound" && a.err == nil && a.status == http.StatusOK && a.body != wholeAnswer(id, 20) {
		f.t.Errorf("got the answer %q to %s, want it whole", a.body, id)
	}
}
