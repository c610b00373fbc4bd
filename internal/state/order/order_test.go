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

func holdLayers(version string, from, to int) []frame.Hold {
	return []frame.Hold{{Model: "levy", Version: version, Depth: 24, From: from, To: to}}
}

// fakeEngine is an engine that takes orders at once.
type fakeEngine struct {
	holds       []frame.Hold
	fence       uint64
	checksFence bool
	seq         uint64
	orderCount  int
}

func (m *fakeEngine) apply(o frame.Order) error {
	m.orderCount++
	if m.checksFence && o.Fence < m.fence {
		return errors.New("old number")
	}
	m.fence, m.holds = max(m.fence, o.Fence), o.Holds
	return nil
}

func (m *fakeEngine) report() frame.Engine {
	m.seq++
	return frame.Engine{Holds: m.holds, Seq: m.seq}
}

// fakeSender is the engines of a data centre. It keeps back the orders of a held
// sender, as a paused process does between its last check and its send.
type fakeSender struct {
	engines map[spec.UpstreamID]*fakeEngine
	paused  bool
	delayed []func()
}

func (f *fakeSender) SendOrder(_ context.Context, id spec.UpstreamID, o frame.Order) error {
	if f.paused {
		f.delayed = append(f.delayed, func() { _ = f.engines[id].apply(o) })
		return errors.New("timeout")
	}
	return f.engines[id].apply(o)
}

// planner is an instance with its part in the lease and the orders.
type planner struct {
	lease      *lease.Lease
	reconciler *order.Reconciler
	sender     *fakeSender
}

func newPlanner(table *infra.Table, name string, engines map[spec.UpstreamID]*fakeEngine) *planner {
	l := &lease.Lease{Table: table, Duty: "place", Owner: name}
	f := &fakeSender{engines: engines}
	return &planner{lease: l, sender: f, reconciler: &order.Reconciler{
		Table: table, Sender: f, Lease: l, Duty: "klang", LayersPerSecond: 1e12,
		ChecksFence: func(id spec.UpstreamID) bool { return engines[id].checksFence },
	}}
}

func (p *planner) reportAll() {
	for id, m := range p.sender.engines {
		p.reconciler.ApplyReport(id, m.report())
	}
}

func newEngines() map[spec.UpstreamID]*fakeEngine {
	return map[spec.UpstreamID]*fakeEngine{"checks": {checksFence: true}, "ignores": {}}
}

func mustSucceed(t interface {
	Helper()
	Fatal(...any)
}, err error,
) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func reconcileUntilSettled(p *planner) int {
	for range 20 {
		p.reportAll()
		_, _ = p.reconciler.Reconcile(context.Background())
		p.reportAll()
		if len(p.reconciler.Unsettled()) == 0 {
			break
		}
		time.Sleep(2 * second)
		_ = p.lease.RenewOrAcquire(context.Background())
	}
	return len(p.reconciler.Unsettled())
}

