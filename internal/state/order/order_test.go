package order_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/base/frame"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fakes/infra"
	"fulmarwick/internal/state/lease"
	"fulmarwick/internal/state/order"

	"github.com/go-faster/errors"
	"pgregory.net/rapid"
)

const second = time.Second

func layers(version string, from, to int) []frame.Hold {
	return []frame.Hold{{Model: "levy", Version: version, Depth: 24, From: from, To: to}}
}

// machine is an engine that takes orders at once.
type machine struct {
	holds  []frame.Hold
	fence  uint64
	checks bool
	seq    uint64
	orders int
}

func (m *machine) take(o frame.Order) error {
	m.orders++
	if m.checks && o.Fence < m.fence {
		return errors.New("old number")
	}
	m.fence, m.holds = max(m.fence, o.Fence), o.Holds
	return nil
}

func (m *machine) report() frame.Engine {
	m.seq++
	return frame.Engine{Holds: m.holds, Seq: m.seq}
}

// floor is the engines of a data centre. It keeps back the orders of a held
// sender, as a paused process does between its last check and its send.
type floor struct {
	engines map[spec.UpstreamID]*machine
	paused  bool
	late    []func()
}

func (f *floor) Order(_ context.Context, id spec.UpstreamID, o frame.Order) error {
	if f.paused {
		f.late = append(f.late, func() { _ = f.engines[id].take(o) })
		return errors.New("timeout")
	}
	return f.engines[id].take(o)
}

// planner is an instance with its part in the lease and the orders.
type planner struct {
	lease  *lease.Lease
	orders *order.Orders
	floor  *floor
}

func newPlanner(table *infra.Table, name string, engines map[spec.UpstreamID]*machine) *planner {
	l := &lease.Lease{Table: table, Name: "place", Owner: name}
	f := &floor{engines: engines}
	return &planner{lease: l, floor: f, orders: &order.Orders{
		Table: table, Engines: f, Lease: l, Name: "klang", Rate: 1e12,
		Checks: func(id spec.UpstreamID) bool { return engines[id].checks },
	}}
}

func (p *planner) see() {
	for id, m := range p.floor.engines {
		p.orders.Seen(id, m.report())
	}
}

func both() map[spec.UpstreamID]*machine {
	return map[spec.UpstreamID]*machine{"checks": {checks: true}, "ignores": {}}
}

func must(t interface {
	Helper()
	Fatal(...any)
}, err error,
) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func finish(p *planner) int {
	for range 20 {
		p.see()
		_, _ = p.orders.Round(context.Background())
		p.see()
		if len(p.orders.Open()) == 0 {
			break
		}
		time.Sleep(2 * second)
		_ = p.lease.Step(context.Background())
	}
	return len(p.orders.Open())
}

// The holder is paused between its check and its send, with orders for version
// 1 on their way. Another instance takes over and orders version 2. Then the
// old orders arrive: the engine that checks numbers refuses its one, the other
// obeys, and is put right after its next report. Both end in version 2.
func TestLateOrdersOfPausedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, engines := &infra.Table{}, both()
		a, b := newPlanner(table, "a", engines), newPlanner(table, "b", engines)
		must(t, a.lease.Step(t.Context()))
		must(t, a.orders.Adopt(t.Context()))
		for id := range engines {
			must(t, a.orders.Set(t.Context(), id, layers("1", 0, 12), ""))
		}
		time.Sleep(5 * second)
		a.see()
		a.floor.paused = true
		if n, err := a.orders.Round(t.Context()); n != 2 || err != nil {
			t.Fatalf("got %d orders %v, want 2 on their way", n, err)
		}
		for !b.lease.Held() {
			must(t, b.lease.Step(t.Context()))
			time.Sleep(second)
		}
		must(t, b.orders.Adopt(t.Context()))
		for id := range engines {
			must(t, b.orders.Set(t.Context(), id, layers("2", 0, 12), ""))
		}
		if open := finish(b); open != 0 {
			t.Errorf("got %d engines open, want none", open)
		}
		for _, f := range a.floor.late {
			f()
		}
		if got := engines["checks"].holds[0].Version; got != "2" {
			t.Errorf("got version %s on the engine that checks, want 2", got)
		}
		if got := engines["ignores"].holds[0].Version; got != "1" {
			t.Errorf("got version %s on the engine that ignores numbers, want the late 1 (else this proves nothing)", got)
		}
		finish(b)
		if got := engines["ignores"].holds[0].Version; got != "2" {
			t.Errorf("got version %s in the end, want 2", got)
		}
		if err := a.orders.Set(t.Context(), "checks", layers("1", 0, 12), ""); !errors.Is(err, order.ErrLapsed) {
			t.Errorf("got %v for a wish of the former holder, want ErrLapsed", err)
		}
	})
}

// The holder dies after it wrote what it wants and ordered one of two engines.
// The next holder finds the rows and finishes the change.
func TestNextHolderFinishes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, engines := &infra.Table{}, both()
		a, b := newPlanner(table, "a", engines), newPlanner(table, "b", engines)
		must(t, a.lease.Step(t.Context()))
		must(t, a.orders.Adopt(t.Context()))
		for id := range engines {
			must(t, a.orders.Set(t.Context(), id, layers("1", 0, 12), "prefill"))
		}
		a.see()
		if n, err := a.orders.Round(t.Context()); n != 1 || err != nil {
			t.Fatalf("got %d orders %v, want one: the other engine waits out the margin", n, err)
		}
		for !b.lease.Held() {
			must(t, b.lease.Step(t.Context()))
			time.Sleep(second)
		}
		must(t, b.orders.Adopt(t.Context()))
		if open := finish(b); open != 0 || len(engines["ignores"].holds) != 1 {
			t.Errorf("got %d engines open, want none", open)
		}
		reads, writes := table.Counts()
		must(t, b.orders.Set(t.Context(), "checks", layers("1", 0, 12), "prefill"))
		if r, w := table.Counts(); r != reads || w != writes {
			t.Errorf("got %d reads and %d writes for a wish that stands, want none", r-reads, w-writes)
		}
	})
}

