package edge_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/fakes/depot"
	"fulmarwick/platform/stand"

	"github.com/go-faster/errors"
)

const (
	// spreadTime is how long new connections are spread over the instances, skewTime how long
	// most go to one of them then.
	spreadTime = 10 * time.Second
	skewTime   = 10 * time.Second
	// skewInterval is the time between two requests.
	skewInterval = 10 * time.Millisecond
	// skewOthers is that one in so many requests goes to another instance all the same.
	skewOthers = 10
)

// Guards against callers that are served worse because most new connections go to one instance,
// also where upstreams name rate limits, fail a part of the requests, or are taken away.
func TestOneInstanceServesMostNewConnections(t *testing.T) {
	for name, disturb := range map[string]func(f *fixture){
		"calm": func(*fixture) {},
		"limits": func(f *fixture) {
			for _, u := range f.site.PlainUpstreams() {
				f.site.LimitRate(u, 12)
			}
		},
		"limits of all": func(f *fixture) {
			for _, u := range f.site.PlainUpstreams() {
				f.site.LimitRate(u, 12)
			}
			for _, e := range f.site.Engines() {
				f.site.LimitRate(e, 4)
			}
		},
		"failures": func(f *fixture) {
			for n, u := range f.site.PlainUpstreams() {
				failing := 0
				u.ChooseOutcome = func(*http.Request) stand.Outcome {
					if failing++; n == 0 && failing%4 == 0 {
						return stand.OutcomeError
					}
					return stand.OutcomeOK
				}
			}
		},
		"departures": func(f *fixture) {
			for _, e := range f.site.Engines()[:6] {
				time.AfterFunc(spreadTime+skewTime/2, func() { f.site.DrainEngine(e) })
			}
		},
	} {
		for _, instances := range []int{4, 12} {
			t.Run(fmt.Sprintf("%s/%d", name, instances), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFixture(t, instances)
					defer f.close()
					disturb(f)
					f.sendSkewed()
					before, after := f.site.SkewedRequests()
					t.Logf("%s served before, %s while one instance had most connections", before, after)
				})
			})
		}
	}
}

// sendSkewed sends requests on new connections: to all instances in turn, then most to one. A
// request that is refused is sent again to another instance once, as callers do.
func (f *fixture) sendSkewed() {
	start := time.Now()
	f.site.SetSkew(start.Add(spreadTime), start.Add(spreadTime+skewTime))
	var callers sync.WaitGroup
	for n := 0; time.Since(start) < spreadTime+skewTime; n++ {
		k := n % len(f.clients)
		if time.Since(start) > spreadTime && n%skewOthers != 0 {
			k = 0
		}
		callers.Go(func() {
			sentAt := time.Now()
			served, read := f.sendOnNewConn(k, fmt.Sprintf("r%d", n), n)
			if read {
				f.site.RecordRead(sentAt, served)
			}
			if !served {
				f.sendOnNewConn(k+1, fmt.Sprintf("again%d", n), n)
			}
		})
		time.Sleep(skewInterval)
	}
	callers.Wait()
}

// sendOnNewConn sends a stream, a look-up or a booking on a connection of its own. read is false if
// no instance read it. No booking may run twice, or run although the answer says that it did not.
func (f *fixture) sendOnNewConn(k int, id string, n int) (served, read bool) {
	transport := &http.Transport{DialContext: f.site.Dial, DisableKeepAlives: true}
	client := &http.Client{Transport: transport}
	method, path, tokens := http.MethodPost, "/write/"+id, "300,60"
	switch n % 5 {
	case 0:
		method, path, tokens = http.MethodGet, "/look/"+id, ""
	case 1:
		path, tokens = "/book/"+id, ""
	}
	req, err := stand.NewRequest(f.t.Context(), method, "http://"+depot.Settings(k%len(f.clients)).Listen.Callers+path, id, tokens)
	if err != nil {
		f.t.Error(err)
		return false, false
	}
	resp, err := client.Do(req)
	if err != nil {
		var dial *net.OpError
		return false, !errors.As(err, &dial)
	}
	defer func() { _ = resp.Body.Close() }()
	a := callerResponse{status: resp.StatusCode}
	a.readEvents(resp.Body, time.Now())
	if runs := f.site.Runs(id); n%5 == 1 && (runs > 1 || runs > 0 && a.status == http.StatusServiceUnavailable) {
		f.t.Errorf("got status %d after %d runs of booking %s, want one at most, and none if it is refused", a.status, runs, id)
	}
	return a.status == http.StatusOK && a.err == nil, true
}
