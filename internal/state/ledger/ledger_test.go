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

// fakeService is an in-memory plain service.
type fakeService struct {
	mu    sync.Mutex
	runs  int
	delay time.Duration
	// beforeRun is called for each send before the call runs.
	beforeRun func()
	// errs are returned in this order with the answers. With ErrNotSent the
	// call does not run, with any other error it runs first.
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

// A caller sends a payment that runs for 3 s, and meanwhile sends it again to the
// same and to another instance. All three get the same receipt: the first call is
// sent, the others wait for its stored answer.
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

// A service hangs for an hour. Duplicates at the same and at another instance get
// running after their maximum wait and are not blocked for the hour.
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
		checkEqual(t, "the lookup after", mustLookup(t, b), ledger.StateDone)
	})
}

// The caller's connection breaks while its payment runs, and the instance shuts
// down. The send is not interrupted, and Wait returns once the outcome is recorded.
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

// The platform's table fails at one step of a payment. The caller gets the state
// that is true at that moment, and the record finally has the true state too.
func TestStoreFaults(t *testing.T) {
	cases := []struct {
		name   string
		before infra.Faults // while the call begins
		during infra.Faults // while the service runs it
		state  ledger.State // StateNone for ErrStoreUnavailable
		after  ledger.State
		runs   int
	}{
		{"down before the send", infra.Faults{Unavailable: true}, infra.Faults{}, ledger.StateNone, ledger.StateNone, 0},
		{"first response lost, committed", infra.Faults{LoseReplies: 1}, infra.Faults{}, ledger.StateDone, ledger.StateDone, 1},
		{"first response lost, not committed", infra.Faults{DropCommits: 1}, infra.Faults{}, ledger.StateNone, ledger.StateNotRun, 0},
		{"first response lost, stale read", infra.Faults{LoseReplies: 1, StaleReads: true}, infra.Faults{}, ledger.StateNone, ledger.StateNotRun, 0},
		{"down after the send", infra.Faults{}, infra.Faults{Unavailable: true}, ledger.StateDone, ledger.StateDone, 1},
		{"last response lost, committed", infra.Faults{}, infra.Faults{LoseReplies: 1}, ledger.StateDone, ledger.StateDone, 1},
		{"last response lost, not committed", infra.Faults{}, infra.Faults{DropCommits: 1}, ledger.StateDone, ledger.StateDone, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := &infra.Table{}
				svc := &fakeService{beforeRun: func() { table.SetFaults(c.during) }}
				l := &ledger.Ledger{Table: table, Sender: svc}
				table.SetFaults(c.before)
				out, err := l.Do(t.Context(), paymentCall("1"))
				checkEqual(t, "the caller", out.State(), c.state)
				checkEqual(t, "the rejection", errors.Is(err, ledger.ErrStoreUnavailable), c.state == ledger.StateNone)
				time.Sleep(time.Minute)
				table.SetFaults(infra.Faults{})
				if err := l.Wait(t.Context()); err != nil {
					t.Fatal(err)
				}
				checkEqual(t, "the record", mustLookup(t, l), c.after)
				checkEqual(t, "runs", svc.runs, c.runs)
				checkEqual(t, "unsettled records", l.Unsettled(), 0)
			})
		})
	}
}

// The service refuses the connection. The caller gets "not run" and may retry with
// the same key, and the retry runs. During a later outage of the store a third send
// gets unsure and not "not run", since this instance saw a call with the key start.
func TestNotRunCallCanBeRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, svc := &infra.Table{}, &fakeService{errs: []error{ledger.ErrNotSent}}
		l := &ledger.Ledger{Table: table, Sender: svc}
		checkEqual(t, "the refused send", mustDo(t, l, "1"), ledger.StateNotRun)
		checkEqual(t, "the record", mustLookup(t, l), ledger.StateNotRun)
		checkEqual(t, "the second send", mustDo(t, l, "1"), ledger.StateDone)
		table.SetFaults(infra.Faults{Unavailable: true})
		checkEqual(t, "the third send with the store down", mustDo(t, l, "1"), ledger.StateUnsure)
		_, err := l.Lookup(t.Context(), "team", "payment", "k1")
		checkEqual(t, "a lookup with the store down", errors.Is(err, ledger.ErrRecordUnreadable), true)
		checkEqual(t, "runs", svc.runs, 1)
	})
}

// Stale reads return the row as it was before the payment ran. A lookup that trusts
// them would report "not run" for a payment that ran.
func TestStaleLookupNeverReportsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, svc := &infra.Table{}, &fakeService{errs: []error{ledger.ErrNotSent}}
		l := &ledger.Ledger{Table: table, Sender: svc}
		mustDo(t, l, "1")
		mustDo(t, l, "1")
		for _, f := range []infra.Faults{{StaleReads: true}} {
			table.SetFaults(f)
			out, err := l.Lookup(t.Context(), "team", "payment", "k1")
			if err == nil && (out.State() == ledger.StateNotRun || out.State() == ledger.StateNone) {
				t.Errorf("got %v, want an error or a later state", out.State())
			}
		}
	})
}

