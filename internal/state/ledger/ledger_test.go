package ledger_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fakes/infra"
	"fulmarwick/internal/state/ledger"

	"github.com/go-faster/errors"
)

// fakeService is a plain service in memory.
type fakeService struct {
	mu    sync.Mutex
	runs  int
	delay time.Duration
	// beforeRun is called with each send before it runs.
	beforeRun func()
	// errs are given instead of the answers, first to last; errCut after
	// running, ErrNotSent without.
	errs []error
}

func (s *fakeService) Send(context.Context, ledger.Call) (ledger.Answer, error) {
	if s.beforeRun != nil {
		s.beforeRun()
	}
	time.Sleep(s.delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	var err error
	if len(s.errs) > 0 {
		err, s.errs = s.errs[0], s.errs[1:]
	}
	if !errors.Is(err, ledger.ErrNotSent) {
		s.runs++
	}
	return ledger.NewAnswer(200, "text/plain", []byte("receipt")), err
}

func (s *fakeService) QueryOutcome(context.Context, ledger.Call) (ledger.Answer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs == 0 {
		return ledger.Answer{}, errConnectionCut
	}
	return ledger.NewAnswer(200, "text/plain", []byte("receipt")), nil
}

func paymentCall(body string) ledger.Call {
	return ledger.NewCall("team", "payment", "payments", "k1", "text/plain", []byte(body))
}

func mustDo(t *testing.T, l *ledger.Ledger, body string) ledger.State {
	t.Helper()
	out, err := l.Do(t.Context(), paymentCall(body))
	if err != nil {
		t.Fatal(err)
	}
	return out.State()
}

func mustLookup(t *testing.T, l *ledger.Ledger) ledger.State {
	t.Helper()
	out, err := l.Lookup(t.Context(), "team", "payment", "k1")
	if err != nil {
		t.Fatal(err)
	}
	return out.State()
}

func checkEqual(t *testing.T, what string, got, want any) {
	t.Helper()
	if got != want {
		t.Errorf("got %v for %s, want %v", got, what, want)
	}
}

// A clerk sends a payment, loses patience and sends it again, to the same and
// to another instance, while the first is running for 3 s. All three see the
// one receipt: the first sends, the others wait for what it stores.
func TestDuplicatesGetSameAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, svc := &infra.Table{}, &fakeService{delay: 3 * time.Second}
		a, b := &ledger.Ledger{Table: table, Sender: svc}, &ledger.Ledger{Table: table, Sender: svc}
		var all sync.WaitGroup
		for _, l := range []*ledger.Ledger{a, a, b} {
			all.Go(func() {
				out, err := l.Do(t.Context(), paymentCall("1"))
				if err != nil || string(out.Answer().Body()) != "receipt" {
					t.Errorf("got %v %q %v, want the receipt", out.State(), out.Answer().Body(), err)
				}
			})
			synctest.Wait()
		}
		all.Wait()
		checkEqual(t, "runs", svc.runs, 1)
		_, err := b.Do(t.Context(), paymentCall("2"))
		checkEqual(t, "another body", errors.Is(err, ledger.ErrBodyMismatch), true)
	})
}

// A service hangs for an hour. The duplicates at the same and at another
// instance are told running after their bound, not held back for the hour.
func TestDuplicateOfLongCallGetsRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, svc := &infra.Table{}, &fakeService{delay: time.Hour}
		a, b := &ledger.Ledger{Table: table, Sender: svc}, &ledger.Ledger{Table: table, Sender: svc}
		go func() { _, _ = a.Do(t.Context(), paymentCall("1")) }()
		synctest.Wait()
		for _, l := range []*ledger.Ledger{a, b} {
			start := time.Now()
			checkEqual(t, "the duplicate", mustDo(t, l, "1"), ledger.StateRunning)
			if got := time.Since(start); got > 20*time.Second {
				t.Errorf("got the answer after %v, want within 20s", got)
			}
		}
		if err := a.Wait(t.Context()); err != nil {
			t.Fatal(err)
		}
		checkEqual(t, "the look-up after", mustLookup(t, b), ledger.StateDone)
	})
}

