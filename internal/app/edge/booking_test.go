package edge_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/fakes/depot"
	"fulmarwick/platform/stand"
)

// bookingOutcomes lists what upstreams may do with a booking. An outcome's share of the
// list is its probability.
var bookingOutcomes = []stand.Outcome{
	stand.OutcomeOK, stand.OutcomeOK, stand.OutcomeReject, stand.OutcomeReject, stand.OutcomeReject, stand.OutcomeReject, stand.OutcomeReject, stand.OutcomeError,
	stand.OutcomeDropConnection, stand.OutcomeHang, stand.OutcomeWrongRequest, stand.OutcomeDelayed,
}

// requestBooking sends one booking to instance k and cancels it after the timeout;
// status is 0 if no complete answer arrived.
func (f *fixture) requestBooking(k int, id string, timeout time.Duration) (status int, body string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := stand.NewRequest(ctx, http.MethodPost, "http://"+depot.Settings(k).Listen.Callers+"/book/1", id, "")
	if err != nil {
		f.t.Fatal(err)
	}
	resp, err := f.clients[k].Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(data)
}

// Guards against bookings that run twice under a random sequence of faults. Upstreams
// reject, fail, hang, lose answers, answer another request first, or run a booking
// seconds after they received it; one instance stops meanwhile, and callers cancel at
// any moment. Each booking must run at most once. An answer with status 200 must be
// the booking's own and follow its run. A booking that was reported as not executed
// must never run, not even later.
func TestBookingRunsAtMostOnceUnderRandomFaults(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testBookings(t, seed) })
		})
	}
}

func testBookings(t *testing.T, seed uint64) {
	f := newFixture(t, 2)
	defer f.close()
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 1))
	randInt := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(n)
	}
	for _, d := range f.site.PlainUpstreams() {
		d.ChooseOutcome = func(*http.Request) stand.Outcome { return bookingOutcomes[randInt(len(bookingOutcomes))] }
	}
	const calls = 150
	var status [calls]int
	var callers sync.WaitGroup
	for n := range calls {
		if n == calls/2 {
			f.instances[1].Stop()
		}
		k := randInt(2)
		if n >= calls/2 {
			k = 0
		}
		timeout := time.Duration(20+randInt(6000)) * time.Millisecond
		callers.Go(func() {
			id := fmt.Sprintf("w%d", n)
			var body string
			status[n], body = f.requestBooking(k, id, timeout)
			if status[n] == http.StatusOK && body != "answer of "+id {
				t.Errorf("got %q for %s, want its own answer", body, id)
			}
		})
		time.Sleep(time.Duration(randInt(60)) * time.Millisecond)
	}
	callers.Wait()
	time.Sleep(10 * time.Second)
	statusCounts := map[int]int{}
	for n, s := range status {
		statusCounts[s]++
		runs := f.site.Runs(fmt.Sprintf("w%d", n))
		notExecuted := s == http.StatusServiceUnavailable || s == http.StatusTooManyRequests || s == http.StatusRequestTimeout || s == http.StatusMisdirectedRequest
		if runs > 1 || s == http.StatusOK && runs != 1 || notExecuted && runs != 0 {
			t.Errorf("got %d after %d runs for w%d, want one run at most, and none if reported as not executed", s, runs, n)
		}
	}
	if statusCounts[http.StatusOK] == 0 || statusCounts[http.StatusServiceUnavailable] == 0 {
		t.Errorf("got answers by status %v, want some with 200 and some with 503", statusCounts)
	}
}
