package share_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/share"

	"pgregory.net/rapid"
)

const (
	// shareCapacity is how many requests the engines run at once, each for a time up to
	// maxShareRunTime.
	shareCapacity   = 700
	maxShareRunTime = 14 * time.Second
	// shareWarmUp is the time in which the engines fill up.
	shareWarmUp = 5 * time.Second
	// shareWait is how long a request waits for capacity.
	shareWait = 400 * time.Millisecond
)

// replay is a fleet of instances before the same engines. Each sees what the others use one
// report interval late.
type replay struct {
	random    *rand.Rand
	instances []*share.Fleet
	byFleet   bool
	inUse     int
	// told is what was in use when the instances last told each other.
	told  int
	sent  []int
	waits []waiting
	ends  []ending
	asked map[string]int
	given map[string]int
}

type waiting struct {
	team     string
	instance int
	until    time.Duration
}

type ending struct {
	at       time.Duration
	team     string
	instance int
}

// tryStart starts a request if its instance allows it and the engines have capacity.
func (r *replay) tryStart(now time.Duration, w waiting) bool {
	f := r.instances[w.instance]
	known := func() float64 { return float64(r.told+r.sent[w.instance]) / shareCapacity }
	allowed := f.Own().Allow(w.team, known)
	if r.byFleet {
		allowed = f.Allow(now, w.team, 0, known)
	}
	if !allowed || r.inUse >= shareCapacity {
		return false
	}
	f.Own().Begin(w.team)
	r.inUse++
	r.sent[w.instance]++
	if now >= shareWarmUp {
		r.given[w.team]++
	}
	end := ending{at: now + time.Duration(r.random.Int64N(int64(maxShareRunTime))), team: w.team, instance: w.instance}
	at, _ := slices.BinarySearchFunc(r.ends, end, func(a, b ending) int { return cmp.Compare(a.at, b.at) })
	r.ends = slices.Insert(r.ends, at, end)
	return true
}

// step ends what is due, retries what waits, in random order, and lets instances tell each other.
func (r *replay) step(now time.Duration, tells bool) {
	for len(r.ends) > 0 && r.ends[0].at <= now {
		e := r.ends[0]
		r.ends = r.ends[1:]
		r.instances[e.instance].Own().End(e.team)
		r.inUse--
	}
	r.random.Shuffle(len(r.waits), func(i, j int) { r.waits[i], r.waits[j] = r.waits[j], r.waits[i] })
	var left []waiting
	for _, w := range r.waits {
		if now < w.until && !r.tryStart(now, w) {
			left = append(left, w)
		}
	}
	r.waits = left
	if !tells {
		return
	}
	r.told = r.inUse
	clear(r.sent)
	for n, from := range r.instances {
		for k, to := range r.instances {
			if k != n {
				to.SetOthers(spec.InstanceID(fmt.Sprint(n)), from.Usage(now))
			}
		}
	}
}

func (r *replay) request(now time.Duration, team string) {
	w := waiting{team: team, instance: r.random.IntN(len(r.instances)), until: now + shareWait}
	if now >= shareWarmUp {
		r.asked[team]++
	}
	if !r.tryStart(now, w) {
		r.instances[w.instance].RecordUnserved(now, team, 0)
		r.waits = append(r.waits, w)
	}
}

// replayFlood has one team send three times what the engines can serve and nine others one request a
// second each, through many instances. It returns the shares of requests served.
func replayFlood(instances int, byFleet bool) (small, heavy float64) {
	const tick = 10 * time.Millisecond
	r := &replay{random: rand.New(rand.NewPCG(1, 2)), byFleet: byFleet, sent: make([]int, instances), asked: map[string]int{}, given: map[string]int{}}
	for range instances {
		r.instances = append(r.instances, &share.Fleet{})
	}
	for n := range 2000 {
		now := time.Duration(n) * tick
		r.step(now, n%20 == 0)
		for range 3 {
			r.request(now, "heavy")
		}
		if n%11 == 0 {
			r.request(now, fmt.Sprint("small-", n/11%9))
		}
	}
	asked, given := 0, 0
	for team, n := range r.asked {
		if team != "heavy" {
			asked += n
			given += r.given[team]
		}
	}
	return float64(given) / float64(asked), float64(r.given["heavy"]) / float64(r.asked["heavy"])
}

// Guards against small teams that find no capacity at any of many instances while one team floods
// all of them, and against a large part of the engines left idle for them.
func TestSmallTeamsAreServedBesideFloodOverManyInstances(t *testing.T) {
	for _, instances := range []int{4, 36, 60} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			small, heavy := replayFlood(instances, true)
			oldSmall, oldHeavy := replayFlood(instances, false)
			t.Logf("small %.3f, heavy %.3f; by each instance alone %.3f, %.3f", small, heavy, oldSmall, oldHeavy)
			if small < 0.9 || heavy < 0.8*oldHeavy {
				t.Errorf("got %.3f of the small and %.3f of the heavy team's requests served, want 0.9 and 0.8 of %.3f", small, heavy, oldHeavy)
			}
		})
	}
}

// Guards against a reserve that stays although small teams find capacity again, or that holds more
// urgent requests up for less urgent ones.
func TestReserveLastsWhileSmallTeamsFindNoCapacity(t *testing.T) {
	var f share.Fleet
	for range 20 {
		f.Own().Begin("large")
	}
	f.Own().Begin("other")
	if !f.Allow(0, "large", 1, fullyUsed) {
		t.Error("got a large team held up although nobody found no capacity")
	}
	f.RecordUnserved(0, "small", 1)
	if f.Allow(200*time.Millisecond, "large", 1, fullyUsed) || f.Allow(200*time.Millisecond, "large", 2, fullyUsed) {
		t.Error("got a large team allowed while a small one found no capacity")
	}
	if !f.Allow(200*time.Millisecond, "large", 0, fullyUsed) || !f.Allow(200*time.Millisecond, "small", 1, fullyUsed) {
		t.Error("got a more urgent request or a small team held up")
	}
	for now := 300 * time.Millisecond; now < 3*time.Second; now += 100 * time.Millisecond {
		if f.Allow(now, "large", 1, fullyUsed) {
			t.Errorf("got no reserve %s after the last request, want it to shrink slowly", now)
		}
	}
	if reserve := f.Reserve(12 * time.Second); reserve != 0 {
		t.Errorf("got a reserve of %.3f 12 s later, want none", reserve)
	}
}

// Guards against requests of lost instances that count on, and against sums that do not undo.
func TestUsageOfOthersIsReplaced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		usage := rapid.Custom(func(t *rapid.T) share.Usage {
			return share.Usage{
				InFlight: rapid.MapOf(rapid.SampledFrom([]string{"a", "b", "c"}), rapid.IntRange(1, 9)).Draw(t, "in flight"),
				Unserved: rapid.MapOf(rapid.IntRange(0, 2), rapid.IntRange(1, 9)).Draw(t, "unserved"),
			}
		})
		one, two := usage.Draw(t, "one"), usage.Draw(t, "two")
		var f share.Fleet
		f.SetOthers("x", one)
		f.SetOthers("x", one.Plus(two).Minus(one))
		for _, team := range []string{"a", "b", "c"} {
			if got, want := f.InFlight(team), two.InFlight[team]; got != want {
				t.Errorf("got %d requests of %s in flight, want %d", got, team, want)
			}
		}
		f.SetOthers("x", share.Usage{})
		if f.InFlight("a")+f.InFlight("b")+f.InFlight("c") != 0 {
			t.Error("got requests of an instance that was removed, want none")
		}
	})
}