// The caller's connection breaks while its payment runs, and the instance is
// told to stop. The send is not cut, and Wait returns once it is on record.
func TestCallCompletesAfterCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, svc := &infra.Table{}, &fakeService{delay: 5 * time.Second}
		l := &ledger.Ledger{Table: table, Sender: svc}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := l.Do(ctx, paymentCall("1"))
		checkEqual(t, "the caller that left", errors.Is(err, ledger.ErrCallerLeft) && errors.Is(err, context.DeadlineExceeded), true)
		if err := l.Wait(t.Context()); err != nil {
			t.Fatal(err)
		}
		checkEqual(t, "the record", mustLookup(t, l), ledger.StateDone)
		checkEqual(t, "runs", svc.runs, 1)
	})
}

// The platform's table fails at one step of a payment. The caller sees what
// is true at that moment, and the record says it in the end.
func TestStoreFaults(t *testing.T) {
	cases := []struct {
		name   string
		before infra.Faults // while the call begins
		during infra.Faults // while the service runs it
		told   ledger.State // StateNone for ErrStore
		after  ledger.State
		runs   int
	}{
		{"down before the send", infra.Faults{Down: true}, infra.Faults{}, ledger.StateNone, ledger.StateNone, 0},
		{"first answer lost, taken", infra.Faults{Lose: 1}, infra.Faults{}, ledger.StateDone, ledger.StateDone, 1},
		{"first answer lost, not taken", infra.Faults{Drop: 1}, infra.Faults{}, ledger.StateNone, ledger.StateNotRun, 0},
		{"first answer lost, read stale", infra.Faults{Lose: 1, Stale: true}, infra.Faults{}, ledger.StateNone, ledger.StateNotRun, 0},
		{"down after the send", infra.Faults{}, infra.Faults{Down: true}, ledger.StateDone, ledger.StateDone, 1},
		{"last answer lost, taken", infra.Faults{}, infra.Faults{Lose: 1}, ledger.StateDone, ledger.StateDone, 1},
		{"last answer lost, not taken", infra.Faults{}, infra.Faults{Drop: 1}, ledger.StateDone, ledger.StateDone, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := &infra.Table{}
				svc := &fakeService{beforeRun: func() { table.Fault(c.during) }}
				l := &ledger.Ledger{Table: table, Sender: svc}
				table.Fault(c.before)
				out, err := l.Do(t.Context(), paymentCall("1"))
				checkEqual(t, "the caller", out.State(), c.told)
				checkEqual(t, "refused", errors.Is(err, ledger.ErrStoreUnavailable), c.told == ledger.StateNone)
				time.Sleep(time.Minute)
				table.Fault(infra.Faults{})
				if err := l.Wait(t.Context()); err != nil {
					t.Fatal(err)
				}
				checkEqual(t, "the record", mustLookup(t, l), c.after)
				checkEqual(t, "runs", svc.runs, c.runs)
				checkEqual(t, "late records", l.Unsettled(), 0)
			})
		})
	}
}

// The service refuses the connection: the caller is told not run and may send
// the same key again, which then runs. A later outage of the store makes a
// third send unsure and not "not run", since this instance saw the key begun.
func TestNotRunCallCanBeRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, svc := &infra.Table{}, &fakeService{errs: []error{ledger.ErrNotSent}}
		l := &ledger.Ledger{Table: table, Sender: svc}
		checkEqual(t, "the refused send", mustDo(t, l, "1"), ledger.StateNotRun)
		checkEqual(t, "the record", mustLookup(t, l), ledger.StateNotRun)
		checkEqual(t, "the second send", mustDo(t, l, "1"), ledger.StateDone)
		table.Fault(infra.Faults{Down: true})
		checkEqual(t, "the third, store down", mustDo(t, l, "1"), ledger.StateUnsure)
		_, err := l.Lookup(t.Context(), "team", "payment", "k1")
		checkEqual(t, "a look-up, store down", errors.Is(err, ledger.ErrRecordUnreadable), true)
		checkEqual(t, "runs", svc.runs, 1)
	})
}

