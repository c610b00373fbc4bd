package ledger_test

import (
	"testing"

	"fulmarwick/internal/state/ledger"
	"fulmarwick/internal/state/store"

	"github.com/go-faster/errors"
	"pgregory.net/rapid"
)

type mutation func(*caller, ledger.ActionKind, ledger.Result) ledger.Result

// explore visits every state that m reaches in depth steps and returns their
// number, the depth at which nothing new came, and the first fault.
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

// Two callers send the same payment through two instances and ask again when
// told that it did not run. In every order of their steps, with up to two
// faults out of a refusing store, stale reads, commits and sends that are lost
// before or after their effect or land later, a wrong death notice and a
// crash, the payment runs at most once and nobody hears a false "not run".
func TestEveryInterleavingRunsAtMostOnce(t *testing.T) {
	const depth = 40
	for _, faults := range []int{0, 1, 2} {
		states, reached, fault := explore(newModel(faults, 1), depth, nil)
		if reached == depth {
			t.Errorf("got new states at depth %d, want all found before", depth)
		}
		if fault != "" {
			t.Errorf("got %q with %d faults, want none", fault, faults)
		}
		t.Logf("%d faults: all %d states, the last at depth %d", faults, states, reached)
	}
}

// The same two callers, with as many faults as come: long random runs reach
// what the exhaustive search is too shallow for.
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

// Each case takes one safeguard away. The search must then find a payment that
// runs twice or a false "not run"; if not, it would not notice the loss of the
// safeguard in the product either.
func TestSearchFindsMissingSafeguards(t *testing.T) {
	cases := []struct {
		name   string
		blind  bool
		mutate mutation
	}{
		{"sends after a read-back that failed", false, func(c *caller, k ledger.ActionKind, r ledger.Result) ledger.Result {
			if k == ledger.ActRead && r.Err != nil {
				return ledger.Result{Row: rowWithState(store.NewRow("", 9, nil), c.lastWrite.Value(), ledger.StateNone)}
			}
			return r
		}},
		{"takes a lost commit for done", false, func(_ *caller, k ledger.ActionKind, r ledger.Result) ledger.Result {
			if k == ledger.ActCommit && errors.Is(r.Err, store.ErrOutcomeUnknown) {
				return ledger.Result{Version: 1}
			}
			return r
		}},
		{"takes a cut send for not sent", false, func(_ *caller, k ledger.ActionKind, r ledger.Result) ledger.Result {
			if k == ledger.ActSend && r.Err != nil {
				r.Err = ledger.ErrNotSent
			}
			return r
		}},
		{"takes the upstream's ignorance for not run", false, func(_ *caller, k ledger.ActionKind, r ledger.Result) ledger.Result {
			if k == ledger.ActRead && r.Err == nil && stateOf(r.Row) == ledger.StateUnsure {
				r.Row = rowWithState(r.Row, r.Row.Value(), ledger.StateNotRun)
			}
			return r
		}},
		{"turns the running row of another into not run", false, func(_ *caller, k ledger.ActionKind, r ledger.Result) ledger.Result {
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
