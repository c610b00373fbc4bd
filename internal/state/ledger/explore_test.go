package ledger_test

import (
	"testing"

	"fulmarwick/internal/state/ledger"
	"fulmarwick/internal/state/store"

	"github.com/go-faster/errors"
	"pgregory.net/rapid"
)

// mutation changes the result of an action before the attempt sees it.
type mutation func(*caller, ledger.ActionKind, ledger.Result) ledger.Result

// explore visits every state that m can reach in depth steps. It returns the number
// of states, the depth at which no new state was found, and the first violation.
func explore(m model, depth int, mutate mutation) (states, reached int, fault string) {
	seen := map[string]bool{m.fingerprint(): true}
	front := []model{m}
	for d := range depth {
		var next []model
		for i := range front {
			for _, c := range front[i].events() {
				n := front[i].step(c, mutate)
				if n.violation != "" {
					return len(seen), d, n.violation
				}
				if p := n.fingerprint(); !seen[p] {
					seen[p] = true
					next = append(next, n)
				}
			}
		}
		if len(next) == 0 {
			return len(seen), d, ""
		}
		front = next
	}
	return len(seen), depth, ""
}

// Two callers send the same payment through two instances and retry after "not
// run". The search covers every order of their steps with up to two faults: an
// unavailable store, stale reads, commits and sends that are lost before or after
// their effect or take effect later, a wrong report of a death, and a crash. The
// payment runs at most once and no caller gets a false "not run".
func TestEveryInterleavingRunsAtMostOnce(t *testing.T) {
	const depth = 40
	for _, faults := range []int{0, 1, 2} {
		states, reached, fault := explore(newModel(faults, 1), depth, nil)
		if reached == depth {
			t.Errorf("got new states at depth %d, want all states found before", depth)
		}
		if fault != "" {
			t.Errorf("got %q with %d faults, want none", fault, faults)
		}
		t.Logf("%d faults: all %d states, the last at depth %d", faults, states, reached)
	}
}

// The same two callers with up to twelve faults. Long random runs reach states
// that are too deep for the exhaustive search.
func TestLongRandomSequencesRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for range 20 {
			randomWalk(t, newModel(rapid.IntRange(0, 12).Draw(t, "faults"), 3))
		}
	})
}

func randomWalk(t *rapid.T, m model) {
	for range 60 {
		all := m.events()
		if len(all) == 0 {
			return
		}
		m = m.step(all[rapid.IntRange(0, len(all)-1).Draw(t, "choice")], nil)
		if m.violation != "" {
			t.Fatal(m.violation)
		}
	}
}

// Each case removes one safeguard. The search must then find a payment that runs
// twice or a false "not run". Otherwise it would not detect that the safeguard is
// missing in the product either.
func TestSearchFindsMissingSafeguards(t *testing.T) {
	cases := []struct {
		name   string
		blind  bool
		mutate mutation
	}{
		{"sends after a failed read-back", false, func(c *caller, k ledger.ActionKind, r ledger.Result) ledger.Result {
			if k == ledger.ActRead && r.Err != nil {
				return ledger.Result{Row: rowWithState(store.NewRow("", 9, nil), c.lastWrite.Value(), ledger.StateNone)}
			}
			return r
		}},
		{"treats a lost commit as committed", false, func(_ *caller, k ledger.ActionKind, r ledger.Result) ledger.Result {
			if k == ledger.ActCommit && errors.Is(r.Err, store.ErrOutcomeUnknown) {
				return ledger.Result{Version: 1}
			}
			return r
		}},
		{"treats an interrupted send as not sent", false, func(_ *caller, k ledger.ActionKind, r ledger.Result) ledger.Result {
			if k == ledger.ActSend && r.Err != nil {
				r.Err = ledger.ErrNotSent
			}
			return r
		}},
		{"treats an outcome unknown to the upstream as not run", false, func(_ *caller, k ledger.ActionKind, r ledger.Result) ledger.Result {
			if k == ledger.ActRead && r.Err == nil && stateOf(r.Row) == ledger.StateUnsure {
				r.Row = rowWithState(r.Row, r.Row.Value(), ledger.StateNotRun)
			}
			return r
		}},
		{"marks the running row of another attempt as not run", false, func(_ *caller, k ledger.ActionKind, r ledger.Result) ledger.Result {
			if k == ledger.ActRead && r.Err == nil && stateOf(r.Row) == ledger.StateRunning {
				r.Row = rowWithState(r.Row, r.Row.Value(), ledger.StateNotRun)
			}
			return r
		}},
		{"commits without condition", true, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := newModel(2, 1)
			m.ignoreConditions = c.blind
			states, _, fault := explore(m, 40, c.mutate)
			if fault == "" {
				t.Errorf("got no fault in %d states, want one", states)
			}
			t.Logf("after %d states: %s", states, fault)
		})
	}
}

// BenchmarkExplore searches the same model with three faults.
func BenchmarkExplore(b *testing.B) {
	for b.Loop() {
		states, reached, fault := explore(newModel(3, 1), 60, nil)
		if fault != "" {
			b.Errorf("got %q, want no fault", fault)
		}
		b.ReportMetric(float64(states), "states")
		b.ReportMetric(float64(reached), "depth")
	}
}
