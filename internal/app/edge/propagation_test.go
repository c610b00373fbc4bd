package edge_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/app/edge"
	"fulmarwick/internal/fakes/depot"
	"fulmarwick/internal/state/feed"
	"fulmarwick/platform/stand"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// maxPropagationTime is how long a change may take to reach all instances.
const maxPropagationTime = 2 * time.Second

// heartbeatInterval is the time between two rows that an unchanged upstream writes.
const heartbeatInterval = 300 * time.Millisecond

// Guards against instances that serve with the old configuration seconds after the
// operator's change was confirmed. One instance reads the store for all; the instances
// that it informed did not forward the change. Without any fault, all instances of each
// fleet size must reject a dropped API key within two seconds.
func TestConfigChangeReachesAllInstances(t *testing.T) {
	for _, n := range configFleetSizes {
		t.Run(fmt.Sprintf("%d instances", n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, n)
				defer f.close()
				f.site.Store.Put("op", "config", []byte(strings.Replace(string(f.site.Config(2)), "key-1", "key-0", 1)))
				time.Sleep(maxPropagationTime)
				for k := range f.instances {
					if a := f.request(k, http.MethodPost, "/book/1", fmt.Sprintf("k%d", k), ""); a.status != http.StatusUnauthorized {
						t.Errorf("got %d from instance %d, want 401 for the dropped key", a.status, k)
					}
				}
			})
		})
	}
}

// Guards against requests to a plain upstream that announced that it is leaving. It
// keeps serving, and the instances follow the upstream list through one of them. After
// two seconds no instance may send it a booking: an instance that did not receive the
// change would continue until the upstream exits.
func TestLeavingUpstreamGetsNoRequestsFromAnyInstance(t *testing.T) {
	for _, n := range listFleetSizes {
		t.Run(fmt.Sprintf("%d instances", n), func(t *testing.T) { testLeavingUpstream(t, n) })
	}
}

func testLeavingUpstream(t *testing.T, n int) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, n)
		defer f.close()
		defer f.startHeartbeats()()
		for _, leaving := range f.site.PlainUpstreams()[:2] {
			var received atomic.Int64
			f.site.DrainPlainUpstream(leaving)
			time.Sleep(maxPropagationTime)
			leaving.ChooseOutcome = func(*http.Request) stand.Outcome {
				received.Add(1)
				return stand.OutcomeOK
			}
			for n := range 4 * len(f.instances) {
				f.request(n%len(f.instances), http.MethodPost, "/book/1", fmt.Sprintf("%s-%d", leaving.ID, n), "")
			}
			if n := received.Load(); n > 0 {
				t.Errorf("got %d bookings at %s more than %s after it announced that it is leaving, want none", n, leaving.ID, maxPropagationTime)
			}
		}
	})
}

// startHeartbeats makes all upstreams rewrite their rows periodically. It returns a
// function that stops this.
func (f *fixture) startHeartbeats() func() {
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for feed.Sleep(ctx, heartbeatInterval) {
			f.site.Heartbeat()
		}
	}()
	return func() {
		stop()
		<-done
	}
}

// Guards against a started instance that knows only one of its peers. The instance
// writes its address to the roster, but the store rejects its reads of the roster for
// two seconds. Meanwhile another instance starts and dials it. The first instance must
// still discover all peers: knowing only the last one, it would claim half of the
// fleet's retry budget and receive changes from one instance only.
func TestStartedInstanceDiscoversAllPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 3)
		defer f.close()
		name := depot.Settings(7).Instance.Name
		start := time.Now()
		f.site.Store.SetFault(func(r *http.Request) stand.Fault {
			readsRoster := r.URL.Query().Get("table") == "instances" && r.URL.Query().Get("to") == ""
			return stand.Fault{Unavailable: readsRoster && strings.HasPrefix(r.Header.Get("User-Agent"), name) && time.Since(start) < 2*time.Second}
		})
		core, logs := observer.New(zap.InfoLevel)
		stopFirst := f.startInstance(7, zap.New(core))
		time.Sleep(time.Second)
		stopLast := f.startInstance(8, zap.NewNop())
		time.Sleep(8 * time.Second)
		discovered := map[string]bool{}
		for _, l := range logs.FilterMessage("edge: instance met").All() {
			discovered[l.ContextMap()["peer"].(string)] = true
		}
		if len(discovered) != 4 {
			t.Errorf("got peers %v discovered by the started instance, want all 4", discovered)
		}
		stopFirst()
		stopLast()
	})
}

// startInstance starts another instance and returns a function that stops it.
func (f *fixture) startInstance(n int, log *zap.Logger) func() {
	f.t.Helper()
	s := depot.Settings(n)
	return f.runInstance(&edge.Instance{Settings: s, Log: log, Dial: f.site.DialFrom(s.Instance.Name), Listen: f.site.Net.Listen})
}

// runInstance runs an instance in the background and returns a function that stops it.
func (f *fixture) runInstance(i *edge.Instance) func() {
	done := make(chan error, 1)
	go func() { done <- i.Run(context.Background()) }()
	return func() {
		i.Stop()
		if err := <-done; err != nil {
			f.t.Errorf("got error %v from a stopped instance, want none", err)
		}
	}
}