// Stale reads show the row as it was before the payment ran. A look-up that
// believed them would tell the clerk "not run" of a payment that ran.
func TestStaleLookupNeverReportsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, svc := &infra.Table{}, &fakeService{errs: []error{ledger.ErrNotSent}}
		l := &ledger.Ledger{Table: table, Sender: svc}
		mustDo(t, l, "1")
		mustDo(t, l, "1")
		for _, f := range []infra.Faults{{Stale: true}} {
			table.Fault(f)
			out, err := l.Lookup(t.Context(), "team", "payment", "k1")
			if err == nil && (out.State() == ledger.StateNotRun || out.State() == ledger.StateNone) {
				t.Errorf("got %v, want an error or a later state", out.State())
			}
		}
	})
}

// An instance dies with a payment in the service. Others see running, then
// unsure once its incarnation is known to be gone, then the service's word,
// where it gives one. When the process was only paused, its own answer still
// ends up on record.
func TestDeadInstanceLeavesUnsure(t *testing.T) {
	for _, asks := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			table, svc := &infra.Table{}, &fakeService{delay: time.Hour}
			a := &ledger.Ledger{Table: table, Sender: svc, Owner: "a/1"}
			gone := false
			b := &ledger.Ledger{
				Table: table, Sender: svc, Owner: "b/1", Querier: svc,
				SupportsOutcomes: func(s spec.ServiceName) bool { return asks && s == "payments" },
				ServiceOf:        func(spec.ClassName) spec.ServiceName { return "payments" },
				HasExited:        func(owner string) bool { return gone && owner == "a/1" },
			}
			go func() { _, _ = a.Do(t.Context(), paymentCall("1")) }()
			synctest.Wait()
			checkEqual(t, "before the evidence", mustLookup(t, b), ledger.StateRunning)
			gone = true
			checkEqual(t, "after the evidence", mustLookup(t, b), ledger.StateUnsure)
			svc.mu.Lock()
			svc.runs++
			svc.mu.Unlock()
			state := ledger.StateUnsure
			if asks {
				state = ledger.StateDone
			}
			checkEqual(t, "the outcome after it ran", mustLookup(t, b), state)
			checkEqual(t, "a repeat after it ran", mustDo(t, b, "1"), state)
			if err := a.Wait(t.Context()); err != nil {
				t.Fatal(err)
			}
			checkEqual(t, "after the paused one woke", mustLookup(t, b), ledger.StateDone)
		})
	}
}

// The answer of the service is lost after it ran. The caller is told unsure,
// or the answer if the service can be asked; a second send runs nothing.
func TestLostAnswer(t *testing.T) {
	for _, asks := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			svc := &fakeService{errs: []error{errConnectionCut}}
			l := &ledger.Ledger{Table: &infra.Table{}, Sender: svc, Querier: svc, SupportsOutcomes: func(spec.ServiceName) bool { return asks }}
			state := ledger.StateUnsure
			if asks {
				state = ledger.StateDone
			}
			checkEqual(t, "the caller", mustDo(t, l, "1"), state)
			checkEqual(t, "the second send", mustDo(t, l, "1"), state)
			checkEqual(t, "runs", svc.runs, 1)
		})
	}
}

