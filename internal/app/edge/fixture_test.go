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

// fixture is a deployment in virtual time: a site and the instances in front of it.
type fixture struct {
	t         *testing.T
	depot     *depot.Depot
	site      *stand.Site
	instances []*edge.Instance
	clients   []*http.Client
}

// newFixture starts a site with upstreams and n instances, and waits until layers are
// placed.
func newFixture(t *testing.T, n int) *fixture {
	t.Helper()
	return newFixtureWithRetry(t, n, setup.Retry{})
}

// newFixtureWithRetry is like newFixture with other retry limits; the zero value uses the
// default ones.
func newFixtureWithRetry(t *testing.T, n int, retry setup.Retry) *fixture {
	t.Helper()
	return newFixtureFrom(t, &depot.Depot{Instances: n, Retry: retry})
}

// newFixtureFrom opens a deployment and creates a client for each of its instances.
func newFixtureFrom(t *testing.T, d *depot.Depot) *fixture {
	t.Helper()
	f := &fixture{t: t, depot: d}
	if err := f.depot.Open(context.Background()); err != nil {
		t.Fatal(err)
	}
	f.site, f.instances = f.depot.Site(), f.depot.Routers()
	for range d.Instances {
		f.clients = append(f.clients, &http.Client{Transport: &http.Transport{DialContext: f.site.Dial}})
	}
	return f
}

// close stops all instances and fails the test if the site recorded a violation or an
// instance failed.
func (f *fixture) close() {
	f.t.Helper()
	for _, c := range f.clients {
		c.CloseIdleConnections()
	}
	if err := f.depot.Close(); err != nil {
		f.t.Errorf("got %v, want no violation and no failed instance", err)
	}
}

// callerResponse is the answer that a caller received.
type callerResponse struct {
	status int
	header http.Header
	body   string
	err    error
	// firstLatency is the time to the first event, longestGap the longest pause
	// between two events.
	firstLatency, longestGap time.Duration
	events                   int
}

// request sends a request through instance k and reads the whole answer.
func (f *fixture) request(k int, method, path, id, tokens string) callerResponse {
	req, err := stand.NewRequest(context.Background(), method, "http://"+depot.Settings(k).Listen.Callers+path, id, tokens)
	if err != nil {
		f.t.Fatal(err)
	}
	return f.send(k, req)
}

// send sends a request through instance k and reads the whole answer.
func (f *fixture) send(k int, req *http.Request) callerResponse {
	start := time.Now()
	resp, err := f.clients[k].Do(req)
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

// wholeAnswer returns the complete answer of n events to request id.
func wholeAnswer(id string, n int) string {
	var b strings.Builder
	for k := 1; k <= n; k++ {
		_, _ = fmt.Fprintf(&b, "id: %d\ndata: %s.%d\n\n", k, id, k)
	}
	return b.String()
}

// Guards against faults under normal traffic: streams and bookings at the usual rate
// through four instances for a minute, without injected faults. Every stream must be
// complete and on time, every token must run through all layers in order, and no
// booking may run twice.
func TestNormalTrafficWithoutFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 4)
		defer f.close()
		var callers sync.WaitGroup
		for n := range normalRequests {
			callers.Go(func() { f.sendNormalRequest(n) })
			time.Sleep(50 * time.Millisecond)
		}
		callers.Wait()
	})
}

func (f *fixture) sendNormalRequest(n int) {
	id := fmt.Sprintf("r%d", n)
	if n%10 == 0 {
		a := f.request(n%4, http.MethodPost, "/book/1", id, "")
		if a.status != http.StatusOK || a.body != "answer of "+id || f.site.Runs(id) != 1 {
			f.t.Errorf("got %d %q after %d runs (%v), want the booking's own answer after one run", a.status, a.body, f.site.Runs(id), a.err)
		}
		return
	}
	events := 20 + n%60
	a := f.request(n%4, http.MethodPost, "/write/1", id, fmt.Sprintf("%d,%d", 400+n%800, events*3))
	if a.status != http.StatusOK || a.body != wholeAnswer(id, events) {
		f.t.Errorf("got %d with %d events (%v), want %d", a.status, a.events, a.err, events)
	}
	if a.firstLatency > 500*time.Millisecond || a.longestGap > 200*time.Millisecond {
		f.t.Errorf("got the first event after %s and a longest pause of %s, want 500ms and 200ms at most", a.firstLatency, a.longestGap)
	}
}
