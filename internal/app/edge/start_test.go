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
func TestFleetThatStartsRushesNoEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests = 4
		w := openDepot(t, &depot.Depot{Instances: 1, Shape: grown(2)})
		defer w.close()
		for k := 1; k <= startedFleet; k++ {
			defer w.run(&edge.Instance{Settings: depot.Settings(k), Log: zap.NewNop(), Dial: w.site.Dial, Listen: w.site.Net.Listen})()
			w.clients = append(w.clients, &http.Client{Transport: &http.Transport{DialContext: w.site.Dial}})
		}
		var mu sync.Mutex
		refused := 0
		var callers sync.WaitGroup
		for k := 1; k <= startedFleet; k++ {
			callers.Go(func() {
				w.awaitReady(k)
				for n := range requests {
					callers.Go(func() {
						id := fmt.Sprintf("h%d-%d", k, n)
						if a := w.ask(k, http.MethodPost, "/write/"+id, id, "774,200"); a.status != http.StatusOK {
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
		t.Logf("%d of %d refused", refused, startedFleet*requests)
		if refused > startedFleet*requests/100 {
			t.Errorf("got %d of %d requests refused, want one in a hundred at most", refused, startedFleet*requests)
		}
	})
}

// awaitReady waits until instance k takes requests.
func (w *world) awaitReady(k int) {
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