// An instance dies while the service runs its payment. Other instances report
// running, then unsure once the incarnation is known to have exited, then the
// outcome from the service if the service supports outcomes. If the process was
// only paused, its own answer is still recorded.
func TestDeadInstanceLeavesUnsure(t *testing.T) {
	for _, supported := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			table, svc := &infra.Table{}, &fakeService{delay: time.Hour}
			a := &ledger.Ledger{Table: table, Sender: svc, Owner: "a/1"}
			exited := false
			b := &ledger.Ledger{
				Table: table, Sender: svc, Owner: "b/1", Querier: svc,
				SupportsOutcomes: func(s spec.ServiceName) bool { return supported && s == "payments" },
				ServiceOf:        func(spec.ClassName) spec.ServiceName { return "payments" },
				HasExited:        func(owner string) bool { return exited && owner == "a/1" },
			}
			go func() { _, _ = a.Do(t.Context(), paymentCall("1")) }()
			synctest.Wait()
			checkEqual(t, "before the evidence", mustLookup(t, b), ledger.StateRunning)
			exited = true
			checkEqual(t, "after the evidence", mustLookup(t, b), ledger.StateUnsure)
			svc.mu.Lock()
			svc.runs++
			svc.mu.Unlock()
			state := ledger.StateUnsure
			if supported {
				state = ledger.StateDone
			}
			checkEqual(t, "the outcome after the call ran", mustLookup(t, b), state)
			checkEqual(t, "a retry after the call ran", mustDo(t, b, "1"), state)
			if err := a.Wait(t.Context()); err != nil {
				t.Fatal(err)
			}
			checkEqual(t, "after the paused instance resumed", mustLookup(t, b), ledger.StateDone)
		})
	}
}

// The answer of the service is lost after the call ran. The caller gets unsure, or
// the answer if the service supports outcomes. A second send does not run the call.
func TestLostAnswer(t *testing.T) {
	for _, supported := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			svc := &fakeService{errs: []error{errConnectionCut}}
			l := &ledger.Ledger{Table: &infra.Table{}, Sender: svc, Querier: svc, SupportsOutcomes: func(spec.ServiceName) bool { return supported }}
			state := ledger.StateUnsure
			if supported {
				state = ledger.StateDone
			}
			checkEqual(t, "the caller", mustDo(t, l, "1"), state)
			checkEqual(t, "the second send", mustDo(t, l, "1"), state)
			checkEqual(t, "runs", svc.runs, 1)
		})
	}
}

// Old records are removed; recent, running and unsure records are kept. The first
// trimmer dies after five days and its successor continues from its checkpoints. A
// third trimmer that also assumes it has the duty does not make time count twice.
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
			removed := 0
			for range n * 24 * 2 {
				time.Sleep(30 * time.Minute)
				for _, tr := range trimmers {
					n, err := tr.Trim(t.Context(), 2)
					if err != nil && len(trimmers) == 1 {
						t.Fatal(err)
					}
					removed += n
				}
			}
			return removed
		}
		days(1, first)
		call("done")
		call("notrun")
		call("unsure")
		checkEqual(t, "records removed in 5 days", days(5, first), 0)
		time.Sleep(24 * time.Hour)
		checkEqual(t, "records removed in 1 more day, after a day without a trimmer", days(1, second, third), 0)
		call("young")
		checkEqual(t, "records removed in 2 more days", days(2, second), 2)
		checkEqual(t, "records removed in 2 days after that", days(2, second), 0)
	})
}

// A client looks up unknown keys as fast as it can and exhausts the budget share of
// lookups. Payments are not affected.
func TestLookupsUseSeparateTable(t *testing.T) {
	exhausted := &infra.Table{}
	exhausted.SetFaults(infra.Faults{Unavailable: true})
	l := &ledger.Ledger{Table: &infra.Table{}, LookupTable: exhausted, Sender: &fakeService{}}
	checkEqual(t, "the payment", mustDo(t, l, "1"), ledger.StateDone)
	_, err := l.Lookup(t.Context(), "team", "payment", "k1")
	checkEqual(t, "the lookup", errors.Is(err, ledger.ErrRecordUnreadable), true)
}

// During a long outage of the store the number of unsettled records stays bounded:
// new calls are rejected before they are sent.
func TestBacklogIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, svc := &infra.Table{}, &fakeService{}
		l := &ledger.Ledger{Table: table, Sender: svc, Backlog: 1}
		svc.beforeRun = func() { table.SetFaults(infra.Faults{Unavailable: true}) }
		checkEqual(t, "the call during which the outage begins", mustDo(t, l, "1"), ledger.StateDone)
		_, err := l.Do(t.Context(), ledger.NewCall("team", "payment", "payments", "k2", "", nil))
		checkEqual(t, "a call at the bound", errors.Is(err, ledger.ErrStoreUnavailable), true)
		table.SetFaults(infra.Faults{})
		if err := l.Wait(t.Context()); err != nil {
			t.Fatal(err)
		}
	})
}

// An instance dies after the service recorded its payment. The caller retries at
// another instance, which has no evidence of the death yet. That instance queries
// the service within about a second and reports done. Without the query the caller
// would have to wait for the evidence.
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
		start := time.Now()
		checkEqual(t, "a retry without evidence", mustDo(t, b, "1"), ledger.StateDone)
		if got := time.Since(start); got > 2*time.Second {
			t.Errorf("got done after %v, want within 2s", got)
		}
		if err := a.Wait(t.Context()); err != nil {
			t.Fatal(err)
		}
	})
}