// Old records go, young, running and unsure ones stay. The first trimmer dies
// after five days and its next counts on from its marks; a third one that
// believes it holds the duty too makes no time count twice.
func TestTrimKeepsYoungAndUnsettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &infra.Table{}
		svc := &fakeService{errs: []error{nil, ledger.ErrNotSent, errConnectionCut}}
		l := &ledger.Ledger{Table: table, Sender: svc}
		call := func(key string) {
			if _, err := l.Do(t.Context(), ledger.NewCall("team", "payment", "payments", key, "", nil)); err != nil {
				t.Fatal(err)
			}
		}
		first, second, third := &ledger.Trimmer{Table: table}, &ledger.Trimmer{Table: table}, &ledger.Trimmer{Table: table}
		days := func(n int, trimmers ...*ledger.Trimmer) int {
			gone := 0
			for range n * 24 * 2 {
				time.Sleep(30 * time.Minute)
				for _, tr := range trimmers {
					n, err := tr.Trim(t.Context(), 2)
					if err != nil && len(trimmers) == 1 {
						t.Fatal(err)
					}
					gone += n
				}
			}
			return gone
		}
		days(1, first)
		call("done")
		call("notrun")
		call("unsure")
		checkEqual(t, "records gone in 5 days", days(5, first), 0)
		time.Sleep(24 * time.Hour)
		checkEqual(t, "records gone in 1 more day, a day without a trimmer later", days(1, second, third), 0)
		call("young")
		checkEqual(t, "records gone in 2 more days", days(2, second), 2)
		checkEqual(t, "records gone in 2 days after that", days(2, second), 0)
	})
}

// Somebody asks for keys that do not exist as fast as he can, and the part of
// the budget that look-ups have is spent. Payments do not notice.
func TestLookupsUseSeparateTable(t *testing.T) {
	spent := &infra.Table{}
	spent.Fault(infra.Faults{Down: true})
	l := &ledger.Ledger{Table: &infra.Table{}, LookupTable: spent, Sender: &fakeService{}}
	checkEqual(t, "the payment", mustDo(t, l, "1"), ledger.StateDone)
	_, err := l.Lookup(t.Context(), "team", "payment", "k1")
	checkEqual(t, "the look-up", errors.Is(err, ledger.ErrRecordUnreadable), true)
}

// While the store is out for long, the records that wait to be settled stay
// bounded: new calls are refused before sending.
func TestBacklogIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, svc := &infra.Table{}, &fakeService{}
		l := &ledger.Ledger{Table: table, Sender: svc, Backlog: 1}
		svc.beforeRun = func() { table.Fault(infra.Faults{Down: true}) }
		checkEqual(t, "the call that is cut off", mustDo(t, l, "1"), ledger.StateDone)
		_, err := l.Do(t.Context(), ledger.NewCall("team", "payment", "payments", "k2", "", nil))
		checkEqual(t, "a call at the bound", errors.Is(err, ledger.ErrStoreUnavailable), true)
		table.Fault(infra.Faults{})
		if err := l.Wait(t.Context()); err != nil {
			t.Fatal(err)
		}
	})
}

// An instance dies after the service recorded its payment. The clerk sends it
// again to another instance, which has no evidence of the death yet. It asks
// the service within a second or so and tells done, where waiting for the
// evidence would keep the clerk at the counter.
func TestRetryOfDeadInstanceCallQueriesService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, svc := &infra.Table{}, &fakeService{delay: time.Hour}
		a := &ledger.Ledger{Table: table, Sender: svc, Owner: "a/1"}
		b := &ledger.Ledger{
			Table: table, Sender: svc, Owner: "b/1", Querier: svc, SupportsOutcomes: func(spec.ServiceName) bool { return true },
		}
		go func() { _, _ = a.Do(t.Context(), paymentCall("1")) }()
		synctest.Wait()
		svc.mu.Lock()
		svc.runs++
		svc.mu.Unlock()
		began := time.Now()
		checkEqual(t, "a repeat without evidence", mustDo(t, b, "1"), ledger.StateDone)
		if got := time.Since(began); got > 2*time.Second {
			t.Errorf("got done after %v, want within 2s", got)
		}
		if err := a.Wait(t.Context()); err != nil {
			t.Fatal(err)
		}
	})
}
