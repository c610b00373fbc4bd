package resend_test

import (
	"testing"
	"time"

	"fulmarwick/internal/route/resend"

	"pgregory.net/rapid"
)

const (
	ratio     = 0.2
	allowance = 196
	window    = 10 * time.Second
)

// testingT is what ends a test, with or without drawn values.
type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

// checkWindow checks that the repeats in the parts of a window are no more than the
// bound on them.
func checkWindow(t testingT, first, more []int) {
	t.Helper()
	f, m := 0, 0
	for k := range first {
		f, m = f+first[k], m+more[k]
	}
	if bound := ratio*float64(f) + allowance; float64(m) > bound {
		t.Fatalf("got %d repeats for %d requests in a window, want %.0f at most", m, f, bound)
	}
}

// Engines refuse all that is sent, and every instance sends each request as
// often as it may. In no window do all of them together send more repeats than
// a fifth of the requests and the allowance.
func TestFleetRetriesStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 33).Draw(t, "instances")
		budgets := make([]*resend.Budget, n)
		for i := range budgets {
			budgets[i] = &resend.Budget{Ratio: ratio, Allowance: allowance, Window: window}
		}
		var first, more [60]int
		for tick := range 60 {
			now := time.Duration(tick) * 500 * time.Millisecond
			for range rapid.IntRange(0, 40).Draw(t, "requests") {
				b := budgets[rapid.IntRange(0, n-1).Draw(t, "at")]
				b.RecordRequest(now)
				first[tick]++
				for range 8 {
					if b.AllowRetry(now, n, resend.Usage{}) {
						more[tick]++
					}
				}
			}
			checkWindow(t, first[max(0, tick-19):tick+1], more[max(0, tick-19):tick+1])
		}
	})
}

func TestBudgetIsUsed(t *testing.T) {
	b := &resend.Budget{Ratio: ratio, Allowance: allowance, Window: window}
	got := 0
	for b.AllowRetry(0, 4, resend.Usage{}) {
		got++
	}
	if want := 39; got != want {
		t.Errorf("got %d repeats, want %d: eight tenths of a quarter of the allowance", got, want)
	}
	if !b.AllowRetry(2*window, 4, resend.Usage{}) {
		t.Error("got no repeat two windows later, want one")
	}
}

// All instances repeat whatever they may, and requests come to them unevenly:
// one has half of them, as where balancers choose by a hash of the caller. What
// they send together stays below the bound, and how much of it they leave unused
// is what the split of the allowance costs.
func TestUnevenLoadUsesMostOfTheBudget(t *testing.T) {
	for _, test := range []struct {
		instances int
		rate      int
		// least is the part of the bound that is used at least.
		least float64
	}{{4, 79, 0.7}, {33, 640, 0.7}} {
		budgets := make([]*resend.Budget, test.instances)
		for i := range budgets {
			budgets[i] = &resend.Budget{Ratio: ratio, Allowance: allowance, Window: window}
		}
		first, more := 0, 0
		for k := range 10 * test.rate {
			now := time.Duration(k) * window / time.Duration(10*test.rate)
			at := 0
			if k%2 == 0 {
				at = k / 2 % test.instances
			}
			budgets[at].RecordRequest(now)
			first++
			for range 4 {
				if budgets[at].AllowRetry(now, test.instances, resend.Usage{}) {
					more++
				}
			}
		}
		bound := ratio*float64(first) + allowance
		used := float64(more) / bound
		t.Logf("%d instances: %d repeats of %.0f allowed, %.3f", test.instances, more, bound, used)
		if used > 1 || used < test.least {
			t.Errorf("got %.3f of the bound used by %d instances, want %.2f to 1", used, test.instances, test.least)
		}
	}
}

// Guards against more repeats than the bound where instances share a pool: what they
// know of each other is up to three rounds old, some are not heard at all, and all ask
// at once.
func TestPooledRetriesStayWithinLimit(t *testing.T) {
	const round = 200 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 60).Draw(t, "instances")
		lost := rapid.IntRange(0, n/4).Draw(t, "not heard")
		rate := rapid.IntRange(0, 12).Draw(t, "requests")
		greedy := rapid.IntRange(1, n).Draw(t, "greedy")
		late := rapid.IntRange(0, 3).Draw(t, "rounds until heard")
		const rounds = 150
		budgets := make([]*resend.Budget, n)
		for i := range budgets {
			budgets[i] = &resend.Budget{Ratio: ratio, Allowance: allowance, Window: window}
		}
		var counts [rounds][]resend.Usage
		var first, more [rounds]int
		for k := range rounds {
			now := time.Duration(k) * round
			for _, b := range budgets {
				counts[k] = append(counts[k], b.Usage(now))
			}
			for i, b := range budgets {
				for range rate {
					b.RecordRequest(now)
					first[k]++
				}
				if i >= greedy && i < n-lost {
					continue
				}
				var others resend.Usage
				for j, c := range counts[max(0, k-late)][:n-lost] {
					if j != i && i < n-lost {
						others = others.Plus(c)
					}
				}
				for b.AllowRetry(now, n, others) {
					more[k]++
				}
			}
			checkWindow(t, first[max(0, k-49):k+1], more[max(0, k-49):k+1])
		}
	})
}

// Guards against an instance that refuses callers for want of a repeat while all
// others use none.
func TestPoolServesLoadedInstance(t *testing.T) {
	const instances = 118
	b := &resend.Budget{Ratio: ratio, Allowance: 774, Window: window}
	others := resend.Usage{Instances: instances - 1, Requests: 5400}
	got := 0
	for k := range 50 {
		for b.AllowRetry(time.Duration(k)*200*time.Millisecond, instances, others) {
			got++
		}
	}
	if want := 10 * 774 / instances; got < want {
		t.Errorf("got %d repeats in a window, want ten times its even share of the allowance, %d", got, want)
	}
}

// Guards against a fleet that is killed while it takes all repeats that it may, starts
// anew, and takes them again within the same window.
func TestRestartDoesNotDoubleTheLimit(t *testing.T) {
	const (
		round  = 100 * time.Millisecond
		rounds = int(2 * window / round)
	)
	var first, more [2 * rounds]int
	for process, young := range []time.Duration{0, window} {
		b := &resend.Budget{Ratio: ratio, Allowance: allowance, Window: window, RampUp: young}
		for k := range rounds {
			now := time.Duration(k) * round
			b.RecordRequest(now)
			first[process*rounds+k]++
			// The former process takes its part evenly, the one after it all at once.
			for n := 0; (process == 1 || n < 2) && b.AllowRetry(now, 1, resend.Usage{}); n++ {
				more[process*rounds+k]++
			}
		}
	}
	span := int(window / round)
	for k := range more {
		checkWindow(t, first[max(0, k-span+1):k+1], more[max(0, k-span+1):k+1])
	}
}

// Guards against a pool of which no instance may take a whole repeat in one turn, so
// that it serves nobody: the shares of a small deployment are below one.
func TestSmallPoolIsUsed(t *testing.T) {
	const instances = 13
	b := &resend.Budget{Ratio: ratio, Allowance: 40.7, Window: window}
	others := resend.Usage{Instances: instances - 1, Requests: 260}
	got := 0
	for k := range 50 {
		now := window + time.Duration(k)*200*time.Millisecond
		b.RecordRequest(now)
		for b.AllowRetry(now, instances, others) {
			got++
		}
	}
	if want := 3 * 40 / instances; got < want {
		t.Errorf("got %d repeats in a window, want three times the even share of the allowance, %d", got, want)
	}
}
