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

// maxPropagationTime is how long a change may take to all instances.
const maxPropagationTime = 2 * time.Second

// heartbeatInterval is the pause between two rows of an upstream that stays as it is.
const heartbeatInterval = 300 * time.Millisecond

// Callers got answers by the former configuration seconds after the operator's
// change was confirmed: one instance reads the store for all, and those that it
// tells told nobody else. With no fault at all, each number of instances must
// have a dropped key refused everywhere within two seconds.
func TestConfigChangeReachesAllInstances(t *testing.T) {
	for _, n := range configFleetSizes {
		t.Run(fmt.Sprintf("%d instances", n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFixture(t, n)
				defer w.close()
				w.site.Store.Put("op", "config", []byte(strings.Replace(string(w.site.Config(2)), "key-1", "key-0", 1)))
				time.Sleep(maxPropagationTime)
				for k := range w.instances {
					if a := w.request(k, http.MethodPost, "/book/1", fmt.Sprintf("k%d", k), ""); a.status != http.StatusUnauthorized {
						t.Errorf("got %d from instance %d, want 401 for the dropped key", a.status, k)
					}
				}
			})
		})
	}
}

// A plain upstream says that it leaves and serves on, and the instances follow
// the list of upstreams through one of them. After two seconds none may send it
// a booking: one that did not hear of it would go on until the upstream exits.
func TestLeavingUpstreamGetsNoRequestsFromAnyInstance(t *testing.T) {
	for _, n := range listFleetSizes {
		t.Run(fmt.Sprintf("%d instances", n), func(t *testing.T) { testLeavingUpstream(t, n) })
	}
}

func testLeavingUpstream(t *testing.T, n int) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t, n)
		defer w.close()
		defer w.startHeartbeats()()
		for _, gone := range w.site.PlainUpstreams()[:2] {
			var came atomic.Int64
			w.site.DrainPlainUpstream(gone)
			time.Sleep(maxPropagationTime)
			gone.ChooseOutcome = func(*http.Request) stand.Outcome {
				came.Add(1)
				return stand.OutcomeOK
			}
			for n := range 4 * len(w.instances) {
				w.request(n%len(w.instances), http.MethodPost, "/book/1", fmt.Sprintf("%s-%d", gone.ID, n), "")
			}
			if n := came.Load(); n > 0 {
				t.Errorf("got %d bookings at %s %s after it said that it leaves, want none", n, gone.ID, maxPropagationTime)
			}
		}
	})
}

// startHeartbeats has upstreams write their rows anew until what it returns is called.
func (w *fixture) startHeartbeats() func() {
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for feed.Sleep(ctx, heartbeatInterval) {
			w.site.Heartbeat()
		}
	}()
	return func() {
		stop()
		<-done
	}
}

// An instance starts, writes where it is, and the store does not give it the
// list of the others for two seconds. One that starts later dials it meanwhile.
// It must find the others as well: alone with the last one it would take half
// of all repeats for its own, and hear of changes by one instance only.
func TestStartedInstanceDiscoversAllPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t, 3)
		defer w.close()
		name := depot.Settings(7).Instance.Name
		from := time.Now()
		w.site.Store.SetFault(func(r *http.Request) stand.Fault {
			roster := r.URL.Query().Get("table") == "instances" && r.URL.Query().Get("to") == ""
			return stand.Fault{Unavailable: roster && strings.HasPrefix(r.Header.Get("User-Agent"), name) && time.Since(from) < 2*time.Second}
		})
		lines, seen := observer.New(zap.InfoLevel)
		stopFirst := w.startInstance(7, zap.New(lines))
		time.Sleep(time.Second)
		stopLast := w.startInstance(8, zap.NewNop())
		time.Sleep(8 * time.Second)
		met := map[string]bool{}
		for _, l := range seen.FilterMessage("edge: instance met").All() {
			met[l.ContextMap()["peer"].(string)] = true
		}
		if len(met) != 4 {
			t.Errorf("got %v met by the instance that started, want all 4 others", met)
		}
		stopFirst()
		stopLast()
	})
}

// startInstance runs one more instance and returns what stops it.
func (w *fixture) startInstance(n int, log *zap.Logger) func() {
	w.t.Helper()
	return w.runInstance(&edge.Instance{Settings: depot.Settings(n), Log: log, Dial: w.site.Dial, Listen: w.site.Net.Listen})
}

// runInstance runs an instance and returns what stops it.
func (w *fixture) runInstance(i *edge.Instance) func() {
	done := make(chan error, 1)
	go func() { done <- i.Run(context.Background()) }()
	return func() {
		i.Stop()
		if err := <-done; err != nil {
			w.t.Errorf("got %v from an instance that stopped, want no error", err)
		}
	}
}
