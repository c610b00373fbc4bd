package edge_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/platform/stand"
)

// Guards against requests that are refused for want of upstreams when the store returns
// from an outage in which the rows of all upstreams expired.
func TestExpiredUpstreamsServeAfterOutage(t *testing.T) {
	const rowsReturnAfter = 1500 * time.Millisecond
	faults := map[string]stand.Fault{"unavailable": {Unavailable: true}, "unresponsive": {Unresponsive: true}}
	for name, fault := range faults {
		for _, n := range []int{1, 4, 16} {
			t.Run(fmt.Sprintf("%s store, %d instances", name, n), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFixture(t, n)
					defer f.close()
					f.failStoreAndExpireRows(fault)
					go func() {
						time.Sleep(rowsReturnAfter)
						f.site.Heartbeat()
					}()
					for start, k := time.Now(), 0; time.Since(start) < 2*rowsReturnAfter; k++ {
						id := fmt.Sprintf("b%d", k)
						if a := f.request(k%n, http.MethodPost, "/book/1", id, ""); a.status != http.StatusOK {
							t.Errorf("got %d from instance %d %s after the store returned, want 200", a.status, k%n, time.Since(start))
						}
						time.Sleep(20 * time.Millisecond)
					}
				})
			})
		}
	}
}

// failStoreAndExpireRows makes each call to the store fail for six seconds, in which it
// drops the rows of all upstreams.
func (f *fixture) failStoreAndExpireRows(fault stand.Fault) {
	var failing atomic.Bool
	failing.Store(true)
	f.site.Store.SetFault(func(*http.Request) stand.Fault {
		if failing.Load() {
			return fault
		}
		return stand.Fault{}
	})
	time.Sleep(4 * time.Second)
	for _, u := range f.site.PlainUpstreams() {
		f.site.RemoveRow(u)
	}
	for _, e := range f.site.Engines() {
		f.site.RemoveRow(e)
	}
	time.Sleep(2 * time.Second)
	failing.Store(false)
}
