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

func holdLayers(version string, from, to int) []frame.LoadedLayers {
	return []frame.LoadedLayers{{Model: "levy", Version: version, Depth: 24, From: from, To: to}}
}

// fakeEngine is an engine that follows orders immediately.
type fakeEngine struct {
	holds       []frame.LoadedLayers
	fence       uint64
	checksFence bool
	seq         uint64
	orderCount  int
}

func (e *fakeEngine) apply(o frame.Order) error {
	e.orderCount++
	if e.checksFence && o.Fence < e.fence {
		return errors.New("old fencing token")
	}
	e.fence, e.holds = max(e.fence, o.Fence), o.Holds
	return nil
}

func (e *fakeEngine) report() frame.Engine {
	e.seq++
	return frame.Engine{Holds: e.holds, Seq: e.seq}
}

// fakeSender sends orders to the engines of a data centre. While paused it holds back
// its orders, like a process that is paused between its last lease check and its send.
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

// planner is an instance with its lease and its reconciler.
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

// The lease holder is paused between its lease check and its send, with orders for
// version 1 in flight. Another instance takes over and orders version 2. Then the old
// orders arrive: the engine that checks fencing tokens refuses its order, the other
// follows it and must be corrected after its next report. Both must end in version 2.
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
			t.Fatalf("got %d orders %v, want 2 in flight", n, err)
		}
		for !b.lease.Held() {
			mustSucceed(t, b.lease.RenewOrAcquire(t.Context()))
			time.Sleep(second)
		}
		mustSucceed(t, b.reconciler.Adopt(t.Context()))
		for id := range engines {
			mustSucceed(t, b.reconciler.SetDesired(t.Context(), id, holdLayers("2", 0, 12), ""))
		}
		if unsettled := reconcileUntilSettled(b); unsettled != 0 {
			t.Errorf("got %d unsettled engines, want none", unsettled)
		}
		for _, f := range a.sender.delayed {
			f()
		}
		if got := engines["checks"].holds[0].Version; got != "2" {
			t.Errorf("got version %s on the engine that checks, want 2", got)
		}
		if got := engines["ignores"].holds[0].Version; got != "1" {
			t.Errorf("got version %s on the engine that ignores fencing tokens, want the late 1 (otherwise the test proves nothing)", got)
		}
		reconcileUntilSettled(b)
		if got := engines["ignores"].holds[0].Version; got != "2" {
			t.Errorf("got version %s in the end, want 2", got)
		}
		if err := a.reconciler.SetDesired(t.Context(), "checks", holdLayers("1", 0, 12), ""); !errors.Is(err, order.ErrLeaseLost) {
			t.Errorf("got %v for a desired state set by the former holder, want ErrLeaseLost", err)
		}
	})
}

// The lease holder dies after it wrote the desired state of two engines and sent an order
// to one of them. The next holder must find the rows and complete the change.
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
			t.Fatalf("got %d orders %v, want one: the other engine gets its order after FirstOrderDelay", n, err)
		}
		for !b.lease.Held() {
			mustSucceed(t, b.lease.RenewOrAcquire(t.Context()))
			time.Sleep(second)
		}
		mustSucceed(t, b.reconciler.Adopt(t.Context()))
		if unsettled := reconcileUntilSettled(b); unsettled != 0 || len(engines["ignores"].holds) != 1 {
			t.Errorf("got %d unsettled engines, want none", unsettled)
		}
		reads, writes := table.Counts()
		mustSucceed(t, b.reconciler.SetDesired(t.Context(), "checks", holdLayers("1", 0, 12), "prefill"))
		if r, w := table.Counts(); r != reads || w != writes {
			t.Errorf("got %d reads and %d writes for an unchanged desired state, want none", r-reads, w-writes)
		}
	})
}

// The table's response to the write of a desired state is lost, then the table is
// unavailable. The holder still has its lease. When the table is back, the next Reconcile
// must read the rows, write the pending desired state and send the order, without another
// call of SetDesired.
func TestDesiredStateSurvivesLostResponseAndOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, engines := &infra.Table{}, newEngines()
		p := newPlanner(table, "a", engines)
		mustSucceed(t, p.lease.RenewOrAcquire(t.Context()))
		mustSucceed(t, p.reconciler.Adopt(t.Context()))
		table.SetFaults(infra.Faults{DropCommits: 1})
		if err := p.reconciler.SetDesired(t.Context(), "checks", holdLayers("1", 0, 12), ""); !errors.Is(err, order.ErrStoreUnavailable) {
			t.Errorf("got %v for a lost response, want ErrStoreUnavailable", err)
		}
		table.SetFaults(infra.Faults{Unavailable: true})
		if err := p.reconciler.SetDesired(t.Context(), "ignores", holdLayers("1", 0, 12), ""); !errors.Is(err, order.ErrStoreUnavailable) {
			t.Errorf("got %v in the outage, want ErrStoreUnavailable", err)
		}
		table.SetFaults(infra.Faults{})
		time.Sleep(5 * second)
		if unsettled := reconcileUntilSettled(p); unsettled != 0 || len(engines["checks"].holds) != 1 || len(engines["ignores"].holds) != 1 {
			t.Errorf("got %d unsettled engines and %v, want both engines ordered", unsettled, engines)
		}
	})
}

// Ten engines need 24 layers each from a weight store that delivers 4 per second. Orders
// must not be sent faster: an engine that waits for the store has dropped its old layers
// already.
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
			if limit := int(time.Since(start)/(6*second)) + 1; total > limit {
				t.Fatalf("got %d orders after %v, want at most %d", total, time.Since(start), limit)
			}
			time.Sleep(second)
			mustSucceed(t, p.lease.RenewOrAcquire(t.Context()))
		}
		if got := time.Since(start); got > 60*second {
			t.Errorf("got the last order after %v, want all within 60s", got)
		}
	})
}

// Two instances compete for the lease and set desired states in any order, with pauses
// longer than the lease between check and send, with table faults, and with late orders
// that arrive at any time. Once one instance holds the lease undisturbed, engines of both
// kinds must reach the state in the table.
func TestEnginesConvergeAfterPauses(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var script []int
		for range 40 {
			script = append(script, rapid.IntRange(0, 9).Draw(rt, "step"))
		}
		var failure string
		synctest.Test(t, func(t *testing.T) { failure = runScript(t, script) })
		if failure != "" {
			rt.Fatal(failure)
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
			table.SetFaults(infra.Faults{Unavailable: true})
		case 3:
			table.SetFaults(infra.Faults{LoseReplies: 1})
		case 4:
			table.SetFaults(infra.Faults{})
		case 5:
			for _, f := range p.sender.delayed {
				f()
			}
			p.sender.delayed = nil
		}
		planOnce(t.Context(), p, fmt.Sprint(i), s)
		time.Sleep(2 * second)
	}
	table.SetFaults(infra.Faults{})
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
	if unsettled := reconcileUntilSettled(winner); unsettled != 0 {
		return fmt.Sprintf("got %d unsettled engines, want none", unsettled)
	}
	for id, m := range engines {
		if m.holds[0].Version != "end" {
			return fmt.Sprintf("got version %s on %s, want end", m.holds[0].Version, id)
		}
	}
	return ""
}

// planOnce runs one round of a planner.
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
