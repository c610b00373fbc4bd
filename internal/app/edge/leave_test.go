package edge_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/app/setup"
	"fulmarwick/platform/stand"
)

// runStreams runs streams of 400 events through one instance and calls event
// once all of them are being answered. Each must be whole.
func (w *fixture) runStreams(n int, event func()) {
	w.t.Helper()
	done := make(chan callerResponse, n)
	for k := range n {
		go func() { done <- w.request(0, http.MethodPost, "/write/1", fmt.Sprintf("long-%d", k), "300,1200") }()
	}
	time.Sleep(500 * time.Millisecond)
	event()
	for range n {
		if a := <-done; a.err != nil || a.events != 400 {
			w.t.Errorf("got %d with %d events (%v), want all 400", a.status, a.events, a.err)
		}
	}
}

// Guards against cutting a stream whose engine leaves but still makes it, while no
// other engine has room to go on with it.
func TestLeavingEngineKeepsStreamsWhileOthersLackMemory(t *testing.T) {
	for name, refusePaths := range map[string]bool{"other paths taken": false, "other paths refused": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFixture(t, 1)
				defer w.close()
				w.runStreams(12, func() {
					w.site.RejectRuns(true)
					if refusePaths {
						w.site.RejectRepaths()
					}
					for range 4 {
						w.site.DrainEngine(w.busiestReadyEngine())
						time.Sleep(300 * time.Millisecond)
					}
				})
			})
		})
	}
}

// Guards against giving up a stream whose engine died at the first refusal by
// another one, though there is room a moment later.
func TestStreamOfDeadEngineWaitsForCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixtureWithRetry(t, 1, setup.Retry{Ratio: 0, Allowance: 40, Window: 10 * time.Second})
		defer w.close()
		w.runStreams(4, func() {
			w.site.RejectRuns(true)
			w.site.Crash(w.busiestReadyEngine())
			time.Sleep(1200 * time.Millisecond)
			w.site.RejectRuns(false)
		})
	})
}

// busiestReadyEngine is the engine with the most runs as their first that does not leave.
func (w *fixture) busiestReadyEngine() *stand.Engine {
	return w.busiestEngineOf((*stand.Engine).Serving)
}
