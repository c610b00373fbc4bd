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

// streamsAcross runs streams of 400 events through one instance and calls event
// once all of them are being answered. Each must be whole.
func (w *world) streamsAcross(n int, event func()) {
	w.t.Helper()
	done := make(chan answer, n)
	for k := range n {
		go func() { done <- w.ask(0, http.MethodPost, "/write/1", fmt.Sprintf("long-%d", k), "300,1200") }()
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
func TestLeavingEngineKeepsStreamsWhileOthersAreFull(t *testing.T) {
	for name, refusePaths := range map[string]bool{"other paths taken": false, "other paths refused": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := open(t, 1)
				defer w.close()
				w.streamsAcross(12, func() {
					w.site.RefuseRuns(true)
					if refusePaths {
						w.site.RefusePaths()
					}
					for range 4 {
						w.site.Drain(w.busiestReady())
						time.Sleep(300 * time.Millisecond)
					}
				})
			})
		})
	}
}

// Guards against giving up a stream whose engine died at the first refusal by
// another one, though there is room a moment later.
func TestBrokenStreamWaitsForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := openWith(t, 1, setup.Retry{Ratio: 0, Allowance: 40, Window: 10 * time.Second})
		defer w.close()
		w.streamsAcross(4, func() {
			w.site.RefuseRuns(true)
			w.site.Crash(w.busiestReady())
			time.Sleep(1200 * time.Millisecond)
			w.site.RefuseRuns(false)
		})
	})
}

// busiestReady is the engine with the most runs as their first that does not leave.
func (w *world) busiestReady() *stand.Engine { return w.busiestOf((*stand.Engine).Sound) }
