package edge_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/app/edge"
	"fulmarwick/internal/app/setup"
	"fulmarwick/internal/fakes/depot"
	"fulmarwick/platform/stand"
)

// fixture is a site with instances in front of it, in virtual time.
type fixture struct {
	t         *testing.T
	depot     *depot.Depot
	site      *stand.Site
	instances []*edge.Instance
	clients   []*http.Client
}

// newFixture starts a filled site and n instances and waits until layers are placed.
func newFixture(t *testing.T, n int) *fixture {
	t.Helper()
	return newFixtureWithRetry(t, n, setup.Retry{})
}

// newFixtureWithRetry does the same with other bounds on repeats; zero is the usual.
func newFixtureWithRetry(t *testing.T, n int, retry setup.Retry) *fixture {
	t.Helper()
	return newFixtureFrom(t, &depot.Depot{Instances: n, Retry: retry})
}

// newFixtureFrom opens a deployment, with a client for each of its instances.
func newFixtureFrom(t *testing.T, d *depot.Depot) *fixture {
	t.Helper()
	w := &fixture{t: t, depot: d}
	if err := w.depot.Open(context.Background()); err != nil {
		t.Fatal(err)
	}
	w.site, w.instances = w.depot.Site(), w.depot.Running()
	for range d.Instances {
		w.clients = append(w.clients, &http.Client{Transport: &http.Transport{DialContext: w.site.Dial}})
	}
	return w
}

// close stops all instances and checks what the site saw.
func (w *fixture) close() {
	w.t.Helper()
	for _, c := range w.clients {
		c.CloseIdleConnections()
	}
	if err := w.depot.Close(); err != nil {
		w.t.Errorf("got %v, want no rule broken and no instance failed", err)
	}
}

// callerResponse is what a caller got.
type callerResponse struct {
	status int
	header http.Header
	body   string
	err    error
	// longestGap is the longest pause between events, first the time to the first.
	firstLatency, longestGap time.Duration
	events                   int
}

// request sends a request through instance k.
func (w *fixture) request(k int, method, path, id, tokens string) callerResponse {
	req, err := stand.NewRequest(context.Background(), method, "http://"+depot.Settings(k).Listen.Callers+path, id, tokens)
	if err != nil {
		w.t.Fatal(err)
	}
	start := time.Now()
	resp, err := w.clients[k].Do(req)
	if err != nil {
		return callerResponse{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	a := callerResponse{status: resp.StatusCode, header: resp.Header}
	a.readEvents(resp.Body, start)
	return a
}

func (a *callerResponse) readEvents(body io.Reader, start time.Time) {
	var all strings.Builder
	last := start
	lines := bufio.NewReader(body)
	for {
		line, err := lines.ReadString('\n')
		all.WriteString(line)
		if strings.HasPrefix(line, "id:") {
			pause := time.Since(last)
			if a.events == 0 {
				a.firstLatency = pause
			} else {
				a.longestGap = max(a.longestGap, pause)
			}
			last = time.Now()
			a.events++
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			a.err = err
			break
		}
	}
	a.body = all.String()
}

// wholeAnswer is the answer of n events to request id.
func wholeAnswer(id string, n int) string {
	var b strings.Builder
	for k := 1; k <= n; k++ {
		_, _ = fmt.Fprintf(&b, "id: %d\ndata: %s.%d\n\n", k, id, k)
	}
	return b.String()
}

// A caller sees a calm minute: streams, bookings and look-ups at the rate of a
// usual day through four instances. Every stream is whole and in time, every
// token ran all layers in order, no booking ran twice.
func TestNormalTrafficWithoutFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t, 4)
		defer w.close()
		var callers sync.WaitGroup
		for n := range normalRequests {
			callers.Go(func() { w.sendNormalRequest(n) })
			time.Sleep(50 * time.Millisecond)
		}
		callers.Wait()
	})
}

func (w *fixture) sendNormalRequest(n int) {
	id := fmt.Sprintf("r%d", n)
	if n%10 == 0 {
		a := w.request(n%4, http.MethodPost, "/book/1", id, "")
		if a.status != http.StatusOK || a.body != "answer of "+id || w.site.Runs(id) != 1 {
			w.t.Errorf("got %d %q after %d runs (%v), want the booking's own answer after one", a.status, a.body, w.site.Runs(id), a.err)
		}
		return
	}
	events := 20 + n%60
	a := w.request(n%4, http.MethodPost, "/write/1", id, fmt.Sprintf("%d,%d", 400+n%800, events*3))
	if a.status != http.StatusOK || a.body != wholeAnswer(id, events) {
		w.t.Errorf("got %d with %d events (%v), want %d", a.status, a.events, a.err, events)
	}
	if a.firstLatency > 500*time.Millisecond || a.longestGap > 200*time.Millisecond {
		w.t.Errorf("got first event after %s and a pause of %s, want 500ms and 200ms at most", a.firstLatency, a.longestGap)
	}
}
