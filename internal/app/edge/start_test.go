package edge_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/app/edge"
	"fulmarwick/internal/fakes/depot"

	"go.uber.org/zap"
)

// Guards against requests that engines reject when all instances of a large fleet start
// at the same time: each instance assumes that it is alone and chooses the same engines.
func TestStartingFleetOverloadsNoEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests = 4
		f := newFixtureFrom(t, &depot.Depot{Instances: 1, Deployment: scaledShape(2)})
		defer f.close()
		for k := 1; k <= startedFleetSize; k++ {
			s := depot.Settings(k)
			defer f.runInstance(&edge.Instance{Settings: s, Log: zap.NewNop(), Dial: f.site.DialFrom(s.Instance.Name), Listen: f.site.Net.Listen})()
			f.clients = append(f.clients, &http.Client{Transport: &http.Transport{DialContext: f.site.Dial}})
		}
		var mu sync.Mutex
		rejected := 0
		var callers sync.WaitGroup
		for k := 1; k <= startedFleetSize; k++ {
			callers.Go(func() {
				f.awaitReady(k)
				for n := range requests {
					callers.Go(func() {
						id := fmt.Sprintf("h%d-%d", k, n)
						if a := f.request(k, http.MethodPost, "/write/"+id, id, "774,200"); a.status != http.StatusOK {
							mu.Lock()
							defer mu.Unlock()
							rejected++
						}
					})
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
		callers.Wait()
		t.Logf("%d of %d rejected", rejected, startedFleetSize*requests)
		if rejected > startedFleetSize*requests/100 {
			t.Errorf("got %d of %d requests rejected, want one in a hundred at most", rejected, startedFleetSize*requests)
		}
	})
}

// awaitReady waits until instance k reports that it is ready.
func (f *fixture) awaitReady(k int) {
	for {
		resp, err := f.clients[k].Get("http://" + depot.Settings(k).Listen.Ready + "/ready")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
}
