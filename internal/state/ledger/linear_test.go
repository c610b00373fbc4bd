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

// operation is one operation of a history with its result and its start and end.
type operation struct {
	lookup     bool
	state      ledger.State
	refused    bool
	unreadable bool
	start, end time.Time
}

// stateDoneUnwritten is the state of a call whose outcome was reported to its caller
// although the first write of the final record failed. Other callers may get running
// until the record is written, but not after a caller has read the outcome.
const stateDoneUnwritten = ledger.State(100)

// sequentialNext is the sequential model: one record that serves one caller at a time.
// It returns the states that the record may have after o, or none if o cannot have
// its result in this state.
func sequentialNext(state ledger.State, o operation) []ledger.State {
	canRun := state == ledger.StateNone || state == ledger.StateNotRun
	switch {
	case o.refused, o.unreadable:
		return []ledger.State{state}
	case o.lookup && o.state == state, !o.lookup && !canRun && o.state == state:
		return []ledger.State{state}
	case o.lookup && canRun && o.state == ledger.StateNotRun:
		// A rejected call may leave a record in state notrun.
		return []ledger.State{ledger.StateNotRun}
	case o.state == ledger.StateRunning && state != ledger.StateDone:
		return []ledger.State{state}
	case state == stateDoneUnwritten && o.state == ledger.StateDone && o.lookup:
		return []ledger.State{ledger.StateDone}
	case state == stateDoneUnwritten && o.state == ledger.StateDone:
		return []ledger.State{ledger.StateDone, stateDoneUnwritten}
	case state == ledger.StateUnsure && o.state == ledger.StateDone:
		return []ledger.State{ledger.StateDone}
	case !o.lookup && canRun && o.state == ledger.StateDone:
		return []ledger.State{ledger.StateDone, stateDoneUnwritten}
	case !o.lookup && canRun:
		return []ledger.State{o.state}
	}
	return nil
}

// isLinearisable reports whether the sequential model can return the results of all
// operations in some order that respects their times. Bits set in used mark the
// operations that are already ordered.
func isLinearisable(ops []operation, used uint, state ledger.State) bool {
	if used == 1<<len(ops)-1 {
		return true
	}
	for i, o := range ops {
		if used&(1<<i) != 0 || endedBefore(ops, used, o) {
			continue
		}
		for _, next := range sequentialNext(state, o) {
			if isLinearisable(ops, used|1<<i, next) {
				return true
			}
		}
	}
	return false
}

// endedBefore reports whether an unused operation ended before o started.
func endedBefore(ops []operation, used uint, o operation) bool {
	for i, other := range ops {
		if used&(1<<i) == 0 && other.end.Before(o.start) {
			return true
		}
	}
	return false
}

// Callers retry one payment and look it up at two instances, with random delays and
// with lost and refused calls to the table and to the service. All results must be
// possible for a single record behind a single queue, and the payment runs at most
// once.
func TestHistoryIsLinearisable(t *testing.T) {
	done := 0
	rapid.Check(t, func(rt *rapid.T) {
		var scripts [5]script
		for n := range scripts {
			drawScript(rt, &scripts[n])
		}
		synctest.Test(t, func(t *testing.T) {
			for _, s := range scripts {
				done += checkScript(t, s)
			}
		})
	})
	if done < 300 {
		t.Errorf("got %d operations with result done, want at least 300", done)
	}
}

// script holds the steps of seven callers: the start time, the delay and the fault of
// the table, and the fault of the service.
type script [7][4]int

func drawScript(rt *rapid.T, s *script) {
	for i := range s {
		for j := range s[i] {
			s[i][j] = rapid.IntRange(0, 9).Draw(rt, "step")
		}
	}
}

// checkScript runs a script, checks its history and returns how many operations got
// done.
func checkScript(t *testing.T, s script) int {
	ops, runs := runScript(t, s)
	if !isLinearisable(ops, 0, ledger.StateNone) || runs > 1 {
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

func runScript(t *testing.T, script script) ([]operation, int) {
	table := &infra.Table{}
	svc := &fakeService{delay: 30 * time.Millisecond}
	all := []*ledger.Ledger{{Table: table, Sender: svc}, {Table: table, Sender: svc}}
	ops := make([]operation, len(script))
	var wait sync.WaitGroup
	for i, s := range script {
		wait.Go(func() {
			time.Sleep(time.Duration(s[0]*11) * time.Millisecond)
			svc.mu.Lock()
			switch s[3] {
			case 0:
				svc.errs = append(svc.errs, ledger.ErrNotSent)
			case 1:
				svc.errs = append(svc.errs, errConnectionCut)
			}
			svc.mu.Unlock()
			f := infra.Faults{Latency: time.Duration(s[1]) * time.Millisecond}
			switch s[2] {
			case 0:
				f.Unavailable = true
			case 1:
				f.LoseReplies = 1
			case 2:
				f.DropCommits = 1
			}
			table.SetFaults(f)
			ops[i] = runOperation(t, all[i%2], s[1]%3 == 0)
		})
	}
	wait.Wait()
	table.SetFaults(infra.Faults{})
	for _, l := range all {
		if err := l.Wait(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	return ops, svc.runs
}

func runOperation(t *testing.T, l *ledger.Ledger, lookup bool) operation {
	o := operation{lookup: lookup, start: time.Now()}
	var out ledger.Outcome
	var err error
	if lookup {
		out, err = l.Lookup(t.Context(), "team", "payment", "k1")
	} else {
		out, err = l.Do(t.Context(), paymentCall("1"))
	}
	o.end, o.state = time.Now(), out.State()
	// Unsure because of a store outage says nothing about the record's state.
	reason := out.Reason()
	o.unreadable = strings.Contains(reason, "record exists") || strings.Contains(reason, "store is out")
	o.refused = errors.Is(err, ledger.ErrStoreUnavailable) || errors.Is(err, ledger.ErrRecordUnreadable)
	if err != nil && !o.refused {
		t.Error(fmt.Sprint("got ", err, ", want no other error"))
	}
	return o
}

// The checker itself must reject histories that are impossible for a single record.
func TestCheckerRejectsImpossibleHistories(t *testing.T) {
	at := func(ms int) time.Time { return time.UnixMilli(int64(ms)) }
	one := func(lookup bool, s ledger.State, from, to int) operation {
		return operation{lookup: lookup, state: s, start: at(from), end: at(to)}
	}
	for name, ops := range map[string][]operation{
		"done, then not run":      {one(false, ledger.StateDone, 0, 1), one(true, ledger.StateNotRun, 2, 3)},
		"done, then none":         {one(false, ledger.StateDone, 0, 1), one(true, ledger.StateNone, 2, 3)},
		"seen done, then running": {one(false, ledger.StateDone, 0, 1), one(true, ledger.StateDone, 2, 3), one(true, ledger.StateRunning, 4, 5)},
		"unsure, then not run":    {one(false, ledger.StateUnsure, 0, 1), one(true, ledger.StateNotRun, 2, 3)},
	} {
		if isLinearisable(ops, 0, ledger.StateNone) {
			t.Errorf("got history %q accepted, want it rejected", name)
		}
	}
}
