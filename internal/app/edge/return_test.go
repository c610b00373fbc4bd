package edge_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/app/setup"
	"fulmarwick/internal/fakes/depot"
	"fulmarwick/platform/stand"
)

// Guards against rejecting callers that return for the rest of an answer after all instances
// lost power, while engines still hold the runs of earlier processes and have no room.
func TestReturningCallersGetRestOfAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callers, tokens, received = 30, 300, 40
		f := newFixtureWithRetry(t, 1, setup.Retry{Ratio: 0.2, Allowance: 40, Window: 10 * time.Second})
		defer f.close()
		f.site.RejectRuns(true)
		time.AfterFunc(700*time.Millisecond, func() { f.site.RejectRuns(false) })
		var all sync.WaitGroup
		for k := range callers {
			id := fmt.Sprintf("back-%d", k)
			all.Go(func() {
				a := f.resume(id, tokens, received)
				rest := strings.TrimPrefix(wholeAnswer(id, stand.EventCount(tokens)), wholeAnswer(id, received))
				if a.status != http.StatusOK || a.body != rest {
					t.Errorf("got %d with %d events (%v), want the %d events after the first %d", a.status, a.events, a.err, stand.EventCount(tokens)-received, received)
				}
			})
			time.Sleep(5 * time.Millisecond)
		}
		all.Wait()
	})
}

// resume requests the events of an answer after the first ones from instance 0.
func (f *fixture) resume(id string, tokens, received int) callerResponse {
	req, err := stand.NewRequest(context.Background(), http.MethodPost, "http://"+depot.Settings(0).Listen.Callers+"/write/1", id, fmt.Sprintf("774,%d", tokens))
	if err != nil {
		f.t.Fatal(err)
	}
	stand.SetLastEvent(req, received)
	return f.send(0, req)
}
