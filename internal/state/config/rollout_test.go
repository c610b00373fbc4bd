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

// startFollowers starts n followers with the default poll interval.
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

// measureRollout makes 20 changes. It returns the longest time until a change was active
// on all followers, the reads per second without changes, and the reads per change.
func measureRollout(t *testing.T, n int, gossip time.Duration) (slowest time.Duration, idle, perChange float64) {
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
	perChange = (float64(end-after)-idle*took.Seconds())/20 - 2
	return slowest, idle, perChange
}

// An accepted change must be active on all instances within 18 s. The test is stricter:
// 8 s with polling alone, and the gossip delay plus 1 s with gossip of the new version.
func TestChangeReachesAllInstances(t *testing.T) {
	for _, n := range []int{4, 40, 360} {
		for _, gossip := range []time.Duration{0, 500 * time.Millisecond} {
			synctest.Test(t, func(t *testing.T) {
				slowest, idle, perChange := measureRollout(t, n, gossip)
				t.Logf("%d instances, gossip %v: active after %v at most; %.1f reads/s when idle, %.0f reads per change",
					n, gossip, slowest, idle, perChange)
				limit := 8 * time.Second
				if gossip > 0 {
					limit = gossip + time.Second
				}
				if slowest > limit {
					t.Errorf("got change active after %v, want within %v", slowest, limit)
				}
				if most := float64(n) / 3; idle > most {
					t.Errorf("got %.1f reads/s when idle, want at most %.1f", idle, most)
				}
			})
		}
	}
}

// The number of reads and writes that a change costs the platform.
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
		t.Errorf("got version %d %v from up-to-date rows, want 4", v, err)
	}
	r4, _ := table.Counts()
	if v, err := a.Apply(t.Context(), config.Change{Documents: classDocument("one", "5s")}); v != 5 || err != nil {
		t.Errorf("got version %d %v from outdated rows, want 5", v, err)
	}
	t.Logf("one class, from a follower's rows: %d reads", r4-r3)
	if r4-r3 != 1 {
		t.Errorf("got %d reads from up-to-date rows, want 1", r4-r3)
	}
	t.Logf("a follower: %d reads", r3-r2)
	if r3-r2 != 2 {
		t.Errorf("got %d reads by a follower, want 2", r3-r2)
	}
}

// attempt is one change of a history, with the result that its operator got.
type attempt struct {
	name, value string
	id          string
	version     uint64
	err         error
	start, end  time.Time
}

// Operators change three classes at random times, with lost, late and slow responses
// of the table. The history in the table must explain all results: it has each
// accepted change once, in an order that respects the operators' times; a conflict
// names a winner that is in the history; and the final state is the same as after
// applying the changes of the history one after another.
func TestConfigHistoryIsLinearisable(t *testing.T) {
	accepted, conflicts := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		var script [8][4]int
		for i := range script {
			for j := range script[i] {
				script[i][j] = rapid.IntRange(0, 9).Draw(rt, "step")
			}
		}
		synctest.Test(t, func(t *testing.T) {
			a, c := runOperators(t, script)
			accepted, conflicts = accepted+a, conflicts+c
		})
	})
	if accepted < 200 || conflicts < 20 {
		t.Errorf("got %d accepted changes and %d conflicts, want at least 200 and 20", accepted, conflicts)
	}
}

func runOperators(t *testing.T, script [8][4]int) (accepted, conflicts int) {
	table := &infra.Table{}
	tries := make([]attempt, len(script))
	done := make(chan struct{})
	for i, s := range script {
		go func() {
			time.Sleep(time.Duration(s[0]*2) * time.Millisecond)
			f := infra.Faults{Latency: time.Duration(s[1]) * time.Millisecond}
			switch s[2] {
			case 0:
				f.LoseReplies = 1
			case 1:
				f.DropCommits = 1
			case 2:
				f.DelayCommits = 1
			}
			table.SetFaults(f)
			tries[i] = runOperator(t, table, i, s[3]%3)
			done <- struct{}{}
		}()
	}
	for range script {
		<-done
	}
	table.SetFaults(infra.Faults{})
	table.ApplyDelayed()
	verifyHistory(t, table, tries)
	for _, a := range tries {
		var conflict *config.ConflictError
		switch {
		case a.err == nil:
			accepted++
		case errors.As(a.err, &conflict):
			conflicts++
		}
	}
	return accepted, conflicts
}

func runOperator(t *testing.T, table *infra.Table, i, class int) attempt {
	a := attempt{name: fmt.Sprint("c", class), value: fmt.Sprint(i+1, "s"), id: fmt.Sprint("id", i), start: time.Now()}
	op := &config.Applier{Table: table}
	a.version, a.err = op.Apply(t.Context(), config.Change{Documents: classDocument(a.name, a.value), Author: a.id, ID: a.id})
	a.end = time.Now()
	return a
}

// verifyHistory compares the operators' results with the history, and the final state
// with the sequential result of the history.
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
	expected := map[string]string{}
	for v := len(history) - 1; v >= 0; v-- {
		for _, a := range tries {
			if a.id == history[v].ID {
				expected[a.name] = a.value
			}
		}
	}
	for _, a := range tries {
		verifyResult(t, a, byID, tries)
	}
	s, err := op.ReadSnapshot(t.Context())
	if err != nil || s.Version() != uint64(len(history)) || len(s.Classes()) != len(expected) {
		t.Fatalf("got version %d with %d classes %v, want %d with %d", s.Version(), len(s.Classes()), err, len(history), len(expected))
	}
	for _, c := range s.Classes() {
		if got, want := c.Target().TotalTime().String(), expected[string(c.Name())]; got != want {
			t.Errorf("got %s for %s, want %s", got, c.Name(), want)
		}
	}
}

func verifyResult(t *testing.T, a attempt, byID map[string]uint64, tries []attempt) {
	t.Helper()
	var conflict *config.ConflictError
	var unknown *config.OutcomeUnknownError
	switch {
	case a.err == nil:
		if byID[a.id] != a.version {
			t.Errorf("got version %d reported for %s, want %d", a.version, a.id, byID[a.id])
		}
		for _, b := range tries {
			if b.err == nil && b.end.Before(a.start) && b.version >= a.version {
				t.Errorf("got version %d after version %d was accepted, want a higher one", a.version, b.version)
			}
		}
	case errors.As(a.err, &conflict):
		w := conflict.Winners[0]
		if byID[a.id] != 0 || byID[w.Author] != w.Version {
			t.Errorf("got a conflict for %s with winner %v, want only the winner in the history", a.id, w)
		}
	case errors.As(a.err, &unknown):
	case byID[a.id] != 0:
		t.Errorf("got %v for %s, which is in the history", a.err, a.id)
	}
}
