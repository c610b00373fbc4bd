package plain_test

import (
	"testing"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fakes/desk"
	"fulmarwick/internal/fakes/infra"
	"fulmarwick/internal/state/ledger"
	"fulmarwick/internal/state/store"
)

// A payment goes through ledger, HTTP adapters and service over real
// connections, while connections are dropped: with the table's answer, the
// service's answer, or both. The caller must see the true state, the service
// must run the payment once, and a retry at another instance must get the same
// result.
func TestDroppedConnectionsEndToEnd(t *testing.T) {
	cases := []struct {
		name      string
		faults    infra.Faults
		cut       int
		queryable bool
		want      ledger.State
	}{
		{"nothing dropped", infra.Faults{}, 0, false, ledger.StateDone},
		{"first commit's answer dropped", infra.Faults{LoseReplies: 1}, 0, false, ledger.StateDone},
		{"service's answer dropped", infra.Faults{}, 1, false, ledger.StateUnsure},
		{"service's answer dropped, outcome can be queried", infra.Faults{}, 1, true, ledger.StateDone},
		{"both dropped, outcome can be queried", infra.Faults{LoseReplies: 1}, 1, true, ledger.StateDone},
	}
	for _, c := range cases {
		d := &desk.Desk{}
		platform := &infra.Server{Table: &infra.Table{}}
		base, service := server(t, platform.Handler()), server(t, d.Handler())
		instance := func() *ledger.Ledger {
			s := sender(service)
			return &ledger.Ledger{
				Table:  &store.Batcher{Table: &store.Breaker{Table: &store.Client{BaseURL: base, HTTP: store.NewHTTPClient()}}},
				Sender: s, Querier: s, SupportsOutcomes: func(spec.ServiceName) bool { return c.queryable },
			}
		}
		platform.Table.SetFaults(c.faults)
		d.CutReplies(c.cut)
		first, err := instance().Do(t.Context(), payment("k1"))
		if err != nil || first.State() != c.want {
			t.Errorf("%s: got %v %v, want %v", c.name, first.State(), err, c.want)
		}
		retry, err := instance().Do(t.Context(), payment("k1"))
		if err != nil || retry.State() != c.want || string(retry.Answer().Body()) != string(first.Answer().Body()) {
			t.Errorf("%s: got %v %q %v for the retry, want the same as the first", c.name, retry.State(), retry.Answer().Body(), err)
		}
		if got := d.Runs("k1"); got != 1 {
			t.Errorf("%s: got %d runs, want 1", c.name, got)
		}
	}
}