// The answer of the table to a wish is lost, then the table is out. The holder
// still has its lease; when the table is back its next round reads the rows,
// writes the wish that waited and orders it, without anybody asking again.
func TestWishSurvivesLostAnswerAndOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, engines := &infra.Table{}, both()
		p := newPlanner(table, "a", engines)
		must(t, p.lease.Step(t.Context()))
		must(t, p.orders.Adopt(t.Context()))
		table.Fault(infra.Faults{Drop: 1})
		if err := p.orders.Set(t.Context(), "checks", layers("1", 0, 12), ""); !errors.Is(err, order.ErrStore) {
			t.Errorf("got %v for a lost answer, want ErrStore", err)
		}
		table.Fault(infra.Faults{Down: true})
		if err := p.orders.Set(t.Context(), "ignores", layers("1", 0, 12), ""); !errors.Is(err, order.ErrStore) {
			t.Errorf("got %v in the outage, want ErrStore", err)
		}
		table.Fault(infra.Faults{})
		time.Sleep(5 * second)
		if open := finish(p); open != 0 || len(engines["checks"].holds) != 1 || len(engines["ignores"].holds) != 1 {
			t.Errorf("got %d engines open and %v, want both engines ordered", open, engines)
		}
	})
}

// Ten engines want 24 layers each from a weight store that gives 4 a second.
// Orders go out no faster, so that no engine waits with its old layers gone.
func TestWeightStoreRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, engines := &infra.Table{}, map[spec.UpstreamID]*machine{}
		for i := range 10 {
			engines[spec.UpstreamID(fmt.Sprint("e", i))] = &machine{checks: true}
		}
		p := newPlanner(table, "a", engines)
		p.orders.Rate = 4
		must(t, p.lease.Step(t.Context()))
		must(t, p.orders.Adopt(t.Context()))
		for id := range engines {
			must(t, p.orders.Set(t.Context(), id, layers("1", 0, 24), ""))
		}
		start, total := time.Now(), 0
		for total < 10 {
			p.see()
			n, err := p.orders.Round(t.Context())
			must(t, err)
			total += n
			if most := int(time.Since(start)/(6*second)) + 1; total > most {
				t.Fatalf("got %d orders after %v, want at most %d", total, time.Since(start), most)
			}
			time.Sleep(second)
			must(t, p.lease.Step(t.Context()))
		}
		if got := time.Since(start); got > 60*second {
			t.Errorf("got all ordered after %v, want within 60s", got)
		}
	})
}

// Two instances plan against each other in any order, with pauses longer than
// the lease between check and send, table faults, and late orders that arrive
// at any time. Whatever happened, once one of them holds the lease in peace,
// engines of both kinds end in what the table says.
func TestAnyPauseEndsInOrderedState(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var script []int
		for range 40 {
			script = append(script, rapid.IntRange(0, 9).Draw(rt, "step"))
		}
		var fault string
		synctest.Test(t, func(t *testing.T) { fault = play(t, script) })
		if fault != "" {
			rt.Fatal(fault)
		}
	})
}

func play(t *testing.T, script []int) string {
	table, engines := &infra.Table{}, both()
	all := []*planner{newPlanner(table, "a", engines), newPlanner(table, "b", engines)}
	for i, s := range script {
		p := all[i%2]
		switch s {
		case 0:
			p.floor.paused = !p.floor.paused
		case 1:
			time.Sleep(20 * second)
		case 2:
			table.Fault(infra.Faults{Down: true})
		case 3:
			table.Fault(infra.Faults{Lose: 1})
		case 4:
			table.Fault(infra.Faults{})
		case 5:
			for _, f := range p.floor.late {
				f()
			}
			p.floor.late = nil
		}
		turn(t.Context(), p, fmt.Sprint(i), s)
		time.Sleep(2 * second)
	}
	table.Fault(infra.Faults{})
	for _, p := range all {
		p.floor.paused = false
		for _, f := range p.floor.late {
			f()
		}
	}
	winner := all[0]
	for !winner.lease.Held() {
		_ = winner.lease.Step(t.Context())
		time.Sleep(second)
	}
	if err := winner.orders.Adopt(t.Context()); err != nil {
		return err.Error()
	}
	for id := range engines {
		if err := winner.orders.Set(t.Context(), id, layers("end", 0, 4), ""); err != nil {
			return err.Error()
		}
	}
	if open := finish(winner); open != 0 {
		return fmt.Sprintf("got %d engines open, want none", open)
	}
	for id, m := range engines {
		if m.holds[0].Version != "end" {
			return fmt.Sprintf("got version %s on %s, want end", m.holds[0].Version, id)
		}
	}
	return ""
}

// turn is what a planner does at each wake-up.
func turn(ctx context.Context, p *planner, version string, s int) {
	_ = p.lease.Step(ctx)
	if p.lease.Held() {
		_ = p.orders.Adopt(ctx)
	}
	for _, id := range []spec.UpstreamID{"checks", "ignores"} {
		_ = p.orders.Set(ctx, id, layers(version, s, 12), "")
	}
	p.see()
	_, _ = p.orders.Round(ctx)
}
