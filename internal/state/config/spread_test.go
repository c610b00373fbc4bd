package config_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/fakes/infra"
	"fulmarwick/internal/state/config"

	"github.com/go-faster/errors"
	"pgregory.net/rapid"
)

// startFollowers is n followers with the default pace.
func startFollowers(ctx context.Context, table *infra.Table, n int) []*config.Follower {
	var all []*config.Follower
	for i := range n {
		src := rand.New(rand.NewPCG(7, uint64(i)))
		f := &config.Follower{Table: table, Active: &config.Active{}, Jitter: func() float64 { return 0.5 + src.Float64() }}
		all = append(all, f)
		go f.Run(ctx)
	}
	return all
}

// measureRollout makes 20 changes and returns the longest time until all had one, the
// reads a second while nothing changed, and the reads a change.
func measureRollout(t *testing.T, n int, gossip time.Duration) (slowest time.Duration, idle, each float64) {
	table := &infra.Table{}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	mustApply(t, table, classDocument("one", "1s"))
	all := startFollowers(ctx, table, n)
	time.Sleep(time.Minute)
	before, _ := table.Counts()
	time.Sleep(time.Minute)
	after, _ := table.Counts()
	idle = float64(after-before) / 60
	var took time.Duration
	for i := range 20 {
		version := mustApply(t, table, classDocument("one", fmt.Sprint(i+2, "s")))
		start := time.Now()
		if gossip > 0 {
			time.AfterFunc(gossip, func() {
				for _, f := range all {
					f.NotifyVersion(version)
				}
			})
		}
		for _, f := range all {
			for f.Version() < version {
				time.Sleep(10 * time.Millisecond)
			}
		}
		slowest = max(slowest, time.Since(start))
		took += time.Since(start)
		time.Sleep(7 * time.Second)
		took += 7 * time.Second
	}
	end, _ := table.Counts()
	each = (float64(end-after)-idle*took.Seconds())/20 - 2
	return slowest, idle, each
}

// An accepted change is in force on all instances within the 18 s that are
// asked for: by polls alone, and sooner when its head is heard by gossip.
func TestChangeReachesAllInstances(t *testing.T) {
	for _, n := range []int{4, 40, 360} {
		for _, gossip := range []time.Duration{0, 500 * time.Millisecond} {
			synctest.Test(t, func(t *testing.T) {
				slowest, idle, each := measureRollout(t, n, gossip)
				t.Logf("%d instances, gossip %v: in force after %v at most; %.1f reads/s at rest, %.0f reads a change",
					n, gossip, slowest, idle, each)
				limit := 8 * time.Second
				if gossip > 0 {
					limit = gossip + time.Second
				}
				if slowest > limit {
					t.Errorf("got in force after %v, want within %v", slowest, limit)
				}
				if most := float64(n) / 3; idle > most {
					t.Errorf("got %.1f reads/s at rest, want at most %.1f", idle, most)
				}
			})
		}
	}
}

// What a change costs the platform when it is applied.
func TestStoreCallsPerChange(t *testing.T) {
	table := &infra.Table{}
	mustApply(t, table, classDocument("one", "1s"))
	r0, w0 := table.Counts()
	c0 := table.Commits()
	mustApply(t, table, classDocument("one", "2s"))
	r1, w1 := table.Counts()
	t.Logf("one class: %d reads, %d rows written in %d commit", r1-r0, w1-w0, table.Commits()-c0)
	if r1-r0 != 2 || w1-w0 != 3 || table.Commits()-c0 != 1 {
		t.Errorf("got %d reads, %d rows, %d commits; want 2, 3 and 1", r1-r0, w1-w0, table.Commits()-c0)
	}
	f := &config.Follower{Table: table, Active: &config.Active{}}
	mustPoll(t, f)
	mustApply(t, table, classDocument("one", "3s"))
	r2, _ := table.Counts()
	mustPoll(t, f)
	r3, _ := table.Counts()
	a := &config.Applier{Table: table, StartFrom: f}
	if v, err := a.Apply(t.Context(), config.Change{Documents: classDocument("one", "4s")}); v != 4 || err != nil {
		t.Errorf("got version %d %v from known rows, want 4", v, err)
	}
	r4, _ := table.Counts()
	if v, err := a.Apply(t.Context(), config.Change{Documents: classDocument("one", "5s")}); v != 5 || err != nil {
		t.Errorf("got version %d %v from old rows, want 5", v, err)
	}
	t.Logf("one class, from a follower's rows: %d reads", r4-r3)
	if r4-r3 != 1 {
		t.Errorf("got %d reads from known rows, want 1", r4-r3)
	}
	t.Logf("a follower: %d reads", r3-r2)
	if r3-r2 != 2 {
		t.Errorf("got %d reads by a follower, want 2", r3-r2)
	}
}

