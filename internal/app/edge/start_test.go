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

// Guards against requests that engines refuse when all instances of a large fleet start
// at the same moment: each takes itself for alone and chooses the same engines.
func TestStartingFleetOverloadsNoEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests = 4
		w := newFixtureFrom(t, &depot.Depot{Instances: 1, Shape: scaledShape(2)})
		defer w.close()
		for k := 1; k <= startedFleetSize; k++ {
			defer w.runInstance(&edge.Instance{Settings: depot.Settings(k), Log: zap.NewNop(), Dial: w.site.Dial, Listen: w.site.Net.Listen})()
			w.clients = append(w.clients, &http.Client{Transport: &http.Transport{DialContext: w.site.Dial}})
		}
		var mu sync.Mutex
		refused := 0
		var callers sync.WaitGroup
		for k := 1; k <= startedFleetSize; k++ {
			callers.Go(func() {
				w.awaitReady(k)
				for n := range requests {
					callers.Go(func() {
						id := fmt.Sprintf("h%d-%d", k, n)
						if a := w.request(k, http.MethodPost, "/write/"+id, id, "774,200"); a.status != http.StatusOK {
							mu.Lock()
							defer mu.Unlock()
							refused++
						}
					})
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
		callers.Wait()
		t.Logf("%d of %d refused", refused, startedFleetSize*requests)
		if refused > startedFleetSize*requests/100 {
			t.Errorf("got %d of %d requests refused, want one in a hundred at most", refused, startedFleetSize*requests)
		}
	})
}

// awaitReady waits until instance k takes requests.
func (w *fixture) awaitReady(k int) {
	for {
		resp, err := w.clients[k].Get("http://" + depot.Settings(k).Listen.Ready + "/ready")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
}
