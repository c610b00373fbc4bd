package resend_test

import (
	"fmt"
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/resend"

	"pgregory.net/rapid"
)

const (
	// reportRound is the time between two reports of an instance, reportRounds how many there are.
	reportRound  = 200 * time.Millisecond
	reportRounds = 150
	// windowRounds is the number of rounds in a window.
	windowRounds = int(window / reportRound)
)

// fleet is instances that share a retry budget and report their usage to each other.
type fleet struct {
	budgets []*resend.Budget
	reports []resend.Reports
	// started is when the process of each instance began, cut whether it gets and sends no reports.
	started []time.Duration
	cut     []bool
	// requests and retries count those of all instances, by round.
	requests, retries [reportRounds]int
}

func newFleet(n int) *fleet {
	f := &fleet{reports: make([]resend.Reports, n), started: make([]time.Duration, n), cut: make([]bool, n)}
	for range n {
		f.budgets = append(f.budgets, &resend.Budget{Ratio: ratio, Allowance: allowance, Window: window})
	}
	return f
}

// restart replaces the process of an instance.
func (f *fleet) restart(now time.Duration, i int) {
	f.budgets[i] = &resend.Budget{Ratio: ratio, Allowance: allowance, Window: window, RampUp: window}
	f.started[i], f.reports[i] = now, resend.Reports{}
	for j := range f.reports {
		f.reports[j].End(spec.InstanceID(fmt.Sprint(i)))
	}
}

// report has all instances that are not cut off report their usage.
func (f *fleet) report(now time.Duration) {
	for i, b := range f.budgets {
		usage := b.Usage(now - f.started[i])
		for j := range f.reports {
			if i != j && !f.cut[i] && !f.cut[j] {
				f.reports[j].Set(now, spec.InstanceID(fmt.Sprint(i)), usage)
			}
		}
	}
}

// send has each instance send rate requests, and the first greedy ones all retries that they may.
func (f *fleet) send(round int, now time.Duration, rate, greedy int) {
	for i, b := range f.budgets {
		own := now - f.started[i]
		for range rate {
			b.RecordRequest(own)
			f.requests[round]++
		}
		if i >= greedy {
			continue
		}
		for others := f.reports[i].Sum(now, window); b.AllowRetry(own, len(f.budgets), others); {
			f.retries[round]++
		}
	}
}

// play draws how instances send. disturb is called before each round.
func (f *fleet) play(t *rapid.T, disturb func(round int, now time.Duration)) {
	rate := rapid.IntRange(0, 12).Draw(t, "requests")
	for k := range reportRounds {
		// The processes have been there for longer than a window.
		now := 2*window + time.Duration(k)*reportRound
		disturb(k, now)
		f.report(now)
		f.send(k, now, rate, rapid.IntRange(0, len(f.budgets)).Draw(t, "greedy"))
		from := max(0, k-windowRounds+1)
		checkWindow(t, f.requests[from:k+1], f.retries[from:k+1])
	}
}

// Guards against more retries than the limit where a window begins between two of its buckets.
func TestRetriesOfAnyWindowStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		newFleet(rapid.IntRange(1, 30).Draw(t, "instances")).play(t, func(int, time.Duration) {})
	})
}

// Guards against more retries than the limit where instances lose touch with each other and find each other
// again: what they took from the pool was forgotten.
func TestRetriesStayWithinLimitWhileReportsStop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(2, 30).Draw(t, "instances"))
		f.play(t, func(int, time.Duration) {
			if rapid.IntRange(0, 19).Draw(t, "change") != 0 {
				return
			}
			for i := range f.cut {
				f.cut[i] = rapid.IntRange(0, 2).Draw(t, "cut") == 0
			}
		})
	})
}

// Guards against more retries than the limit where instances end and others take their place: what the ended ones
// took from the pool was forgotten.
func TestRetriesOfEndedInstancesCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(4, 30).Draw(t, "instances"))
		last := -windowRounds
		f.play(t, func(round int, now time.Duration) {
			if round-last < windowRounds || rapid.IntRange(0, 9).Draw(t, "restart") != 0 {
				return
			}
			last = round
			for range rapid.IntRange(1, max(1, len(f.budgets)/4)).Draw(t, "together") {
				f.restart(now, rapid.IntRange(0, len(f.budgets)-1).Draw(t, "instance"))
			}
		})
	})
}
