package ledger_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/fakes/infra"
	"fulmarwick/internal/state/ledger"

	"github.com/go-faster/errors"
	"pgregory.net/rapid"
)

// op is one operation of a history: what it returned and between which times.
type op struct {
	look     bool
	state    ledger.State
	refused  bool
	unread   bool
	from, to time.Time
}

// stateTold is a record whose end a caller was told before the row says it: the
// first try to write it failed. Others may hear running until it is written,
// and never after somebody read the end.
const stateTold = ledger.State(100)

// naive is the sequential version: one record that one caller at a time sees.
// It returns the states that the record may have after o, if o's result is
// one that it could have given.
func naive(state ledger.State, o op) []ledger.State {
	fresh := state == ledger.StateNone || state == ledger.StateNotRun
	switch {
	case o.refused, o.unread:
		return []ledger.State{state}
	case o.look && o.state == state, !o.look && !fresh && o.state == state:
		return []ledger.State{state}
	case o.look && fresh && o.state == ledger.StateNotRun:
		// A refused call may leave a record that it did not run.
		return []ledger.State{ledger.StateNotRun}
	case o.state == ledger.StateRunning && state != ledger.StateDone:
		return []ledger.State{state}
	case state == stateTold && o.state == ledger.StateDone && o.look:
		return []ledger.State{ledger.StateDone}
	case state == stateTold && o.state == ledger.StateDone:
		return []ledger.State{ledger.StateDone, stateTold}
	case state == ledger.StateUnsure && o.state == ledger.StateDone:
		return []ledger.State{ledger.StateDone}
	case !o.look && fresh && o.state == ledger.StateDone:
		return []ledger.State{ledger.StateDone, stateTold}
	case !o.look && fresh:
		return []ledger.State{o.state}
	}
	return nil
}

// linear reports whether the operations, in some order that respects their
// times, are what the naive version could have returned.
func linear(ops []op, used uint, state ledger.State) bool {
	if used == 1<<len(ops)-1 {
		return true
	}
	for i, o := range ops {
		if used&(1<<i) != 0 || late(ops, used, o) {
			continue
		}
		for _, next := range naive(state, o) {
			if linear(ops, used|1<<i, next) {
				return true
			}
		}
	}
	return false
}

// late reports whether an unused operation ended before o began.
func late(ops []op, used uint, o op) bool {
	for i, other := range ops {
		if used&(1<<i) == 0 && other.to.Before(o.from) {
			return true
		}
	}
	return false
}

// Callers repeat one payment and look it up at two instances, with random
// pauses, lost and refused answers of the table and of the service. What each
// of them saw is what a single record behind a single queue could have shown,
// and the payment ran at most once.
func TestHistoryIsLinearisable(t *testing.T) {
	done := 0
	rapid.Check(t, func(rt *rapid.T) {
		var scripts [5]script
		for n := range scripts {
			draw(rt, &scripts[n])
		}
		synctest.Test(t, func(t *testing.T) {
			for _, s := range scripts {
				done += judge(t, s)
			}
		})
	})
	if done < 300 {
		t.Errorf("got %d operations that saw done, want enough to prove something", done)
	}
}

// script is what each of seven callers does: when, behind which delay and
// fault of the table, and with which fault of the service.
type script [7][4]int

func draw(rt *rapid.T, s *script) {
	for i := range s {
		for j := range s[i] {
			s[i][j] = rapid.IntRange(0, 9).Draw(rt, "step")
		}
	}
}

// judge plays a script and returns how many operations saw done.
func judge(t *testing.T, s script) int {
	ops, runs := history(t, s)
	if !linear(ops, 0, ledger.StateNone) || runs > 1 {
		t.Errorf("got %d runs and the history %+v, want one that a sequential record allows", runs, ops)
	}
	done := 0
	for _, o := range ops {
		if o.state == ledger.StateDone {
			done++
		}
	}
	return done
}

func history(t *testing.T, script script) ([]op, int) {
	table := &infra.Table{}
	svc := &service{delay: 30 * time.Millisecond}
	all := []*ledger.Ledger{{Table: table, Sender: svc}, {Table: table, Sender: svc}}
	ops := make([]op, len(script))
	var wait sync.WaitGroup
	for i, s := range script {
		wait.Go(func() {
			time.Sleep(time.Duration(s[0]*11) * time.Millisecond)
			svc.mu.Lock()
			switch s[3] {
			case 0:
				svc.errs = append(svc.errs, ledger.ErrNotSent)
			case 1:
				svc.errs = append(svc.errs, errCut)
			}
			svc.mu.Unlock()
			f := infra.Faults{Slow: time.Duration(s[1]) * time.Millisecond}
			switch s[2] {
			case 0:
				f.Down = true
			case 1:
				f.Lose = 1
			case 2:
				f.Drop = 1
			}
			table.Fault(f)
			ops[i] = perform(t, all[i%2], s[1]%3 == 0)
		})
	}
	wait.Wait()
	table.Fault(infra.Faults{})
	for _, l := range all {
		if err := l.Wait(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	return ops, svc.runs
}

func perform(t *testing.T, l *ledger.Ledger, looks bool) op {
	o := op{look: looks, from: time.Now()}
	var out ledger.Outcome
	var err error
	if looks {
		out, err = l.Look(t.Context(), "team", "payment", "k1")
	} else {
		out, err = l.Do(t.Context(), payment("1"))
	}
	o.to, o.state = time.Now(), out.State()
	// Unsure for want of the store says nothing of the record's state.
	why := out.Why()
	o.unread = strings.Contains(why, "record exists") || strings.Contains(why, "store is out")
	o.refused = errors.Is(err, ledger.ErrStore) || errors.Is(err, ledger.ErrUnread)
	if err != nil && !o.refused {
		t.Error(fmt.Sprint("got ", err, ", want no other error"))
	}
	return o
}

// The judge itself: histories that no single record could have shown.
func TestJudgeRefusesImpossibleHistories(t *testing.T) {
	at := func(ms int) time.Time { return time.UnixMilli(int64(ms)) }
	one := func(look bool, s ledger.State, from, to int) op {
		return op{look: look, state: s, from: at(from), to: at(to)}
	}
	for name, ops := range map[string][]op{
		"done, then not run":      {one(false, ledger.StateDone, 0, 1), one(true, ledger.StateNotRun, 2, 3)},
		"done, then none":         {one(false, ledger.StateDone, 0, 1), one(true, ledger.StateNone, 2, 3)},
		"seen done, then running": {one(false, ledger.StateDone, 0, 1), one(true, ledger.StateDone, 2, 3), one(true, ledger.StateRunning, 4, 5)},
		"unsure, then not run":    {one(false, ledger.StateUnsure, 0, 1), one(true, ledger.StateNotRun, 2, 3)},
	} {
		if linear(ops, 0, ledger.StateNone) {
			t.Errorf("got %s as possible, want it refused", name)
		}
	}
}
