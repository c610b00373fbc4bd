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

// testingT is the part of testing.T and rapid.T that checks use.
type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

// checkWindow checks that the retries in the buckets of a window do not exceed the
// limit.
func checkWindow(t testingT, requests, retries []int) {
	t.Helper()
	requestSum, retrySum := 0, 0
	for k := range requests {
		requestSum, retrySum = requestSum+requests[k], retrySum+retries[k]
	}
	if limit := ratio*float64(requestSum) + allowance; float64(retrySum) > limit {
		t.Fatalf("got %d retries for %d requests in a window, want %.0f at most", retrySum, requestSum, limit)
	}
}

// Engines refuse everything, and every instance retries each request as often as it
// may. In no window may all of them together send more retries than a fifth of the
// requests plus the allowance.
func TestFleetRetriesStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 33).Draw(t, "instances")
		budgets := make([]*resend.Budget, n)
		for i := range budgets {
			budgets[i] = &resend.Budget{Ratio: ratio, Allowance: allowance, Window: window}
		}
		var requests, retries [60]int
		for tick := range 60 {
			now := time.Duration(tick) * 500 * time.Millisecond
			for range rapid.IntRange(0, 40).Draw(t, "requests") {
				b := budgets[rapid.IntRange(0, n-1).Draw(t, "at")]
				b.RecordRequest(now)
				requests[tick]++
				for range 8 {
					if b.AllowRetry(now, n, resend.Usage{}) {
						retries[tick]++
					}
				}
			}
			checkWindow(t, requests[max(0, tick-19):tick+1], retries[max(0, tick-19):tick+1])
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
		t.Errorf("got %d retries, want %d: eight tenths of a quarter of the allowance", got, want)
	}
	if !b.AllowRetry(2*window, 4, resend.Usage{}) {
		t.Error("got no retry two windows later, want one")
	}
}

// All instances retry whatever they may, and requests arrive unevenly: one instance
// gets half of them, as where balancers choose by a hash of the caller. The retries of
// all together must stay below the limit. The unused part of the limit is the cost of
// splitting the allowance.
func TestUnevenLoadUsesMostOfTheBudget(t *testing.T) {
	for _, test := range []struct {
		instances int
		rate      int
		// minUsed is the minimum share of the limit that is used.
		minUsed float64
	}{{4, 79, 0.7}, {33, 640, 0.7}} {
		budgets := make([]*resend.Budget, test.instances)
		for i := range budgets {
			budgets[i] = &resend.Budget{Ratio: ratio, Allowance: allowance, Window: window}
		}
		requests, retries := 0, 0
		for k := range 10 * test.rate {
			now := time.Duration(k) * window / time.Duration(10*test.rate)
			target := 0
			if k%2 == 0 {
				target = k / 2 % test.instances
			}
			budgets[target].RecordRequest(now)
			requests++
			for range 4 {
				if budgets[target].AllowRetry(now, test.instances, resend.Usage{}) {
					retries++
				}
			}
		}
		limit := ratio*float64(requests) + allowance
		used := float64(retries) / limit
		t.Logf("%d instances: %d retries of %.0f allowed, %.3f", test.instances, retries, limit, used)
		if used > 1 || used < test.minUsed {
			t.Errorf("got %.3f of the limit used by %d instances, want %.2f to 1", used, test.instances, test.minUsed)
		}
	}
}

// Guards against more retries than the limit where instances share a pool: their
// knowledge of each other is up to three rounds old, some send no messages, and all
// retry at once.
func TestPooledRetriesStayWithinLimit(t *testing.T) {
	const round = 200 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 60).Draw(t, "instances")
		unreachable := rapid.IntRange(0, n/4).Draw(t, "unreachable")
		rate := rapid.IntRange(0, 12).Draw(t, "requests")
		greedy := rapid.IntRange(1, n).Draw(t, "greedy")
		delay := rapid.IntRange(0, 3).Draw(t, "rounds until received")
		const rounds = 150
		budgets := make([]*resend.Budget, n)
		for i := range budgets {
			budgets[i] = &resend.Budget{Ratio: ratio, Allowance: allowance, Window: window}
		}
		var counts [rounds][]resend.Usage
		var requests, retries [rounds]int
		for k := range rounds {
			now := time.Duration(k) * round
			for _, b := range budgets {
				counts[k] = append(counts[k], b.Usage(now))
			}
			for i, b := range budgets {
				for range rate {
					b.RecordRequest(now)
					requests[k]++
				}
				if i >= greedy && i < n-unreachable {
					continue
				}
				var others resend.Usage
				for j, c := range counts[max(0, k-delay)][:n-unreachable] {
					if j != i && i < n-unreachable {
						others = others.Plus(c)
					}
				}
				for b.AllowRetry(now, n, others) {
					retries[k]++
				}
			}
			checkWindow(t, requests[max(0, k-49):k+1], retries[max(0, k-49):k+1])
		}
	})
}

// Guards against an instance that rejects callers for lack of retries while all others
// use none.
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
		t.Errorf("got %d retries in a window, want ten times its even share of the allowance, %d", got, want)
	}
}

// Guards against a fleet that is killed while it uses its whole retry budget, restarts,
// and uses it again within the same window.
func TestRestartDoesNotDoubleTheLimit(t *testing.T) {
	const (
		round  = 100 * time.Millisecond
		rounds = int(2 * window / round)
	)
	var requests, retries [2 * rounds]int
	for process, rampUp := range []time.Duration{0, window} {
		b := &resend.Budget{Ratio: ratio, Allowance: allowance, Window: window, RampUp: rampUp}
		for k := range rounds {
			now := time.Duration(k) * round
			b.RecordRequest(now)
			requests[process*rounds+k]++
			// The former process uses its budget evenly, the new one all at once.
			for n := 0; (process == 1 || n < 2) && b.AllowRetry(now, 1, resend.Usage{}); n++ {
				retries[process*rounds+k]++
			}
		}
	}
	span := int(window / round)
	for k := range retries {
		checkWindow(t, requests[max(0, k-span+1):k+1], retries[max(0, k-span+1):k+1])
	}
}

// Guards against a pool of which no instance may take a whole retry in one round, so
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
		t.Errorf("got %d retries in a window, want three times the even share of the allowance, %d", got, want)
	}
}