// The holder is paused between its check and its send, with orders for version
// 1 on their way. Another instance takes over and orders version 2. Then the
// old orders arrive: the engine that checks numbers refuses its one, the other
// obeys, and is put right after its next report. Both end in version 2.
func TestLateOrdersOfPausedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, engines := &infra.Table{}, newEngines()
		a, b := newPlanner(table, "a", engines), newPlanner(table, "b", engines)
		mustSucceed(t, a.lease.RenewOrAcquire(t.Context()))
		mustSucceed(t, a.reconciler.Adopt(t.Context()))
		for id := range engines {
			mustSucceed(t, a.reconciler.SetDesired(t.Context(), id, holdLayers("1", 0, 12), ""))
		}
		time.Sleep(5 * second)
		a.reportAll()
		a.sender.paused = true
		if n, err := a.reconciler.Reconcile(t.Context()); n != 2 || err != nil {
			t.Fatalf("got %d orders %v, want 2 on their way", n, err)
		}
		for !b.lease.Held() {
			mustSucceed(t, b.lease.RenewOrAcquire(t.Context()))
			time.Sleep(second)
		}
		mustSucceed(t, b.reconciler.Adopt(t.Context()))
		for id := range engines {
			mustSucceed(t, b.reconciler.SetDesired(t.Context(), id, holdLayers("2", 0, 12), ""))
		}
		if open := reconcileUntilSettled(b); open != 0 {
			t.Errorf("got %d engines open, want none", open)
		}
		for _, f := range a.sender.delayed {
			f()
		}
		if got := engines["checks"].holds[0].Version; got != "2" {
			t.Errorf("got version %s on the engine that checks, want 2", got)
		}
		if got := engines["ignores"].holds[0].Version; got != "1" {
			t.Errorf("got version %s on the engine that ignores numbers, want the late 1 (else this proves nothing)", got)
		}
		reconcileUntilSettled(b)
		if got := engines["ignores"].holds[0].Version; got != "2" {
			t.Errorf("got version %s in the end, want 2", got)
		}
		if err := a.reconciler.SetDesired(t.Context(), "checks", holdLayers("1", 0, 12), ""); !errors.Is(err, order.ErrLeaseLost) {
			t.Errorf("got %v for a wish of the former holder, want ErrLapsed", err)
		}
	})
}

// The holder dies after it wrote what it wants and ordered one of two engines.
// The next holder finds the rows and finishes the change.
func TestNextHolderFinishesChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, engines := &infra.Table{}, newEngines()
		a, b := newPlanner(table, "a", engines), newPlanner(table, "b", engines)
		mustSucceed(t, a.lease.RenewOrAcquire(t.Context()))
		mustSucceed(t, a.reconciler.Adopt(t.Context()))
		for id := range engines {
			mustSucceed(t, a.reconciler.SetDesired(t.Context(), id, holdLayers("1", 0, 12), "prefill"))
		}
		a.reportAll()
		if n, err := a.reconciler.Reconcile(t.Context()); n != 1 || err != nil {
			t.Fatalf("got %d orders %v, want one: the other engine waits out the margin", n, err)
		}
		for !b.lease.Held() {
			mustSucceed(t, b.lease.RenewOrAcquire(t.Context()))
			time.Sleep(second)
		}
		mustSucceed(t, b.reconciler.Adopt(t.Context()))
		if open := reconcileUntilSettled(b); open != 0 || len(engines["ignores"].holds) != 1 {
			t.Errorf("got %d engines open, want none", open)
		}
		reads, writes := table.Counts()
		mustSucceed(t, b.reconciler.SetDesired(t.Context(), "checks", holdLayers("1", 0, 12), "prefill"))
		if r, w := table.Counts(); r != reads || w != writes {
			t.Errorf("got %d reads and %d writes for a wish that stands, want none", r-reads, w-writes)
		}
	})
}

// The answer of the table to a wish is lost, then the table is out. The holder
// still has its lease; when the table is back its next round reads the rows,
// writes the wish that waited and orders it, without anybody asking again.
func TestDesiredStateSurvivesLostResponseAndOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, engines := &infra.Table{}, newEngines()
		p := newPlanner(table, "a", engines)
		mustSucceed(t, p.lease.RenewOrAcquire(t.Context()))
		mustSucceed(t, p.reconciler.Adopt(t.Context()))
		table.Fault(infra.Faults{Drop: 1})
		if err := p.reconciler.SetDesired(t.Context(), "checks", holdLayers("1", 0, 12), ""); !errors.Is(err, order.ErrStoreUnavailable) {
			t.Errorf("got %v for a lost answer, want ErrStore", err)
		}
		table.Fault(infra.Faults{Down: true})
		if err := p.reconciler.SetDesired(t.Context(), "ignores", holdLayers("1", 0, 12), ""); !errors.Is(err, order.ErrStoreUnavailable) {
			t.Errorf("got %v in the outage, want ErrStore", err)
		}
		table.Fault(infra.Faults{})
		time.Sleep(5 * second)
		if open := reconcileUntilSettled(p); open != 0 || len(engines["checks"].holds) != 1 || len(engines["ignores"].holds) != 1 {
			t.Errorf("got %d engines open and %v, want both engines ordered", open, engines)
		}
	})
}

