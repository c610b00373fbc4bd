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

// bookingOutcomes are what upstreams do with bookings, by how often.
var bookingOutcomes = []stand.Outcome{
	stand.OutcomeOK, stand.OutcomeOK, stand.OutcomeReject, stand.OutcomeReject, stand.OutcomeReject, stand.OutcomeReject, stand.OutcomeReject, stand.OutcomeError,
	stand.OutcomeDropConnection, stand.OutcomeHang, stand.OutcomeWrongRequest, stand.OutcomeDelayed,
}

// requestBooking asks for one booking and leaves after a while; status is 0 if no answer
// came.
func (w *fixture) requestBooking(k int, id string, patience time.Duration) (status int, body string) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	req, err := stand.NewRequest(ctx, http.MethodPost, "http://"+depot.Settings(k).Listen.Callers+"/book/1", id, "")
	if err != nil {
		w.t.Fatal(err)
	}
	resp, err := w.clients[k].Do(req)
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

// Upstreams refuse, fail, hang, lose answers, answer others first, or run a
// booking seconds after it came, in any order; one instance stops meanwhile and
// callers leave at any moment. Whatever comes, a booking runs once at most; an
// answer of 200 is its own, after its run; and one that was promised not to have
// run never does, not even later.
func TestBookingRunsAtMostOnceUnderRandomFaults(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testBookings(t, seed) })
		})
	}
}

func testBookings(t *testing.T, seed uint64) {
	w := newFixture(t, 2)
	defer w.close()
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 1))
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(n)
	}
	for _, d := range w.site.PlainUpstreams() {
		d.ChooseOutcome = func(*http.Request) stand.Outcome { return bookingOutcomes[draw(len(bookingOutcomes))] }
	}
	const calls = 150
	var status [calls]int
	var callers sync.WaitGroup
	for n := range calls {
		if n == calls/2 {
			w.instances[1].Stop()
		}
		k := draw(2)
		if n >= calls/2 {
			k = 0
		}
		patience := time.Duration(20+draw(6000)) * time.Millisecond
		callers.Go(func() {
			id := fmt.Sprintf("w%d", n)
			var body string
			status[n], body = w.requestBooking(k, id, patience)
			if status[n] == http.StatusOK && body != "answer of "+id {
				t.Errorf("got %q for %s, want its own answer", body, id)
			}
		})
		time.Sleep(time.Duration(draw(60)) * time.Millisecond)
	}
	callers.Wait()
	time.Sleep(10 * time.Second)
	seen := map[int]int{}
	for n, s := range status {
		seen[s]++
		runs := w.site.Runs(fmt.Sprintf("w%d", n))
		promised := s == http.StatusServiceUnavailable || s == http.StatusTooManyRequests || s == http.StatusRequestTimeout || s == http.StatusMisdirectedRequest
		if runs > 1 || s == http.StatusOK && runs != 1 || promised && runs != 0 {
			t.Errorf("got %d after %d runs for w%d, want one run at most, and none after a promise", s, runs, n)
		}
	}
	if seen[http.StatusOK] == 0 || seen[http.StatusServiceUnavailable] == 0 {
		t.Errorf("got answers %v, want some served and some refused", seen)
	}
}