// attempt is one change of a history, and what its operator was told.
type attempt struct {
	name, value string
	id          string
	version     uint64
	err         error
	start, end  time.Time
}

// Operators change three classes at random moments, with lost, refused and
// slow answers of the table. The history that the table shows explains all of
// it: each accepted change once, in an order that respects the operators'
// times, conflicts only with winners that came first, and a final state that
// applying the changes one after another, naively, gives too.
func TestConfigHistoryIsLinearisable(t *testing.T) {
	accepted, lost := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		var script [8][4]int
		for i := range script {
			for j := range script[i] {
				script[i][j] = rapid.IntRange(0, 9).Draw(rt, "step")
			}
		}
		synctest.Test(t, func(t *testing.T) {
			a, l := runOperators(t, script)
			accepted, lost = accepted+a, lost+l
		})
	})
	if accepted < 200 || lost < 20 {
		t.Errorf("got %d accepted and %d lost to others, want enough of both to prove something", accepted, lost)
	}
}

func runOperators(t *testing.T, script [8][4]int) (accepted, lost int) {
	table := &infra.Table{}
	tries := make([]attempt, len(script))
	done := make(chan struct{})
	for i, s := range script {
		go func() {
			time.Sleep(time.Duration(s[0]*2) * time.Millisecond)
			f := infra.Faults{Slow: time.Duration(s[1]) * time.Millisecond}
			switch s[2] {
			case 0:
				f.Lose = 1
			case 1:
				f.Drop = 1
			case 2:
				f.Late = 1
			}
			table.Fault(f)
			tries[i] = runOperator(t, table, i, s[3]%3)
			done <- struct{}{}
		}()
	}
	for range script {
		<-done
	}
	table.Fault(infra.Faults{})
	table.Land()
	verifyHistory(t, table, tries)
	for _, a := range tries {
		var conflict *config.ConflictError
		switch {
		case a.err == nil:
			accepted++
		case errors.As(a.err, &conflict):
			lost++
		}
	}
	return accepted, lost
}

func runOperator(t *testing.T, table *infra.Table, i, which int) attempt {
	a := attempt{name: fmt.Sprint("c", which), value: fmt.Sprint(i+1, "s"), id: fmt.Sprint("id", i), start: time.Now()}
	op := &config.Applier{Table: table}
	a.version, a.err = op.Apply(t.Context(), config.Change{Documents: classDocument(a.name, a.value), Author: a.id, ID: a.id})
	a.end = time.Now()
	return a
}

// verifyHistory holds what operators were told against the history and the naive
// sequential result.
func verifyHistory(t *testing.T, table *infra.Table, tries []attempt) {
	t.Helper()
	op := &config.Applier{Table: table}
	history, err := op.History(t.Context(), 100)
	if err != nil {
		t.Fatal(err)
	}
	byID := map[string]uint64{}
	for _, e := range history {
		if byID[e.ID] != 0 {
			t.Errorf("got change %s twice, want once", e.ID)
		}
		byID[e.ID] = e.Version
	}
	naive := map[string]string{}
	for v := len(history) - 1; v >= 0; v-- {
		for _, a := range tries {
			if a.id == history[v].ID {
				naive[a.name] = a.value
			}
		}
	}
	for _, a := range tries {
		verifyResult(t, a, byID, tries)
	}
	s, err := op.ReadSnapshot(t.Context())
	if err != nil || s.Version() != uint64(len(history)) || len(s.Classes()) != len(naive) {
		t.Fatalf("got version %d with %d classes %v, want %d with %d", s.Version(), len(s.Classes()), err, len(history), len(naive))
	}
	for _, c := range s.Classes() {
		if got, want := c.Target().TotalTime().String(), naive[string(c.Name())]; got != want {
			t.Errorf("got %s for %s, want %s", got, c.Name(), want)
		}
	}
}

func verifyResult(t *testing.T, a attempt, byID map[string]uint64, tries []attempt) {
	t.Helper()
	var conflict *config.ConflictError
	var open *config.OutcomeUnknownError
	switch {
	case a.err == nil:
		if byID[a.id] != a.version {
			t.Errorf("got version %d told for %s, want %d", a.version, a.id, byID[a.id])
		}
		for _, b := range tries {
			if b.err == nil && b.end.Before(a.start) && b.version >= a.version {
				t.Errorf("got version %d after version %d was accepted, want a higher one", a.version, b.version)
			}
		}
	case errors.As(a.err, &conflict):
		w := conflict.Winners[0]
		if byID[a.id] != 0 || byID[w.Author] != w.Version {
			t.Errorf("got a conflict for %s won by %v, want it not in the history and the winner there", a.id, w)
		}
	case errors.As(a.err, &open):
	case byID[a.id] != 0:
		t.Errorf("got %v for %s, which is in the history", a.err, a.id)
	}
}
