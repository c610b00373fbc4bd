package plain_test

import (
	"testing"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fakes/desk"
	"fulmarwick/internal/fakes/infra"
	"fulmarwick/internal/state/ledger"
	"fulmarwick/internal/state/store"
)

// A payment goes through record, HTTP adapters and service, each over real
// connections, while one connection after another is dropped: the table's
// answer, the service's answer, both. The caller sees what is true, the service
// runs the payment once, and the repeat at another instance gets the same.
func TestDroppedConnectionsEndToEnd(t *testing.T) {
	cases := []struct {
		name   string
		faults infra.Faults
		cut    int
		asks   bool
		want   ledger.State
	}{
		{"nothing dropped", infra.Faults{}, 0, false, ledger.StateDone},
		{"first commit's answer dropped", infra.Faults{Lose: 1}, 0, false, ledger.StateDone},
		{"service's answer dropped", infra.Faults{}, 1, false, ledger.StateUnsure},
		{"service's answer dropped, it can be asked", infra.Faults{}, 1, true, ledger.StateDone},
		{"both dropped, it can be asked", infra.Faults{Lose: 1}, 1, true, ledger.StateDone},
	}
	for _, c := range cases {
		d := &desk.Desk{}
		platform := &infra.Server{Table: &infra.Table{}}
		base, service := server(t, platform.Handler()), server(t, d.Handler())
		instance := func() *ledger.Ledger {
			s := sender(service)
			return &ledger.Ledger{
				Table:  &store.Batcher{Table: &store.Breaker{Table: &store.Client{BaseURL: base, HTTP: store.NewHTTPClient()}}},
				Sender: s, Querier: s, SupportsOutcomes: func(spec.ServiceName) bool { return c.asks },
			}
		}
		platform.Table.Fault(c.faults)
		d.Cut(c.cut)
		first, err := instance().Do(t.Context(), payment("k1"))
		if err != nil || first.State() != c.want {
			t.Errorf("%s: got %v %v, want %v", c.name, first.State(), err, c.want)
		}
		again, err := instance().Do(t.Context(), payment("k1"))
		if err != nil || again.State() != c.want || string(again.Answer().Body()) != string(first.Answer().Body()) {
			t.Errorf("%s: got %v %q %v for the repeat, want the same as first", c.name, again.State(), again.Answer().Body(), err)
		}
		if got := d.Runs("k1"); got != 1 {
			t.Errorf("%s: got %d runs, want 1", c.name, got)
		}
	}
}