// Ten engines want 24 layers each from a weight store that gives 4 a second.
// Orders go out no faster, so that no engine waits with its old layers gone.
func TestWeightStoreRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, engines := &infra.Table{}, map[spec.UpstreamID]*fakeEngine{}
		for i := range 10 {
			engines[spec.UpstreamID(fmt.Sprint("e", i))] = &fakeEngine{checksFence: true}
		}
		p := newPlanner(table, "a", engines)
		p.reconciler.LayersPerSecond = 4
		mustSucceed(t, p.lease.RenewOrAcquire(t.Context()))
		mustSucceed(t, p.reconciler.Adopt(t.Context()))
		for id := range engines {
			mustSucceed(t, p.reconciler.SetDesired(t.Context(), id, holdLayers("1", 0, 24), ""))
		}
		start, total := time.Now(), 0
		for total < 10 {
			p.reportAll()
			n, err := p.reconciler.Reconcile(t.Context())
			mustSucceed(t, err)
			total += n
			if most := int(time.Since(start)/(6*second)) + 1; total > most {
				t.Fatalf("got %d orders after %v, want at most %d", total, time.Since(start), most)
			}
			time.Sleep(second)
			mustSucceed(t, p.lease.RenewOrAcquire(t.Context()))
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
func TestEnginesConvergeAfterPauses(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var script []int
		for range 40 {
			script = append(script, rapid.IntRange(0, 9).Draw(rt, "step"))
		}
		var fault string
		synctest.Test(t, func(t *testing.T) { fault = runScript(t, script) })
		if fault != "" {
			rt.Fatal(fault)
		}
	})
}

func runScript(t *testing.T, script []int) string {
	table, engines := &infra.Table{}, newEngines()
	all := []*planner{newPlanner(table, "a", engines), newPlanner(table, "b", engines)}
	for i, s := range script {
		p := all[i%2]
		switch s {
		case 0:
			p.sender.paused = !p.sender.paused
		case 1:
			time.Sleep(20 * second)
		case 2:
			table.Fault(infra.Faults{Down: true})
		case 3:
			table.Fault(infra.Faults{Lose: 1})
		case 4:
			table.Fault(infra.Faults{})
		case 5:
			for _, f := range p.sender.delayed {
				f()
			}
			p.sender.delayed = nil
		}
		planOnce(t.Context(), p, fmt.Sprint(i), s)
		time.Sleep(2 * second)
	}
	table.Fault(infra.Faults{})
	for _, p := range all {
		p.sender.paused = false
		for _, f := range p.sender.delayed {
			f()
		}
	}
	winner := all[0]
	for !winner.lease.Held() {
		_ = winner.lease.RenewOrAcquire(t.Context())
		time.Sleep(second)
	}
	if err := winner.reconciler.Adopt(t.Context()); err != nil {
		return err.Error()
	}
	for id := range engines {
		if err := winner.reconciler.SetDesired(t.Context(), id, holdLayers("end", 0, 4), ""); err != nil {
			return err.Error()
		}
	}
	if open := reconcileUntilSettled(winner); open != 0 {
		return fmt.Sprintf("got %d engines open, want none", open)
	}
	for id, m := range engines {
		if m.holds[0].Version != "end" {
			return fmt.Sprintf("got version %s on %s, want end", m.holds[0].Version, id)
		}
	}
	return ""
}

// planOnce is what a planner does at each wake-up.
func planOnce(ctx context.Context, p *planner, version string, s int) {
	_ = p.lease.RenewOrAcquire(ctx)
	if p.lease.Held() {
		_ = p.reconciler.Adopt(ctx)
	}
	for _, id := range []spec.UpstreamID{"checks", "ignores"} {
		_ = p.reconciler.SetDesired(ctx, id, holdLayers(version, s, 12), "")
	}
	p.reportAll()
	_, _ = p.reconciler.Reconcile(ctx)
}
